package state

import "strconv"

// A log that is restored from a copy gives out offsets again. Its eras tell the records
// apart: the era rises by one with each restore. A log position combines both, so that
// positions of a later era are always greater. On a log without eras the era is 0, and
// positions are plain offsets.

const (
	// offsetBits is the number of low bits of a log position that hold the offset.
	offsetBits = 40
	// MaxOffset is the greatest offset within an era, MaxEra the greatest era.
	MaxOffset = 1<<offsetBits - 1
	MaxEra    = 1<<(63-offsetBits) - 1
)

// LogPosition returns the log position of an offset within an era.
func LogPosition(era uint64, offset int64) int64 { return int64(era<<offsetBits) | offset }

// PositionInEra returns position if it states an era, and otherwise that position within
// the given era.
func PositionInEra(era, position uint64) uint64 {
	if EraOf(position) > 0 {
		return position
	}
	return era<<offsetBits | position
}

// EraOf returns the era of a log position, 0 of a negative one.
func EraOf[P int64 | uint64](position P) uint64 { return uint64(max(position, 0)) >> offsetBits }

// FormatPosition formats a log position as era/offset, or as the offset on a log without
// eras.
func FormatPosition(position uint64) string {
	offset := strconv.FormatUint(OffsetOf(position), 10)
	if era := EraOf(position); era > 0 {
		return strconv.FormatUint(era, 10) + "/" + offset
	}
	return offset
}

// OffsetOf returns the offset of a log position within its era.
func OffsetOf[P int64 | uint64](position P) P { return position & MaxOffset }
