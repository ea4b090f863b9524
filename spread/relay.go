package spread

import (
	"time"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

var relayChart = charts.MustLoad("relay_watch")

// peersFirst is how long a relay that starts waits for its peers before it
// reads the store.
const peersFirst = 1500 * time.Millisecond

// firstWait is the wait of the first watch of each kind.
const firstWait = time.Millisecond

// The states of the chart relay_watch.
const (
	off      chart.State = "off"
	watching chart.State = "watching"
	listing  chart.State = "listing"
)

// relay is what a daemon does in the store for one kind.
type relay struct {
	state chart.State
	// caughtUp says that a watch has been answered since the start.
	caughtUp bool
	// next is the After of the next page of a list, and first the revision
	// of its first page.
	next  string
	first uint64
}

func newRelay() *relay {
	return &relay{state: relayChart.Initial}
}

// lead decides whether this daemon watches the store: the first of the zone's
// members does, and the second if there is no fresh news of the store.
func (c *Core) lead(now mono.Time) {
	rank, ranked := c.tree.rank()
	leads := rank == 0 && len(ranked) > 0 && c.askedPeers(now)
	if rank == 1 && c.ready {
		leads = c.relaySilent(now, ranked[0])
	}
	for i := range c.relays {
		if leads {
			c.follow(i, "lead")
		} else {
			c.follow(i, "follow")
		}
	}
}

// askedPeers reports whether this daemon has caught up with its peers, or has
// given them time. Peers know deletions that a list of the store leaves out, so
// a relay that starts takes from them what it can.
func (c *Core) askedPeers(now mono.Time) bool {
	alone := len(c.tree.members) <= 1 && len(c.tree.others) == 0
	return c.ready || alone || now.Sub(c.started) >= peersFirst
}

// relaySilent reports whether the zone's relay has not called itself one
// lately.
func (c *Core) relaySilent(now mono.Time, relay host.Session) bool {
	since := c.waitSince
	if n := c.neighbors[relay]; n != nil {
		since = max(since, n.relayed)
	}
	return now.Sub(since) > 2*c.cfg.Interval
}

// retryStore tries again where the last call failed.
func (c *Core) retryStore(_ mono.Time) {
	for i := range c.relays {
		c.follow(i, "retry")
	}
}

// follow takes the chart's transition for one kind.
func (c *Core) follow(i int, e chart.Event) {
	r := c.relays[i]
	next, ok := relayChart.Next(r.state, e)
	if !ok {
		return
	}
	r.state = next.To
	for _, action := range next.Do {
		c.callStore(i, action)
	}
}

func (c *Core) callStore(i int, action chart.Action) {
	kind := c.cfg.Kinds[i]
	switch action {
	case "watch":
		c.do(Watch{Kind: kind, Revision: c.shelves[i].known(), Wait: c.watchWait(i)})
	case "unwatch":
		c.do(Unwatch{Kind: kind})
	case "list_first":
		c.do(List{Kind: kind})
	case "list_next":
		c.do(List{Kind: kind, After: c.relays[i].next})
	}
}

// watchWait returns how long the next watch of a kind waits. The first one
// since the start only asks what there is.
func (c *Core) watchWait(i int) time.Duration {
	if !c.relays[i].caughtUp {
		return firstWait
	}
	if i > 0 && c.cfg.SlowWatchWait > 0 {
		return c.cfg.SlowWatchWait
	}
	return c.cfg.WatchWait
}

func (c *Core) watched(now mono.Time, ev Watched) {
	i := c.kindIndex(ev.Kind)
	if i < 0 || c.relays[i].state != watching {
		return
	}
	if ev.TooOld {
		c.follow(i, "too_old")
		return
	}
	c.storeSeen = now
	c.answered = now
	c.relays[i].caughtUp = true
	held := len(c.held)
	c.takeAll(now, i, ev.Objects, true)
	c.advance(now, i, ev.Revision)
	if len(c.held) > held {
		c.greet(now, c.tree.others)
	}
	c.follow(i, "answered")
	c.join(now)
}

// advance notes that every change up to a revision is known, and tells the
// children.
func (c *Core) advance(now mono.Time, i int, revision uint64) {
	if c.shelves[i].watchedTo(revision) {
		c.pushAll(now, i)
	}
}

func (c *Core) listed(now mono.Time, ev Listed) {
	i := c.kindIndex(ev.Kind)
	if i < 0 || c.relays[i].state != listing {
		return
	}
	c.storeSeen = now
	r := c.relays[i]
	if ev.After == "" {
		r.first = ev.Revision
	}
	gone := c.shelves[i].missing(ev.After, ev.Next, r.first, ev.Objects)
	c.takeAll(now, i, ev.Objects, true)
	c.takeAll(now, i, gone, true)
	r.next = ev.Next
	if ev.Next != "" {
		c.follow(i, "page")
		return
	}
	c.shelves[i].listedTo(r.first)
	c.pushAll(now, i)
	c.follow(i, "listed")
}

func (c *Core) storeFailed(ev StoreFailed) {
	if i := c.kindIndex(ev.Kind); i >= 0 {
		c.follow(i, "failed")
	}
}
