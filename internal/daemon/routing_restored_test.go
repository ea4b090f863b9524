package daemon

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/result"
)

// restoredHost is a host that owns its slice at epoch 1 in era 0.
func restoredHost(t *testing.T) (*grantHost, *[]handover.Claim) {
	h := newGrantHost(t, document.GrantsByCall)
	var claims []handover.Claim
	h.r.onClaim = func(c handover.Claim) { claims = append(claims, c) }
	return h, &claims
}

func versionInEra1(t *testing.T, revision uint64) uint64 {
	n, err := restore.Version{Era: 1, Revision: revision}.Number()
	must.NoError(t, err)
	return n
}

// show delivers a version of the pack as the spread loop does.
func (h *grantHost) show(version uint64, o assignment.Ownership) {
	pack := assignment.NewPack("katalog", 1, 0)
	pack.Set(0, o)
	packsObserved{packs: []packVersion{{pack: pack, version: version}}}.handle(h.r, h.now)
}

// A daemon that ran on through a restore of the store goes on serving what it holds
// and claims it, whatever owner the restored entry names; it takes it at the new
// epoch that it is then given.
func TestHolderClaimsSliceWithRestoredEntry(t *testing.T) {
	other := host.Session{Host: "h2", Incarnation: 1}
	for name, restored := range map[string]assignment.Ownership{
		"its own":        {Owner: host.Session{}, Epoch: 1},
		"another owner":  {Owner: other, Epoch: 7},
		"nobody's":       {},
		"in a hand-over": {Next: other, Epoch: 1},
	} {
		t.Run(name, func(t *testing.T) {
			h, claims := restoredHost(t)
			if restored.Epoch == 1 {
				restored.Owner = h.r.self
			}
			h.show(versionInEra1(t, 60), restored)
			must.Eq(t, 1, h.r.holder.Counts().Owned)
			want := handover.Claim{From: h.r.self, App: "katalog", Slices: []handover.ClaimedSlice{{Epoch: 1, Version: versionInEra1(t, 60)}}}
			must.Eq(t, []handover.Claim{want}, *claims)
			must.SliceEmpty(t, h.released)

			granted, ok := restore.NewEpoch(1, 60)
			must.True(t, ok)
			h.show(versionInEra1(t, 61), assignment.Ownership{Owner: h.r.self, Epoch: uint64(granted)})
			must.Eq(t, uint64(granted), h.r.holder.Admits(h.now, h.slice).Epoch)
			h.now = h.now.Add(claimInterval)
			h.r.tickClaims(h.now)
			must.SliceLen(t, 1, *claims)
		})
	}
}

// A daemon that has started after the restore, or that was not the owner, must not
// take a slice by an entry of an earlier era: another one may have had its epoch.
func TestRestoredEntryGrantsNothing(t *testing.T) {
	h := newHostWithoutDocument(t)
	h.adoptDocument(document.GrantsByCall)
	h.announce(1)
	h.show(versionInEra1(t, 60), assignment.Ownership{Owner: h.r.self, Epoch: 1})
	must.Eq(t, result.NotOwner, h.r.holder.Admits(h.now, h.slice).Code)
	must.SliceEmpty(t, h.grantEpochs())
}

// Without an answer to the claim the slice is given up in time, and released.
func TestUnansweredClaimEnds(t *testing.T) {
	h, claims := restoredHost(t)
	h.show(versionInEra1(t, 60), assignment.Ownership{Owner: h.r.self, Epoch: 1})
	h.now = h.now.Add(claimInterval)
	h.r.tickClaims(h.now)
	must.SliceLen(t, 2, *claims)
	h.now = h.now.Add(restore.ClaimTime)
	h.r.executeHolder(h.now, h.r.holder.Tick(h.now))
	must.Eq(t, handover.Counts{Released: 1}, h.r.holder.Counts())
	h.r.tickClaims(h.now)
	must.SliceLen(t, 2, *claims)
}

// A pack that the restore has lost is known as well: its slices have no owner in the
// store, but a holder.
func TestHolderClaimsSliceOfLostPack(t *testing.T) {
	h, claims := restoredHost(t)
	packLost{lostPack{app: "katalog", version: versionInEra1(t, 60)}}.handle(h.r, h.now)
	must.SliceLen(t, 1, *claims)
	must.Eq(t, 1, h.r.holder.Counts().Owned)
}
