// Package ring provides bounded queues between goroutines. A full queue rejects
// an item; its sender decides how to handle that.
package ring

import "sync/atomic"

// Ring is a bounded first-in first-out queue. It is safe for concurrent use by
// several senders and receivers.
type Ring[T any] struct {
	items    chan T
	rejected atomic.Uint64
}

// New returns an empty queue of at most capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPush adds the item without waiting. It reports false, and counts the item as
// rejected, if the queue is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Push adds the item, waiting while the queue is full. It reports false if done
// is closed before the item is added.
func (r *Ring[T]) Push(item T, done <-chan struct{}) bool {
	select {
	case r.items <- item:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel from which items are received.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Rejected returns how many items TryPush rejected.
func (r *Ring[T]) Rejected() uint64 { return r.rejected.Load() }
