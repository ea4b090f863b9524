// Package balance chooses a gate for requests that any gate of an app may run.
//
// It draws two gates at random and prefers the one that is expected to answer
// first. The expected time follows from the load that the gate stated in its
// last answer. If that is not recent, it is the answer time that this daemon
// measured itself, multiplied by its own requests in flight there; the load that
// a target reports can shift it within a bound. The network round trip is added.
// Gates of this daemon's availability zone and region are preferred. Another
// region is used only if this daemon's region has no untried gate, or if the
// gate that was drawn there is not expected to answer within the usable budget
// and the other region's is expected to answer sooner.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// Config configures a Balancer.
type Config struct {
	// Place is the location of this daemon.
	Place host.Place
	// ZoneDelay and RegionDelay are the one-way latencies to another zone
	// of the region and to another region.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// Link is this daemon's share of the link between regions.
	Link LinkConfig
	// MaxReportShift is the largest fraction by which a target's load report
	// can raise or lower a gate's expected time.
	MaxReportShift float64
	// DecayTime is the time constant with which a gate's measured time decays
	// to the mean of its app, and how long a free slot that a gate stated counts
	// for second attempts.
	DecayTime time.Duration
	// RefusalTime is the least answer time that is recorded for a refusal or a
	// failure, so that a gate that refuses fast does not look fast.
	RefusalTime time.Duration
	// AvoidTime is how long a gate is avoided after it was unreachable or
	// draining, or its target unavailable.
	AvoidTime time.Duration
	// Seed seeds the random draws.
	Seed uint64
}

// DefaultConfig returns the settings that apply unless a daemon overrides
// them. Place must still be set.
func DefaultConfig() Config {
	return Config{
		ZoneDelay:      time.Millisecond,
		RegionDelay:    20 * time.Millisecond,
		Link:           LinkConfig{BytesPerSecond: 100_000, Burst: 200_000},
		MaxReportShift: 0.25,
		DecayTime:      2 * time.Second,
		RefusalTime:    50 * time.Millisecond,
		AvoidTime:      500 * time.Millisecond,
	}
}

// GateInfo identifies a gate that runs an app's requests and its location.
type GateInfo struct {
	Session host.Session
	Place   host.Place
}

// Balancer chooses gates. It is not safe for concurrent use.
type Balancer struct {
	cfg       Config
	rnd       *rand.Rand
	link      *LinkBudget
	apps      map[key.App]*pool
	allowed   []*gateState // reused by farGates
	bySession map[host.Session]*gateState
	spilled   uint64
}

// pool holds the gates of one app, grouped by distance.
type pool struct {
	tiers           tiers
	farByRegion     map[host.Region][]*gateState // the gates of other regions
	meanAnswerNs    float64                      // mean answer time of all gates, without the round trip
	meanAnswerBytes float64                      // mean size of an answer's body
	meanServiceNs   float64                      // mean of the service times that gates stated
	near, far       utilization
	probedAt        mono.Time // when another region was last probed
}

// The distance tiers, nearest first.
const (
	sameZone = iota
	sameRegion
	otherRegion
	tierCount
)

// gateState is what the balancer knows about one gate.
type gateState struct {
	GateInfo
	pool         *pool
	tier         int
	inFlight     int
	answerNs     float64
	measuredAt   mono.Time
	measured     bool
	avoidUntil   mono.Time
	reportedLoad float64 // busy slots over slots; unknownLoad before the first report
	// The load that the gate stated in its last answer, when that was, and the
	// number of requests sent there since.
	slots           int
	jobs            int
	serviceTime     time.Duration
	meanServiceNs   float64 // moving average of serviceTime
	meanBusy        float64 // moving average of jobs over slots
	statedAt        mono.Time
	sentSinceStated int
}

// New returns a Balancer without gates.
func New(cfg Config, now mono.Time) *Balancer {
	return &Balancer{
		cfg:       cfg,
		rnd:       rand.New(rand.NewPCG(cfg.Seed, rngStream)),
		link:      NewLink(cfg.Link, now),
		apps:      make(map[key.App]*pool),
		bySession: make(map[host.Session]*gateState),
	}
}

const rngStream = 0x62616c61 // distinguishes this random stream from others with the same seed

// Link returns the daemon's share of the link between regions, so that other
// parts of the daemon can charge their bytes to it.
func (b *Balancer) Link() *LinkBudget {
	return b.link
}

