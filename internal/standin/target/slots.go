package target

import (
	"context"
	"sync"
)

// slots limits how many requests run at once.
type slots struct {
	inUse chan struct{} // has one element for each slot in use

	mu     sync.Mutex
	busy   int
	queued int
	peak   int
}

func newSlots(count int) *slots {
	return &slots{inUse: make(chan struct{}, max(1, count))}
}

// tryAcquire acquires a slot if one is free.
func (s *slots) tryAcquire() bool {
	select {
	case s.inUse <- struct{}{}:
		s.addBusy(1)
		return true
	default:
		return false
	}
}

// acquire waits for a free slot and returns false if ctx ends first.
func (s *slots) acquire(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	s.addQueued(1)
	defer s.addQueued(-1)
	select {
	case s.inUse <- struct{}{}:
		s.addBusy(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slots) release() {
	s.addBusy(-1)
	<-s.inUse
}

func (s *slots) addBusy(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy += delta
	s.peak = max(s.peak, s.busy)
}

func (s *slots) addQueued(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued += delta
}

// occupancy is the use of the slots at one moment.
type occupancy struct {
	busy   int
	queued int
	peak   int
}

func (s *slots) occupancy() occupancy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return occupancy{busy: s.busy, queued: s.queued, peak: s.peak}
}
