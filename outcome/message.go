package outcome

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
)

// Copy asks another daemon to hold a copy of a batch until the batch is stored.
type Copy struct {
	_     struct{} `cbor:",toarray"`
	Batch Batch
}

// CopyAck confirms that the sender holds a copy. It answers a Copy, and is sent
// again every Config.CopyCheckInterval to ask whether the copy is still needed.
type CopyAck struct {
	_    struct{} `cbor:",toarray"`
	Name string
}

// BatchesStored reports that batches are stored, so that their copies are no
// longer needed.
type BatchesStored struct {
	_     struct{} `cbor:",toarray"`
	Names []string
}

// Message is a message between Recorders: *Copy, *CopyAck or *BatchesStored.
type Message interface{ message() }

func (*Copy) message()          {}
func (*CopyAck) message()       {}
func (*BatchesStored) message() {}

// Event is an input to Recorder.Step: RiskReported, Tick, Peers, Received or
// SaveDone.
type Event interface{ event() }

// RiskReported hands over outcomes at risk that have occurred on this daemon.
type RiskReported struct{ Outcomes []Outcome }

// Tick makes the Recorder act on the intervals and pauses that have ended. The
// code around the Recorder sends one every Config.FlushInterval.
type Tick struct{}

// Peers lists the live daemons: OtherZones those that may hold copies, which are
// in other availability zones, and Living all of them. When a daemon with
// unsaved batches is no longer in Living, the daemons that hold the copies save
// its batches.
type Peers struct {
	OtherZones []host.Session
	Living     []host.Session
}

// Received is a message from another daemon.
type Received struct {
	From    host.Session
	Message Message
}

// SaveResult is the result of a Save.
type SaveResult uint8

// The results of a Save.
const (
	// SaveOK: the batch was written.
	SaveOK SaveResult = iota + 1
	// SaveExists: the batch was stored already.
	SaveExists
	// SaveUnconfirmed: the store's answer was lost, so the batch may be stored or
	// not.
	SaveUnconfirmed
	// SaveFailed: the store could not be reached, or refused for another
	// reason.
	SaveFailed
)

// SaveDone answers a Save.
type SaveDone struct {
	Name   string
	Answer SaveResult
}

func (RiskReported) event() {}
func (Tick) event()         {}
func (Peers) event()        {}
func (Received) event()     {}
func (SaveDone) event()     {}

// Action is an output of Recorder.Step: Save, Send, Overflow or Inherited.
type Action interface{ action() }

// Save creates the batch in the store; it must not replace an existing one. It
// is answered by a SaveDone.
type Save struct {
	Name  string
	Value []byte
}

// Send sends a message to another daemon. The message may be lost.
type Send struct {
	To      host.Session
	Message Message
}

// Overflow reports that the memory for outcomes is full and that this outcome
// is only counted. It must be logged in full.
type Overflow struct{ Outcome Outcome }

// Inherited reports that this daemon now saves a batch of From, a daemon that
// is no longer alive.
type Inherited struct {
	Name  string
	Count int
	From  host.Session
}

func (Save) action()      {}
func (Send) action()      {}
func (Overflow) action()  {}
func (Inherited) action() {}

// Config holds the settings of a Recorder.
type Config struct {
	// Self is this daemon's session. Batch names are derived from it.
	Self host.Session
	// BatchOutcomes is the largest number of outcomes in a batch.
	BatchOutcomes int
	// FlushInterval is how long a batch accepts outcomes before it is saved.
	FlushInterval time.Duration
	// Retry is the pause after the first failed write of a batch. It doubles
	// with each failure, up to MaxRetry.
	Retry    time.Duration
	MaxRetry time.Duration
	// CopyTimeout is how long a daemon may take to confirm a copy before a
	// daemon is drawn anew.
	CopyTimeout time.Duration
	// CopyCheckInterval is the interval at which the holder of a copy asks
	// whether it is still needed.
	CopyCheckInterval time.Duration
	// MaxOutcomes bounds the outcomes in memory, copies for other daemons
	// included.
	MaxOutcomes int
	// Seed seeds the random choice of the daemons that hold copies.
	Seed uint64
}

// DefaultConfig returns the default settings, without Self and Seed.
func DefaultConfig() Config {
	return Config{
		BatchOutcomes:     200,
		FlushInterval:     100 * time.Millisecond,
		Retry:             500 * time.Millisecond,
		MaxRetry:          10 * time.Second,
		CopyTimeout:       time.Second,
		CopyCheckInterval: 30 * time.Second,
		MaxOutcomes:       20_000,
	}
}
