package grant

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetinstance"
)

// The model plays hosts, each with a daemon and a target that gets its slices
// with heartbeats, and a leader that moves slices between them. Heartbeats and
// answers are lost or late, targets crash and start again under the same name,
// daemons are replaced, and leases end. No two targets may hold a slice at once.
const (
	fleetHosts  = 3
	fleetSlices = 6
	fleetStep   = 10 * time.Millisecond
	fleetSteps  = 2500
	leaseMargin = 200 * time.Millisecond
	answerBound = time.Second // A target ignores an answer that takes longer.
)

// fleetRule is a rule that a run leaves out, to show that the model finds it.
type fleetRule struct {
	checks disabledChecks
	// staleHeartbeats passes every heartbeat to the core, whatever its instance
	// and sequence.
	staleHeartbeats bool
	// earlierDaemon takes a target that ran before the daemon for empty.
	earlierDaemon bool
}

type fleetModel struct {
	rng   *rand.Rand
	rule  fleetRule
	now   mono.Time
	hosts [fleetHosts]*fleetHost
	// slices is the leader's assignment.
	slices    [fleetSlices]fleetAssignment
	moved     int // Handovers with a release.
	violation string
	// unexpected is set if a core names a holding of a running target as not granted.
	unexpected string
}

// fleetAssignment is the owner of a slice. A next owner is named when the slice is
// to move, -1 if none is.
type fleetAssignment struct {
	owner, next int
	session     int
	epoch       uint64
}

type fleetHost struct {
	m       *fleetModel
	index   int
	target  *fleetTarget
	core    *HeartbeatCore
	tracker targetinstance.Tracker
	known   bool // The session has seen an instance of the target, first at seenAt.
	seenAt  mono.Time
	session int
	// leaseEnd is when the session's lease ends; renewing is false while the
	// daemon can't reach its witnesses.
	leaseEnd  mono.Time
	renewing  bool
	releaseAt map[key.Slice]mono.Time // When the last request of a slice ends.
	inbox     []fleetHeartbeat
}

type fleetHeartbeat struct {
	target   *fleetTarget
	arrives  mono.Time
	sequence uint64
	report   Report
}

func runFleet(seed uint64, rule fleetRule) *fleetModel {
	m := &fleetModel{rng: rand.New(rand.NewPCG(seed, 9)), rule: rule, now: start}
	for i := range m.hosts {
		m.hosts[i] = &fleetHost{m: m, index: i}
		m.hosts[i].startTarget()
		m.hosts[i].startSession()
	}
	for id := range m.slices {
		m.slices[id] = fleetAssignment{owner: -1, next: -1}
		m.assign(id, m.rng.IntN(fleetHosts))
	}
	for range fleetSteps {
		m.now = m.now.Add(fleetStep)
		m.step()
		if m.violation != "" {
			break
		}
	}
	return m
}

func (m *fleetModel) step() {
	m.disturb()
	for id := range m.slices {
		m.lead(id)
	}
	for _, h := range m.hosts {
		h.step()
	}
	for id := range m.slices {
		m.checkHolders(slice(key.SliceID(id)))
	}
}

// disturb causes the failures of one step.
func (m *fleetModel) disturb() {
	h := m.hosts[m.rng.IntN(fleetHosts)]
	switch m.rng.IntN(600) {
	case 0:
		h.startTarget()
	case 1, 2:
		h.startSession()
	case 3:
		h.renewing = false
	case 4, 5, 6:
		h.renewing = true
	}
}

// lead moves a slice at times, and assigns the slices of a session whose lease has
// ended to another.
func (m *fleetModel) lead(id int) {
	a := &m.slices[id]
	h := m.hosts[a.owner]
	switch {
	case h.session == a.session && !m.now.Before(h.leaseEnd.Add(leaseMargin)):
		m.takeOver(h)
	case h.session == a.session && a.next < 0 && m.rng.IntN(150) == 0:
		a.next = m.rng.IntN(fleetHosts)
		h.handOver(slice(key.SliceID(id)))
	}
}

// takeOver assigns the slices of a host's session, whose lease has ended, to
// others. The host goes on with a new session.
func (m *fleetModel) takeOver(h *fleetHost) {
	lost := h.session
	h.beginSession()
	for id, a := range m.slices {
		if a.owner == h.index && a.session == lost {
			m.assign(id, m.rng.IntN(fleetHosts))
		}
	}
}

