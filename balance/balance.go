// Package balance chooses a gate for requests that any gate of an app may run.
// It compares two gates by the time that an answer will likely take: what the
// daemon itself measured lately, times its own requests in flight there, plus
// the way. The nearest availability zone comes first, and the other region
// only if the near one can't meet the deadline. What targets report of their
// load can shift a choice, within a bound.
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

// Config sets a Balancer up.
type Config struct {
	// Place is where this daemon stands.
	Place host.Place
	// ZoneDelay and RegionDelay are the one-way latencies to another zone
	// of the region and to another region.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// Link is this daemon's share of the link between regions.
	Link LinkConfig
	// ReportTrust is the part by which a report of load can shift a gate's
	// expected time at most, up or down.
	ReportTrust float64
	// Memory is how long a measured time counts, about.
	Memory time.Duration
	// Penalty is the least time that a refusal counts as, so that a gate
	// that refuses fast does not look fast.
	Penalty time.Duration
	// Avoid is how long a gate is avoided that can't be reached or drains.
	Avoid time.Duration
	// Seed fixes the choices.
	Seed uint64
}

// DefaultConfig returns the settings of a daemon that has none of its own;
// Place is left to the caller.
func DefaultConfig() Config {
	return Config{
		ZoneDelay:   time.Millisecond,
		RegionDelay: 20 * time.Millisecond,
		Link:        LinkConfig{BytesPerSecond: 100_000, Burst: 200_000},
		ReportTrust: 0.25,
		Memory:      2 * time.Second,
		Penalty:     50 * time.Millisecond,
		Avoid:       500 * time.Millisecond,
	}
}

// Gate is a gate that runs an app's requests.
type Gate struct {
	Session host.Session
	Place   host.Place
}

// Balancer chooses gates. It is used by one thread.
type Balancer struct {
	cfg  Config
	rnd  *rand.Rand
	link *Link
	apps map[key.App]*pool
	all  map[host.Session]*gate
}

// pool is the gates of one app, by how near they are.
type pool struct {
	tiers  [tiers][]*gate
	meanNs float64 // mean time of an answer
	answer float64 // mean bytes of an answer
}

const (
	sameZone = iota
	sameRegion
	otherRegion
	tiers
)

// gate is what is known of one gate.
type gate struct {
	Gate
	pool     *pool
	tier     int
	inFlight int
	tookNs   float64
	seenAt   mono.Time
	seen     bool
	avoid    mono.Time
	load     float64 // as reported; half if it never was
	// What the gate last said of its load, and what was sent there since.
	slots   int
	jobs    int
	service time.Duration
	saidAt  mono.Time
	since   int
}

// New returns a balancer without gates.
func New(cfg Config, now mono.Time) *Balancer {
	return &Balancer{
		cfg:  cfg,
		rnd:  rand.New(rand.NewPCG(cfg.Seed, streamBalance)),
		link: NewLink(cfg.Link, now),
		apps: make(map[key.App]*pool),
		all:  make(map[host.Session]*gate),
	}
}

const streamBalance = 0x62616c61 // keeps this stream apart from others of the same seed

// Link returns the daemon's share of the link between regions, so that other
// duties count their bytes there.
func (b *Balancer) Link() *Link {
	return b.link
}

// SetGates replaces the gates of an app. The order of the list decides
// choices: give it in a stable one. What was measured of a gate that stays is
// kept.
func (b *Balancer) SetGates(app key.App, gates []Gate) {
	old := b.apps[app]
	p := &pool{}
	if old != nil {
		p.meanNs = old.meanNs
		p.answer = old.answer
	}
	kept := b.all
	for _, info := range gates {
		g := kept[info.Session]
		if g == nil || g.pool != old {
			g = &gate{load: unknownLoad}
		}
		g.Gate = info
		g.pool = p
		g.tier = b.tierOf(info.Place)
		p.tiers[g.tier] = append(p.tiers[g.tier], g)
		b.all[info.Session] = g
	}
	b.apps[app] = p
	b.sweep(old)
}

const unknownLoad = 0.5

// sweep drops the gates that still belong to a replaced pool.
func (b *Balancer) sweep(old *pool) {
	if old == nil {
		return
	}
	for _, tier := range old.tiers {
		for _, g := range tier {
			if g.pool == old {
				delete(b.all, g.Session)
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

// Sent counts a sending to a gate.
func (b *Balancer) Sent(to host.Session, _ mono.Time) {
	if g := b.all[to]; g != nil {
		g.inFlight++
		g.since++
	}
}

// Forwarded counts the bytes of a request whose gate was no choice: the owner
// of its slice. It takes them from the share of the link if they cross it.
func (b *Balancer) Forwarded(to host.Session, now mono.Time, size int) {
	if b.far(to) {
		b.link.Count(now, Requests, size+overheadBytes)
	}
}

// Returned counts the bytes of the answer to such a request.
func (b *Balancer) Returned(from host.Session, now mono.Time, size int) {
	if b.far(from) {
		b.link.Count(now, Answers, size+overheadBytes)
	}
}

func (b *Balancer) far(s host.Session) bool {
	g := b.all[s]
	return g != nil && g.tier == otherRegion
}

// Ended counts the end of a sending.
func (b *Balancer) Ended(to host.Session, now mono.Time, e request.Ended) {
	g := b.all[to]
	if g == nil {
		return
	}
	g.inFlight = max(g.inFlight-1, 0)
	if e.Slots > 0 {
		g.slots, g.jobs, g.service = e.Slots, e.Jobs, e.Service
		g.saidAt = now
		g.since = 0
	}
	if g.tier == otherRegion {
		b.link.Count(now, Answers, e.Bytes+overheadBytes)
	}
	switch e.Code {
	case result.PeerUnreachable, result.PeerLost, result.Draining, result.TargetUnavailable:
		g.avoid = now.Add(b.cfg.Avoid)
		return
	case result.Cancelled:
		return
	}
	b.learn(g, now, e)
}

// The weight of the newest measurement.
const (
	tookWeight = 1.0 / 8
	meanWeight = 1.0 / 64
)

func (b *Balancer) learn(g *gate, now mono.Time, e request.Ended) {
	took := max(e.Took-b.way(g), 0)
	if e.Code != result.OK {
		took = max(took, b.cfg.Penalty)
	}
	ns := float64(took)
	p := g.pool
	if p.meanNs == 0 {
		p.meanNs = ns
	}
	if !g.seen {
		g.tookNs = p.meanNs
		g.seen = true
	}
	g.tookNs = b.recent(g, now)
	g.tookNs += tookWeight * (ns - g.tookNs)
	g.seenAt = now
	p.meanNs += meanWeight * (ns - p.meanNs)
	p.answer += meanWeight * (float64(e.Bytes) - p.answer)
}

// Reported takes a report of a target's load, busy slots over slots. It may
// lag or mislead.
func (b *Balancer) Reported(to host.Session, load float64) {
	if g := b.all[to]; g != nil {
		g.load = min(max(load, 0), 1)
	}
}
