package targetinstance

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/mono"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if !isFlagSet("rapid.seed") {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func isFlagSet(name string) bool {
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
	return set
}

// The model plays the instances of a target one after the other. The wall clock
// jumps between their starts, IDs are used again, heartbeats are lost, late or held
// back by partitions, and the tracker begins at any time. In the end the last
// instance sends heartbeats that arrive at once.
const (
	maxInstances     = 6
	maxLifetime      = 8 * time.Second
	maxRestart       = 4 * time.Second
	maxClockJumpMs   = 5000
	beatInterval     = 870 * time.Millisecond
	beatJitter       = 60 * time.Millisecond
	promptDelay      = 20 * time.Millisecond
	maxLate          = 6 * time.Second
	maxPartition     = 5 * time.Second
	partitionRelease = 100 * time.Millisecond // Within which held back heartbeats arrive.
	latePercent      = 15
	lostPercent      = 10
	// settleTime is within what the tracker must know the living instance.
	settleTime = silentAfter + 2*(beatInterval+beatJitter) + promptDelay
)

// modelInstance is an instance of the target that runs until ends.
type modelInstance struct {
	id        string
	startedMs int64
	starts    mono.Time
	ends      mono.Time
}

type heartbeat struct {
	instance int
	sequence uint64
	arrives  mono.Time
}

type partition struct{ begins, ends mono.Time }

// targetHistory is a course of events. The heartbeats are in order of their
// arrival.
type targetHistory struct {
	instances  []modelInstance
	heartbeats []heartbeat
	partitions []partition
	quietAt    mono.Time // No heartbeat that was lost or late is on its way any more.
}

const modelStart = mono.Time(time.Hour)

func drawDuration(t *rapid.T, name string, most time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, most.Milliseconds()).Draw(t, name)) * time.Millisecond
}

func drawHistory(t *rapid.T) *targetHistory {
	h := &targetHistory{}
	at := modelStart
	offsetMs := int64(0)
	for range rapid.IntRange(1, maxInstances).Draw(t, "instances") {
		at = at.Add(drawDuration(t, "restart", maxRestart))
		if rapid.Bool().Draw(t, "jumps") {
			offsetMs += rapid.Int64Range(-maxClockJumpMs, maxClockJumpMs).Draw(t, "jump")
		}
		ends := at.Add(drawDuration(t, "lifetime", maxLifetime))
		h.addInstance(t, modelInstance{startedMs: at.Sub(0).Milliseconds() + offsetMs, starts: at, ends: ends})
		at = ends
	}
	for range rapid.IntRange(0, 3).Draw(t, "partitions") {
		begins := modelStart.Add(drawDuration(t, "begins", at.Sub(modelStart)))
		h.partitions = append(h.partitions, partition{begins: begins, ends: begins.Add(drawDuration(t, "length", maxPartition))})
	}
	h.sendDisturbed(t)
	tracked := modelStart.Add(drawDuration(t, "tracker begins", at.Sub(modelStart)))
	h.heartbeats = slices.DeleteFunc(h.heartbeats, func(b heartbeat) bool { return b.arrives.Before(tracked) })
	h.sendQuiet(t, at)
	slices.SortStableFunc(h.heartbeats, func(a, b heartbeat) int { return cmp.Compare(a.arrives, b.arrives) })
	return h
}

// addInstance adds an instance with an ID that may have been used before. Two that
// share an ID started at different times by the wall clock.
func (h *targetHistory) addInstance(t *rapid.T, i modelInstance) {
	i.id = rapid.SampledFrom([]string{"a", "a", "b"}).Draw(t, "id")
	for slices.ContainsFunc(h.instances, func(o modelInstance) bool { return o.id == i.id && o.startedMs == i.startedMs }) {
		i.startedMs++
	}
	h.instances = append(h.instances, i)
}

// sendDisturbed sends the heartbeats of all instances until they end.
func (h *targetHistory) sendDisturbed(t *rapid.T) {
	for index, i := range h.instances {
		sequence := uint64(1)
		for at := i.starts; at.Before(i.ends); at = at.Add(drawInterval(t)) {
			h.send(t, index, sequence, at)
			sequence++
		}
	}
}

func drawInterval(t *rapid.T) time.Duration {
	return beatInterval - beatJitter + drawDuration(t, "jitter", 2*beatJitter)
}

