package grant

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
)

// fleetTarget is one instance of a target.
type fleetTarget struct {
	born      int64
	sequence  uint64
	drift     float64
	held      map[key.Slice]fleetHold
	seen      map[key.Slice]uint64
	freed     map[key.Slice]string
	nextBeat  mono.Time
	awaiting  uint64 // The sequence whose answer is awaited, 0 if none.
	sentAt    mono.Time
	answerAt  mono.Time // When the awaited answer arrives.
	answer    HeartbeatAnswer
	releasing bool
}

type fleetHold struct {
	epoch   uint64
	until   mono.Time
	working mono.Time // Until when a request of the slice runs.
	ending  bool
}

// holds reports whether the target would run a request of a slice, or runs one.
func (t *fleetTarget) holds(now mono.Time, s key.Slice) bool {
	h, ok := t.held[s]
	return ok && (!h.ending && now.Before(h.until) || now.Before(h.working))
}

// expire drops the holds that are over.
func (t *fleetTarget) expire(now mono.Time) {
	t.releasing = false
	for s, h := range t.held {
		switch {
		case t.holds(now, s):
			t.releasing = t.releasing || h.ending
		case h.ending:
			t.freed[s] = "tok"
			delete(t.held, s)
		default:
			delete(t.held, s)
		}
	}
}

// beat sends a heartbeat if one is due. The next one waits for its answer.
func (t *fleetTarget) beat(h *fleetHost) {
	now, rng := h.m.now, h.m.rng
	t.expire(now)
	if t.awaiting != 0 || now.Before(t.nextBeat) {
		return
	}
	t.sequence++
	t.awaiting, t.sentAt, t.answerAt = t.sequence, now, mono.Never
	var report Report
	for id := range key.SliceID(fleetSlices) {
		r := Range{App: app, First: id, Last: id}
		if hold, ok := t.held[slice(id)]; ok {
			report.Held = append(report.Held, HeldRange{Range: r, Epoch: hold.epoch})
		}
		if token, ok := t.freed[slice(id)]; ok {
			report.Freed = append(report.Freed, FreedRange{Range: r, Token: token})
		}
	}
	b := fleetHeartbeat{target: t, sequence: t.sequence, report: report, arrives: now.Add(time.Duration(rng.IntN(3)) * fleetStep)}
	switch rng.IntN(12) {
	case 0:
		return // Lost.
	case 1, 2:
		b.arrives = now.Add(time.Duration(rng.IntN(6000)) * time.Millisecond)
	case 3:
		h.inbox = append(h.inbox, b) // Arrives twice.
		b.arrives = b.arrives.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
	h.inbox = append(h.inbox, b)
}

// deliver sends the answer to a heartbeat on its way to the target.
func (t *fleetTarget) deliver(m *fleetModel, sequence uint64, a HeartbeatAnswer) {
	if t.awaiting != sequence || t.answerAt != mono.Never {
		return
	}
	t.answer = a
	t.answerAt = m.now.Add(time.Duration(m.rng.IntN(3)) * fleetStep)
	if m.rng.IntN(8) == 0 {
		t.answerAt = m.now.Add(time.Duration(m.rng.IntN(1500)) * time.Millisecond)
	}
}

// takeAnswer applies the awaited answer, or gives it up after answerBound.
func (t *fleetTarget) takeAnswer(m *fleetModel) {
	switch {
	case t.awaiting == 0:
		return
	case m.now.Sub(t.sentAt) > answerBound:
		t.awaiting, t.nextBeat = 0, m.now
		return
	case t.answerAt == mono.Never || t.answerAt.After(m.now):
		return
	}
	t.awaiting = 0
	t.apply(m, t.answer)
	t.nextBeat = t.sentAt.Add(heartbeatInterval)
	if t.releasing {
		t.nextBeat = m.now.Add(100 * time.Millisecond)
	}
}

// apply takes an answer: it releases what is left out and refuses rows with an
// epoch below one that it has seen.
func (t *fleetTarget) apply(m *fleetModel, a HeartbeatAnswer) {
	clear(t.freed)
	if a.Hold == 0 {
		return
	}
	granted := make(map[key.Slice]bool)
	until := t.sentAt.Add(time.Duration(float64(a.Hold) * (1 + t.drift)))
	for _, r := range a.Rows {
		if !t.accepts(r) {
			continue
		}
		for id := r.Range.First; id <= r.Range.Last; id++ {
			s := slice(id)
			granted[s] = true
			t.seen[s] = r.Epoch
			t.held[s] = fleetHold{epoch: r.Epoch, until: until, working: t.held[s].working}
		}
	}
	for s, h := range t.held {
		if granted[s] || h.ending {
			continue
		}
		h.ending = true
		if !m.now.Before(h.until) {
			continue
		}
		h.working = min(h.until, m.now.Add(time.Duration(m.rng.IntN(300))*time.Millisecond))
		t.held[s] = h
		t.releasing = true
	}
}

func (t *fleetTarget) accepts(r Row) bool {
	for id := r.Range.First; id <= r.Range.Last; id++ {
		if t.seen[slice(id)] > r.Epoch {
			return false
		}
	}
	return true
}
