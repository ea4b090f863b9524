package placement

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/statechart"
)

// Kind and name of the leader object.
const (
	LeaderKind = "placement"
	LeaderName = "leader"
)

// Leader is the stored object that names the leading session. It is written
// once for each change of leader and is never renewed.
type Leader struct {
	// Token is unique to the write.
	Token string `json:"token"`
	// Session is the leading session.
	Session host.Session `json:"session"`
	// Term increases by one with each new leader.
	Term uint64 `json:"term"`
}

const (
	stateFollowing statechart.State = "following"
	stateClaiming  statechart.State = "claiming"
	stateLeading   statechart.State = "leading"

	eventVacant  statechart.Event = "vacant"
	eventElected statechart.Event = "elected"
	eventOther   statechart.Event = "other"
	eventFailed  statechart.Event = "failed"
	eventListed  statechart.Event = "listed"
	eventUnfit   statechart.Event = "unfit"

	doClaim      statechart.Action = "claim"
	doReadLeader statechart.Action = "read_leader"
	doSync       statechart.Action = "sync"
	doLead       statechart.Action = "lead"
	doResign     statechart.Action = "resign"
)

// leadership is this daemon's view of the leader and of its own claim to lead.
// It follows the state chart of the same name.
type leadership struct {
	chart   *statechart.Chart
	state   statechart.State
	known   bool
	leader  Leader
	version uint64
	claim   Leader

	started        bool
	startedAt      mono.Time
	rereadSent     bool // A read was sent to check the object again before a claim.
	vacant         bool
	unwritableTerm uint64 // The latest term whose leader reported that its writes fail.
	vacantSince    mono.Time
	readPending    bool
	readSentAt     mono.Time
}

func newLeadership() leadership {
	c := charts.MustLoad("leadership")
	return leadership{chart: c, state: c.Initial}
}

func (c *Core) leaderObserved(now mono.Time, ev LeaderObserved) {
	l := &c.leadership
	if l.known && ev.Version != 0 && ev.Version < l.version {
		return
	}
	l.known, l.readPending = true, false
	if ev.Version != l.version {
		l.vacant, l.rereadSent = false, false
	}
	l.leader, l.version = ev.Leader, ev.Version
	c.fireLeadership(now, c.leaderEvent(ev))
	if l.rereadSent {
		c.tickLeadership(now)
	}
}

// leaderEvent returns the event of the state chart for a leader object that was
// read.
func (c *Core) leaderEvent(ev LeaderObserved) statechart.Event {
	switch {
	case ev.Version == 0:
		return eventFailed
	case ev.Leader.Session == c.cfg.Self:
		return eventElected
	}
	return eventOther
}

// tickLeadership claims leadership when it is vacant and this daemon's claim
// time has come. Claim times are staggered so that the loss of a leader does
// not cause one conditional write from every daemon.
func (c *Core) tickLeadership(now mono.Time) {
	l := &c.leadership
	if !l.started {
		l.started, l.startedAt = true, now
	}
	live := c.fleet.status(c.cfg.Self) == statusLive
	if !live {
		c.fireLeadership(now, eventUnfit)
	}
	if !l.known {
		if now.Sub(l.startedAt) >= c.cfg.LeaderReadDelay {
			c.readLeader(now)
		}
		return
	}
	if !c.isVacant(now) {
		l.vacant = false
		return
	}
	if !l.vacant {
		l.vacant, l.vacantSince = true, now
	}
	if !live || l.state != stateFollowing {
		return
	}
	if now.Before(c.claimTime(now)) {
		return
	}
	if c.recentlyStarted(now) && !l.rereadSent {
		l.rereadSent = true
		c.readLeader(now)
		return
	}
	c.fireLeadership(now, eventVacant)
}

const (
	// recordlessLeaderTimeout is how long the record of a leader may be unknown,
	// after the store came back from a copy, before leadership is vacant.
	recordlessLeaderTimeout = 2 * time.Second
	// startupPeriod is how long a daemon counts as recently started. It may not
	// know many of the other daemons yet, so its rank among them is unreliable.
	startupPeriod = 10 * time.Second
)

func (c *Core) recentlyStarted(now mono.Time) bool {
	return now.Sub(c.leadership.startedAt) < startupPeriod
}

