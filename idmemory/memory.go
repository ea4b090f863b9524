// Package idmemory remembers which request ids a gate has let run, so that a
// repeat of one never runs twice. The memory is bounded in entries, in the
// bytes of kept answers and in time. What it dropped it can't know: for each
// slice it keeps the horizon, the time up to which ids may have been dropped,
// and an id that is not newer counts as unknown, never as new.
package idmemory

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
)

// Config bounds a Memory.
type Config struct {
	// MaxIDs is how many ids are remembered.
	MaxIDs int `json:"max_ids"`
	// MaxAge is how long an id is remembered.
	MaxAge time.Duration `json:"max_age"`
	// MaxAnswerBytes bounds the bytes of the kept answers.
	MaxAnswerBytes int `json:"max_answer_bytes"`
	// Skew is how far the clocks of callers and hosts may be apart.
	Skew time.Duration `json:"skew"`
}

// DefaultConfig returns the settings of a daemon that has none of its own.
func DefaultConfig() Config {
	return Config{MaxIDs: 1 << 16, MaxAge: 10 * time.Minute, MaxAnswerBytes: 4 << 20, Skew: 2 * time.Second}
}

// State is what the memory knows of an id.
type State uint8

// The states of an id.
const (
	// Unseen: the id is not in the memory. The horizon says whether that
	// means anything.
	Unseen State = iota
	// InFlight: a request with the id is queued or runs.
	InFlight
	// Finished: a request with the id ran, or may have run.
	Finished
)

// Found is what Find returns.
type Found struct {
	State State
	// SameContent is false if the id came with another content before.
	SameContent bool
	// Answer is the kept answer of a finished request, or nil.
	Answer *request.Answer
	// Slot names the entry for Finish and Forget.
	Slot Slot
}

// Slot names an entry of the memory. The zero Slot names none.
type Slot struct {
	position uint32
	serial   uint32
}

// entry is one remembered id. The id itself is not kept: two hashes, 96 bits
// that have to agree, stand for it.
type entry struct {
	idHash  uint64
	answer  *request.Answer
	check   uint32 // second hash of the id
	content uint32 // hash of what the request asks
	seenS   uint32 // when it was first seen, seconds since 1970
	serial  uint32
	slice   uint32 // index in slices
	state   State
}

// Memory remembers ids. It is used by one thread.
type Memory struct {
	cfg     Config
	ring    []entry
	head    int // oldest entry
	count   int
	index   map[uint64]uint32
	serial  uint32
	slices  []sliceInfo
	sliceOf map[key.Slice]uint32
	answers answerQueue
}

type sliceInfo struct {
	droppedMs int64 // ids seen up to this time may have been dropped
}

// New returns an empty memory.
func New(cfg Config) *Memory {
	return &Memory{cfg: cfg, sliceOf: make(map[key.Slice]uint32)}
}

// reserve takes the room for all ids with the first one: an app whose ids are
// never used twice needs none.
func (m *Memory) reserve() {
	if m.ring == nil {
		m.ring = make([]entry, m.cfg.MaxIDs)
		m.index = make(map[uint64]uint32, m.cfg.MaxIDs)
	}
}

// Len returns the number of ids that are remembered.
func (m *Memory) Len() int {
	return m.count
}

// DroppedMs returns the time, in milliseconds since 1970 by this host's
// clock, up to which ids of the slice may have been dropped; 0 if none was.
func (m *Memory) DroppedMs(s key.Slice) int64 {
	i, ok := m.sliceOf[s]
	if !ok {
		return 0
	}
	return m.slices[i].droppedMs
}

// Find returns what is known of a request's id within its slice.
func (m *Memory) Find(s key.Slice, r *request.Request) Found {
	h, check := hashID(s, r.ID)
	at, ok := m.index[h]
	if !ok || m.ring[at].check != check {
		return Found{}
	}
	e := &m.ring[at]
	return Found{
		State:       e.state,
		SameContent: e.content == hashContent(r),
		Answer:      e.answer,
		Slot:        Slot{position: at, serial: e.serial},
	}
}

// Begin remembers the id of a request that is let in at nowMs, milliseconds
// since 1970. It returns false if there is no room: every id is in flight.
func (m *Memory) Begin(s key.Slice, r *request.Request, nowMs int64) (Slot, bool) {
	m.reserve()
	if !m.makeRoom() {
		return Slot{}, false
	}
	h, check := hashID(s, r.ID)
	if at, taken := m.index[h]; taken {
		m.raiseHorizon(&m.ring[at])
		m.erase(at)
	}
	m.serial++
	at := uint32((m.head + m.count) % len(m.ring))
	m.ring[at] = entry{
		idHash:  h,
		check:   check,
		content: hashContent(r),
		seenS:   uint32(nowMs / msPerSecond),
		serial:  m.serial,
		slice:   m.sliceIndex(s),
		state:   InFlight,
	}
	m.index[h] = at
	m.count++
	return Slot{position: at, serial: m.serial}, true
}

