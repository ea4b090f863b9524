package daemon

import (
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
)

// tokenDelivery is a token to be sent to a next owner.
type tokenDelivery struct {
	to    host.Session
	token handover.ReleaseToken
}

// collectTokens returns the tokens of released slices for their next owners.
// Adjacent slices with the same next owner, epoch and token are joined into
// one. Without a known next owner, this session may be it, and keeps the token.
func (r *routingLoop) collectTokens(now mono.Time, list []grant.ReleasedSlice) []tokenDelivery {
	var out []tokenDelivery
	for _, e := range list {
		to := r.nextOwners[e.Slice]
		delete(r.nextOwners, e.Slice)
		if e.Token == "" {
			continue
		}
		if to.IsZero() {
			r.granter.SetToken(now, e.Slice, e.Epoch+1, e.Token)
			continue
		}
		if n := len(out); n > 0 && out[n-1].to == to && extendsToken(out[n-1].token, e) {
			out[n-1].token.Last = e.Slice.ID
			continue
		}
		out = append(out, tokenDelivery{to: to, token: handover.ReleaseToken{
			App: e.Slice.App, First: e.Slice.ID, Last: e.Slice.ID, Epoch: e.Epoch, Token: e.Token,
		}})
	}
	return out
}

// extendsToken reports whether a released slice directly follows the range of a
// token and has the same app, epoch and token.
func extendsToken(t handover.ReleaseToken, e grant.ReleasedSlice) bool {
	return t.App == e.Slice.App && t.Last+1 == e.Slice.ID && t.Epoch == e.Epoch && t.Token == e.Token
}

func (r *routingLoop) sendToken(to host.Session, t handover.ReleaseToken) {
	address := r.fleet.peerAddress(to)
	if address == "" {
		return
	}
	frame, err := wire.Encode(wire.KindReleaseToken, t)
	if err != nil {
		r.log.Event(event.BadFrame, "peer", to.String(), "cause", err.Error())
		return
	}
	_, _ = r.peers.Send(address, frame, 0) // A lost token only delays the grant at the next owner.
}
