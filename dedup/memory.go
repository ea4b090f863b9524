// Package dedup deduplicates requests by id: it records the ids that a gate
// has admitted, so that no request runs twice under one id. The memory is
// bounded by the number of ids, the bytes of kept answers and the age of an
// id. For each slice it keeps a horizon, the time up to which ids may have
// been dropped. Whether an id from before the horizon was ever admitted can't
// be decided: the caller of this package must treat it as unknown, never as
// new.
package dedup

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
)

// Config bounds a Memory.
type Config struct {
	// MaxIDs is the largest number of ids that are remembered.
	MaxIDs int `json:"max_ids"`
	// MaxAge is how long an id is remembered.
	MaxAge time.Duration `json:"max_age"`
	// MaxAnswerBytes bounds the total size of the kept answers in bytes.
	MaxAnswerBytes int `json:"max_answer_bytes"`
	// Skew is the largest difference between the clocks of callers and hosts
	// that is tolerated.
	Skew time.Duration `json:"skew"`
}

// DefaultConfig returns the bounds that apply if none are configured.
func DefaultConfig() Config {
	return Config{MaxIDs: 1 << 16, MaxAge: 10 * time.Minute, MaxAnswerBytes: 4 << 20, Skew: 2 * time.Second}
}

// State says what is recorded about an id.
type State uint8

// The states of an id.
const (
	// Unseen: the id is not in the memory. It is new only if it is newer than
	// the slice's horizon; otherwise it may have been dropped.
	Unseen State = iota
	// InFlight: a request with the id is queued or running.
	InFlight
	// Finished: a request with the id ran, or may have run.
	Finished
)

// Found is the result of a lookup.
type Found struct {
	State State
	// SameContent reports whether the recorded request had the same content:
	// key, method, path, content type and body.
	SameContent bool
	// Answer is the kept answer of a finished request, or nil.
	Answer *request.Answer
	// Ref identifies the entry for Finish and Forget.
	Ref EntryRef
}

// EntryRef identifies an entry of the memory. The serial number tells the entry
// from later ones at the same position. The zero EntryRef identifies none.
type EntryRef struct {
	position uint32
	serial   uint32
}

// entry is one remembered id. The id itself is not stored; two hashes of
// together 96 bits stand for it, and both have to match.
type entry struct {
	idHash  uint64
	answer  *request.Answer
	check   uint32 // second hash of the id
	content uint32 // hash of the request's content
	seenSec uint32 // when the id was admitted, whole seconds since 1970, rounded down
	serial  uint32
	slice   uint32 // index in slices
	state   State
}

// Memory holds the entries in a ring in the order of their admission, except
// that requests in flight move to the newest end when the ring is full. An
// entry that was erased leaves a hole. Memory is not safe for concurrent use.
type Memory struct {
	cfg     Config
	ring    []entry
	head    int // oldest entry
	count   int
	index   map[uint64]uint32
	serial  uint32
	slices  []sliceState
	sliceOf map[key.Slice]uint32
	answers answerQueue
}

type sliceState struct {
	horizonMs int64 // ids admitted up to this time may have been dropped
}

// New returns an empty memory. It allocates room for ids with the first one.
func New(cfg Config) *Memory {
	return &Memory{cfg: cfg, sliceOf: make(map[key.Slice]uint32)}
}

// allocate allocates the ring and the index for MaxIDs ids on first use. An
// app all of whose ids are fresh never stores one and needs no memory for them.
func (m *Memory) allocate() {
	if m.ring == nil {
		m.ring = make([]entry, m.cfg.MaxIDs)
		m.index = make(map[uint64]uint32, m.cfg.MaxIDs)
	}
}

// Len returns the number of occupied positions of the ring. Erased entries
// count until the ring's oldest end has passed them.
func (m *Memory) Len() int {
	return m.count
}

// HorizonMs returns the horizon of a slice, in milliseconds since 1970 by this
// host's clock: ids that were admitted up to then may have been dropped. It is
// 0 if none was.
func (m *Memory) HorizonMs(s key.Slice) int64 {
	i, ok := m.sliceOf[s]
	if !ok {
		return 0
	}
	return m.slices[i].horizonMs
}

// Find looks up a request's id within its slice.
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
		Ref:         EntryRef{position: at, serial: e.serial},
	}
}

// Begin records the id of a request that is admitted at nowMs, milliseconds
// since 1970. It returns false if the memory is full of requests in flight. An
// older entry with the same first hash is dropped.
func (m *Memory) Begin(s key.Slice, r *request.Request, nowMs int64) (EntryRef, bool) {
	m.allocate()
	if !m.makeRoom() {
		return EntryRef{}, false
	}
	h, check := hashID(s, r.ID)
	if at, taken := m.index[h]; taken {
		m.advanceHorizon(&m.ring[at])
		m.erase(at)
	}
	m.serial++
	at := uint32((m.head + m.count) % len(m.ring))
	m.ring[at] = entry{
		idHash:  h,
		check:   check,
		content: hashContent(r),
		seenSec: uint32(nowMs / msPerSecond),
		serial:  m.serial,
		slice:   m.sliceIndex(s),
		state:   InFlight,
	}
	m.index[h] = at
	m.count++
	return EntryRef{position: at, serial: m.serial}, true
}

