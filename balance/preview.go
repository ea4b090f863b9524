package balance

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// GatePreview is what the balancer knows of a gate that a request may go to.
type GatePreview struct {
	GateInfo
	// Near says that the gate is in this daemon's region.
	Near bool
	// Avoided says that the gate is chosen only if there is no other, since it did
	// not serve shortly before.
	Avoided bool
	// Expected is the time that an answer is expected to take, and Ranking the time
	// by which gates are compared.
	Expected time.Duration
	Ranking  time.Duration
	// Slots and Jobs are the load that the gate stated; 0 if that is not recent.
	Slots int
	Jobs  int
}

// Preview returns the gates of an app in the regions, without a choice and without
// an effect on later ones; an empty list of regions stands for all.
func (b *Balancer) Preview(now mono.Time, app key.App, regions []host.Region) []GatePreview {
	p := b.apps[app]
	if p == nil {
		return nil
	}
	var list []GatePreview
	for tier, gates := range b.allowedTiers(p, regions) {
		for _, g := range gates {
			preview := GatePreview{GateInfo: g.GateInfo, Near: tier != otherRegion, Avoided: now.Before(g.avoidUntil), Expected: b.expectedTime(g, now), Ranking: b.rankingTime(g, now)}
			if b.hasRecentStatedLoad(g, now) {
				preview.Slots, preview.Jobs = g.slots, g.jobs
			}
			list = append(list, preview)
		}
	}
	return list
}

// LinkRoom reports whether a request of the given size could be sent to another
// region now.
func (b *Balancer) LinkRoom(now mono.Time, app key.App, bytes int) bool {
	answer := 0.0
	if p := b.apps[app]; p != nil {
		answer = p.meanAnswerBytes
	}
	return b.link.hasRoom(now, bytes+perMessageOverhead, int(answer))
}

// SpillShare returns the share of the requests of an app that go to another region
// now because this daemon's is busier, without probes. Their gates are chosen among
// those in the allowed regions, if there are any.
func (b *Balancer) SpillShare(now mono.Time, app key.App) float64 {
	p := b.apps[app]
	if p == nil || !p.near.seen || p.near.mean < minSpillUtilization || !p.far.seen || now.Sub(p.far.at) > probeInterval {
		return 0
	}
	return max(p.spillShare(), 0)
}
