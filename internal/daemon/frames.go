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
)

// frames decodes what other daemons send and hands it to the duties. Its
// methods run on the event loops.
type frames struct {
	d *Daemon
}

// Frame implements peer.Handler.
func (f *frames) Frame(from *peer.Conn, kind wire.Kind, payload []byte) {
	f.d.heard.note(from)
	if err := f.take(from, kind, payload); err != nil {
		f.d.log.Event(event.BadFrame, "peer", from.Session().String(), "cause", err.Error())
	}
}

func (f *frames) take(from *peer.Conn, kind wire.Kind, payload []byte) error {
	switch kind {
	case wire.KindRequest:
		return decoded(payload, func(m request.Request) { f.d.routing.ring.Push(requestReceived{from, &m}) })
	case wire.KindAnswer:
		return decoded(payload, func(m request.Answer) { f.d.routing.ring.Push(answerReceived{from, &m}) })
	case wire.KindCancel:
		return decoded(payload, func(m request.Cancel) { f.d.routing.ring.Push(cancelReceived{from, m}) })
	case wire.KindAck:
		return decoded(payload, func(m request.Ack) { f.d.routing.ring.Push(ackReceived{from, m}) })
	case wire.KindRenew:
		return decoded(payload, func(m session.Renew) { f.d.lease.push(renewReceived{from, m}) })
	case wire.KindRenewed:
		return decoded(payload, func(m session.Renewed) { f.d.lease.push(renewedReceived{m}) })
	case wire.KindAsks:
		return decoded(payload, func(m takeover.Asks) { f.d.lease.push(asksReceived{m}) })
	case wire.KindSeals:
		return decoded(payload, func(m takeover.Seals) { f.d.lease.push(sealsReceived{m}) })
	case wire.KindReleased:
		return decoded(payload, func(m handover.Release) { f.d.placement.push(releaseReceived{m}) })
	case wire.KindLoad:
		return decoded(payload, func(m placement.LoadReport) { f.d.placement.push(loadReceived{m}) })
	case wire.KindStuck:
		return decoded(payload, func(m placement.Stuck) { f.d.placement.push(leaderStuck{m}) })
	case wire.KindToken:
		return decoded(payload, func(m handover.Token) { f.d.routing.ring.Push(tokenReceived{m}) })
	case wire.KindHave, wire.KindAsk, wire.KindObjects:
		return f.d.spread.frame(from, kind, payload)
	default:
		return nil // A newer daemon's message; nothing depends on it.
	}
}

func decoded[T any](payload []byte, use func(T)) error {
	message, err := wire.Decode[T](payload)
	if err != nil {
		return err
	}
	use(message)
	return nil
}

// Unsent implements peer.Handler.
func (f *frames) Unsent(tag peer.Tag) {
	f.d.routing.ring.Wait(sendUnsent{uint64(tag)}, f.d.routing.stop)
}

// Lost implements peer.Handler.
func (f *frames) Lost(conn *peer.Conn, cause error) {
	text := "closed"
	if cause != nil {
		text = cause.Error()
	}
	f.d.log.Event(event.PeerClosed, "peer", conn.Session().String(), "cause", text)
	f.d.routing.ring.Push(connLost{conn})
}
