// Package ring joins two duties of a daemon by a bounded queue. A full ring
// refuses the item and counts it; the producer decides what the refusal means.
package ring

import (
	"github.com/rcrowley/go-metrics"
)

// Ring is a bounded queue of items of type T from many producers to one
// consumer. It is safe for concurrent use.
type Ring[T any] struct {
	name    string
	items   chan T
	refused metrics.Counter
}

// New returns an empty ring for up to size items. Its refusals are counted in
// the registry as "ring.NAME.refused".
func New[T any](name string, size int, registry metrics.Registry) *Ring[T] {
	r := &Ring[T]{name: name, items: make(chan T, size), refused: metrics.NewCounter()}
	if err := registry.Register("ring."+name+".refused", r.refused); err != nil {
		panic(err)
	}
	return r
}

// Name returns the ring's name as it stands in metrics and logs.
func (r *Ring[T]) Name() string {
	return r.name
}

// Push adds an item. It returns false, and counts, if the ring is full.
func (r *Ring[T]) Push(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Inc(1)
		return false
	}
}

// PushBelow adds an item only if fewer than limit wait, so that room is left
// for items that must not be refused.
func (r *Ring[T]) PushBelow(limit int, item T) bool {
	if len(r.items) >= limit {
		r.refused.Inc(1)
		return false
	}
	return r.Push(item)
}

// Wait adds an item, waiting for room if there is none. It returns false if
// stop is closed before.
func (r *Ring[T]) Wait(item T, stop <-chan struct{}) bool {
	select {
	case r.items <- item:
		return true
	case <-stop:
		return false
	}
}

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns how many items wait.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Refused returns how many items were refused so far.
func (r *Ring[T]) Refused() int64 {
	return r.refused.Count()
}