// claimTime returns when this daemon may claim vacant leadership. A daemon that
// has recently started adds a delay within Config.StartupClaimJitter, derived
// from its session.
func (c *Core) claimTime(now mono.Time) mono.Time {
	at := c.leadership.vacantSince.Add(time.Duration(c.claimRank()) * c.cfg.ClaimStagger)
	if !c.recentlyStarted(now) {
		return at
	}
	spread := key.Hash(c.cfg.Self.String()) % uint64(c.cfg.StartupClaimJitter)
	return at.Add(time.Duration(spread))
}

// isVacant reports whether leadership may be claimed: there is no leader, its
// session is draining or has ended, or it has reported that its writes to the
// store fail. A leader without a known record counts as active: its record is
// older than its claim and will be read, unless the store has lost it.
func (c *Core) isVacant(now mono.Time) bool {
	if c.leadership.version == 0 || c.leadership.unwritableTerm == c.leadership.leader.Term {
		return true
	}
	leader := c.leadership.leader.Session
	switch c.fleet.status(leader) {
	case statusLive:
		return false
	case statusUnknown:
		restored := restore.VersionOf(c.leadership.version).Era > 0
		return restored && now.Sub(c.fleet.noteRecordless(now, leader)) >= recordlessLeaderTimeout
	}
	return true
}

// leaderUnwritable records the leader's message that its writes to the store
// fail. A message about another term, or from a session that does not lead, is
// ignored.
func (c *Core) leaderUnwritable(ev LeaderUnwritable) {
	l := &c.leadership
	if l.version != 0 && ev.From == l.leader.Session && ev.From != c.cfg.Self && ev.Term == l.leader.Term {
		l.unwritableTerm = ev.Term
	}
}

// claimRank returns this daemon's rank among the live sessions, in an order
// that differs from term to term.
func (c *Core) claimRank() int {
	term := strconv.FormatUint(c.leadership.leader.Term, 10)
	self := key.Hash(term + string(c.cfg.Self.Host))
	rank := 0
	for _, h := range c.fleet.hosts {
		if h.status() == statusLive && key.Hash(term+string(h.session.Host)) < self {
			rank++
		}
	}
	return rank
}

// fireLeadership applies an event of the state chart.
func (c *Core) fireLeadership(now mono.Time, ev statechart.Event) {
	t, ok := c.leadership.chart.Next(c.leadership.state, ev)
	if !ok {
		return
	}
	c.leadership.state = t.To
	for _, do := range t.Actions {
		c.doLeadership(now, do)
	}
}

func (c *Core) doLeadership(now mono.Time, do statechart.Action) {
	switch do {
	case doClaim:
		c.claim()
	case doReadLeader:
		c.readLeader(now)
	case doSync:
		c.resetApps()
		c.emit(Sync{})
	case doLead:
		c.startLeading(now)
		c.emit(LeadershipChanged{Leads: true, Term: c.leadership.leader.Term})
	case doResign:
		c.resetApps()
		c.emit(LeadershipChanged{Leads: false, Term: c.leadership.leader.Term})
	}
}

func (c *Core) claim() {
	l := &c.leadership
	l.claim = Leader{Token: c.nextToken(), Session: c.cfg.Self, Term: l.leader.Term + 1}
	raw, err := json.Marshal(l.claim)
	if err != nil {
		return
	}
	c.emit(Write{Kind: LeaderKind, Name: LeaderName, IfVersion: l.version, Token: l.claim.Token, Value: raw})
}

func (c *Core) claimWritten(now mono.Time, ev WriteAccepted) {
	if c.leadership.state != stateClaiming || ev.Token != c.leadership.claim.Token {
		return
	}
	c.leaderObserved(now, LeaderObserved{Leader: c.leadership.claim, Version: ev.Version})
}

func (c *Core) claimFailed(now mono.Time, token string) {
	if token == c.leadership.claim.Token {
		c.fireLeadership(now, eventFailed)
	}
}

func (c *Core) readLeader(now mono.Time) {
	l := &c.leadership
	if l.readPending && now.Sub(l.readSentAt) < c.cfg.ReadRetry {
		return
	}
	l.known, l.readPending, l.readSentAt = false, true, now
	c.emit(Read{Kind: LeaderKind, Name: LeaderName})
}
