package spread

import (
	"time"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/statechart"
)

var relayChart = charts.MustLoad("relay_watch")

// peerHeadStart is how long a starting relay waits for its peers before it
// reads the store.
const peerHeadStart = 1500 * time.Millisecond

// initialWatchWait is the wait of a watch before the kind's first answer.
const initialWatchWait = time.Millisecond

// The states of the chart relay_watch.
const (
	stateOff      statechart.State = "off"
	stateWatching statechart.State = "watching"
	stateListing  statechart.State = "listing"
)

// storeWatch is the state of a daemon's calls to the store for one kind.
type storeWatch struct {
	state statechart.State
	// caughtUp reports that a watch has been answered with its changes since
	// the daemon started.
	caughtUp bool
	// next is the After of the next page of a list, and first the store's
	// revision at its first page.
	next  string
	first uint64
	// held reports that the watch after the first answer waits until the daemon
	// has caught up and knows the members: it may not have to watch then.
	held bool
	// failures counts the failed calls since the last answer of the store, and
	// retryAt is when the next call may be made.
	failures int
	retryAt  mono.Time
}

// maxRetryIntervals bounds the pause after failed calls, in Intervals. It ends
// with the first answer to a call of any kind.
const maxRetryIntervals = 4

func newStoreWatch() *storeWatch {
	return &storeWatch{state: relayChart.Initial}
}

// updateRelayRole decides whether this daemon watches the store: the zone's
// first member does, as soon as mayReadStore allows it, and the second if it has
// caught up and the first has not announced itself as relay recently.
func (c *Core) updateRelayRole(now mono.Time) {
	rank, ranked := c.tree.rank()
	leads := rank == 0 && len(ranked) > 0 && c.mayReadStore(now)
	if rank == 1 && c.caughtUp {
		leads = c.relaySilent(now, ranked[0])
	}
	if leads && !c.relay && c.watches[0].state == stateWatching {
		c.transition(0, "follow") // A reader's watch waits longer than a relay's may.
	}
	c.relay = leads
	reads := c.readsDocuments(now, rank)
	for i := range c.watches {
		if leads && c.readsAtStart(now, i) || i == 0 && reads || c.joinsByStore(now) {
			c.transition(i, "lead")
		} else {
			c.transition(i, "follow")
		}
	}
}

// mayReadStore reports whether this daemon has caught up, knows no other
// daemon, or has given its peers peerHeadStart to answer. Peers know deletions
// that a list of the store leaves out, so a starting relay first takes from
// them what it can.
func (c *Core) mayReadStore(now mono.Time) bool {
	alone := len(c.tree.members) <= 1 && len(c.tree.otherZones) == 0 || c.membersRead
	return c.caughtUp || alone || now.Sub(c.started) >= peerHeadStart
}

// relaySilent reports whether the zone's first member has not announced itself
// as relay for two Intervals.
func (c *Core) relaySilent(now mono.Time, relay host.Session) bool {
	since := c.awaitedSince
	if n := c.neighbors[relay]; n != nil {
		since = max(since, n.relaySeen)
	}
	return now.Sub(since) > 2*c.cfg.Interval
}

// retryStore repeats the watch of each kind whose last call failed, after a pause
// that doubles, and sends the watches that were held.
func (c *Core) retryStore(now mono.Time) {
	for i, w := range c.watches {
		if !w.retryAt.After(now) {
			c.transition(i, "retry")
		}
	}
	c.sendHeld(now)
}

// holdWatches is how long after the start only the kind of the members is watched.
// When a fleet starts, many daemons come before those that are to be relays.
const holdWatches = 1500 * time.Millisecond

// sendHeld sends the watches that were held of the kinds that this daemon goes on
// to watch, that of the members first.
func (c *Core) sendHeld(now mono.Time) {
	for i, w := range c.watches {
		early := c.cfg.Kinds[i] != c.cfg.MembersKind && now.Sub(c.started) < holdWatches
		if !w.held || !c.caughtUp || early && c.cfg.MembersKind != "" {
			continue
		}
		w.held = false
		if w.state == stateWatching {
			c.callStore(i, "watch")
		}
	}
}

