package placement

import (
	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	packUnknown  chart.State = "unknown"
	packCurrent  chart.State = "current"
	packWriting  chart.State = "writing"
	packDoubtful chart.State = "doubtful"

	eventSeen     chart.Event = "seen"
	eventPlanned  chart.Event = "planned"
	eventWritten  chart.Event = "written"
	eventRefused  chart.Event = "refused"
	eventDoubtful chart.Event = "doubtful"

	doAdopt  chart.Action = "adopt"
	doAccept chart.Action = "accept"
	doWrite  chart.Action = "write"
	doDrop   chart.Action = "drop"
	doRead   chart.Action = "read"
	doSettle chart.Action = "settle"
)

// packInfo is one pack as the leader knows it, by the chart "placement_pack".
type packInfo struct {
	first   key.SliceID
	state   chart.State
	pack    *assignment.Pack
	version uint64
	dirty   bool // Something may have to be done for it.

	incoming        *assignment.Pack // What an event brought, until it is adopted.
	incomingVersion uint64

	attempt      *assignment.Pack // The write under way or in doubt.
	attemptMoves []Move
	draft        *assignment.Pack // The next write while a round plans it.
	draftMoves   []Move
	readSentAt   mono.Time

	hostIndexes []int32 // Host of each session of the pack's table, by index of app.hosts; -1 for none.
	handovers   int     // Slices and carve-outs with a next owner.
}

// packSeen takes a stored pack in. A version older than the one known is
// dropped: reads and watches may overtake each other.
func (c *Core) packSeen(now mono.Time, ev PackSeen) {
	if c.leadership.state == stateFollowing || c.leadership.state == stateClaiming {
		return
	}
	a, p := c.findPack(ev.Pack.App, ev.Pack.First)
	if p == nil || ev.Pack.Total != a.params.Slices || ev.Version < p.version {
		return
	}
	c.observePack(now, a, p, ev.Pack, ev.Version)
}

// packMissing takes in that the store has no such pack. That can't be news of
// a pack that was seen: packs are never deleted.
func (c *Core) packMissing(now mono.Time, ev PackMissing) {
	a, p := c.findPack(ev.App, ev.First)
	if p == nil || p.version != 0 {
		return
	}
	c.observePack(now, a, p, assignment.NewPack(ev.App, a.params.Slices, ev.First), 0)
}

func (c *Core) observePack(now mono.Time, a *app, p *packInfo, pack *assignment.Pack, version uint64) {
	p.incoming, p.incomingVersion = pack, version
	c.firePack(now, a, p, eventSeen)
}

// packAnswered takes the answer to a pack's write. An answer to another write
// than the one under way is an old one.
func (c *Core) packAnswered(now mono.Time, name, token string, ev chart.Event, version uint64) {
	appName, first, ok := assignment.ParseName(name)
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

func (c *Core) firePack(now mono.Time, a *app, p *packInfo, ev chart.Event) {
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
	for _, do := range t.Do {
		c.doPack(now, a, p, do)
	}
}

func (c *Core) doPack(now mono.Time, a *app, p *packInfo, do chart.Action) {
	switch do {
	case doAdopt:
		a.adopt(p, p.incoming, p.incomingVersion)
	case doAccept:
		c.writeApplied(now, a, p, p.incomingVersion)
		a.adopt(p, p.attempt, p.incomingVersion)
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

// resolveAttempt finds out from a pack that was read whether the write in doubt landed
// in it. If the pack read is the old version, the write may yet land; the next
// write then is refused, and the pack read again.
func (c *Core) resolveAttempt(now mono.Time, a *app, p *packInfo) {
	if p.incoming.Token == p.attempt.Token || c.disabled.writerToken {
		c.writeApplied(now, a, p, p.incomingVersion)
	}
	p.attempt, p.attemptMoves = nil, nil
}

func (c *Core) writeApplied(now mono.Time, a *app, p *packInfo, version uint64) {
	for _, m := range p.attemptMoves {
		if m.Reason == ReleasedByOwner {
			a.movedAt[m.Slice.ID] = now
		}
	}
	c.emit(Applied{Name: assignment.Name(a.params.Name, p.first), Version: version, Moves: p.attemptMoves})
}

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
	name := assignment.Name(p.attempt.App, p.first)
	c.emit(Write{Kind: assignment.Kind, Name: name, IfVersion: version, Token: p.attempt.Token, Value: raw, Moves: p.attemptMoves})
}

// anyVersion is what the test of the dropped condition sends.
const anyVersion = 1<<64 - 1

func (c *Core) readPack(now mono.Time, a *app, p *packInfo) {
	p.readSentAt = now
	c.emit(Read{Kind: assignment.Kind, Name: assignment.Name(a.params.Name, p.first)})
}

// retryReads asks again for packs whose read was not answered.
func (c *Core) retryReads(now mono.Time, a *app) {
	for _, p := range a.packs {
		awaitsRead := p.state == packUnknown || p.state == packDoubtful
		if awaitsRead && now.Sub(p.readSentAt) >= c.cfg.ReadRetry {
			c.readPack(now, a, p)
		}
	}
}
