// Package membudget decides who gives way when the connections of callers would
// hold more memory, or more descriptors, than a daemon may use for them. Callers
// that nobody controls may open many connections and send requests that never end,
// so that the bound on a single request does not bound their sum.
//
// A holder is a connection. All of its bytes count: the connection itself, its
// buffers, the bodies of its requests and the answers that it has not read. If a
// holder would grow above the bound, others that are slower and larger are closed
// for it; if it is the slowest and largest itself, it is refused.
package membudget

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// othersShare is the part of the bound, one in so many, that connections of
	// callers leave to other uses, whether these use it or not.
	othersShare = 8
	// longShare is the part of the bound, one in so many, above which a holder is
	// long.
	longShare = 16
	// shortReserve is the part of the connections' share, one in so many, that long
	// holders leave to others.
	shortReserve = 4
	// slackShare is the part of the bound, one in so many, that is freed beyond
	// what is needed, so that not each request in a crowd looks for a victim.
	slackShare = 32
)

// ID identifies a holder.
type ID uint64

// State is what a connection does. It determines whether it may be closed.
type State uint8

const (
	// Receiving means that a request is being read. It has not run: the connection
	// may be closed.
	Receiving State = iota
	// Idle means that no request is being read, runs or is answered. The
	// connection is closed if no other holder can be.
	Idle
	// Running means that a request of the connection runs. It is never closed.
	Running
	// Delivering means that an answer is being written. The connection may be
	// closed once the caller has not read on for Config.StallAfter.
	Delivering
)

// Config sets the bounds.
type Config struct {
	// Bytes bounds the sum of all holders and of other uses; 0 is no bound.
	Bytes int
	// Holders bounds their number; 0 is no bound.
	Holders int
	// StallAfter is how long an answer may go unread before its connection may be
	// closed.
	StallAfter time.Duration
}

type holder struct {
	bytes int
	state State
	since mono.Time // Of the state, or of the last progress in it.
}

// Budget counts what holders use. It is not safe for concurrent use.
//
// Invariants: the sum of the holders exceeds neither the bound nor the ceiling of a
// holder that grew, except by answers, which are never refused; a holder that is
// evicted counts no longer.
type Budget struct {
	cfg     Config
	holders map[ID]*holder
	last    ID
	sum     int // Of the holders.
	others  int
}

// New returns a budget without holders.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, holders: make(map[ID]*holder)}
}

// Open adds a holder, which is idle. If ok is false, there is no room for it. The
// evicted holders must be closed.
func (b *Budget) Open(now mono.Time, bytes int) (id ID, evicted []ID, ok bool) {
	if b.cfg.Holders > 0 && len(b.holders) >= b.cfg.Holders {
		count := len(b.holders) - b.cfg.Holders + 1
		evicted = b.evictCount(now, count, count+b.cfg.Holders/slackShare)
		if len(evicted) == 0 {
			return 0, nil, false
		}
	}
	b.last++
	h := &holder{state: Idle, since: now}
	b.holders[b.last] = h
	more, ok := b.Grow(now, b.last, bytes)
	evicted = append(evicted, more...)
	if !ok {
		delete(b.holders, b.last)
		return 0, evicted, false
	}
	return b.last, evicted, true
}

// Grow adds bytes to a holder. If ok is false, there is no room for them, or the
// holder was evicted before, and nothing is added.
func (b *Budget) Grow(now mono.Time, id ID, bytes int) (evicted []ID, ok bool) {
	h := b.holders[id]
	if h == nil {
		return nil, false
	}
	if excess := b.sum + bytes - b.ceiling(h.bytes+bytes); b.cfg.Bytes > 0 && excess > 0 {
		evicted = b.evictBytes(now, id, weight(now, h, bytes), excess)
		if len(evicted) == 0 {
			return nil, false
		}
	}
	h.bytes += bytes
	b.sum += bytes
	return evicted, true
}

// Force adds bytes to a holder even if there is no room: an answer is not refused.
// If other holders don't give way and the whole bound is exceeded, holders whose
// answers are not being read are evicted at once, the holder itself among them.
func (b *Budget) Force(now mono.Time, id ID, bytes int) (evicted []ID) {
	h := b.holders[id]
	if h == nil {
		return nil
	}
	h.bytes += bytes
	b.sum += bytes
	if b.cfg.Bytes == 0 {
		return nil
	}
	if excess := b.sum - b.share(); excess > 0 {
		evicted = b.evictBytes(now, id, 0, excess)
	}
	if excess := b.sum + b.others - b.cfg.Bytes; excess > 0 {
		unread := b.candidates(now, 0, func(h *holder) bool { return h.state == Delivering })
		evicted = append(evicted, b.evictUntil(unread, always(excess))...)
	}
	return evicted
}

// always evicts what there is, up to the excess.
func always(excess int) need {
	return func(freed, _ int) (enough, full bool) { return true, freed >= excess }
}

