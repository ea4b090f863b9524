package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/operator"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/status"
)

// overview is a summary of the fleet.
type overview struct {
	Environment string `json:"environment"`
	// Newest is the newest version of the document that a daemon has in
	// force, or that the store holds.
	Newest uint64     `json:"newest"`
	Hosts  []hostLine `json:"hosts"`
	// InForce counts the daemons that have the newest version in force.
	InForce int `json:"in_force"`
	// Unowned is the highest number of slices without a live owner that any
	// daemon reports.
	Unowned int `json:"unowned"`
	// Outcomes is the number of outcomes at risk that are only in the memory
	// of daemons.
	Outcomes int `json:"outcomes"`
	// Alarms lists the active alarms without duplicates.
	Alarms []string `json:"alarms"`
	// Evacuated lists the zones that daemons count as evacuated.
	Evacuated []evacuatedZone `json:"evacuated,omitempty"`
	// Leader is the session of the placement leader.
	Leader host.Session `json:"leader"`
	// BoundRoutes are the routes with allowed regions, as the daemon with the
	// newest document sees them.
	BoundRoutes []status.BoundRoute `json:"bound_routes,omitempty"`
}

// hostLine is the status of one daemon.
type hostLine struct {
	Session host.Session `json:"session"`
	Place   host.Place   `json:"place"`
	// Lag is how many versions its document is behind the newest.
	Lag    uint64         `json:"lag"`
	Status *status.Daemon `json:"status,omitempty"`
	Error  string         `json:"error,omitempty"`
}

func (t *tool) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the fleet: documents in force and lag, leases, slices, alarms",
		Long: `status asks every live daemon of an environment. With --daemon it takes
them from that daemon and works while the store is down; with --store and
--environment it takes them from the store.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			hosts, newest, err := t.hosts()
			if err != nil {
				return err
			}
			v := newOverview(t.environment, newest, hosts)
			return t.printResult(cmd, v, func(w io.Writer) { v.write(w) })
		},
	}
}

// hosts queries the daemons. It also returns the version of the document in the
// store, 0 if it isn't known because --daemon is used or there is none.
func (t *tool) hosts() ([]operator.Host, uint64, error) {
	o := operator.New(t.store, t.timeout)
	if t.daemon != "" {
		hosts, err := o.HostsKnownTo(t.daemon, t.environment)
		return hosts, 0, err
	}
	if t.store == "" {
		return nil, 0, settingsError("--daemon, --store", "neither is given", "add --daemon IP:port, or --store IP:port and --environment")
	}
	if err := t.requireEnvironment(); err != nil {
		return nil, 0, err
	}
	stored, err := o.Document(t.environment)
	if err != nil {
		return nil, 0, err
	}
	hosts, err := o.Hosts(t.environment)
	if stored == nil {
		return hosts, 0, err
	}
	return hosts, stored.Version, err
}

func newOverview(environment string, newest uint64, hosts []operator.Host) overview {
	v := overview{Environment: environment, Newest: newest, Alarms: []string{}}
	bound := uint64(0) // The version of the document that BoundRoutes are of.
	seen := make(map[string]bool)
	for _, h := range hosts {
		if h.Status == nil {
			continue
		}
		s := h.Status
		v.Environment = s.Document.Environment
		v.Newest = max(v.Newest, s.Document.Version)
		v.Unowned = max(v.Unowned, unownedSlices(s))
		v.Outcomes += s.OpenOutcomes
		if s.Document.Version >= bound {
			v.BoundRoutes, bound = s.BoundRoutes, s.Document.Version
		}
		v.Evacuated = countEvacuated(v.Evacuated, s.Evacuated)
		if !s.Placement.Leader.IsZero() {
			v.Leader = s.Placement.Leader
		}
		for _, a := range s.Alarms {
			if !seen[a] {
				seen[a] = true
				v.Alarms = append(v.Alarms, a)
			}
		}
	}
	for _, h := range hosts {
		v.add(h)
	}
	return v
}

func unownedSlices(s *status.Daemon) int {
	sum := 0
	for _, u := range s.Unowned {
		sum += u.Slices
	}
	return sum
}

func (v *overview) add(h operator.Host) {
	l := hostLine{Session: h.Session, Place: h.Place, Status: h.Status}
	if h.Status == nil {
		l.Error = h.Err.Error()
		v.Hosts = append(v.Hosts, l)
		return
	}
	l.Lag = v.Newest - h.Status.Document.Version
	if l.Lag == 0 {
		v.InForce++
	}
	v.Hosts = append(v.Hosts, l)
}

func (v overview) write(w io.Writer) {
	fmt.Fprintf(w, "%s: document version %d in force on %d of %d daemons; %d slices without an owner; %d outcomes not yet saved; placement led by %s\n",
		v.Environment, v.Newest, v.InForce, len(v.Hosts), v.Unowned, v.Outcomes, v.Leader)
	for _, a := range v.Alarms {
		fmt.Fprintf(w, "ALARM %s\n", a)
	}
	if len(v.Alarms) == 0 {
		fmt.Fprintln(w, "no active alarms")
	}
	for _, b := range v.BoundRoutes {
		writeBoundRoute(w, b)
	}
	for _, e := range v.Evacuated {
		fmt.Fprintf(w, "EVACUATED %s, as %d of %d daemons know\n", e.Zone, e.Daemons, len(v.Hosts))
	}
	fmt.Fprintln(w, "SESSION\tZONE\tDOCUMENT\tLAG\tLEASE\tLEFT MS\tSTORE\tRELAY\tAPP\tSLICES\tBUSY\tQUEUED\tREADY")
	for _, l := range v.Hosts {
		l.write(w)
	}
}

func writeBoundRoute(w io.Writer, b status.BoundRoute) {
	fmt.Fprintf(w, "route %s runs only in %s", b.Route, joinNames(b.Regions))
	if len(b.Unserved) > 0 {
		fmt.Fprintf(w, "; refused as no_allowed_region, without a target there: %s", joinNames(b.Unserved))
	}
	fmt.Fprintln(w)
}

func joinNames[T ~string](names []T) string {
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return strings.Join(texts, ", ")
}

func (l hostLine) write(w io.Writer) {
	if l.Status == nil {
		fmt.Fprintf(w, "%s\t%s\tno answer: %s\n", l.Session, l.Place.Zone, l.Error)
		return
	}
	s := l.Status
	app, busy, queued := key.App("-"), "-", "-"
	if s.Target != nil {
		app = s.Target.App
		busy = fmt.Sprintf("%d/%d", s.Target.Busy, s.Target.Slots)
		queued = fmt.Sprint(s.Target.Queued)
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%d\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n",
		l.Session, l.Place.Zone, s.Document.Version, l.Lag, s.Lease.State, s.Lease.LeftMs,
		choose(s.StoreReachable, "yes", "no"), choose(s.Relay, "yes", "-"), app, s.Slices.Owned, busy, queued, orDefault(s.Ready, "yes"))
}

func choose(yes bool, ifYes, ifNo string) string {
	if yes {
		return ifYes
	}
	return ifNo
}

func orDefault(s, otherwise string) string {
	if s == "" {
		return otherwise
	}
	return s
}
