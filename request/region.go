package request

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// Places knows where sessions are.
type Places interface {
	// RegionOf returns the region of a session; false if the session has ended or
	// is not known.
	RegionOf(s host.Session) (host.Region, bool)
	// ServedIn reports whether a gate of the app is known in one of the regions.
	ServedIn(app key.App, regions []host.Region) bool
}

// routeToOwner sends the request to the owner of its slice, or lets it wait for
// one. A request with allowed regions is refused at once if its owner is
// elsewhere, or if no owner is known and no gate of the app is in its regions.
// An owner whose region is not known counts as none.
func (r *Router) routeToOwner(now mono.Time, c *call, out *Actions) {
	to, epoch := r.nextOwner(c)
	if len(c.req.Regions) > 0 {
		region, known := r.regionOf(to)
		if known && !host.RegionAllowed(c.req.Regions, region) {
			r.refuse(now, c, result.NoAllowedRegion, out)
			return
		}
		if !known {
			to = host.NoSession
		}
		if to.IsZero() && !r.servedIn(c.req) {
			r.refuse(now, c, result.NoAllowedRegion, out)
			return
		}
	}
	if to.IsZero() {
		r.waitForOwner(now, c, out)
		return
	}
	if r.refusedAtEntry(now, c, to) {
		r.refuse(now, c, result.QueueFull, out)
		return
	}
	r.sendToGate(now, c, to, epoch, out)
}

func (r *Router) regionOf(s host.Session) (host.Region, bool) {
	if s.IsZero() || r.cfg.Places == nil {
		return "", false
	}
	return r.cfg.Places.RegionOf(s)
}

func (r *Router) servedIn(req *Request) bool {
	return r.cfg.Places != nil && r.cfg.Places.ServedIn(req.App, req.Regions)
}
