package ownermodel

import (
	"time"

	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	heartbeatInterval = 870 * time.Millisecond
	earlyInterval     = 100 * time.Millisecond
	// answerBound is how long a target waits for the answer to a heartbeat.
	answerBound = time.Second
	// lateHeartbeat is how late a heartbeat arrives at most.
	lateHeartbeat = 6 * time.Second
)

// heartbeats is the part of an instance that sends heartbeats.
type heartbeats struct {
	sequence uint64
	nextBeat mono.Time
	sentAt   mono.Time
	awaiting bool // The answer to the heartbeat with that sequence.
}

// beat sends a heartbeat if one is due. The next one waits for its answer.
func (i *instance) beat() {
	m := i.m
	if i.awaiting && m.now.Sub(i.sentAt) > answerBound {
		i.awaiting, i.nextBeat = false, m.now
	}
	if i.awaiting || m.now.Before(i.nextBeat) {
		return
	}
	i.sequence++
	i.awaiting, i.sentAt = true, m.now
	sequence, report := i.sequence, i.report()
	arrive := func() { i.host.daemon.heartbeat(i, sequence, report) }
	arriveLate := func() {
		if !m.quiet {
			arrive()
		}
	}
	switch {
	case m.chance(12): // Lost.
	case m.chance(12):
		m.after(m.between(0, lateHeartbeat), arriveLate)
	case m.chance(12): // Arrives twice.
		m.after(transit(m), arrive)
		m.after(m.between(0, lateHeartbeat), arriveLate)
	default:
		m.after(transit(m), arrive)
	}
}

// report names what the instance holds or still works on.
func (i *instance) report() grant.Report {
	var r grant.Report
	for id := range key.SliceID(sliceCount) {
		if i.holdsSlice(id) || i.worksOn(id) {
			held := grant.Range{App: app, First: id, Last: id}
			r.Held = append(r.Held, grant.HeldRange{Range: held, Epoch: i.holds[id].epoch})
		}
	}
	return r
}

// deliver sends the answer to a heartbeat on its way.
func (i *instance) deliver(sequence uint64, a grant.HeartbeatAnswer) {
	m := i.m
	late := transit(m)
	if m.chance(8) {
		late = m.between(0, answerBound)
	}
	m.after(late, func() { i.receive(sequence, a) })
}

// receive takes the answer to a heartbeat. Its grants count from when the
// heartbeat was sent; it releases what is left out.
func (i *instance) receive(sequence uint64, a grant.HeartbeatAnswer) {
	m := i.m
	if !i.alive || !i.awaiting || sequence != i.sequence || m.now.Sub(i.sentAt) > answerBound {
		return
	}
	i.awaiting = false
	i.nextBeat = i.sentAt.Add(heartbeatInterval)
	if a.Hold > 0 {
		i.takeRows(a)
	}
}

func (i *instance) takeRows(a grant.HeartbeatAnswer) {
	until := i.sentAt.Add(time.Duration(float64(a.Hold) * (1 + i.drift)))
	var granted [sliceCount]bool
	for _, r := range a.Rows {
		if !i.accepts(r.Range, r.Epoch) {
			continue
		}
		for id := r.Range.First; id <= r.Range.Last; id++ {
			granted[id] = true
			i.take(id, r.Epoch, until)
		}
	}
	for id := range i.holds {
		if granted[id] || i.holds[id].released {
			continue
		}
		i.holds[id].released = true
		i.nextBeat = i.m.now.Add(earlyInterval)
	}
}
