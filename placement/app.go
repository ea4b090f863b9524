package placement

import (
	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// app is a leader's state of one app.
type app struct {
	params          App
	packs           []*packInfo
	releases        map[key.SliceID]handover.Release
	claims          map[key.SliceID]claim
	movedAt         map[key.SliceID]mono.Time
	loads           appLoads
	fleetGeneration uint64 // The fleet.generation that hosts was built from.
	hosts           []HostLoad
	// firstHostAt is when this leader first saw a host of the app, and
	// hostsGrewAt when the number of hosts last increased.
	firstHostAt mono.Time
	hostsGrewAt mono.Time
	// firstGrantAt is when this leader gave the app's slices their first
	// owners; 0 before that, mono.Never if another leader did. Hosts that were
	// there by then are as new as the app itself and do not warm up.
	firstGrantAt   mono.Time
	indexBySession map[host.Session]int
	loadsStale     bool // The loads of hosts must be recomputed.
	nextBalance    mono.Time
	lastBalance    mono.Time
}

func newApp(params App) *app {
	a := &app{params: params}
	for first := uint32(0); first < params.Slices; first += assignment.PackSlices {
		a.packs = append(a.packs, &packInfo{first: key.SliceID(first)})
	}
	a.reset()
	return a
}

// reset drops the state that a follower does not keep.
func (a *app) reset() {
	for i, p := range a.packs {
		a.packs[i] = &packInfo{first: p.first, state: packUnknown}
	}
	a.releases = make(map[key.SliceID]handover.Release)
	a.claims = make(map[key.SliceID]claim)
	a.movedAt = make(map[key.SliceID]mono.Time)
	a.loads = newAppLoads(a.params.Slices)
	a.hosts, a.indexBySession, a.fleetGeneration = nil, nil, 0
	a.firstGrantAt = 0
}

// adopt makes a stored version of a pack the base of the next write. Successive says
// that it is the version adopted before, or the one that replaced that.
func (a *app) adopt(now mono.Time, p *packInfo, pack *assignment.Pack, version uint64, successive bool) {
	pack.DropIndex()
	a.trackNotInForce(now, p, pack, version, successive)
	if a.firstGrantAt == 0 && hasOwner(pack) {
		a.firstGrantAt = mono.Never
	}
	p.pack, p.version, p.dirty = pack, version, true
	p.incoming, p.hostIndexes = nil, nil
	p.handovers = pack.Handovers()
	a.loadsStale = true
}

// hostIndexes returns the index of the host of each session in a pack's table,
// or -1.
func (a *app) hostIndexes(p *packInfo) []int32 {
	if p.hostIndexes != nil {
		return p.hostIndexes
	}
	table := p.pack.SessionTable()
	p.hostIndexes = make([]int32, len(table))
	for i, s := range table {
		p.hostIndexes[i] = a.hostIndex(s)
	}
	return p.hostIndexes
}

// hostIndex returns the index in hosts of a session's host, or -1.
func (a *app) hostIndex(s host.Session) int32 {
	if i, ok := a.indexBySession[s]; ok {
		return int32(i)
	}
	return -1
}

func (a *app) packOf(id key.SliceID) *packInfo {
	i := int(assignment.PackFirstSlice(id) / assignment.PackSlices)
	if i >= len(a.packs) {
		return nil
	}
	return a.packs[i]
}

// assigned returns the assignment of a slice in the latest adopted version of
// its pack, and whether there is one.
func (a *app) assigned(id key.SliceID) (assignment.Ownership, bool) {
	p := a.packOf(id)
	if p == nil || p.pack == nil {
		return assignment.Ownership{}, false
	}
	return p.pack.At(id)
}

// releaseReceived records a release. Its epoch may be newer than the one that this
// leader has read; a release older than the recorded one is ignored.
func (c *Core) releaseReceived(ev ReleaseReceived) {
	r := ev.Release
	a := findApp(c.apps, r.App)
	if a == nil || c.leadership.state == stateFollowing {
		return
	}
	p := a.packOf(r.ID)
	if p == nil || r.Epoch < a.releases[r.ID].Epoch {
		return
	}
	a.releases[r.ID] = r
	p.dirty = true
}

// hasReleased reports whether the owner has released the slice at its current
// epoch.
func (a *app) hasReleased(id key.SliceID, s assignment.Ownership) bool {
	r, ok := a.releases[id]
	return ok && r.Epoch == s.Epoch && r.From == s.Owner
}

// dropAnsweredRelease drops a release that a later epoch has answered.
func (a *app) dropAnsweredRelease(id key.SliceID, s assignment.Ownership) {
	if r, ok := a.releases[id]; ok && r.Epoch < s.Epoch {
		delete(a.releases, id)
	}
}

// hasOwner reports whether a slice of the pack has ever had an owner.
func hasOwner(p *assignment.Pack) bool {
	for i := range p.Len() {
		if s, ok := p.At(p.First + key.SliceID(i)); ok && s.Epoch > 0 {
			return true
		}
	}
	return false
}