// Finish notes that the request of a slot ran or may have run. The answer may
// be nil; it is kept while there is room for it.
func (m *Memory) Finish(slot Slot, a *request.Answer) {
	e := m.at(slot)
	if e == nil {
		return
	}
	e.state = Finished
	if a == nil || e.answer != nil {
		return
	}
	if keptBytes(a) > m.cfg.MaxAnswerBytes {
		return
	}
	e.answer = a
	m.answers.push(slot, keptBytes(a))
	m.boundAnswers()
}

// Forget drops the id of a request that did not run and never will.
func (m *Memory) Forget(slot Slot) {
	if m.at(slot) != nil {
		m.erase(slot.position)
	}
}

// Expire drops ids that are older than the memory's age at nowMs.
func (m *Memory) Expire(nowMs int64) {
	oldest := (nowMs - m.cfg.MaxAge.Milliseconds()) / msPerSecond
	for m.count > 0 {
		e := &m.ring[m.head]
		if e.state == InFlight || e.state != Unseen && int64(e.seenS) >= oldest {
			return
		}
		m.dropHead()
	}
}

const msPerSecond = 1000

// answerOverhead is about what a kept answer takes beside its texts.
const answerOverhead = 192

func keptBytes(a *request.Answer) int {
	return answerOverhead + len(a.Type) + len(a.Body)
}

func (m *Memory) at(slot Slot) *entry {
	if slot.serial == 0 {
		return nil
	}
	e := &m.ring[slot.position]
	if e.serial != slot.serial || e.state == Unseen {
		return nil
	}
	return e
}

// erase takes an entry out and leaves a hole in the ring.
func (m *Memory) erase(at uint32) {
	e := &m.ring[at]
	if e.answer != nil {
		m.answers.bytes -= keptBytes(e.answer)
	}
	delete(m.index, e.idHash)
	*e = entry{}
}

// makeRoom drops the oldest entry if the ring is full. Entries in flight are
// kept: they move to the young end.
func (m *Memory) makeRoom() bool {
	if m.count < len(m.ring) {
		return true
	}
	for range len(m.ring) {
		if m.ring[m.head].state != InFlight {
			m.dropHead()
			return true
		}
		m.rotate()
	}
	return false
}

// dropHead drops the oldest entry and raises its slice's horizon.
func (m *Memory) dropHead() {
	e := &m.ring[m.head]
	if e.state != Unseen {
		m.raiseHorizon(e)
		m.erase(uint32(m.head))
	}
	m.head = (m.head + 1) % len(m.ring)
	m.count--
}

// raiseHorizon notes that an id is dropped: whatever is not newer can't be
// known any more.
func (m *Memory) raiseHorizon(e *entry) {
	info := &m.slices[e.slice]
	info.droppedMs = max(info.droppedMs, (int64(e.seenS)+1)*msPerSecond)
}

// rotate moves the oldest entry of a full ring to the young end, where it
// stands already: only the head moves on.
func (m *Memory) rotate() {
	m.head = (m.head + 1) % len(m.ring)
}

func (m *Memory) sliceIndex(s key.Slice) uint32 {
	if i, ok := m.sliceOf[s]; ok {
		return i
	}
	i := uint32(len(m.slices))
	m.slices = append(m.slices, sliceInfo{})
	m.sliceOf[s] = i
	return i
}

// boundAnswers drops the oldest kept answers until the rest fits. The ids stay.
func (m *Memory) boundAnswers() {
	for m.answers.bytes > m.cfg.MaxAnswerBytes {
		slot, ok := m.answers.pop()
		if !ok {
			return
		}
		e := m.at(slot)
		if e == nil || e.answer == nil {
			continue
		}
		m.answers.bytes -= keptBytes(e.answer)
		e.answer = nil
	}
}

func hashID(s key.Slice, id string) (uint64, uint32) {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(s.ID))
	_, _ = d.WriteString(string(s.App))
	_, _ = d.Write(separator)
	_, _ = d.WriteString(id)
	h := d.Sum64()
	_, _ = d.Write(separator)
	return h, uint32(d.Sum64() >> 32)
}

var separator = []byte{0}

// hashContent hashes what a request asks: a repeat asks the same.
func hashContent(r *request.Request) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{r.Key, r.Method, r.Path, r.Type} {
		_, _ = d.WriteString(part)
		_, _ = d.Write(separator)
	}
	_, _ = d.Write(r.Body)
	return uint32(d.Sum64())
}