// send sends one heartbeat, which may be lost, late or held back.
func (h *targetHistory) send(t *rapid.T, index int, sequence uint64, at mono.Time) {
	chance := rapid.IntRange(0, 99).Draw(t, "chance")
	held := slices.IndexFunc(h.partitions, func(p partition) bool { return !at.Before(p.begins) && at.Before(p.ends) })
	var arrives mono.Time
	switch {
	case chance < lostPercent:
		return
	case held >= 0:
		arrives = h.partitions[held].ends.Add(drawDuration(t, "release", partitionRelease))
	case chance < lostPercent+latePercent:
		arrives = at.Add(drawDuration(t, "late", maxLate))
	default:
		arrives = at.Add(drawDuration(t, "prompt", promptDelay))
	}
	h.quietAt = max(h.quietAt, arrives)
	h.heartbeats = append(h.heartbeats, heartbeat{instance: index, sequence: sequence, arrives: arrives})
}

// sendQuiet makes the last instance live on until the tracker must know it. Its
// sequence goes on above that of its disturbed heartbeats.
func (h *targetHistory) sendQuiet(t *rapid.T, from mono.Time) {
	last := len(h.instances) - 1
	h.quietAt = max(h.quietAt, from)
	h.instances[last].ends = h.quietAt.Add(time.Hour)
	sequence := uint64(1000)
	for at := from; at.Before(h.quietAt.Add(settleTime)); at = at.Add(drawInterval(t)) {
		h.heartbeats = append(h.heartbeats, heartbeat{instance: last, sequence: sequence, arrives: at.Add(drawDuration(t, "prompt", promptDelay))})
		sequence++
	}
}

// play passes the heartbeats to a tracker and returns the first violation.
func (h *targetHistory) play(disabled disabledChecks) string {
	tracker := Tracker{disabled: disabled}
	current := -1
	accepted := make([]bool, len(h.instances))
	newest := make([]uint64, len(h.instances))
	for _, b := range h.heartbeats {
		i := h.instances[b.instance]
		switch tracker.Observe(b.arrives, Announcement{ID: i.id, StartedMs: i.startedMs, Sequence: b.sequence}) {
		case Stale:
			continue
		case Current:
			if b.instance != current {
				return fmt.Sprintf("a heartbeat of instance %d counts as one of %d", b.instance, current)
			}
		case NewInstance:
			if accepted[b.instance] && !b.arrives.Before(i.ends) && b.arrives.Before(h.instances[current].ends) {
				return fmt.Sprintf("instance %d, which has ended, replaces %d again, which lives", b.instance, current)
			}
			current = b.instance
			accepted[current] = true
		}
		if b.sequence <= newest[current] {
			return fmt.Sprintf("sequence %d of instance %d counts although %d was heard", b.sequence, current, newest[current])
		}
		newest[current] = b.sequence
	}
	if current != len(h.instances)-1 {
		return fmt.Sprintf("instance %d counts as the current one, but %d lives", current, len(h.instances)-1)
	}
	return ""
}

func TestTrackerFollowsLivingInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		must.Eq(t, "", drawHistory(t).play(disabledChecks{}))
	})
}

// A target that starts again and again must not make the tracker grow.
func TestReplacedInstancesAreBounded(t *testing.T) {
	var tracker Tracker
	for i := range int64(3 * maxReplaced) {
		must.Eq(t, NewInstance, tracker.Observe(modelStart, Announcement{ID: "a", StartedMs: i, Sequence: 1}))
	}
	must.Len(t, maxReplaced, tracker.replaced)
	must.Eq(t, int64(3*maxReplaced-2), tracker.replaced[maxReplaced-1].newest.StartedMs)
}

// Without any one of the checks the model finds a violation.
func TestChecksAreNeeded(t *testing.T) {
	checks := map[string]disabledChecks{
		"sequence": {sequence: true},
		"silence":  {silence: true},
		"memory":   {memory: true},
		"proof":    {proof: true},
		"comeback": {comeback: true},
	}
	histories := rapid.Custom(drawHistory)
	for name, disabled := range checks {
		t.Run(name, func(t *testing.T) {
			for seed := range exampleSeeds {
				if violation := histories.Example(seed).play(disabled); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Error("no seed finds what this check prevents")
		})
	}
}

// exampleSeeds is the number of histories in which a violation must be found.
const exampleSeeds = 20000