// assign makes a host the owner of a slice at the next epoch.
func (m *fleetModel) assign(id, owner int) {
	a := &m.slices[id]
	h := m.hosts[owner]
	*a = fleetAssignment{owner: owner, next: -1, session: h.session, epoch: a.epoch + 1}
	h.core.SetOwned(m.now, permit(slice(key.SliceID(id)), a.epoch))
}

func (m *fleetModel) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

func (m *fleetModel) checkHolders(s key.Slice) {
	var holders []int
	for i, h := range m.hosts {
		if h.target.holds(m.now, s) {
			holders = append(holders, i)
		}
	}
	if len(holders) > 1 {
		m.fail("targets %v hold %s", holders, s)
	}
}

// startTarget starts another instance of the target, under the same name. It has
// nothing of the earlier one, whose heartbeats may still arrive.
func (h *fleetHost) startTarget() {
	born := int64(1)
	if h.target != nil {
		born = h.target.born + 1
	}
	h.target = &fleetTarget{
		born: born, drift: h.m.rng.Float64() * 0.02, nextBeat: h.m.now.Add(fleetStep),
		held: make(map[key.Slice]fleetHold), seen: make(map[key.Slice]uint64), freed: make(map[key.Slice]string),
	}
}

// startSession replaces the daemon. Its successor takes over the slices of the
// earlier session at once, since the target lives on.
func (h *fleetHost) startSession() {
	old := h.session
	h.beginSession()
	for id, a := range h.m.slices {
		if a.owner == h.index && a.session == old && a.epoch > 0 {
			h.m.assign(id, h.index)
		}
	}
}

// beginSession replaces the daemon by one that owns nothing.
func (h *fleetHost) beginSession() {
	h.session++
	h.leaseEnd = h.m.now.Add(lease)
	h.renewing = true
	h.tracker, h.known = targetinstance.Tracker{}, false
	h.releaseAt = make(map[key.Slice]mono.Time)
	h.newCore(h.m.now)
}

// newCore begins with an instance of a target that the daemon first heard of at an
// instant.
func (h *fleetHost) newCore(seen mono.Time) {
	cfg := DefaultConfig()
	cfg.MaxHold = lease
	h.core = NewHeartbeatCore(cfg)
	if !h.m.rule.earlierDaemon {
		h.core = NewHeartbeatCoreForRunningTarget(seen, cfg)
	}
	h.core.disabled = h.m.rule.checks
}

// handOver begins the handover of a slice. Its last request ends later.
func (h *fleetHost) handOver(s key.Slice) {
	h.core.Withhold(s)
	h.releaseAt[s] = h.m.now.Add(time.Duration(h.m.rng.IntN(400)) * time.Millisecond)
}

func (h *fleetHost) step() {
	m := h.m
	if h.renewing && m.rng.IntN(30) == 0 {
		h.leaseEnd = m.now.Add(lease)
	}
	h.core.SetLease(h.leaseEnd)
	h.target.takeAnswer(m)
	h.target.beat(h)
	h.receive()
	var out Actions
	for s, at := range h.releaseAt {
		if !m.now.Before(at) {
			delete(h.releaseAt, s)
			h.core.RequestRelease(m.now, s, m.slices[s.ID].epoch)
		}
	}
	h.core.Tick(m.now, &out)
	h.execute(out)
}

// receive handles the heartbeats that have arrived, also those that earlier
// instances had sent.
func (h *fleetHost) receive() {
	var waiting []fleetHeartbeat
	arrived := h.inbox
	h.inbox = nil
	for _, b := range arrived {
		if b.arrives.After(h.m.now) {
			waiting = append(waiting, b)
			continue
		}
		h.handle(b)
	}
	h.inbox = append(h.inbox, waiting...)
}

