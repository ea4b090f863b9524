package daemon

import (
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/placement"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/takeover"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

// frameHandler decodes the frames of other daemons and passes the messages to
// the loops. HandleFrame and ConnectionLost run on the event loops of package
// peer and must not block; SendFailed runs on a goroutine of its own.
type frameHandler struct {
	d *Daemon
}

// HandleFrame implements peer.Handler.
func (f *frameHandler) HandleFrame(from *peer.Conn, kind wire.Kind, payload []byte) {
	f.d.zoneActivity.frameReceived(from)
	if err := f.dispatch(from, kind, payload); err != nil {
		f.d.log.Event(event.BadFrame, "peer", from.Session().String(), "cause", err.Error())
	}
}

func (f *frameHandler) dispatch(from *peer.Conn, kind wire.Kind, payload []byte) error {
	switch kind {
	case wire.KindRequest:
		return decodeFrame(payload, func(m request.Request) { f.d.routing.ring.Push(requestReceived{from, &m}) })
	case wire.KindLongRequest:
		return decodeFrame(payload, func(m request.LongRequest) {
			m.Request.Long = &m.Body
			f.d.routing.ring.Push(requestReceived{from, &m.Request})
		})
	case wire.KindAnswer:
		return decodeFrame(payload, func(m request.Answer) { f.d.routing.ring.Push(answerReceived{from, &m}) })
	case wire.KindCancel:
		return decodeFrame(payload, func(m request.Cancel) { f.d.routing.ring.Push(cancelReceived{from, m}) })
	case wire.KindAck:
		return decodeFrame(payload, func(m request.Ack) { f.d.routing.ring.Push(ackReceived{from, m}) })
	case wire.KindRenew:
		return decodeFrame(payload, func(m session.Renew) { f.d.lease.push(renewReceived{from, m}) })
	case wire.KindRenewResponse:
		return decodeFrame(payload, func(m session.RenewResponse) { f.d.lease.push(renewResponseReceived{m}) })
	case wire.KindSealRequests:
		return decodeFrame(payload, func(m takeover.SealRequests) { f.d.lease.push(sealRequestsReceived{m}) })
	case wire.KindSealResponse:
		return decodeFrame(payload, func(m takeover.SealResponse) { f.d.lease.push(sealResponseReceived{m}) })
	case wire.KindRelease, wire.KindClaim, wire.KindLoadReport, wire.KindLeaderUnwritable:
		return f.dispatchToPlacement(kind, payload)
	case wire.KindReleaseToken:
		return decodeFrame(payload, func(m handover.ReleaseToken) { f.d.routing.ring.Push(tokenReceived{m}) })
	case wire.KindTargetStatus:
		return decodeFrame(payload, func(m targetstatus.Report) { f.d.targetStatusReceived(from, m) })
	case wire.KindDigest, wire.KindChangesRequest, wire.KindObjects:
		return f.d.spread.handleFrame(from, kind, payload)
	case wire.KindAlarmReport, wire.KindAlarmAnswer:
		return f.d.risk.handleFrame(from, kind, payload)
	default:
		return nil // A message kind of a newer version; it may be ignored.
	}
}

// dispatchToPlacement passes the messages to the leader to the placement loop.
func (f *frameHandler) dispatchToPlacement(kind wire.Kind, payload []byte) error {
	switch kind {
	case wire.KindRelease:
		return decodeFrame(payload, func(m handover.Release) { f.d.placement.push(releaseReceived{m}) })
	case wire.KindClaim:
		return decodeFrame(payload, func(m handover.Claim) { f.d.placement.push(claimReceived{m}) })
	case wire.KindLoadReport:
		return decodeFrame(payload, func(m placement.LoadReport) { f.d.placement.push(loadReceived{m}) })
	default:
		return decodeFrame(payload, func(m placement.LeaderUnwritable) { f.d.placement.push(leaderUnwritableReceived{m}) })
	}
}

func decodeFrame[T any](payload []byte, use func(T)) error {
	message, err := wire.Decode[T](payload)
	if err != nil {
		return err
	}
	use(message)
	return nil
}

// SendFailed implements peer.Handler.
func (f *frameHandler) SendFailed(tag peer.Tag) {
	f.d.routing.ring.PushWait(requestNotSent{uint64(tag)}, f.d.routing.stop)
}

// ConnectionLost implements peer.Handler.
func (f *frameHandler) ConnectionLost(conn *peer.Conn, cause error) {
	text := "closed"
	if cause != nil {
		text = cause.Error()
	}
	f.d.log.Event(event.PeerClosed, "peer", conn.Session().String(), "cause", text)
	f.d.routing.ring.Push(connLost{conn})
}
