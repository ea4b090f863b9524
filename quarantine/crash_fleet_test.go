package quarantine

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// policy decides from the crashes so far which requests are held; the Ledger and
// naive ones are compared.
type policy interface {
	Record(now mono.Time, c Crash) []Fingerprint
	Check(now mono.Time, r *request.Request) (time.Duration, bool)
	Answered(r *request.Request)
}

// firstCrashPolicy holds every request of a single crash.
type firstCrashPolicy struct{ *Ledger }

func (p firstCrashPolicy) Record(now mono.Time, c Crash) []Fingerprint {
	for _, f := range c.Requests {
		p.suspects[f] = &suspect{heldUntil: now.Add(firstQuarantine)}
	}
	return c.Requests
}

// neverPolicy holds nothing.
type neverPolicy struct{ *Ledger }

func (p neverPolicy) Record(mono.Time, Crash) []Fingerprint { return nil }

// crashPlay is the outcome of playCrashes.
type crashPlay struct {
	crashes      int // targets that a poison request ended
	sentLate     int // runs of the poison request that began later than lateAfter after the third crash
	wronglyHeld  int // harmless requests that were refused
	harmlessLost int // runs of harmless requests that were lost with a target
}

// crashFleet is a service of 5 targets of 6 slots. A target is back 3 s after its
// end, and a request that was lost is repeated once.
type crashFleet struct {
	rnd       *rand.Rand
	policy    policy
	now       mono.Time
	targets   []crashTarget
	repeats   []*request.Request
	requestID int
	thirdAt   mono.Time
	owner     int // the target to which the poison request and its neighbors go
	play      crashPlay
}

// crashTarget is one target and what it runs in the present step.
type crashTarget struct {
	detector *Detector
	instance uint64
	upAt     mono.Time
	running  []*request.Request
}

const (
	crashSteps    = 400
	crashStep     = 50 * time.Millisecond
	crashDowntime = 3 * time.Second
	crashSlots    = 6
	// The users' rule: at most maxSentLate runs later than lateAfter after the
	// third crash.
	lateAfter   = 3 * time.Second
	maxSentLate = 3
	poisonPath  = "/poison"
)

func newCrashFleet(p policy, seed uint64) *crashFleet {
	f := &crashFleet{rnd: rand.New(rand.NewPCG(seed, 0)), policy: p, now: mono.Time(time.Hour), targets: make([]crashTarget, 5)}
	for i := range f.targets {
		f.targets[i] = crashTarget{detector: NewDetector(), instance: uint64(i)<<32 + 1}
	}
	return f
}

// playCrashes plays one day: 240 harmless requests a second, a third of them for
// a few popular things, 20 for a few things of the same slice as the poison
// request, and that one three times a second.
func playCrashes(p policy, seed uint64) crashPlay {
	f := newCrashFleet(p, seed)
	for range crashSteps {
		f.now = f.now.Add(crashStep)
		f.arrivals()
		for i := range f.targets {
			f.run(&f.targets[i])
		}
	}
	return f.play
}

// arrivals starts the requests of a step.
func (f *crashFleet) arrivals() {
	repeats := f.repeats
	f.repeats = nil
	if f.now < f.targets[f.owner].upAt {
		f.owner = f.rnd.IntN(len(f.targets))
	}
	for _, r := range repeats {
		f.start(r)
	}
	for range 12 {
		f.requestID++
		path := "/once/" + strconv.Itoa(f.requestID)
		if f.rnd.IntN(3) == 0 {
			path = "/popular/" + strconv.Itoa(f.rnd.IntN(4))
		}
		f.start(get(path))
	}
	f.start(get("/neighbor/" + strconv.Itoa(f.rnd.IntN(3))))
	if f.rnd.IntN(7) == 0 {
		f.start(get(poisonPath))
	}
}

// start starts a request at any target that has room, unless it is held.
func (f *crashFleet) start(r *request.Request) {
	t := &f.targets[f.rnd.IntN(len(f.targets))]
	if r.Path == poisonPath || strings.HasPrefix(r.Path, "/neighbor/") {
		t = &f.targets[f.owner]
	}
	if f.now < t.upAt || len(t.running) >= crashSlots {
		return
	}
	if _, held := f.policy.Check(f.now, r); !held {
		t.running = append(t.running, r)
	} else if r.Path != poisonPath {
		f.play.wronglyHeld++
	}
}

// run ends the runs of a target: they are answered, or lost if one is poison.
func (f *crashFleet) run(t *crashTarget) {
	runs := t.running
	t.running = nil
	if !slices.ContainsFunc(runs, func(r *request.Request) bool { return r.Path == poisonPath }) {
		for _, r := range runs {
			f.policy.Answered(r)
		}
		return
	}
	for _, r := range runs {
		t.detector.RunLost(f.now, t.instance, Of(r))
		if r.Path != poisonPath {
			f.play.harmlessLost++
		} else if f.thirdAt != 0 && f.now.Sub(f.thirdAt) > lateAfter {
			f.play.sentLate++
		}
		if r.Attempt == 0 {
			r.Attempt = 1
			f.repeats = append(f.repeats, r)
		}
	}
	f.play.crashes++
	if f.play.crashes == 3 {
		f.thirdAt = f.now
	}
	if crash, ok := t.detector.InstanceEnded(f.now, t.instance); ok {
		f.policy.Record(f.now, crash)
	}
	t.instance++
	t.upAt = f.now.Add(crashDowntime)
}

// The load: a request that ends each target that runs it, beside harmless ones.
// It is run as rarely as the users' rule demands, and a hundred harmless requests
// are saved for each one that is refused.
func TestPoisonRequestIsHeldAndHarmlessOnesAreNot(t *testing.T) {
	const seeds = 200
	var held, never, first crashPlay
	sum := func(total *crashPlay, p crashPlay) {
		total.crashes += p.crashes
		total.sentLate += p.sentLate
		total.wronglyHeld += p.wronglyHeld
		total.harmlessLost += p.harmlessLost
	}
	for seed := range uint64(seeds) {
		p := playCrashes(NewLedger(), seed)
		must.LessEq(t, maxSentLate, p.sentLate, must.Sprintf("seed %d", seed))
		sum(&held, p)
		sum(&never, playCrashes(neverPolicy{NewLedger()}, seed))
		sum(&first, playCrashes(firstCrashPolicy{NewLedger()}, seed))
	}
	t.Logf("ledger %+v, no quarantine %+v, quarantine after one crash %+v", held, never, first)
	must.Less(t, (never.harmlessLost-held.harmlessLost)/100, held.wronglyHeld)
	must.Less(t, never.harmlessLost/3, held.harmlessLost)
	must.Greater(t, held.wronglyHeld, first.wronglyHeld)
}
