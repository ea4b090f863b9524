// Package placement decides which session owns which slice.
//
// Any daemon may lead. A daemon becomes the leader by a conditional write of the
// object "placement/leader", and holds no state that its successor needs. Core
// is the leader's state machine, without I/O: its inputs are session records,
// packs, releases and loads, and its outputs conditional writes of packs. Each
// write is conditional on the version that was read, and keeps these rules for
// every slice:
//
//   - The owner changes only if there is none, if its session is recorded lost
//     or left, or if it released the slice at the current epoch.
//   - A change of owner increases the epoch, in the store's era 0 by exactly one.
//   - After the store came back from a copy, the entries that it restored are not
//     in force. Such a slice goes to the session that claims it, or to any after
//     restore.UnclaimedWait, at an epoch of the new era.
//   - A slice of a lost session whose target does not check grants keeps its
//     owner until the app's longest deadline has passed since this daemon first
//     saw the loss, by its own clock: a request that the lost owner sent before
//     its lease ended may run until then.
//   - A slice of a superseded session goes only to the host's next session until
//     SupersededGrantTTL has passed since this daemon first saw the loss, because
//     the target may still hold it.
//
// Two concurrent leaders, a leader that resumes after a pause, and a write that
// is applied late are therefore harmless: the store accepts only one write for
// each version.
//
// A slice of a live owner is handed over in three steps: a write names the next
// owner, the owner drains and releases the slice, and a second write makes the
// next owner the owner.
package placement

import (
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/session"
)

// Config configures a Core. New replaces zero durations and limits by defaults.
type Config struct {
	// Self is the daemon's session.
	Self host.Session
	// Seed determines the order among hosts of equal utilization.
	Seed uint64
	// Policy chooses the owners; nil means Balanced.
	Policy Policy
	// ClaimStagger is the time between the claims of successive daemons, by
	// rank, after the leader is lost.
	ClaimStagger time.Duration
	// ReadRetry is the time after which an unanswered read is repeated.
	ReadRetry time.Duration
	// BalanceInterval is the time between two rounds that move slices
	// between live owners. Slices without an owner do not wait for it.
	BalanceInterval time.Duration
	// StartWait is how long a slice that never had an owner waits after the
	// latest host of its app joined, but no longer than StartWaitMax after the
	// first: when an app starts, its hosts join one by one, and the first must
	// not be given all slices. If negative, slices do not wait.
	StartWait    time.Duration
	StartWaitMax time.Duration
	// StartupClaimJitter is the time over which daemons that have just started
	// spread their claims. They read the leader object again before they claim.
	StartupClaimJitter time.Duration
	// LeaderReadDelay is how long after its start a daemon waits to be told of the
	// leader object, before it reads it. 0: it reads at once.
	LeaderReadDelay time.Duration
	// SupersededGrantTTL is how long after a session was recorded as superseded
	// its target may still hold the slices it was granted: a lease plus the
	// margin.
	SupersededGrantTTL time.Duration
	// WarmUp is how long a new host counts with reduced capacity.
	WarmUp time.Duration
	// MoveCooldown is how long a slice stays with a new owner after a handover
	// before it may be moved for balance. It is shorter for a slice that
	// dominates the load of a full host.
	MoveCooldown time.Duration
	// MaxReportAge is how long a load report is used.
	MaxReportAge time.Duration
	// MaxWrites limits the number of pack writes in flight.
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
	DefaultStartupClaimJitter = 2 * time.Second
	DefaultSupersededGrantTTL = 2200 * time.Millisecond
	DefaultMoveCooldown       = 60 * time.Second
	DefaultMaxReportAge       = 30 * time.Second
	DefaultMaxWrites          = 64
)

// App holds the settings of an app from the document that placement uses.
type App struct {
	// Name is the app's name.
	Name key.App
	// Slices is the number of regular slices, 1 to assignment.MaxSlices. It
	// must not change during the lifetime of the app.
	Slices uint32
	// DividedByKey says whether hosts are balanced by the load that their
	// slices cause, or else by the number of their slices.
	DividedByKey bool
	// DividedByRange says that adjacent slices hold adjacent ranges of keys and are
	// better placed together.
	DividedByRange bool
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline time.Duration
	// Weights are the weights from the document; only their ratios count.
	Weights Weights
	// MaxMoves limits the handovers in progress: balance plans no move beyond
	// it.
	MaxMoves int
	// HotKeys says when a key is carved out; the zero value disables it.
	HotKeys HotKeys
	// Regions are the regions whose hosts may own slices; empty for all.
	Regions []host.Region
}

// Weights are the relative costs of imbalance, of moving slices (churn) and of
// slices being unavailable.
type Weights struct {
	Imbalance   float64
	Churn       float64
	Unavailable float64
}

