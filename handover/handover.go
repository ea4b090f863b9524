// Package handover decides which slices a daemon may serve through its target,
// and hands a slice over without two owners at once and without cutting off
// requests in flight.
//
// The Holder takes the changes reported by the daemon's own assignment.Map, and
// the gate consults it before each request. For each slice it runs the chart
// "handover":
//
//   - A pack that names the session as owner at a new epoch grants the slice,
//     and the gate admits requests at once.
//   - A pack that names another session as next owner starts a drain: the gate
//     admits nothing more. When the last admitted request has ended, the epoch
//     is released. The release is a promise that lasts as long as the session,
//     and is sent to the placement leader until a pack shows a
//     higher epoch.
//   - Only then does the leader write the next owner, at the next epoch.
//
// One epoch of a slice belongs to one instance of the target. When another
// instance replaces it, or the target refuses the epoch, the slice is renounced:
// it drains, and no pack makes this session serve it again at that epoch.
//
// Carving a key out and merging it back moves the key between slices, so the
// release of a slice also waits for requests of related slices: a new carve-out
// is not released before the requests that its parent had admitted by then have
// ended, and a parent is not released before the requests of a carve-out that
// was merged into it have ended.
package handover

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Config holds the settings of a Holder.
type Config struct {
	// Self is the daemon's session.
	Self host.Session
	// DrainReportAfter is how long a drain may take before it is reported. No
	// request is cut off: requests in flight end by their own deadlines.
	DrainReportAfter time.Duration
	// ResendInterval is the interval at which an unacknowledged release is sent
	// again.
	ResendInterval time.Duration
	// StopGrace is how long a planned stop waits for the leader to name next
	// owners before the daemon drains its slices without them.
	StopGrace time.Duration
}

// Release is a session's promise never to serve a slice again at an epoch. It is
// sent to the placement leader, possibly many times.
type Release struct {
	_     struct{} `cbor:",toarray"`
	From  host.Session
	App   key.App
	ID    key.SliceID
	Epoch uint64
}

// ReleaseToken carries to a next owner the token that the previous owner's target
// returned when it released a range of slices. A target that is granted the
// slices with the token need not warm up. It is sent between daemons and may be
// lost.
type ReleaseToken struct {
	_     struct{} `cbor:",toarray"`
	App   key.App
	First key.SliceID
	Last  key.SliceID
	// Epoch is the epoch at which the slices were released.
	Epoch uint64
	Token string
}

// Action is something that the Holder asks its caller to perform.
type Action interface{ isAction() }

// Admit reports that requests for the slice are now admitted at an epoch.
// Requests queued for it may run.
type Admit struct {
	Slice key.Slice
	Epoch uint64
}

// StopAdmitting reports that requests for the slice are no longer admitted.
// Waiting requests are refused as not run, or wait for the next owner.
type StopAdmitting struct {
	Slice key.Slice
	Epoch uint64
	// Next is the next owner; nobody if it is not known.
	Next host.Session
}

// SendRelease requests that a release is sent to the placement leader.
type SendRelease struct {
	Release Release
}

// ReportDrainOverdue reports that a drain has taken Config.DrainReportAfter or
// longer.
type ReportDrainOverdue struct {
	Slice    key.Slice
	Epoch    uint64
	InFlight int
}

// ReportSuperseded reports that a pack names another owner although this session
// has not released the slice: the session must have been recorded as lost.
type ReportSuperseded struct {
	Slice  key.Slice
	Epoch  uint64
	Newest uint64
}

func (Admit) isAction()              {}
func (StopAdmitting) isAction()      {}
func (SendRelease) isAction()        {}
func (ReportDrainOverdue) isAction() {}
func (ReportSuperseded) isAction()   {}

// Verdict says whether requests for a slice are admitted, and at which epoch.
type Verdict struct {
	// Code is result.OK if requests are admitted, else the reason why not:
	// NotOwner, Draining or LeaseLapsed.
	Code result.Code
	// Epoch is the epoch at which the slice is or was held, 0 if never.
	Epoch uint64
	// Newest is the highest epoch of the slice that the Holder has seen. It
	// follows a slice from the first time that the session owns it; before
	// that it is 0.
	Newest uint64
	// Since is when the epoch was granted. The gate remembers no request IDs of
	// this slice from before that.
	Since mono.Time
}

// Admitted reports whether a request may run.
func (v Verdict) Admitted() bool {
	return v.Code == result.OK
}

// Ticket identifies one admitted request until Holder.End. The zero Ticket
// identifies none.
type Ticket struct {
	record     *record
	generation uint32
}

// Counts holds the number of slices in each state.
type Counts struct {
	Owned    int
	Draining int
	// Released is the number of releases that no pack has acknowledged yet by a
	// higher epoch.
	Released int
}
