// Package platformlog reaches the platform's append-only log service.
package platformlog

import (
	"context"
	"time"
)

// Streams of the platform's log that the system reads and writes.
const (
	StreamTickets     = "tickets"     // operators append tickets
	StreamCheckpoints = "checkpoints" // nodes append folded configuration
	StreamMembers     = "members"     // nodes append joins, leaves and removals
)

// Record is one entry of a stream.
type Record struct {
	Offset int64
	Time   time.Time // when the platform took the record, by its clock
	Data   []byte
	// Skip says that the record holds nothing for this system and only takes its
	// offset.
	Skip bool
}

// Bounds are the offsets that a stream still holds: First is the oldest kept
// record, Next the offset that the next append will get.
type Bounds struct {
	First int64
	Next  int64
}

// Batch is the result of one read.
type Batch struct {
	Bounds  Bounds
	Records []Record
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may
	// or may not have been added.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from offset from on, in order. With none it waits up
	// to wait for one. It fails with ErrTrimmed when from is below Bounds.First.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
	// Bounds returns the offsets that the stream holds.
	Bounds(ctx context.Context, stream string) (Bounds, error)
}

// CompactedLog is a log that keeps the newest record of each key for ever, so that
// what must last needs no refreshing.
type CompactedLog interface {
	// NewestByKey returns the newest record of each key of the stream, in the order of
	// their offsets, with the stream's bounds as of the answer.
	NewestByKey(ctx context.Context, stream string) (Batch, error)
	// Put adds a record under the key; without data the key is dropped. After an
	// error the record may or may not have been added.
	Put(ctx context.Context, stream, key string, data []byte) error
}
