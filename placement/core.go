package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/statechart"
)

// Core is the state machine of placement. Every daemon has one; it plans rounds
// only while its daemon leads. It is not safe for concurrent use.
type Core struct {
	cfg                Config
	packChart          *statechart.Chart
	leadership         leadership
	fleet              fleet
	apps               []*app // Sorted by name.
	writesInFlight     int    // Of packs.
	slotLimits         map[host.Session]slotLimit
	tokenCount         uint64
	departuresPrunedAt mono.Time
	actions            []Action

	disabled disabledChecks
}

// disabledChecks lets a test of this package disable a check, to show that the
// model detects the loss of it. A field that is set has the effect that its
// comment states.
type disabledChecks struct {
	writeCondition     bool // Writes are not conditional on a version.
	releaseBeforeGrant bool // The next owner is granted the slice before it is released.
	epochIncrement     bool // The epoch stays when the owner changes.
	writerToken        bool // An unconfirmed write is assumed to have been applied.
	deadlineWait       bool // Slices of a lost owner don't wait for the longest deadline.
	mergeEpoch         bool // A merge leaves the parent's epoch as it is.
	endedRecord        bool // A draining session counts as ended.
	inForce            bool // Restored entries count as in force.
	unclaimedWait      bool // Slices that nobody claims don't wait.
	claimVersion       bool // Claims count whatever version their sender has seen.
	revisionEpoch      bool // Within an era, the next epoch is the stored one and one.
}

// New returns a Core that follows and has received no events.
func New(cfg Config) *Core {
	cfg.setDefaults()
	return &Core{cfg: cfg, packChart: charts.MustLoad("placement_pack"), leadership: newLeadership(), fleet: newFleet(), slotLimits: make(map[host.Session]slotLimit)}
}

func (cfg *Config) setDefaults() {
	if cfg.Policy == nil {
		cfg.Policy = &Balanced{}
	}
	setDefault(&cfg.ClaimStagger, DefaultClaimStagger)
	setDefault(&cfg.ReadRetry, DefaultReadRetry)
	setDefault(&cfg.BalanceInterval, DefaultBalanceInterval)
	setDefault(&cfg.StartWait, DefaultStartWait)
	setDefault(&cfg.StartWaitMax, DefaultStartWaitMax)
	setDefault(&cfg.WarmUp, DefaultWarmUp)
	setDefault(&cfg.StartupClaimJitter, DefaultStartupClaimJitter)
	setDefault(&cfg.SupersededGrantTTL, DefaultSupersededGrantTTL)
	setDefault(&cfg.MoveCooldown, DefaultMoveCooldown)
	setDefault(&cfg.MaxReportAge, DefaultMaxReportAge)
	if cfg.MaxWrites == 0 {
		cfg.MaxWrites = DefaultMaxWrites
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// IsLeader reports whether this daemon leads and plans rounds.
func (c *Core) IsLeader() bool {
	return c.leadership.state == stateLeading
}

// Leader returns the leader object as last read, and whether there is one.
// Daemons send their releases and load reports to this leader.
func (c *Core) Leader() (Leader, bool) {
	return c.leadership.leader, c.leadership.known && c.leadership.version != 0
}

// Step applies one event and returns the actions to carry out.
func (c *Core) Step(now mono.Time, ev Event) []Action {
	c.actions = nil
	switch ev := ev.(type) {
	case Tick:
		c.tick(now)
	case AppsChanged:
		c.setApps(ev.Apps)
	case SessionObserved, SessionDeleted, SessionMissing:
		c.sessionChanged(now, ev)
	case LeaderObserved:
		c.leaderObserved(now, ev)
	case ListingComplete:
		c.fleet.listed = true
		c.fireLeadership(now, eventListed)
	case PackObserved:
		c.packObserved(now, ev)
	case PackMissing:
		c.packMissing(now, ev)
	case ReleaseReceived:
		c.releaseReceived(ev)
	case ClaimReceived:
		c.claimReceived(ev.Claim)
	case LeaderUnwritable:
		c.leaderUnwritable(ev)
	case LoadReported:
		c.loadReported(now, ev.Report)
	case EvacuationsChanged:
		c.fleet.setEvacuated(now, ev.Zones)
	case TargetStatusReported:
		c.targetStatusReported(now, ev)
	default:
		c.writeAnswered(now, ev)
	}
	return c.actions
}

// sessionChanged handles what was read or heard of a session's record.
func (c *Core) sessionChanged(now mono.Time, ev Event) {
	switch ev := ev.(type) {
	case SessionObserved:
		c.fleet.observe(now, ev.Record, ev.Version)
		if ev.Record.State.Final() {
			delete(c.slotLimits, ev.Record.Session)
		}
	case SessionDeleted:
		c.fleet.recordDeleted(now, ev.Session)
	case SessionMissing:
		c.fleet.endRecordless(now, ev.Session)
	}
}

// writeAnswered handles the answer to a write.
func (c *Core) writeAnswered(now mono.Time, ev Event) {
	switch ev := ev.(type) {
	case WriteAccepted:
		if ev.Kind == LeaderKind {
			c.claimWritten(now, ev)
			return
		}
		c.packAnswered(now, ev.Name, ev.Token, eventWritten, ev.Version)
	case WriteRejected:
		if ev.Kind == LeaderKind {
			c.claimFailed(now, ev.Token)
			return
		}
		c.packAnswered(now, ev.Name, ev.Token, eventRefused, 0)
	case WriteUnconfirmed:
		if ev.Kind == LeaderKind {
			c.claimFailed(now, ev.Token)
			return
		}
		c.packAnswered(now, ev.Name, ev.Token, eventDoubtful, 0)
	}
}

func (c *Core) tick(now mono.Time) {
	c.readRecordless(now)
	c.tickLeadership(now)
	if now.Sub(c.departuresPrunedAt) > departureRetention {
		c.departuresPrunedAt = now
		c.fleet.pruneDepartures(now)
	}
	if !c.IsLeader() {
		return
	}
	for _, a := range c.apps {
		c.retryReads(now, a)
		c.planRound(now, a)
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
		a.fleetGeneration = 0
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
	c.actions = append(c.actions, a)
}

// nextToken returns a writer token that no other write ever has: the session is
// unique and so is the number within it.
func (c *Core) nextToken() string {
	c.tokenCount++
	return c.cfg.Self.String() + "#" + strconv.FormatUint(c.tokenCount, 10)
}

// resetApps drops the state that only a leader keeps.
func (c *Core) resetApps() {
	c.writesInFlight = 0
	for _, a := range c.apps {
		a.reset()
	}
}

// startLeading treats the packs that the sync did not deliver as missing from
// the store.
func (c *Core) startLeading(now mono.Time) {
	for _, a := range c.apps {
		a.nextBalance = now.Add(c.cfg.BalanceInterval)
		for _, p := range a.packs {
			if p.state == packUnknown {
				c.packMissing(now, PackMissing{App: a.params.Name, First: p.first, Version: c.eraOfLeader()})
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
