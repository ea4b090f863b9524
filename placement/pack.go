package placement

import (
	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/statechart"
)

const (
	packUnknown  statechart.State = "unknown"
	packCurrent  statechart.State = "current"
	packWriting  statechart.State = "writing"
	packDoubtful statechart.State = "doubtful"

	eventSeen     statechart.Event = "seen"
	eventPlanned  statechart.Event = "planned"
	eventWritten  statechart.Event = "written"
	eventRefused  statechart.Event = "refused"
	eventDoubtful statechart.Event = "doubtful"

	doAdopt  statechart.Action = "adopt"
	doAccept statechart.Action = "accept"
	doWrite  statechart.Action = "write"
	doDrop   statechart.Action = "drop"
	doRead   statechart.Action = "read"
	doSettle statechart.Action = "settle"
)

// packInfo is the leader's state of one pack. It follows the state chart
// "placement_pack".
type packInfo struct {
	first   key.SliceID
	state   statechart.State
	pack    *assignment.Pack
	version uint64
	dirty   bool // The pack must be scanned in the next round.

	// notInForce holds the entries that are not in force.
	notInForce map[key.SliceID]restoredEntry

	incoming        *assignment.Pack // The pack of the latest event, until it is adopted.
	incomingVersion uint64

	attempt      *assignment.Pack // The write in flight or unconfirmed.
	attemptMoves []Move
	draft        *assignment.Pack // The next write while a round is planning it.
	draftMoves   []Move
	readSentAt   mono.Time

	hostIndexes []int32 // Index in app.hosts of each session in the pack's table; -1 for none.
	handovers   int     // Slices and carve-outs with a next owner.
}

// packObserved handles a pack that was read. A version older than the known one is
// ignored, because reads and watches may overtake each other.
func (c *Core) packObserved(now mono.Time, ev PackObserved) {
	if c.leadership.state == stateFollowing || c.leadership.state == stateClaiming {
		return
	}
	a, p := c.findPack(ev.Pack.App, ev.Pack.First)
	if p == nil || ev.Pack.Total != a.params.Slices || ev.Version < p.version {
		return
	}
	c.observePack(now, a, p, ev.Pack, ev.Version)
}

// packMissing handles the answer that the store has no such pack. It is ignored
// for a pack that was read before: packs are never deleted, so the answer is
// out of date, unless the store has come back from a copy since.
func (c *Core) packMissing(now mono.Time, ev PackMissing) {
	a, p := c.findPack(ev.App, ev.First)
	if p == nil || ev.Version < p.version {
		return
	}
	c.observePack(now, a, p, assignment.NewPack(ev.App, a.params.Slices, ev.First), ev.Version)
}

func (c *Core) observePack(now mono.Time, a *app, p *packInfo, pack *assignment.Pack, version uint64) {
	p.incoming, p.incomingVersion = pack, version
	c.firePack(now, a, p, eventSeen)
}

// packAnswered handles the answer to a pack's write. An answer to a write other
// than the one in flight is out of date and ignored.
func (c *Core) packAnswered(now mono.Time, name, token string, ev statechart.Event, version uint64) {
	appName, first, ok := assignment.ParsePackName(name)
	if !ok {
		return
	}
	a, p := c.findPack(appName, first)
	if p == nil || p.attempt == nil || p.attempt.Token != token || p.state != packWriting {
		return
	}
	if ev == eventWritten {
		p.incomingVersion = version
	}
	c.firePack(now, a, p, ev)
}

// firePack applies an event of the state chart to a pack and keeps
// writesInFlight up to date.
func (c *Core) firePack(now mono.Time, a *app, p *packInfo, ev statechart.Event) {
	t, ok := c.packChart.Next(p.state, ev)
	if !ok {
		return
	}
	if p.state == packWriting {
		c.writesInFlight--
	}
	p.state = t.To
	if p.state == packWriting {
		c.writesInFlight++
	}
	for _, do := range t.Actions {
		c.doPack(now, a, p, do)
	}
}

func (c *Core) doPack(now mono.Time, a *app, p *packInfo, do statechart.Action) {
	switch do {
	case doAdopt:
		a.adopt(now, p, p.incoming, p.incomingVersion, p.incomingVersion == p.version)
	case doAccept:
		c.writeApplied(now, a, p, p.incomingVersion)
		a.adopt(now, p, p.attempt, p.incomingVersion, true)
		p.attempt, p.attemptMoves = nil, nil
	case doWrite:
		c.write(p)
	case doDrop:
		p.attempt, p.attemptMoves = nil, nil
	case doRead:
		c.readPack(now, a, p)
	case doSettle:
		c.resolveAttempt(now, a, p)
	}
}

// resolveAttempt finds out from the pack as read whether the unconfirmed write
// was applied. If the old version was read, the write may still be applied
// later; the next write is then refused, and the pack is read again.
func (c *Core) resolveAttempt(now mono.Time, a *app, p *packInfo) {
	if p.incoming.Token == p.attempt.Token || c.disabled.writerToken {
		c.writeApplied(now, a, p, p.incomingVersion)
	}
	p.attempt, p.attemptMoves = nil, nil
}

// writeApplied announces an applied write and starts the cooldown of moved
// slices.
func (c *Core) writeApplied(now mono.Time, a *app, p *packInfo, version uint64) {
	for _, m := range p.attemptMoves {
		if m.Reason == ReleasedByOwner {
			a.movedAt[m.Slice.ID] = now
		}
	}
	c.emit(PackApplied{Name: assignment.PackName(a.params.Name, p.first), Version: version, Moves: p.attemptMoves})
}

// write sends the pack's draft as a conditional write on the version last
// adopted.
func (c *Core) write(p *packInfo) {
	p.attempt, p.attemptMoves = p.draft, p.draftMoves
	p.draft, p.draftMoves = nil, nil
	p.attempt.Token = c.nextToken()
	raw, err := p.attempt.Encode()
	if err != nil {
		return
	}
	version := p.version
	if c.disabled.writeCondition {
		version = anyVersion
	}
	name := assignment.PackName(p.attempt.App, p.first)
	c.emit(Write{Kind: assignment.Kind, Name: name, IfVersion: version, Token: p.attempt.Token, Value: raw, Moves: p.attemptMoves})
}

// anyVersion is sent in place of the version when disabledChecks.writeCondition
// is set; the model's store then applies the write to any version.
const anyVersion = 1<<64 - 1

func (c *Core) readPack(now mono.Time, a *app, p *packInfo) {
	p.readSentAt = now
	c.emit(Read{Kind: assignment.Kind, Name: assignment.PackName(a.params.Name, p.first)})
}

// retryReads repeats the reads of packs that have not been answered in time.
func (c *Core) retryReads(now mono.Time, a *app) {
	for _, p := range a.packs {
		awaitsRead := p.state == packUnknown || p.state == packDoubtful
		if awaitsRead && now.Sub(p.readSentAt) >= c.cfg.ReadRetry {
			c.readPack(now, a, p)
		}
	}
}
