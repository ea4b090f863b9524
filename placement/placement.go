// Package placement decides which session owns which slice.
//
// Any daemon may lead; it wins by a conditional write of the object
// "placement/leader" and keeps nothing that its successor needs. Core is the
// leader's pure core: it learns of session records, packs, releases and loads,
// and answers with conditional writes of packs. Each write rests on the
// version that was read, and each keeps these rules for every slice:
//
//   - The owner changes only if there is none, if its session is recorded lost
//     or left, or if it released the slice at its present epoch.
//   - A change of owner raises the epoch by exactly one.
//   - A slice of a lost session whose target does not check grants stays as it
//     is until the app's longest deadline has passed since this daemon first
//     saw the loss, by its own clock: a request that the lost owner sent before
//     its lease ended may run until then.
//
// So two leaders at once, a paused one that wakes up, and a write that lands
// late do no harm: the store takes only one write on each version.
//
// A living owner gives a slice up in three steps: a write names the next owner,
// the owner drains and releases, a second write makes the next the owner.
package placement

import (
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

// Config sets up a Core. New fills zero durations and bounds with defaults.
type Config struct {
	// Self is the daemon's session.
	Self host.Session
	// Seed decides between equals.
	Seed uint64
	// Policy chooses owners; nil means Balanced.
	Policy Policy
	// ClaimStagger is the time between the claims of two daemons after a leader
	// is gone.
	ClaimStagger time.Duration
	// ReadRetry is the time after which an unanswered read is asked again.
	ReadRetry time.Duration
	// BalanceInterval is the time between two rounds that move slices
	// between living owners. What has no owner does not wait for it.
	BalanceInterval time.Duration
	// StartWait is how long a slice that never had an owner waits after the
	// latest host of its app was first seen, at most StartWaitMax after the
	// first one: when an app starts, its hosts come one by one, and the first
	// must not be given everything. Negative: it does not wait.
	StartWait    time.Duration
	StartWaitMax time.Duration
	// YoungSpread is the time over which daemons that started a short while
	// ago spread their claims. They look at the leader object again before
	// they claim.
	YoungSpread time.Duration
	// SupersededGrantTTL is how long after a session was recorded as superseded its
	// target may hold what it was granted: a lease and the margin.
	SupersededGrantTTL time.Duration
	// WarmUp is how long a new host is given less than its share.
	WarmUp time.Duration
	// Settle is how long a slice that was moved stays before it is moved
	// again for balance.
	Settle time.Duration
	// MaxReportAge is how long a load report counts.
	MaxReportAge time.Duration
	// MaxWrites bounds the writes of packs under way at one time.
	MaxWrites int
}

// Defaults of Config.
const (
	DefaultClaimStagger       = 300 * time.Millisecond
	DefaultReadRetry          = time.Second
	DefaultBalanceInterval    = 5 * time.Second
	DefaultStartWait          = 2 * time.Second
	DefaultStartWaitMax       = 6 * time.Second
	DefaultWarmUp             = 30 * time.Second
	DefaultYoungSpread        = 2 * time.Second
	DefaultSupersededGrantTTL = 2200 * time.Millisecond
	DefaultSettle             = 60 * time.Second
	DefaultMaxReportAge       = 30 * time.Second
	DefaultMaxWrites          = 64
)

// App is what placement needs to know of an app of the document.
type App struct {
	// Name is the app's name.
	Name key.App
	// Slices is the number of regular slices, 1 to assignment.MaxSlices. It
	// must not change while the app lives.
	Slices uint32
	// DividedByKey says whether load is balanced by what slices cause, or
	// slices by their number.
	DividedByKey bool
	// Ranges says that neighbouring slices hold neighbouring keys, and are
	// better kept together.
	Ranges bool
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline time.Duration
	// Weights are the weights of the document; only their ratios count.
	Weights Weights
	// MaxMoves bounds the planned moves under way at one time.
	MaxMoves int
	// HotKeys says when a key is carved out; the zero value never.
	HotKeys HotKeys
}

// Weights say what placement weighs against what.
type Weights struct {
	Imbalance   float64
	Churn       float64
	Unavailable float64
}

// HotKeys says when a key becomes a slice of its own.
type HotKeys struct {
	// Share of one target's slots that a key must keep busy.
	Share float64
	// Expiry is the time below half of Share after which it is merged back.
	Expiry time.Duration
	// Maximum bounds the number of carved-out keys of the app.
	Maximum int
}

// Event is what the Core learns.
type Event interface{ isEvent() }

// Tick lets time pass; rounds are planned on it. Ten a second serve well.
type Tick struct{}

// AppsChanged gives the apps of the document in force.
type AppsChanged struct{ Apps []App }

// SessionSeen gives a session record as read from the store.
type SessionSeen struct {
	Record  session.Record
	Version uint64
}

// PackSeen gives a pack as read from the store or from a relay. A leader
// needs every pack of every app, a follower none. The pack must not be changed
// afterwards; others may go on reading it.
type PackSeen struct {
	Pack    *assignment.Pack
	Version uint64
}

// PackMissing says that the store has no object for a pack.
type PackMissing struct {
	App   key.App
	First key.SliceID
}

// LeaderSeen gives the leader object; version 0 says that there is none.
type LeaderSeen struct {
	Leader  Leader
	Version uint64
}

// Listed says that all session records, and after a Sync all packs that
// exist, have been given. Packs that were not given since do not exist.
type Listed struct{}

// Stuck is a leader's word that the store does not take its writes, although
// other daemons may reach the store: another may claim the lead.
type Stuck struct {
	_    struct{} `cbor:",toarray"`
	From host.Session
	Term uint64
}

// Released gives a release that a daemon told.
type Released struct{ Release handover.Release }

// LoadSeen gives a load report of a daemon.
type LoadSeen struct{ Report LoadReport }

// Written says that the store took the write of an object.
type Written struct {
	Kind, Name string
	Token      string
	Version    uint64
}

// Refused says that the write was conditional on a version that the store no
// longer holds.
type Refused struct {
	Kind, Name string
	Token      string
}

// Doubtful says that the answer to a write was lost.
type Doubtful struct {
	Kind, Name string
	Token      string
}

func (Tick) isEvent()        {}
func (AppsChanged) isEvent() {}
func (SessionSeen) isEvent() {}
func (PackSeen) isEvent()    {}
func (PackMissing) isEvent() {}
func (LeaderSeen) isEvent()  {}
func (Listed) isEvent()      {}
func (Released) isEvent()    {}
func (Stuck) isEvent()       {}
func (LoadSeen) isEvent()    {}
func (Written) isEvent()     {}
func (Refused) isEvent()     {}
func (Doubtful) isEvent()    {}

// Action is what the shell does for the Core.
type Action interface{ isAction() }

// Write asks for a conditional write. The answer comes back as Written,
// Refused or Doubtful with the same kind, name and token.
type Write struct {
	Kind, Name string
	IfVersion  uint64
	Token      string
	Value      []byte
	// Moves says what the write changes and why.
	Moves []Move
}

// Read asks for an object. The answer comes back as PackSeen, PackMissing or
// LeaderSeen; a failed read needs no answer.
type Read struct {
	Kind, Name string
}

// Sync asks for all session records and packs, then Listed.
type Sync struct{}

// Applied says that a write is known to have landed.
type Applied struct {
	Name    string
	Version uint64
	Moves   []Move
}

// LeadershipChanged says that this daemon began or ceased to lead.
type LeadershipChanged struct {
	Leads bool
	Term  uint64
}

func (Write) isAction()             {}
func (Read) isAction()              {}
func (Sync) isAction()              {}
func (Applied) isAction()           {}
func (LeadershipChanged) isAction() {}
