package calls

import (
	"context"
	"sync"

	"jasminegate/internal/protocol/wire"
	"jasminegate/internal/transport/reservation"
)

// minFrameBytes is what a frame with data counts at least: a short one takes more memory
// than its data.
const minFrameBytes = 512

// responseBuffer holds a target's response between the goroutine that reads it
// from the target and those that send it on. A response within the limit is
// retained whole, so that it can be fetched again. A larger one is streamed:
// frames are dropped once sent, and the target is read no faster than the entry
// receives.
type responseBuffer struct {
	limit int64
	// room is where the frames take room, and reserved what they have there. Without any left, the
	// response is streamed. A whole response that is retained has none: calls.ledger_bytes limits it.
	room     *reservation.Reservation
	reserved int64

	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	frames  []*wire.AnswerFrame
	// firstIndex is the index of frames[0] in the whole response.
	firstIndex int
	// buffered is the size of the frames in bytes; total is that of the
	// response so far. Both count as frameSize does.
	buffered  int64
	total     int64
	streaming bool
	ended     bool
	// abandoned is set when the reader of a streamed response has stopped.
	abandoned bool
}

func newResponseBuffer(limit int64) *responseBuffer {
	return &responseBuffer{limit: limit, changed: make(chan struct{})}
}

// add appends a frame. For a streamed response it waits until earlier frames
// were read. It returns ctx's error if ctx ends first.
func (r *responseBuffer) add(ctx context.Context, frame *wire.AnswerFrame) error {
	for {
		r.mu.Lock()
		if r.addLocked(frame) {
			r.mu.Unlock()
			return nil
		}
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *responseBuffer) addLocked(frame *wire.AnswerFrame) bool {
	size := frameSize(frame)
	if r.total+size > r.limit {
		r.streaming = true
	}
	if r.streaming && !r.abandoned && r.buffered > 0 && r.buffered+size > r.limit {
		return false
	}
	if !r.abandoned && !r.reserve(size) {
		r.streaming = r.streaming || !frame.Last
		if r.streaming && r.buffered > 0 {
			return false
		}
	}
	r.total += size
	r.ended = r.ended || frame.Last || frame.Aborted != ""
	if !r.abandoned {
		r.frames = append(r.frames, frame)
		r.buffered += size
	}
	r.notify()
	return true
}

// frameSize returns the bytes that a frame counts.
func frameSize(frame *wire.AnswerFrame) int64 {
	if len(frame.Data) == 0 {
		return 0
	}
	return int64(max(len(frame.Data), minFrameBytes))
}

func (r *responseBuffer) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// frameAt returns the frame at the index, or a channel that is closed at the
// next change. ok is false if the frame is no longer available.
func (r *responseBuffer) frameAt(index int) (frame *wire.AnswerFrame, changed <-chan struct{}, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index < r.firstIndex || r.abandoned {
		return nil, nil, false
	}
	if r.streaming {
		r.dropBefore(index)
	}
	if index-r.firstIndex < len(r.frames) {
		return r.frames[index-r.firstIndex], nil, true
	}
	return nil, r.changed, true
}

func (r *responseBuffer) dropBefore(index int) {
	if index == r.firstIndex {
		return
	}
	for r.firstIndex < index {
		r.buffered -= frameSize(r.frames[0])
		r.giveBack(frameSize(r.frames[0]))
		r.frames[0] = nil
		r.frames = r.frames[1:]
		r.firstIndex++
	}
	r.notify()
}

// abandon records that a reader stopped before the end. A streamed response has
// a single reader, so its rest is discarded.
func (r *responseBuffer) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streaming && !r.abandoned {
		r.abandoned = true
		r.frames = nil
		r.giveBack(r.reserved)
		r.notify()
	}
}

// reserve takes room for a frame. It returns false if there is none.
func (r *responseBuffer) reserve(size int64) bool {
	if !r.room.TryGrow(size) {
		return false
	}
	r.reserved += size
	return true
}

// giveBack gives back room, as far as the frames have any.
func (r *responseBuffer) giveBack(size int64) {
	size = min(size, r.reserved)
	r.reserved -= size
	r.room.Shrink(size)
}

// releaseRoom gives back all the room of the call.
func (r *responseBuffer) releaseRoom() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Close()
	r.room, r.reserved = nil, 0
}

// retainedBytes returns the size of a response that can be fetched again, or
// -1.
func (r *responseBuffer) retainedBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streaming || !r.ended {
		return -1
	}
	return r.total
}
