package placement

import (
	"cmp"
	"slices"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/key"
)

// placementRequest is a slice that needs an owner or a next owner.
type placementRequest struct {
	id       key.SliceID
	assigned assignment.Ownership
	load     float64
	reason   Reason
	grantNow bool // The owner changes now; otherwise only a next owner is named.
}

func (r *round) requestPlacement(id key.SliceID, s assignment.Ownership, reason Reason, grantNow bool) {
	req := placementRequest{id: id, assigned: s, load: r.app.loadOf(id), reason: reason, grantNow: grantNow}
	r.placementRequests = append(r.placementRequests, req)
}

// placeRequested places all requested slices, the most loaded first, or in
// order of their IDs if the app's slices are ranges.
func (r *round) placeRequested() {
	if r.app.params.DividedByRange {
		r.startRuns()
	} else {
		slices.SortStableFunc(r.placementRequests, func(x, y placementRequest) int { return cmp.Compare(y.load, x.load) })
	}
	for _, req := range r.placementRequests {
		r.placeOne(req)
	}
}

// placeOne drafts one request. The pack stays dirty if there is no host.
func (r *round) placeOne(req placementRequest) {
	p := r.app.packOf(req.id)
	to, newlyChosen := r.chooseHost(req)
	if to < 0 {
		p.dirty = true
		return
	}
	s := req.assigned
	if req.grantNow {
		epoch, ok := r.nextEpoch(p, s.Epoch)
		if !ok {
			p.dirty = true
			return
		}
		s = assignment.Ownership{Owner: r.app.hosts[to].Session, Epoch: epoch}
	} else {
		s.Next = r.app.hosts[to].Session
	}
	if r.core.disabled.epochIncrement {
		s.Epoch = req.assigned.Epoch
	}
	if r.edit(p, req.id, s, req.reason) && newlyChosen {
		r.app.hosts[to].add(req.load)
	}
}

// chooseHost returns the index of the host for a request, or -1, and whether
// the host was newly chosen. A next owner named earlier is kept if it can still
// take the slice; the slice's load is counted there already.
func (r *round) chooseHost(req placementRequest) (to int, newlyChosen bool) {
	if req.grantNow && r.eligible(req.assigned.Next) {
		if i, ok := r.app.indexBySession[req.assigned.Next]; ok {
			return i, false
		}
	}
	if len(r.app.hosts) == 0 {
		return -1, false
	}
	if !r.app.params.DividedByRange {
		return r.core.cfg.Policy.Choose(r.app.hosts, req.load), true
	}
	return r.placeInRun(req), true
}

// sliceRun is the run of adjacent slices that is being placed on one host.
type sliceRun struct {
	next  key.SliceID // The slice that would extend the run.
	host  int
	load  float64
	limit float64 // Maximum load of a run.
}

// runsPerHost is the number of runs of adjacent slices that each host is given
// when an app's slices are ranges. A target is granted each run by one call, so
// runs should be few; but several smaller runs spread busy adjacent slices
// better than one large run.
const runsPerHost = 4

// startRuns sorts the requests by slice, so that adjacent slices form runs.
func (r *round) startRuns() {
	slices.SortFunc(r.placementRequests, func(x, y placementRequest) int { return cmp.Compare(x.id, y.id) })
	total := 0.0
	for _, req := range r.placementRequests {
		total += req.load
	}
	r.run = sliceRun{host: -1, limit: total / float64(runsPerHost*max(len(r.app.hosts), 1))}
}

// placeInRun returns the host of the preceding slice while the run stays within
// its limit, and otherwise starts a run on the host that the policy chooses.
func (r *round) placeInRun(req placementRequest) int {
	if r.run.host < 0 || r.run.next != req.id || r.run.load+req.load > r.run.limit {
		r.run.host = r.core.cfg.Policy.Choose(r.app.hosts, req.load)
		r.run.load = 0
	}
	r.run.next = req.id + 1
	r.run.load += req.load
	return r.run.host
}
