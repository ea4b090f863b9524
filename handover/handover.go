// Package handover decides for the daemon beside a target which slices it may
// serve, and how a slice leaves it without two owners and without cutting off
// a request in flight.
//
// The Holder is fed with the changes that the daemon's own assignment.Map
// reports, and asked by the gate before each request. For each slice it runs
// the chart "handover":
//
//   - A pack that names the session at a new epoch grants the slice: the gate
//     admits at once.
//   - A pack that names another session as next starts a drain: the gate admits
//     nothing more. When the last admitted request has ended, the epoch is
//     released. The release is a promise for the life of the session, told to
//     the placement leader until a later pack answers it.
//   - Only then does the leader write the next owner, at the next epoch.
//
// Carved-out keys move between slices, so in-flight requests follow them: a new
// carve-out is not released before the requests that its parent had admitted
// until then have ended, and a parent is not released before those of a
// carve-out that was merged into it.
package handover

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Config sets up a Holder.
type Config struct {
	// Self is the daemon's session.
	Self host.Session
	// DrainReport is how long a drain may take before it is reported. It
	// cuts nothing off: requests in flight end by their own deadlines.
	DrainReport time.Duration
	// Resend is the time between two tellings of one release.
	Resend time.Duration
	// StopGrace is how long a planned stop leaves the leader to name a next
	// owner before the daemon drains its slices by itself.
	StopGrace time.Duration
}

// Release is the promise of a session never to serve a slice again at an
// epoch. It is sent to the placement leader, and may be sent many times.
type Release struct {
	_     struct{} `cbor:",toarray"`
	From  host.Session
	App   key.App
	ID    key.SliceID
	Epoch uint64
}

// Token tells a next owner what the target of the last one gave away on the
// release of neighbouring slices: a target that is granted them with it need
// not warm up. It goes from daemon to daemon and may be lost.
type Token struct {
	_     struct{} `cbor:",toarray"`
	App   key.App
	First key.SliceID
	Last  key.SliceID
	// Epoch is the one at which the slices were released.
	Epoch uint64
	Token string
}

// Action is what the shell does for the Holder.
type Action interface{ isAction() }

// Admit says that the gate now admits the slice at an epoch. Requests queued
// for it may go.
type Admit struct {
	Slice key.Slice
	Epoch uint64
}

// StopAdmitting says that the gate no longer admits the slice. Requests that
// wait are refused as not run, or wait for the next owner.
type StopAdmitting struct {
	Slice key.Slice
	Epoch uint64
	// Next is the owner to come, nobody if it is not known.
	Next host.Session
}

// TellReleased asks to send a release to the placement leader.
type TellReleased struct {
	Release Release
}

// ReportOverdue says that a drain takes longer than Config.DrainReport.
type ReportOverdue struct {
	Slice    key.Slice
	Epoch    uint64
	InFlight int
}

// ReportOverruled says that a pack names another owner although this session
// has not released the slice: the session must have been recorded lost.
type ReportOverruled struct {
	Slice  key.Slice
	Epoch  uint64
	Newest uint64
}

func (Admit) isAction()           {}
func (StopAdmitting) isAction()   {}
func (TellReleased) isAction()    {}
func (ReportOverdue) isAction()   {}
func (ReportOverruled) isAction() {}

// Verdict is the gate's answer about one slice.
type Verdict struct {
	// Code is result.OK if the slice is admitted, else the reason why not:
	// NotOwner, Draining or LeaseLapsed.
	Code result.Code
	// Epoch is the epoch at which the slice is or was held, 0 if never.
	Epoch uint64
	// Newest is the highest epoch that this daemon saw of the slice while it
	// concerned it; 0 if it never did.
	Newest uint64
	// Since is when the epoch was granted. The gate's memory of request IDs
	// for this slice reaches back no further.
	Since mono.Time
}

// Admitted reports whether the request may run.
func (v Verdict) Admitted() bool {
	return v.Code == result.OK
}

// Ticket stands for one admitted request until it is ended. The zero Ticket
// stands for none.
type Ticket struct {
	rec *record
	gen uint32
}

// Counts says how many slices are in each state.
type Counts struct {
	Owned    int
	Draining int
	// Released counts the releases that no pack has answered yet.
	Released int
}
