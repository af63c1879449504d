// Package platformlog is the client of the platform's append-only log service.
package platformlog

import (
	"context"
	"time"
)

// Streams of the platform's log that the system reads and writes.
const (
	StreamTickets     = "tickets"     // operators append tickets
	StreamCheckpoints = "checkpoints" // nodes append full states of the configuration
	StreamMembers     = "members"     // nodes write members through which others can join
	StreamRollouts    = "rollouts"    // nodes write the records of rollouts, under the service's name
	StreamStatus      = "status"      // nodes write the states of rollouts for operators
)

// Record is one entry of a stream. Offsets, here and below, are log positions on a log
// with eras (state.LogPosition).
type Record struct {
	Offset int64
	Time   time.Time // when the platform accepted the record, by its own clock
	Data   []byte
	// Key is that of a record of a stream with keys; empty in others.
	Key string
	// Skip means that the record has no content for this system; it occupies its
	// offset only.
	Skip bool
	// Order is set in a record of StreamTickets that orders a rollout or withdraws such an order.
	// The record is skipped by the configuration.
	Order *Order
	// Status is set in a record of StreamStatus.
	Status *RolloutStatus
}

// Order is an operator's order to roll out a version of the software of a service's targets.
type Order struct {
	Service       string
	TargetVersion string
	// Duration is the time limit, counted from when the order is accepted.
	Duration time.Duration
	// Withdrawn means that the service's last order is withdrawn; the fields above but Service
	// are then empty.
	Withdrawn bool
}

// RolloutStatus is the state of a service's last rollout, as operators see it.
type RolloutStatus struct {
	Service       string
	State         RolloutState
	TargetVersion string
}

// RolloutState is a state that operators see.
type RolloutState string

// States of rollouts.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// Bounds are the retained offsets of a stream: First is the offset of the oldest
// retained record, Next the offset that the next append will get. They are equal
// if no record is retained.
type Bounds struct {
	First int64
	Next  int64
}

// Batch is the result of one read.
type Batch struct {
	Bounds  Bounds
	Records []Record
}

// Log is the platform's append-only log service. Each request ends by itself when it
// makes no progress.
type Log interface {
	// Append adds a record and returns its offset. After an error the record may
	// or may not have been added.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns the records that start at offset from, in order. If there are
	// none, it waits for one for up to wait. It fails with ErrTrimmed if from is
	// below Bounds.First.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
	// Bounds returns the retained offsets of the stream.
	Bounds(ctx context.Context, stream string) (Bounds, error)
}

// CompactedLog is a log, with requests that end by themselves as those of Log do, that retains the newest record of each key without a time
// limit, so that a record that must persist need not be appended again.
type CompactedLog interface {
	// NewestByKey returns the newest record of each key of the stream, in any order.
	// Records appended during the call have offsets at or above Bounds.Next.
	// Bounds.First may be 0.
	NewestByKey(ctx context.Context, stream string) (Batch, error)
	// Put adds a record under the key; empty data deletes the key. After an error
	// the record may or may not have been added.
	Put(ctx context.Context, stream, key string, data []byte) error
}

// RolloutLog stores the records of rollouts and their states for operators, in a compacted
// log. A record is added only if the stream still ends where the writer has read it, so that each
// order has one result and a delayed write replaces no later one.
type RolloutLog interface {
	// NewestByKey is as in CompactedLog, for StreamRollouts and StreamStatus.
	NewestByKey(ctx context.Context, stream string) (Batch, error)
	// PutIf adds a record under the key if the next append to the stream gets the offset next.
	// Otherwise it fails with ErrConditionFailed, and nothing is added. After another error
	// the record may or may not have been added.
	PutIf(ctx context.Context, stream, key string, data []byte, next int64) error
	// PutStatus is PutIf for StreamStatus.
	PutStatus(ctx context.Context, status RolloutStatus, next int64) error
}
