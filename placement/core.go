package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// Core is the pure core of placement. Every daemon has one; it plans only
// while its daemon leads. It belongs to one goroutine.
type Core struct {
	cfg       Config
	packChart *chart.Chart
	lead      leadership
	fleet     fleet
	apps      []*app // By name.
	writes    int    // Under way.
	tokens    uint64
	forgotten mono.Time
	out       []Action

	guards guards
}

// guards lets a test of this package drop one guard to show that its loss is
// found.
type guards struct {
	noCondition  bool // Writes are not conditional on a version.
	noRelease    bool // The next owner is granted before the release.
	noEpoch      bool // The epoch stays when the owner changes.
	noToken      bool // A write in doubt is taken as landed.
	noDeadline   bool // Slices of a lost owner don't wait.
	noMergeEpoch bool // A merge leaves the parent's epoch.
	noRecord     bool // A stopping session is taken as gone.
}

// New returns a Core that follows and knows nothing.
func New(cfg Config) *Core {
	cfg.fill()
	return &Core{cfg: cfg, packChart: charts.MustLoad("placement_pack"), lead: newLeadership(), fleet: newFleet()}
}

func (cfg *Config) fill() {
	if cfg.Policy == nil {
		cfg.Policy = &Balanced{}
	}
	fill(&cfg.ClaimStep, DefaultClaimStep)
	fill(&cfg.ReadRetry, DefaultReadRetry)
	fill(&cfg.BalanceInterval, DefaultBalanceInterval)
	fill(&cfg.StartWait, DefaultStartWait)
	fill(&cfg.StartWaitMax, DefaultStartWaitMax)
	fill(&cfg.WarmUp, DefaultWarmUp)
	fill(&cfg.YoungSpread, DefaultYoungSpread)
	fill(&cfg.GrantsEnd, DefaultGrantsEnd)
	fill(&cfg.Settle, DefaultSettle)
	fill(&cfg.ReportAge, DefaultReportAge)
	if cfg.MaxWrites == 0 {
		cfg.MaxWrites = DefaultMaxWrites
	}
}

func fill(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Leads reports whether this daemon leads and plans rounds.
func (c *Core) Leads() bool {
	return c.lead.state == stateLeading
}

// Leader returns the leader object as last seen, and whether there is one.
// Daemons tell it their releases and loads.
func (c *Core) Leader() (Leader, bool) {
	return c.lead.leader, c.lead.known && c.lead.version != 0
}

// Step takes one event in and returns what is to be done.
func (c *Core) Step(now mono.Time, ev Event) []Action {
	c.out = nil
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case AppsChanged:
		c.setApps(ev.Apps)
	case SessionSeen:
		c.fleet.seen(now, ev.Record, ev.Version)
	case LeaderSeen:
		c.leaderSeen(now, ev)
	case Listed:
		c.fleet.listed = true
		c.fireLeadership(now, eventListed)
	case PackSeen:
		c.packSeen(now, ev)
	case PackMissing:
		c.packMissing(now, ev)
	case Released:
		c.released(ev)
	case Stuck:
		c.stuck(ev)
	case LoadSeen:
		c.loadSeen(now, ev.Report)
	default:
		c.answered(now, ev)
	}
	return c.out
}

// answered takes the answer to a write.
func (c *Core) answered(now mono.Time, ev Event) {
	switch ev := ev.(type) {
	case Written:
		if ev.Kind == LeaderKind {
			c.claimWritten(now, ev)
			return
		}
		c.answerPack(now, ev.Name, ev.Token, eventWritten, ev.Version)
	case Refused:
		if ev.Kind == LeaderKind {
			c.claimFailed(now, ev.Token)
			return
		}
		c.answerPack(now, ev.Name, ev.Token, eventRefused, 0)
	case Doubtful:
		if ev.Kind == LeaderKind {
			c.claimFailed(now, ev.Token)
			return
		}
		c.answerPack(now, ev.Name, ev.Token, eventDoubtful, 0)
	}
}

func (c *Core) tick(now mono.Time) {
	c.tickLeadership(now)
	if now.Sub(c.forgotten) > departureMemory {
		c.forgotten = now
		c.fleet.forget(now)
	}
	if !c.Leads() {
		return
	}
	for _, a := range c.apps {
		c.readAgain(now, a)
		c.round(now, a)
	}
}

func (c *Core) setApps(params []App) {
	old := c.apps
	c.apps = nil
	for _, p := range params {
		a := findApp(old, p.Name)
		if a == nil || a.params.Slices != p.Slices {
			a = newApp(p)
		}
		a.params = p
		a.generation = 0
		c.apps = append(c.apps, a)
	}
	slices.SortFunc(c.apps, func(x, y *app) int { return cmp.Compare(x.params.Name, y.params.Name) })
}

func findApp(apps []*app, name key.App) *app {
	for _, a := range apps {
		if a.params.Name == name {
			return a
		}
	}
	return nil
}

func (c *Core) emit(a Action) {
	c.out = append(c.out, a)
}

// token returns a writer token that no other write ever has: the session is
// unique, and so is the number within it.
func (c *Core) token() string {
	c.tokens++
	return c.cfg.Self.String() + "#" + strconv.FormatUint(c.tokens, 10)
}

// resetPacks forgets what only a leader keeps.
func (c *Core) resetPacks() {
	c.writes = 0
	for _, a := range c.apps {
		a.forget()
	}
}

// startLeading makes the packs that were not handed over in the sync known as
// missing: the store has none of them yet.
func (c *Core) startLeading(now mono.Time) {
	for _, a := range c.apps {
		a.nextBalance = now.Add(c.cfg.BalanceInterval)
		for _, p := range a.packs {
			if p.state == packUnknown {
				c.packMissing(now, PackMissing{App: a.params.Name, First: p.first})
			}
		}
	}
}

func (c *Core) findPack(name key.App, first key.SliceID) (*app, *packInfo) {
	a := findApp(c.apps, name)
	if a == nil {
		return nil, nil
	}
	i := int(first / assignment.PackSlices)
	if i >= len(a.packs) {
		return nil, nil
	}
	return a, a.packs[i]
}
