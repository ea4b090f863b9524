// Package timer implements a priority queue of timers, earliest first. Timers
// are cancelled lazily: an entry stays in the queue, and its owner compares the
// entry's ID with the current one of the item when it is popped. Compact
// removes stale entries once there are many.
package timer

import "github.com/rhubarbring/rhubarbring/mono"

// Entry is a timer: an item that is due at an instant.
type Entry[T any] struct {
	At mono.Time
	// ID distinguishes the entry from other entries of the same item.
	ID   uint64
	Item T
}

// Queue is a binary heap of entries. Its zero value is an empty queue. Entries
// that are due at the same instant are popped in the order in which they were
// added. It is not safe for concurrent use.
type Queue[T any] struct {
	heap []Entry[T]
	last uint64
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int {
	return len(q.heap)
}

// Add adds an item that is due at an instant and returns the entry's ID, which
// is never 0.
func (q *Queue[T]) Add(at mono.Time, item T) uint64 {
	q.last++
	q.heap = append(q.heap, Entry[T]{At: at, ID: q.last, Item: item})
	q.up(len(q.heap) - 1)
	return q.last
}

// NextAt returns the instant of the earliest entry, and false if there is none.
func (q *Queue[T]) NextAt() (mono.Time, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].At, true
}

// PopDue removes and returns the earliest entry if it is due at or before now.
// It returns false if none is.
func (q *Queue[T]) PopDue(now mono.Time) (Entry[T], bool) {
	if len(q.heap) == 0 || q.heap[0].At.After(now) {
		return Entry[T]{}, false
	}
	e := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = Entry[T]{}
	q.heap = q.heap[:last]
	q.down(0)
	return e, true
}

// Compact removes the entries for which keep returns false. It takes time
// linear in the length of the queue: called only when stale entries outnumber
// the others, it costs amortized constant time for each entry added.
func (q *Queue[T]) Compact(keep func(Entry[T]) bool) {
	kept := q.heap[:0]
	for _, e := range q.heap {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	clear(q.heap[len(kept):])
	q.heap = kept
	for i := len(kept)/2 - 1; i >= 0; i-- {
		q.down(i)
	}
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := q.heap[i], q.heap[j]
	if a.At != b.At {
		return a.At < b.At
	}
	return a.ID < b.ID
}

func (q *Queue[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

func (q *Queue[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if child+1 < len(q.heap) && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			return
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
}
