package balance

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// tiers holds gates by their distance.
type tiers [tierCount][]*gateState

// add adds a gate to the pool.
func (p *pool) add(g *gateState) {
	p.tiers[g.tier] = append(p.tiers[g.tier], g)
	if g.tier != otherRegion {
		return
	}
	if p.farByRegion == nil {
		p.farByRegion = make(map[host.Region][]*gateState)
	}
	p.farByRegion[g.Place.Region] = append(p.farByRegion[g.Place.Region], g)
}

// HasGateIn reports whether a gate of the app is known in one of the regions; an
// empty list stands for all regions.
func (b *Balancer) HasGateIn(app key.App, regions []host.Region) bool {
	p := b.apps[app]
	if p == nil {
		return false
	}
	if len(regions) == 0 {
		return slices.ContainsFunc(p.tiers[:], func(tier []*gateState) bool { return len(tier) > 0 })
	}
	for _, r := range regions {
		if r == b.cfg.Place.Region && len(p.tiers[sameZone])+len(p.tiers[sameRegion]) > 0 {
			return true
		}
		if len(p.farByRegion[r]) > 0 {
			return true
		}
	}
	return false
}

// allowedTiers returns the pool's gates in the regions; an empty list stands for
// all regions. The result is valid until the next call.
func (b *Balancer) allowedTiers(p *pool, regions []host.Region) tiers {
	if len(regions) == 0 {
		return p.tiers
	}
	var t tiers
	if slices.Contains(regions, b.cfg.Place.Region) {
		t[sameZone], t[sameRegion] = p.tiers[sameZone], p.tiers[sameRegion]
	}
	t[otherRegion] = b.farGates(p, regions)
	return t
}

// farGates returns the pool's gates in those of the regions that are not this
// daemon's. It copies only if several regions have gates. Gates outside the
// regions are left out of the list instead of being skipped in draws, because
// that would favour the gates that follow them.
func (b *Balancer) farGates(p *pool, regions []host.Region) []*gateState {
	var only []*gateState
	b.allowed = b.allowed[:0]
	for _, r := range regions {
		far := p.farByRegion[r]
		if len(far) == 0 {
			continue
		}
		only = far
		b.allowed = append(b.allowed, far...)
	}
	if len(only) == len(b.allowed) {
		return only
	}
	return b.allowed
}
