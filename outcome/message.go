package outcome

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
)

// Copy asks another daemon to keep a batch until it stands in the store.
type Copy struct {
	_     struct{} `cbor:",toarray"`
	Batch Batch
}

// Kept answers a Copy.
type Kept struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

// Dropped says that batches stand in the store and copies are not needed.
type Dropped struct {
	_     struct{} `cbor:",toarray"`
	Names []string
}

// Message is what keepers send each other: *Copy, *Kept or *Dropped.
type Message interface{ message() }

func (*Copy) message()    {}
func (*Kept) message()    {}
func (*Dropped) message() {}

// Event is what happens to a Keeper: Met, Tick, Peers, Received or SaveDone.
type Event interface{ event() }

// Met says that outcomes at risk were met.
type Met struct{ Outcomes []Outcome }

// Tick lets time pass; the shell sends one each Config.Flush.
type Tick struct{}

// Peers gives the living daemons that may keep copies: those of other
// availability zones. A daemon that held a batch and is no longer among
// Living leaves the batch to whoever has the copy.
type Peers struct {
	Elsewhere []host.Session
	Living    []host.Session
}

// Received is a message of another daemon.
type Received struct {
	From    host.Session
	Message Message
}

// SaveAnswer is how a Save ended.
type SaveAnswer uint8

// The answers.
const (
	SaveOK SaveAnswer = iota + 1
	SaveExists
	SaveDoubt
	SaveFailed
)

// SaveDone answers a Save.
type SaveDone struct {
	Name   string
	Answer SaveAnswer
}

func (Met) event()      {}
func (Tick) event()     {}
func (Peers) event()    {}
func (Received) event() {}
func (SaveDone) event() {}

// Action is what a Keeper does: Save, Send, Overflow or Inherited.
type Action interface{ action() }

// Save writes a batch to the store on condition that it doesn't exist there.
type Save struct {
	Name  string
	Value []byte
}

// Send sends a message to another daemon; it may be lost.
type Send struct {
	To      host.Session
	Message Message
}

// Overflow says that the memory for outcomes is full, and that this one is
// only counted. The shell logs it whole.
type Overflow struct{ Outcome Outcome }

// Inherited says that this daemon saves the batch of one that was lost.
type Inherited struct {
	Name  string
	Count int
	From  host.Session
}

func (Save) action()      {}
func (Send) action()      {}
func (Overflow) action()  {}
func (Inherited) action() {}

// Config sets up a Keeper.
type Config struct {
	// Self is this daemon's session; batches are named after it.
	Self host.Session
	// BatchOutcomes is the most outcomes of a batch.
	BatchOutcomes int
	// Flush is how long a batch stays open.
	Flush time.Duration
	// Retry is the pause after a failed write; it doubles up to MaxRetry.
	Retry    time.Duration
	MaxRetry time.Duration
	// KeptWithin is how long another daemon may take to answer a copy
	// before the next one is asked.
	KeptWithin time.Duration
	// Remind is the time after which the keeper of a copy asks whether it
	// is still needed.
	Remind time.Duration
	// MaxOutcomes bounds the outcomes in memory, those of others included.
	MaxOutcomes int
	// Seed starts the choice of the daemons that keep copies.
	Seed uint64
}

// DefaultConfig returns the usual settings but for Self and Seed.
func DefaultConfig() Config {
	return Config{
		BatchOutcomes: 200,
		Flush:         100 * time.Millisecond,
		Retry:         500 * time.Millisecond,
		MaxRetry:      10 * time.Second,
		KeptWithin:    time.Second,
		Remind:        30 * time.Second,
		MaxOutcomes:   20_000,
	}
}