// SetGates replaces the gates of an app and keeps the measurements of gates that
// remain. The random draws index into the list, so its order must be stable for
// choices to be reproducible.
func (b *Balancer) SetGates(app key.App, gates []GateInfo) {
	old := b.apps[app]
	p := &pool{}
	if old != nil {
		p.meanAnswerNs = old.meanAnswerNs
		p.meanAnswerBytes = old.meanAnswerBytes
		p.meanServiceNs = old.meanServiceNs
		p.near, p.far = old.near, old.far
	}
	kept := b.bySession
	for _, info := range gates {
		g := kept[info.Session]
		if g == nil || g.pool != old {
			g = &gateState{reportedLoad: unknownLoad}
		}
		g.GateInfo = info
		g.pool = p
		g.tier = b.tierOf(info.Place)
		p.add(g)
		b.bySession[info.Session] = g
	}
	b.apps[app] = p
	b.removeReplaced(old)
}

// unknownLoad is assumed before the first load report; it shifts nothing.
const unknownLoad = 0.5

// removeReplaced removes the gates that still belong to a replaced pool.
func (b *Balancer) removeReplaced(old *pool) {
	if old == nil {
		return
	}
	for _, tier := range old.tiers {
		for _, g := range tier {
			if g.pool == old {
				delete(b.bySession, g.Session)
			}
		}
	}
}

func (b *Balancer) tierOf(p host.Place) int {
	if p.Region != b.cfg.Place.Region {
		return otherRegion
	}
	if p.Zone != b.cfg.Place.Zone {
		return sameRegion
	}
	return sameZone
}

// Sent records that a request was sent to a gate.
func (b *Balancer) Sent(to host.Session, _ mono.Time) {
	if g := b.bySession[to]; g != nil {
		g.inFlight++
		g.sentSinceStated++
	}
}

// Forwarded charges the bytes of a request that went to the owner of its slice,
// and not to a chosen gate, to the link if they cross it.
func (b *Balancer) Forwarded(to host.Session, now mono.Time, size int) {
	if b.inOtherRegion(to) {
		b.link.Charge(now, Requests, size+perMessageOverhead)
	}
}

// Returned charges the bytes of the answer to a request that was counted by
// Forwarded.
func (b *Balancer) Returned(from host.Session, now mono.Time, size int) {
	if b.inOtherRegion(from) {
		b.link.Charge(now, Answers, size+perMessageOverhead)
	}
}

func (b *Balancer) inOtherRegion(s host.Session) bool {
	g := b.bySession[s]
	return g != nil && g.tier == otherRegion
}

// AttemptEnded records how a request sent to a gate ended.
func (b *Balancer) AttemptEnded(to host.Session, now mono.Time, e request.AttemptResult) {
	g := b.bySession[to]
	if g == nil {
		return
	}
	g.inFlight = max(g.inFlight-1, 0)
	if e.Slots > 0 {
		g.recordStatedLoad(now, e)
	}
	if g.tier == otherRegion {
		b.link.Settle(now, e.Bytes+perMessageOverhead)
	}
	switch e.Code {
	case result.PeerUnreachable, result.PeerLost, result.Draining, result.TargetUnavailable:
		g.avoidUntil = now.Add(b.cfg.AvoidTime)
		return
	case result.Cancelled:
		return
	}
	b.recordTime(g, now, e)
}

// The weights of the newest measurement in the moving averages of a gate and of
// its pool.
const (
	gateWeight = 1.0 / 8
	poolWeight = 1.0 / 64
)

// recordTime updates the averages with the time that an answer took beyond the
// network round trip. Anything but a success counts as at least RefusalTime.
func (b *Balancer) recordTime(g *gateState, now mono.Time, e request.AttemptResult) {
	took := max(e.Took-b.roundTrip(g), 0)
	if e.Code != result.OK {
		took = max(took, b.cfg.RefusalTime)
	}
	ns := float64(took)
	p := g.pool
	if p.meanAnswerNs == 0 {
		p.meanAnswerNs = ns
	}
	if !g.measured {
		g.answerNs = p.meanAnswerNs
		g.measured = true
	}
	g.answerNs = b.decayedNs(g, now)
	g.answerNs += gateWeight * (ns - g.answerNs)
	g.measuredAt = now
	p.meanAnswerNs += poolWeight * (ns - p.meanAnswerNs)
	p.meanAnswerBytes += poolWeight * (float64(e.Bytes) - p.meanAnswerBytes)
}

// SetReportedLoad records a target's report of its load, busy slots over slots.
// The report may be outdated or false, so its effect is bounded by
// MaxReportShift.
func (b *Balancer) SetReportedLoad(to host.Session, load float64) {
	if g := b.bySession[to]; g != nil {
		g.reportedLoad = min(max(load, 0), 1)
	}
}