// answeredByStore ends the pauses of all kinds.
func (c *Core) answeredByStore() {
	for _, w := range c.watches {
		w.failures = 0
		w.retryAt = mono.Never
	}
}

// transition applies an event to the state chart of one kind.
func (c *Core) transition(i int, e statechart.Event) {
	w := c.watches[i]
	next, ok := relayChart.Next(w.state, e)
	if !ok {
		return
	}
	w.state = next.To
	for _, action := range next.Actions {
		c.callStore(i, action)
	}
}

func (c *Core) callStore(i int, action statechart.Action) {
	kind := c.cfg.Kinds[i]
	switch action {
	case "watch":
		w := c.watches[i]
		if w.held = w.caughtUp && !c.caughtUp; w.held {
			return
		}
		c.emit(Watch{Kind: kind, Revision: c.states[i].knownTo(), Wait: c.watchWait(i)})
	case "unwatch":
		c.emit(Unwatch{Kind: kind})
	case "list_first":
		c.emit(List{Kind: kind})
	case "list_next":
		c.emit(List{Kind: kind, After: c.watches[i].next})
	}
}

// watchWait returns how long the next watch of a kind waits. Until the kind's
// first answer since the start it is initialWatchWait, to read the present state
// at once, and after a failure for the first kind, to notice soon that the store
// answers.
func (c *Core) watchWait(i int) time.Duration {
	if w := c.watches[i]; !w.caughtUp || i == 0 && w.failures > 0 {
		return initialWatchWait
	}
	if i > 0 && c.cfg.SlowWatchWait > 0 {
		return c.cfg.SlowWatchWait
	}
	if !c.relay {
		return c.cfg.ReaderWatchWait
	}
	return c.cfg.WatchWait
}

// watched handles the answer of a watch. Newly staged versions are offered to
// a daemon of another zone at once, to have them confirmed.
func (c *Core) watched(now mono.Time, ev Watched) {
	i := c.kindIndex(ev.Kind)
	if i < 0 || c.watches[i].state != stateWatching {
		return
	}
	if ev.TooOld {
		c.answeredByStore()
		c.transition(i, "too_old")
		return
	}
	c.answeredByStore()
	c.storeSeen = now
	c.storeAnswered = now
	c.watches[i].caughtUp = true
	staged := len(c.staged)
	c.putAll(now, i, ev.Objects, true)
	c.advance(now, i, ev.Revision)
	if len(c.staged) > staged {
		c.adoptStaged(now)
		c.exchangeWithRandom(now, c.tree.otherZones)
	}
	c.transition(i, "answered")
	c.passMembers()
	c.finishJoin(now)
}

// advance records that every change up to a revision of the store is known, and
// pushes new changes to the children.
func (c *Core) advance(now mono.Time, i int, revision uint64) {
	if c.states[i].markWatched(revision) {
		c.pushAll(now, i)
		c.announce(now, i)
	}
}

// listed handles a page of a list. Known objects that the page should hold but
// doesn't have been deleted.
func (c *Core) listed(now mono.Time, ev Listed) {
	i := c.kindIndex(ev.Kind)
	if i < 0 || c.watches[i].state != stateListing {
		return
	}
	c.answeredByStore()
	c.storeSeen = now
	w := c.watches[i]
	if ev.After == "" {
		w.first = ev.Revision
	}
	deletions := c.states[i].missingFrom(ev.After, ev.Next, w.first, ev.Objects)
	c.putAll(now, i, ev.Objects, true)
	c.putAll(now, i, deletions, true)
	w.next = ev.Next
	if ev.Next != "" {
		c.transition(i, "page")
		return
	}
	c.states[i].markListed(w.first)
	c.pushAll(now, i)
	c.announce(now, i)
	c.transition(i, "listed")
}

func (c *Core) storeFailed(now mono.Time, ev StoreFailed) {
	i := c.kindIndex(ev.Kind)
	if i < 0 {
		return
	}
	w := c.watches[i]
	pause := min(c.cfg.Interval<<min(w.failures, maxRetryIntervals), maxRetryIntervals*c.cfg.Interval)
	w.failures++
	w.retryAt = now.Add(pause - c.cfg.Interval/2) // The next heartbeat, then the second after it, and so on.
	c.transition(i, "failed")
}