// Shrink takes off bytes of a holder.
func (b *Budget) Shrink(id ID, bytes int) {
	if h := b.holders[id]; h != nil {
		h.bytes -= bytes
		b.sum -= bytes
	}
}

// SetState changes the state of a holder. In the state Delivering it is called
// again whenever the caller has read on.
func (b *Budget) SetState(now mono.Time, id ID, s State) {
	if h := b.holders[id]; h != nil && (h.state != s || s == Delivering) {
		h.state, h.since = s, now
	}
}

// Close removes a holder.
func (b *Budget) Close(id ID) {
	if h := b.holders[id]; h != nil {
		b.sum -= h.bytes
		delete(b.holders, id)
	}
}

// SetOthers sets how many bytes other uses hold, such as the messages of other
// daemons and the bodies at the gate. Connections leave them an eighth of the bound
// in any case.
func (b *Budget) SetOthers(bytes int) {
	b.others = bytes
}

// RoomForOthers returns how many bytes other uses may hold.
func (b *Budget) RoomForOthers() int {
	return b.cfg.Bytes - b.sum
}

// Used returns the sum of the holders and of other uses, and the number of holders.
func (b *Budget) Used() (bytes, holders int) {
	return b.sum + b.others, len(b.holders)
}

// Longest returns how many bytes a holder may have if it is alone.
func (b *Budget) Longest() int {
	return ceilingOf(b.cfg.Bytes, b.cfg.Bytes-b.cfg.Bytes/othersShare, b.cfg.Bytes)
}

// share returns how many bytes holders may have.
func (b *Budget) share() int {
	return b.cfg.Bytes - max(b.others, b.cfg.Bytes/othersShare)
}

// ceiling returns how far the sum may rise with a holder of a size.
func (b *Budget) ceiling(size int) int {
	return ceilingOf(b.cfg.Bytes, b.share(), size)
}

func ceilingOf(bound, share, size int) int {
	if size > bound/longShare {
		return share - share/shortReserve
	}
	return share
}

// need says of what was freed, and of how many holders, whether it is enough and
// whether no more is wanted.
type need func(freed, count int) (enough, full bool)

// evictBytes evicts holders that weigh more than a weight, with at least the excess
// and a little more if there are more; none if that is not enough.
func (b *Budget) evictBytes(now mono.Time, id ID, above float64, excess int) []ID {
	return b.evictUntil(b.evictable(now, id, above), func(freed, _ int) (enough, full bool) {
		return freed >= excess, freed >= excess+b.cfg.Bytes/slackShare
	})
}

// evictCount evicts holders: at least the count least, and up to the count most.
func (b *Budget) evictCount(now mono.Time, least, most int) []ID {
	return b.evictUntil(b.evictable(now, 0, 0), func(_, count int) (enough, full bool) {
		return count >= least, count >= most
	})
}

// evictUntil evicts candidates in their order until no more are wanted, but none if
// all are not enough.
func (b *Budget) evictUntil(candidates []candidate, wanted need) []ID {
	freed, count := 0, 0
	enough, full := false, false
	for _, c := range candidates {
		if full {
			break
		}
		freed += b.holders[c.id].bytes
		count++
		enough, full = wanted(freed, count)
	}
	if !enough {
		return nil
	}
	evicted := make([]ID, count)
	for i, c := range candidates[:count] {
		evicted[i] = c.id
		b.Close(c.id)
	}
	return evicted
}

type candidate struct {
	id     ID
	idle   bool
	weight float64
}

// evictable returns the holders but one that may be evicted and weigh more than the
// given weight, in the order in which they are.
func (b *Budget) evictable(now mono.Time, id ID, above float64) []candidate {
	return b.candidates(now, above, func(h *holder) bool { return h != b.holders[id] && b.mayEvict(now, h) })
}

// candidates returns the holders that the function selects and that weigh more than
// the given weight: the heaviest first, idle ones last.
func (b *Budget) candidates(now mono.Time, above float64, selects func(*holder) bool) []candidate {
	var list []candidate
	for id, h := range b.holders {
		if !selects(h) {
			continue
		}
		if w := weight(now, h, 0); w > above {
			list = append(list, candidate{id: id, idle: h.state == Idle, weight: w})
		}
	}
	slices.SortFunc(list, compare)
	return list
}

func compare(a, b candidate) int {
	if a.idle != b.idle {
		if b.idle {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
}

func (b *Budget) mayEvict(now mono.Time, h *holder) bool {
	switch h.state {
	case Receiving, Idle:
		return true
	case Delivering:
		return now.Sub(h.since) >= b.cfg.StallAfter
	default:
		return false
	}
}

// weight says how slow and large a holder is: its bytes, with those by which it
// grows, times the time that it has held them.
func weight(now mono.Time, h *holder, growth int) float64 {
	return float64(h.bytes+growth) * now.Sub(h.since).Seconds()
}
