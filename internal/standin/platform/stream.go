package platform

import (
	"time"
)

type record struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// bounds are the offsets of the oldest record and of the next append.
type bounds struct {
	First int64 `json:"first"`
	Next  int64 `json:"next"`
}

// stream is an append-only sequence of records. Platform.mu guards it.
type stream struct {
	first   int64
	records []record
	changed chan struct{} // closed at the next append
	stats   StreamStats
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

func (s *stream) bounds() bounds {
	return bounds{First: s.first, Next: s.first + int64(len(s.records))}
}

func (s *stream) append(now time.Time, data []byte) int64 {
	offset := s.bounds().Next
	s.records = append(s.records, record{Offset: offset, TimeMS: now.UnixMilli(), Data: data})
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// read returns the records from offset from on: at least one if there is any, and
// further ones up to maxReadRecords while their data is at most maxBytes in
// total.
func (s *stream) read(from int64, maxBytes int) []record {
	start := from - s.first
	if start < 0 || start >= int64(len(s.records)) {
		return nil
	}
	end := start
	size := 0
	for end < int64(len(s.records)) && end-start < maxReadRecords {
		size += len(s.records[end].Data)
		if end > start && size > maxBytes {
			break
		}
		end++
	}
	return s.records[start:end]
}

// trim deletes the records below offset first.
func (s *stream) trim(first int64) {
	count := min(first-s.first, int64(len(s.records)))
	if count <= 0 {
		return
	}
	s.records = append([]record(nil), s.records[count:]...)
	s.first += count
}

// expire deletes records beyond the newest count (0 means no limit) and records
// older than oldest (the zero time means no limit).
func (s *stream) expire(count int, oldest time.Time) {
	first := s.first
	if count > 0 && len(s.records) > count {
		first = s.bounds().Next - int64(count)
	}
	if !oldest.IsZero() {
		for _, record := range s.records[first-s.first:] {
			if record.TimeMS >= oldest.UnixMilli() {
				break
			}
			first++
		}
	}
	s.trim(first)
}