// Finish records that the request of an entry ran or may have run. The answer
// may be nil. It is kept until the entry is dropped or newer answers need its
// bytes; an answer that exceeds MaxAnswerBytes by itself is not kept.
func (m *Memory) Finish(ref EntryRef, a *request.Answer) {
	e := m.entryAt(ref)
	if e == nil {
		return
	}
	e.state = Finished
	if a == nil || e.answer != nil {
		return
	}
	if answerBytes(a) > m.cfg.MaxAnswerBytes {
		return
	}
	e.answer = a
	m.answers.push(ref, answerBytes(a))
	m.dropExcessAnswers()
}

// Forget removes the id of a request that did not run and never will. The
// horizon does not advance, since nothing that ran is forgotten.
func (m *Memory) Forget(ref EntryRef) {
	if m.entryAt(ref) != nil {
		m.erase(ref.position)
	}
}

// Expire drops ids that are older than MaxAge at nowMs, milliseconds since
// 1970, oldest first. It stops at the first request in flight.
func (m *Memory) Expire(nowMs int64) {
	oldest := (nowMs - m.cfg.MaxAge.Milliseconds()) / msPerSecond
	for m.count > 0 {
		e := &m.ring[m.head]
		if e.state == InFlight || e.state != Unseen && int64(e.seenSec) >= oldest {
			return
		}
		m.dropOldest()
	}
}

const msPerSecond = 1000

// answerOverhead approximates the bytes of a kept answer besides its content
// type and body. Its header is not counted.
const answerOverhead = 192

func answerBytes(a *request.Answer) int {
	return answerOverhead + len(a.ContentType) + len(a.Body)
}

func (m *Memory) entryAt(ref EntryRef) *entry {
	if ref.serial == 0 {
		return nil
	}
	e := &m.ring[ref.position]
	if e.serial != ref.serial || e.state == Unseen {
		return nil
	}
	return e
}

// erase removes an entry and its answer and leaves a hole in the ring.
func (m *Memory) erase(at uint32) {
	e := &m.ring[at]
	if e.answer != nil {
		m.answers.bytes -= answerBytes(e.answer)
	}
	delete(m.index, e.idHash)
	*e = entry{}
}

// makeRoom drops the oldest entry if the ring is full. Requests in flight are
// never dropped: they become the newest entries. It returns false if every
// entry is in flight.
func (m *Memory) makeRoom() bool {
	if m.count < len(m.ring) {
		return true
	}
	for range len(m.ring) {
		if m.ring[m.head].state != InFlight {
			m.dropOldest()
			return true
		}
		m.moveOldestToNewest()
	}
	return false
}

// dropOldest drops the oldest entry and advances its slice's horizon.
func (m *Memory) dropOldest() {
	e := &m.ring[m.head]
	if e.state != Unseen {
		m.advanceHorizon(e)
		m.erase(uint32(m.head))
	}
	m.head = (m.head + 1) % len(m.ring)
	m.count--
}

// advanceHorizon records that an entry's id is dropped. Admission times are
// stored in whole seconds rounded down, so the horizon is the end of that
// second.
func (m *Memory) advanceHorizon(e *entry) {
	info := &m.slices[e.slice]
	info.horizonMs = max(info.horizonMs, (int64(e.seenSec)+1)*msPerSecond)
}

// moveOldestToNewest makes the oldest entry of a full ring the newest one. In a
// full ring the position before the head is the newest one, so that advancing
// the head suffices.
func (m *Memory) moveOldestToNewest() {
	m.head = (m.head + 1) % len(m.ring)
}

func (m *Memory) sliceIndex(s key.Slice) uint32 {
	if i, ok := m.sliceOf[s]; ok {
		return i
	}
	i := uint32(len(m.slices))
	m.slices = append(m.slices, sliceState{})
	m.sliceOf[s] = i
	return i
}

// dropExcessAnswers drops the oldest kept answers until the rest fits into
// MaxAnswerBytes. The ids stay.
func (m *Memory) dropExcessAnswers() {
	for m.answers.bytes > m.cfg.MaxAnswerBytes {
		ref, ok := m.answers.pop()
		if !ok {
			return
		}
		e := m.entryAt(ref)
		if e == nil || e.answer == nil {
			continue
		}
		m.answers.bytes -= answerBytes(e.answer)
		e.answer = nil
	}
}

// hashID returns two hashes of an id within its slice. The second one is the
// upper half of the same digest after one more separator.
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

// hashContent hashes the content of a request: key, method, path, content type
// and body. A repeat has the same content; an id with another content was
// reused.
func hashContent(r *request.Request) uint32 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{r.Key, r.Method, r.Path, r.ContentType} {
		_, _ = d.WriteString(part)
		_, _ = d.Write(separator)
	}
	_, _ = d.Write(r.Body)
	return uint32(d.Sum64())
}
