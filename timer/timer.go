// Package timer holds a queue of instants, earliest first. Entries are not
// removed one by one: whoever pops one checks by its number whether it still
// matters, and Compact drops those that don't when they have become many.
package timer

import "github.com/rhubarbring/rhubarbring/mono"

// Entry says what is due at an instant.
type Entry[T any] struct {
	At mono.Time
	// ID tells the entry from earlier ones of the same item.
	ID   uint64
	Item T
}

// Queue is a binary heap of entries. Its zero value is empty and ready.
// Entries of the same instant come in the order of their numbers.
type Queue[T any] struct {
	heap []Entry[T]
	last uint64
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int {
	return len(q.heap)
}

// Add puts an item into the queue and returns the entry's number, which is
// never 0.
func (q *Queue[T]) Add(at mono.Time, item T) uint64 {
	q.last++
	q.heap = append(q.heap, Entry[T]{At: at, ID: q.last, Item: item})
	q.up(len(q.heap) - 1)
	return q.last
}

// Next returns the earliest instant, and false if the queue is empty.
func (q *Queue[T]) Next() (mono.Time, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].At, true
}

// PopDue removes and returns the earliest entry if it is due at now. It
// returns false if none is.
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

// Compact drops the entries that don't matter any longer. Used when they
// outnumber those that do, it costs a constant for each entry ever added.
func (q *Queue[T]) Compact(matters func(Entry[T]) bool) {
	kept := q.heap[:0]
	for _, e := range q.heap {
		if matters(e) {
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
