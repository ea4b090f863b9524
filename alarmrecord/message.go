package alarmrecord

import (
	"encoding/json"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
)

// Report tells a collector of alarms that are not acknowledged on the sender.
type Report struct {
	_       struct{} `cbor:",toarray"`
	Entries []ReportEntry
}

// ReportEntry is one alarm of a Report.
type ReportEntry struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Number rises with each change of the sender's alarms.
	Number uint64
	// Alarm is the alarm as JSON. It is empty if the collector has this number.
	Alarm []byte
}

// Answer answers a Report. It is also sent when an alarm was acknowledged.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Entries []AnswerEntry
}

// AnswerEntry is one alarm of an Answer.
type AnswerEntry struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Held is the number that the collector holds; 0 asks for the alarm in full.
	Held uint64
	// Stored is the newest number that the record in the store contains.
	Stored uint64
	// InStore reports that the store has a record of the cause that nobody has
	// acknowledged.
	InStore bool
	// Acknowledged is the acknowledgement as JSON, or empty. It covers the
	// receiver's alarm that was raised at RaisedMs, and no later one.
	Acknowledged []byte
	RaisedMs     int64
}

// Event is an input to Recorder.Step: Changed, Peers, ReportReceived,
// AnswerReceived, ReadDone, WriteDone, ListDone or Tick.
type Event interface{ event() }

// Changed hands over an alarm of this daemon that was raised or has changed.
type Changed struct{ Alarm alarm.Alarm }

// Peers lists the daemons to report to in the order of preference, and all that
// are alive.
type Peers struct {
	Candidates []host.Session
	Living     []host.Session
}

// ReportReceived is a Report of another daemon.
type ReportReceived struct {
	From   host.Session
	Report *Report
}

// AnswerReceived is an Answer of another daemon.
type AnswerReceived struct {
	From   host.Session
	Answer *Answer
}

// StoredRecord is a record in the store. Record is nil if it can't be read.
type StoredRecord struct {
	ID      string
	Version uint64
	Record  *alarm.Record
}

// ReadDone answers a Read. With StoreNotFound, Stored has the version that a
// create needs as its condition.
type ReadDone struct {
	Code   result.Code
	Stored StoredRecord
}

// WriteDone answers a Write, with the version written if the code is OK.
type WriteDone struct {
	ID      string
	Code    result.Code
	Version uint64
}

// ListDone answers a List. Failed reports that the list is incomplete.
type ListDone struct {
	Records []StoredRecord
	Failed  bool
}

// Tick makes the Recorder act on the intervals and pauses that have ended. The
// code around it sends one every second. StoreReachable reports whether the store
// answered this daemon's last call.
type Tick struct{ StoreReachable bool }

func (Changed) event()        {}
func (Peers) event()          {}
func (ReportReceived) event() {}
func (AnswerReceived) event() {}
func (ReadDone) event()       {}
func (WriteDone) event()      {}
func (ListDone) event()       {}
func (Tick) event()           {}

// Action is an output of Recorder.Step: SendReport, SendAnswer, Read, Write, List
// or Acknowledged.
type Action interface{ action() }

// SendReport sends a Report to another daemon. It may be lost.
type SendReport struct {
	To     host.Session
	Report *Report
}

// SendAnswer sends an Answer to another daemon. It may be lost.
type SendAnswer struct {
	To     host.Session
	Answer *Answer
}

// Read reads a record. It is answered by a ReadDone.
type Read struct{ ID string }

// Write writes a record under a condition. It is answered by a WriteDone.
type Write struct {
	ID        string
	IfVersion uint64
	Record    alarm.Record
}

// List lists all records; the answer may be seconds old. It is answered by a
// ListDone.
type List struct{}

// Acknowledged reports that an operator has acknowledged an alarm of this daemon.
type Acknowledged struct {
	ID              string
	Acknowledgement alarm.Acknowledgement
}

func (SendReport) action()   {}
func (SendAnswer) action()   {}
func (Read) action()         {}
func (Write) action()        {}
func (List) action()         {}
func (Acknowledged) action() {}

// mustEncode encodes a value as JSON, which can't fail for alarms and
// acknowledgements.
func mustEncode(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}
