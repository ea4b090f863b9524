package trial

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/result"

	rhost "github.com/rhubarbring/rhubarbring/host"
)

// Files in the directory of a trial, and the modes of what is written there.
const (
	HostsFile    = "hosts.json"
	LoadFile     = "load.json"
	RecordsFile  = "load.jsonl"
	FaultsFile   = "faults.jsonl"
	OutcomesFile = "outcomes.json"
	launchFile   = "launch.tsv"
	planFile     = "plan.env"
	dirMode      = 0o755
	fileMode     = 0o644
)

// Environment is the environment whose document the daemons of a trial follow.
const Environment = "trial"

const (
	callerGraceMs     = 2000
	callerMaxInFlight = 2000
	targetColdMs      = 2000
	targetColdFactor  = 3
)

// Options selects the layout of a trial and the load on it. The settings and the
// commands contain Dir and BinDir as they are, so with relative paths the
// commands must run in the working directory of this process.
type Options struct {
	Layout        string
	Seed          uint64
	BasePort      int
	Dir           string // Directory of the files.
	BinDir        string // Directory of the binaries.
	RatePerSecond float64
	LoadMs        int64
}

// Check returns an error if the base port is out of range.
func (o Options) Check() error {
	if o.BasePort < minBasePort || o.BasePort > maxBasePort {
		return &result.Error{
			Code:   result.BadSettings,
			Field:  "base-port",
			Detail: strconv.Itoa(o.BasePort) + " is not between 1024 and 60000",
			Remedy: "name another port",
		}
	}
	return nil
}

// WriteFiles writes the settings of every process, the commands that start
// them, the hosts and addresses for the fault script, and the configuration of
// the load.
func WriteFiles(o Options) error {
	if err := o.Check(); err != nil {
		return err
	}
	l, err := LayoutByName(o.Layout)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(o.Dir, dirMode); err != nil {
		return err
	}
	hosts := l.Hosts(o.BasePort)
	for _, h := range hosts {
		if err := o.writeJSON(h.Name+".json", o.daemonSettings(h)); err != nil {
			return err
		}
	}
	if err := o.writeJSON(HostsFile, judgeHosts(hosts)); err != nil {
		return err
	}
	if err := o.writeJSON(LoadFile, o.loadConfig(l, hosts)); err != nil {
		return err
	}
	if err := o.write(launchFile, o.launchList(l, hosts)); err != nil {
		return err
	}
	return o.write(planFile, o.planVariables(l, hosts))
}

func (o Options) write(name, text string) error {
	return os.WriteFile(filepath.Join(o.Dir, name), []byte(text), fileMode)
}

func (o Options) writeJSON(name string, v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return o.write(name, string(raw)+"\n")
}

func judgeHosts(hosts []Host) []judge.Host {
	out := make([]judge.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Host)
	}
	return out
}

func (o Options) daemonSettings(h Host) settings.Daemon {
	return settings.Daemon{
		Host:           rhost.ID(h.Name),
		Region:         rhost.Region(h.Region),
		Zone:           rhost.Zone(h.Zone),
		Environment:    Environment,
		PeerAddress:    h.Peer,
		ControlAddress: h.Control,
		CallerAddress:  h.CallerAddress,
		StoreAddress:   StoreAddress(o.BasePort),
		Log:            settings.Log{File: filepath.Join(o.Dir, h.Name+".log"), Level: "info"},
		Seed:           o.Seed,
	}
}

func (o Options) loadConfig(l Layout, hosts []Host) load.Config {
	c := load.Config{
		Seed:          o.Seed,
		RatePerSecond: o.RatePerSecond,
		ForMs:         o.LoadMs,
		RepeatUnknown: true,
		GraceMs:       callerGraceMs,
		MaxInFlight:   callerMaxInFlight,
	}
	for _, h := range hosts {
		c.Daemons = append(c.Daemons, h.CallerAddress)
	}
	for _, a := range l.Apps {
		c.Apps = append(c.Apps, a.Traffic)
	}
	return c
}

// launchList returns a line for each process: name, tab, command.
func (o Options) launchList(l Layout, hosts []Host) string {
	var b strings.Builder
	fmt.Fprintf(&b, "store\t%s --address %s --seed %d\n", o.binary("rhubarb-store"), StoreAddress(o.BasePort), o.Seed)
	for _, h := range hosts {
		fmt.Fprintf(&b, "%s\t%s --settings %s\n", h.Name, o.binary("rhubarbd"), filepath.Join(o.Dir, h.Name+".json"))
	}
	for i, h := range hosts {
		fmt.Fprintf(&b, "%s-target\t%s\n", h.Name, o.targetCommand(l, h, i))
	}
	return b.String()
}

func (o Options) targetCommand(l Layout, h Host, i int) string {
	return fmt.Sprintf("%s --name %s --app %s --address %s --daemon %s --slots %d --queue %d --connections %d "+
		"--checks-grants=%t --mean-service-ms %g --cold-for-ms %d --cold-factor %d --seed %d --journal %s",
		o.binary("rhubarb-target"), h.Name, h.Host.App, h.Target, h.Control, l.Slots, l.Slots, l.Connections,
		h.App.ChecksGrants, h.App.MeanServiceMs, targetColdMs, targetColdFactor, o.Seed+uint64(i),
		filepath.Join(o.Dir, JournalName(h.Name)))
}

func (o Options) binary(name string) string {
	return filepath.Join(o.BinDir, name)
}

// JournalName returns the file name of the journal of a host's target.
func JournalName(host string) string {
	return host + ".ran.jsonl"
}

// planVariables returns shell variables with the addresses of the trial and the
// hosts of its faults.
func (o Options) planVariables(l Layout, hosts []Host) string {
	var b strings.Builder
	variable := func(name, value string) { fmt.Fprintf(&b, "%s=%q\n", name, value) }
	variable("STORE", "http://"+StoreAddress(o.BasePort))
	var ready, health []string
	for _, h := range hosts {
		ready = append(ready, "http://"+h.Control+"/ready")
		health = append(health, "http://"+h.Target+"/target/health")
		if h.Name == l.StopHost {
			variable("STOP_TARGET", "http://"+h.Target)
			variable("STOP_READY", "http://"+h.Control+"/ready")
		}
	}
	variable("STOP_HOST", l.StopHost)
	variable("KILL_HOST", l.KillHost)
	variable("READY", strings.Join(ready, " "))
	variable("TARGETS", strings.Join(health, " "))
	return b.String()
}
