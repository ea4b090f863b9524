package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
)

// claimInterval is the time between two transmissions of a claim to the leader.
const claimInterval = 500 * time.Millisecond

// restoredState is the part of the routing loop that concerns a store that came
// back from a copy.
type restoredState struct {
	era         restore.Era // The highest of a pack's version.
	nextClaimAt mono.Time
}

// observeEra logs a restore of the store when a pack's version first shows it.
func (r *routingLoop) observeEra(version uint64) {
	if era := restore.VersionOf(version).Era; era > r.restored.era {
		r.restored.era = era
		r.log.Event(event.StoreRestored, "era", uint64(era))
	}
}

// lostPack is a pack that the store does not have any more, as of a version.
type lostPack struct {
	app     key.App
	first   key.SliceID
	version uint64
}

type packLost struct{ lostPack }

// handle replaces the pack by an empty one.
func (w packLost) handle(r *routingLoop, now mono.Time) {
	total := r.owners.Total(w.app)
	if total == 0 || restore.VersionOf(w.version).Era == 0 {
		return
	}
	empty := assignment.NewPack(w.app, total, w.first)
	packsObserved{packs: []packVersion{{pack: empty, version: w.version}}}.handle(r, now)
}

// contestHeld tells the holder which of its slices have stored entries that are not
// in force, and claims them.
func (r *routingLoop) contestHeld(now mono.Time) {
	if r.restored.era == 0 {
		return
	}
	for _, s := range r.holder.Held() {
		if !r.owners.InForce(s) {
			r.holder.Contest(now, s)
		}
	}
	r.sendClaims(now)
}

// sendClaims sends the claims of this session, one message for each app.
func (r *routingLoop) sendClaims(now mono.Time) {
	r.restored.nextClaimAt = now.Add(claimInterval)
	claims := make(map[key.App]*handover.Claim)
	for _, held := range r.holder.Claims(now) {
		c := claims[held.Slice.App]
		if c == nil {
			c = &handover.Claim{From: r.self, App: held.Slice.App}
			claims[held.Slice.App] = c
		}
		version := r.owners.Version(held.Slice.App, assignment.PackFirstSlice(held.Slice.ID))
		c.Slices = append(c.Slices, handover.ClaimedSlice{ID: held.Slice.ID, Epoch: held.Epoch, Version: version})
	}
	for _, c := range claims {
		r.log.Event(event.SlicesClaimed, "app", string(c.App), "slices", len(c.Slices), "era", uint64(r.restored.era))
		r.onClaim(*c)
	}
}

// tickClaims sends the claims again that the leader has not answered.
func (r *routingLoop) tickClaims(now mono.Time) {
	if r.restored.era > 0 && !now.Before(r.restored.nextClaimAt) {
		r.sendClaims(now)
	}
}