func (h *fleetHost) handle(b fleetHeartbeat) {
	m := h.m
	known := h.known
	if !known {
		h.known, h.seenAt = true, m.now
	}
	verdict := h.tracker.Observe(m.now, targetinstance.Announcement{ID: "a", StartedMs: b.target.born, Sequence: b.sequence})
	if m.rule.staleHeartbeats && verdict == targetinstance.Stale {
		verdict = targetinstance.Current
	}
	switch verdict {
	case targetinstance.Stale:
		return
	case targetinstance.NewInstance:
		h.newCore(h.seenAt)
		h.core.SetLease(h.leaseEnd)
		h.adoptInstance(known)
	}
	var out Actions
	h.core.Observe(m.now, b.report, &out)
	if len(out.Unexpected) > 0 && b.target == h.target {
		m.unexpected = fmt.Sprintf("host %d at %s: %v", h.index, m.now.Sub(start), out.Unexpected)
	}
	h.execute(out)
	h.checkReported(b)
	answer := h.core.Answer(m.now)
	if longest := time.Duration(float64(answer.Hold) * 1.02); answer.Hold > 0 && m.now.Add(longest).After(h.leaseEnd) {
		m.fail("a grant outlasts the lease")
	}
	b.target.deliver(m, b.sequence, answer)
}

// adoptInstance grants the owned slices to an instance of the target that the
// daemon has not seen. If it replaces another one, they move to it at the next
// epoch.
func (h *fleetHost) adoptInstance(replaced bool) {
	for id, a := range h.m.slices {
		if a.owner != h.index || a.session != h.session {
			continue
		}
		if replaced {
			h.m.assign(id, h.index)
			continue
		}
		h.core.SetOwned(h.m.now, permit(slice(key.SliceID(id)), a.epoch))
		if a.next >= 0 {
			h.handOver(slice(key.SliceID(id)))
		}
	}
}

// checkReported compares what the core believes to be reported with the report.
func (h *fleetHost) checkReported(b fleetHeartbeat) {
	held := b.report.epochs()
	for s, holding := range h.core.holdings {
		if holding.reported && held[s] != holding.epoch {
			h.m.fail("%s counts as held at epoch %d, the target reported %d", s, holding.epoch, held[s])
		}
	}
}

func (h *fleetHost) execute(out Actions) {
	m := h.m
	for _, r := range out.Released {
		a := m.slices[r.Slice.ID]
		if a.owner != h.index || a.session != h.session || a.epoch != r.Epoch {
			continue
		}
		if h.target.holds(m.now, r.Slice) {
			m.fail("%s is released while the target holds it", r.Slice)
		}
		m.moved++
		next := max(a.next, 0)
		if r.Token != "" {
			m.hosts[next].core.SetToken(m.now, r.Slice, a.epoch+1, r.Token)
		}
		m.assign(int(r.Slice.ID), next)
	}
	for _, r := range out.Refused {
		if a := m.slices[r.Slice.ID]; a.owner == h.index && a.session == h.session && a.epoch == r.Epoch {
			h.handOver(r.Slice)
		}
	}
}

// fleetSeeds is the number of runs without a rule left out.
var fleetSeeds = flag.Uint64("fleet-seeds", 300, "runs of the model of targets that get their slices with heartbeats")

// A slice is held by one target at a time, whatever is lost or late.
func TestHeartbeatGrantsHaveOneHolder(t *testing.T) {
	moved := 0
	for seed := range *fleetSeeds {
		m := runFleet(seed, fleetRule{})
		must.Eq(t, "", m.violation, must.Sprint("seed ", seed, " at ", m.now.Sub(start)))
		must.Eq(t, "", m.unexpected, must.Sprint("seed ", seed))
		moved += m.moved
	}
	must.Greater(t, 3*int(*fleetSeeds), moved, must.Sprint("slices moved"))
}

// Each check is needed: without it the model finds two holders, or a belief that
// the target contradicts.
func TestHeartbeatChecksAreNeeded(t *testing.T) {
	rules := map[string]fleetRule{
		"drift":            {checks: disabledChecks{drift: true}},
		"lost answers":     {checks: disabledChecks{lostAnswers: true}},
		"wait for freed":   {checks: disabledChecks{waitForFree: true}},
		"epochs":           {checks: disabledChecks{epochs: true}},
		"earlier daemon":   {earlierDaemon: true},
		"stale heartbeats": {staleHeartbeats: true},
	}
	for name, rule := range rules {
		t.Run(name, func(t *testing.T) {
			for seed := range *fleetSeeds {
				if m := runFleet(seed, rule); m.violation != "" {
					t.Logf("seed %d: %s", seed, m.violation)
					return
				}
			}
			t.Error("no seed finds what this check prevents")
		})
	}
}
