package codec

import (
	"fmt"
	"runtime"
	"testing"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/state"
)

var serviceCounts = []int{10, 60, 120, 480}

// BenchmarkUpdate measures the size of an incremental update and the time to
// encode it, by the number of changed services, each with its route.
func BenchmarkUpdate(b *testing.B) {
	for _, touched := range []int{1, 2, 8, 32, 120} {
		b.Run(fmt.Sprintf("touched=%d", touched), func(b *testing.B) {
			fold := foldWith(b, 480)
			base := fold.Version()
			merged := state.Ticket{Number: 1000}
			for i := range touched {
				one := ticket(480+i, i)
				merged.Services = append(merged.Services, one.Services...)
				merged.Routes = append(merged.Routes, one.Routes...)
			}
			data, err := merged.Encode()
			if err != nil {
				b.Fatal(err)
			}
			result, _, err := fold.Apply(fold.NextOffset(), data)
			if err != nil {
				b.Fatal(err)
			}
			update := acceptance.Update{
				From: base, To: fold.Version(), NextOffset: fold.NextOffset(), HighestNumber: fold.HighestNumber(),
				Resources: result.Changes, Verdicts: fold.VerdictsAfter(base.Position),
			}
			compressed, err := compress(data)
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				message, err := Encode(update)
				if err != nil {
					b.Fatal(err)
				}
				size = len(message.GetData())
			}
			b.ReportMetric(float64(size), "update-bytes")
			b.ReportMetric(float64(len(data)), "ticket-bytes")
			b.ReportMetric(float64(len(compressed)), "ticket-zstd-bytes")
		})
	}
}

// BenchmarkCheckpoint measures the size of a checkpoint and the time to encode and
// decode it, with one verdict for each service and with the maximum number of
// verdicts.
func BenchmarkCheckpoint(b *testing.B) {
	for _, services := range serviceCounts {
		for _, verdicts := range []int{services, acceptance.MaxVerdicts} {
			b.Run(fmt.Sprintf("services=%d/verdicts=%d", services, verdicts), func(b *testing.B) {
				fold := foldWith(b, services)
				for i := services; i < verdicts; i++ {
					apply(b, fold, ticket(i, i%services))
				}
				size := 0
				b.ReportAllocs()
				for b.Loop() {
					record, err := EncodeCheckpoint(fold.FullUpdate())
					if err != nil {
						b.Fatal(err)
					}
					size = len(record)
					if _, err := DecodeCheckpoint(record); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(size), "checkpoint-bytes")
			})
		}
	}
}

// BenchmarkApplyTicket measures the time to apply one ticket, including the new
// snapshot and its digest, by the number of services in the state.
func BenchmarkApplyTicket(b *testing.B) {
	for _, services := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			fold := foldWith(b, services)
			offset := services
			b.ReportAllocs()
			for b.Loop() {
				apply(b, fold, ticket(offset, offset%services))
				offset++
			}
		})
	}
}

// BenchmarkApplyIncrementalUpdate measures the time in which the receiver of a
// push decodes and applies an update of one service and its route.
func BenchmarkApplyIncrementalUpdate(b *testing.B) {
	for _, services := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			source := foldWith(b, services)
			base := source.Version()
			full := source.FullUpdate()
			result := apply(b, source, ticket(services, 0))
			message, err := Encode(acceptance.Update{
				From: base, To: source.Version(), NextOffset: source.NextOffset(), HighestNumber: source.HighestNumber(),
				Resources: result.Changes, Verdicts: source.VerdictsAfter(base.Position),
			})
			if err != nil {
				b.Fatal(err)
			}
			receiver := acceptance.New()
			if err := receiver.ApplyUpdate(full); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				copied := *receiver // the snapshot is immutable
				update, err := Decode(message)
				if err != nil {
					b.Fatal(err)
				}
				if err := copied.ApplyUpdate(update); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkFoldMemory measures the live heap bytes of a fold with the maximum
// number of verdicts.
func BenchmarkFoldMemory(b *testing.B) {
	for _, services := range serviceCounts {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			var fold *acceptance.Fold
			live := uint64(0)
			for b.Loop() {
				fold = nil
				before := heapBytes()
				fold = foldWith(b, services)
				for i := services; i < acceptance.MaxVerdicts; i++ {
					apply(b, fold, ticket(i, i%services))
				}
				live = heapBytes() - before
				runtime.KeepAlive(fold)
			}
			b.ReportMetric(float64(live), "live-bytes")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func apply(tb testing.TB, fold *acceptance.Fold, ticket state.Ticket) acceptance.Result {
	data, err := ticket.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	result, done, err := fold.Apply(fold.NextOffset(), data)
	if err != nil || !done || result.Verdict.Outcome != acceptance.Accepted {
		tb.Fatalf("ticket %d: %v %v", ticket.Number, result.Verdict, err)
	}
	return result
}
