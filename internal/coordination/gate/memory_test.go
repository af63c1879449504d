package gate

import (
	"runtime"
	"testing"
	"time"

	"jasminegate/internal/coordination/call"
)

// BenchmarkLedgerMemory measures the heap of a gate after 10 minutes, its
// retention, of 390 calls per second from 1,500 entries, each call run once.
func BenchmarkLedgerMemory(b *testing.B) {
	const (
		callsPerSecond = 390
		entries        = 1500
	)
	for b.Loop() {
		before := heapBytes()
		m := New(Options{Incarnation: 3, MaxRecords: 32768, MaxRetainedBytes: 8 << 20, Retention: 10 * time.Minute})
		m.Step(epoch, SetTarget{Slots: 20, QueueLength: 40, QueueTimeout: time.Second, Ready: true})
		now := epoch
		for i := range uint64(callsPerSecond * 600) {
			now = now.Add(time.Second / callsPerSecond)
			id := call.ID{Entry: entryName(i % entries), Incarnation: 1, Counter: i / entries}
			m.Step(now, Arrive{ID: id, GateIncarnation: 3, Deadline: now.Add(time.Second)})
			m.Step(now, Finished{ID: id, Result: Completed, RetainedBytes: 200})
		}
		b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
		b.ReportMetric(float64(len(m.ledger.finished)), "records")
		runtime.KeepAlive(m)
	}
}

var entryNames = func() (list [1500]string) {
	for i := range list {
		list[i] = "node-" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
	}
	return list
}()

func entryName(i uint64) string { return entryNames[i] }

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
