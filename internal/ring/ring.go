// Package ring provides the bounded queues between the goroutines of a daemon.
// A full ring refuses an item and counts the refusal; the producer decides what
// to do with the refused item.
package ring

import (
	"github.com/rcrowley/go-metrics"
)

// Ring is a bounded queue of items of type T for any number of producers and
// consumers. It is safe for concurrent use.
type Ring[T any] struct {
	name    string
	items   chan T
	refused metrics.Counter
}

// New returns an empty ring for up to size items. Its refusals are counted in
// the registry as "ring.NAME.refused". It panics if that metric exists already.
func New[T any](name string, size int, registry metrics.Registry) *Ring[T] {
	r := &Ring[T]{name: name, items: make(chan T, size), refused: metrics.NewCounter()}
	if err := registry.Register("ring."+name+".refused", r.refused); err != nil {
		panic(err)
	}
	return r
}

// Name returns the ring's name in metrics and logs.
func (r *Ring[T]) Name() string {
	return r.name
}

// Push adds an item without blocking. If the ring is full, it counts a refusal
// and returns false.
func (r *Ring[T]) Push(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Inc(1)
		return false
	}
}

// PushIfBelow adds an item only if fewer than limit items are queued, which
// keeps the rest of the ring free for items that must not be refused. Otherwise
// it counts a refusal and returns false. Concurrent calls may exceed the limit
// by their number, since the check and the push are not atomic.
func (r *Ring[T]) PushIfBelow(limit int, item T) bool {
	if len(r.items) >= limit {
		r.refused.Inc(1)
		return false
	}
	return r.Push(item)
}

// PushWait adds an item and blocks while the ring is full. It returns false if
// stop is closed first; it counts no refusal.
func (r *Ring[T]) PushWait(item T, stop <-chan struct{}) bool {
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

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Refused returns the number of items refused since New.
func (r *Ring[T]) Refused() int64 {
	return r.refused.Count()
}