// HotKeys says when a key becomes a slice of its own.
type HotKeys struct {
	// Share is the share of one target's slots above which a key is carved out.
	Share float64
	// Expiry is how long the key must stay below half of Share before it is
	// merged back.
	Expiry time.Duration
	// Maximum limits the number of carved-out keys of the app.
	Maximum int
}

// Event is an input of the Core.
type Event interface{ isEvent() }

// Tick advances time and starts planning rounds. It should be sent about ten
// times a second.
type Tick struct{}

// AppsChanged holds the apps of the document in force.
type AppsChanged struct{ Apps []App }

// SessionObserved holds a session record as read from the store.
type SessionObserved struct {
	Record  session.Record
	Version uint64
}

// SessionDeleted says that the store no longer has the record of a session.
type SessionDeleted struct{ Session host.Session }

// SessionMissing is the answer to a Read of a record that the store does not have.
type SessionMissing struct{ Session host.Session }

// PackObserved holds a pack as read from the store or from a relay. A leader needs
// every pack of every app, a follower none. The pack must not be modified
// afterwards; other goroutines may continue to read it.
type PackObserved struct {
	Pack    *assignment.Pack
	Version uint64
}

// PackMissing says that the store has no object for a pack.
type PackMissing struct {
	App   key.App
	First key.SliceID
	// Version is of the store's era, without a revision; 0 in era 0.
	Version uint64
}

// LeaderObserved holds the leader object as read; version 0 says that there is
// none.
type LeaderObserved struct {
	Leader  Leader
	Version uint64
}

// ListingComplete says that all session records, and after a Sync all existing
// packs, have been delivered. A pack that was not delivered since the Sync does
// not exist.
type ListingComplete struct{}

// LeaderUnwritable is a leader's message that its writes to the store fail
// although other daemons may reach the store, so that another daemon may claim
// leadership.
type LeaderUnwritable struct {
	_    struct{} `cbor:",toarray"`
	From host.Session
	Term uint64
}

// ReleaseReceived holds a release that a daemon sent.
type ReleaseReceived struct{ Release handover.Release }

// ClaimReceived holds a claim that a daemon sent.
type ClaimReceived struct{ Claim handover.Claim }

// LoadReported holds a load report that a daemon sent.
type LoadReported struct{ Report LoadReport }

// WriteAccepted says that the store accepted a write.
type WriteAccepted struct {
	Kind, Name string
	Token      string
	Version    uint64
}

// WriteRejected says that the store rejected a write because it no longer holds the
// version that the write was conditional on.
type WriteRejected struct {
	Kind, Name string
	Token      string
}

// WriteUnconfirmed says that the answer to a write was lost, so that the write
// may have been applied, or may still be applied later.
type WriteUnconfirmed struct {
	Kind, Name string
	Token      string
}

func (Tick) isEvent()             {}
func (AppsChanged) isEvent()      {}
func (SessionObserved) isEvent()  {}
func (SessionDeleted) isEvent()   {}
func (SessionMissing) isEvent()   {}
func (PackObserved) isEvent()     {}
func (PackMissing) isEvent()      {}
func (LeaderObserved) isEvent()   {}
func (ListingComplete) isEvent()  {}
func (ReleaseReceived) isEvent()  {}
func (ClaimReceived) isEvent()    {}
func (LeaderUnwritable) isEvent() {}
func (LoadReported) isEvent()     {}
func (WriteAccepted) isEvent()    {}
func (WriteRejected) isEvent()    {}
func (WriteUnconfirmed) isEvent() {}

// Action is an output of the Core, which the daemon carries out.
type Action interface{ isAction() }

// Write requests a conditional write. The answer is a WriteAccepted,
// WriteRejected or WriteUnconfirmed event with the same kind, name and token.
type Write struct {
	Kind, Name string
	IfVersion  uint64
	Token      string
	Value      []byte
	// Moves lists the changes that the write makes, with their reasons.
	Moves []Move
}

// Read requests an object. The answer is a PackObserved, PackMissing, LeaderObserved,
// SessionObserved or SessionMissing event; a failed read needs no answer.
type Read struct {
	Kind, Name string
}

// Sync requests all session records and packs, followed by ListingComplete.
type Sync struct{}

// PackApplied says that a pack write is known to have been applied.
type PackApplied struct {
	Name    string
	Version uint64
	Moves   []Move
}

// LeadershipChanged says that this daemon has begun or ceased to lead.
type LeadershipChanged struct {
	Leads bool
	Term  uint64
}

func (Write) isAction()             {}
func (Read) isAction()              {}
func (Sync) isAction()              {}
func (PackApplied) isAction()       {}
func (LeadershipChanged) isAction() {}
