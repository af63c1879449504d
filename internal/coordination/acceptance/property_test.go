package acceptance

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"jasminegate/internal/state"
)

// drawLog returns records of valid, repeated, conflicting, stale, dangling and
// undecodable tickets in random order.
func drawLog(t *rapid.T) [][]byte {
	names := []string{"a", "b", "c"}
	var log [][]byte
	for range rapid.IntRange(0, 40).Draw(t, "records") {
		if len(log) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
			log = append(log, rapid.SampledFrom(log).Draw(t, "repeated"))
			continue
		}
		if rapid.IntRange(0, 9).Draw(t, "damage") == 0 {
			log = append(log, rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
			continue
		}
		ticket := state.Ticket{Number: rapid.Uint64Range(0, 30).Draw(t, "number")}
		name := rapid.SampledFrom(names).Draw(t, "name")
		switch rapid.IntRange(0, 3).Draw(t, "change") {
		case 0:
			ticket.Services = []state.Service{service(name, rapid.IntRange(0, 9).Draw(t, "slots"))}
		case 1:
			ticket.Routes = []state.Route{route("r"+name, rapid.SampledFrom(names).Draw(t, "service"))}
		case 2:
			ticket.RemoveServices = []string{name}
		default:
			ticket.RemoveRoutes = []string{"r" + name}
		}
		data, err := ticket.Encode()
		if err != nil {
			t.Fatal(err)
		}
		log = append(log, data)
	}
	return log
}

func applyAll(t *rapid.T, fold *Fold, log [][]byte) {
	for offset, data := range log {
		if _, _, err := fold.Apply(int64(offset), data); err != nil {
			t.Fatal(err)
		}
	}
}

func requireSame(t *rapid.T, got, want *Fold, from string) {
	if got.Version() != want.Version() || got.NextOffset() != want.NextOffset() || got.HighestNumber() != want.HighestNumber() {
		t.Fatalf("%s: at %v next %d, want %v next %d", from, got.Version(), got.NextOffset(), want.Version(), want.NextOffset())
	}
	if len(got.Verdicts())+len(want.Verdicts()) > 0 && !reflect.DeepEqual(got.Verdicts(), want.Verdicts()) {
		t.Fatalf("%s: verdicts\n%v\nwant\n%v", from, got.Verdicts(), want.Verdicts())
	}
}

// TestFoldIsTheSameFromAnyCheckpoint checks that a fold restored from any checkpoint
// that then reads all records again reaches the same verdicts and state as a fold
// that read the log once.
func TestFoldIsTheSameFromAnyCheckpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		want := New()
		applyAll(t, want, log)
		cut := rapid.IntRange(0, len(log)).Draw(t, "checkpoint at")
		before := New()
		applyAll(t, before, log[:cut])
		resumed := New()
		if cut > 0 {
			if err := resumed.ApplyUpdate(before.FullUpdate()); err != nil {
				t.Fatal(err)
			}
		}
		applyAll(t, resumed, log) // includes the records before the checkpoint
		requireSame(t, resumed, want, fmt.Sprint("checkpoint at ", cut))
	})
}

// TestAcceptedNumbersGrow checks that repeated publishes take effect once: the
// numbers of accepted tickets strictly increase.
func TestAcceptedNumbersGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fold := New()
		applyAll(t, fold, drawLog(t))
		last := uint64(0)
		for _, verdict := range fold.Verdicts() {
			if verdict.Outcome != Accepted {
				continue
			}
			if verdict.Number <= last {
				t.Fatalf("number %d accepted after %d", verdict.Number, last)
			}
			last = verdict.Number
		}
	})
}

// TestRestoredFoldMatchesAfterDroppedVerdicts checks that a fold that has
// dropped verdicts over MaxVerdicts and a fold restored from its checkpoint reach
// the same verdicts, also on tickets whose verdicts were dropped.
func TestRestoredFoldMatchesAfterDroppedVerdicts(t *testing.T) {
	fold := New()
	offset := int64(0)
	apply := func(fold *Fold, offset int64, number uint64) Outcome {
		result, _, err := fold.Apply(offset, encoded(t, state.Ticket{Number: number, Services: []state.Service{service("a", 1)}}))
		if err != nil {
			t.Fatal(err)
		}
		return result.Verdict.Outcome
	}
	for ; offset < MaxVerdicts+10; offset++ {
		apply(fold, offset, uint64(offset)+1)
	}
	resumed := New()
	if err := resumed.ApplyUpdate(fold.FullUpdate()); err != nil {
		t.Fatal(err)
	}
	for number, want := range map[uint64]Outcome{5: Stale, MaxVerdicts: Repeated} {
		if got := apply(fold, offset, number); got != want {
			t.Fatalf("number %d is %v, want %v", number, got, want)
		}
		if got := apply(resumed, offset, number); got != want {
			t.Fatalf("number %d from the checkpoint is %v, want %v", number, got, want)
		}
		offset++
	}
}
