package spread

import (
	"testing"
	"time"

	"jasminegate/internal/state"
)

// newestTicketReads make the readers apply the newest ticket in place of the records after
// their position.
var newestTicketReads = map[string]func(f *restoredFleet){
	"restored": func(f *restoredFleet) { f.restore(0) },
	"trimmed": func(f *restoredFleet) {
		f.publishNext()
		f.firstOffset = int64(len(f.tickets))
	},
}

// requirePushed fails unless the newest configuration is soon in force without a pull.
func (f *restoredFleet) requirePushed() {
	f.pulls = 0
	f.run(time.Second)
	f.requireInForce()
	if f.pulls > 0 {
		f.fail("%d pulls of ticket number %d, want none", f.pulls, f.number)
	}
}

// TestNewestTicketReadEndsPushes guards against readers that push no further ticket to a peer
// once their history begins after the position that the peer last stated.
func TestNewestTicketReadEndsPushes(t *testing.T) {
	for name, read := range newestTicketReads {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				f := newRefusedFleet(t, seed, 2, 12)
				f.publishNext()
				f.requirePushed()
				read(f)
				for range 2 {
					f.run(3 * time.Second)
					f.publishNext()
				}
				f.requirePushed()
			}
		})
	}
}

// TestTrimmedTicketIsNotPushed guards against a ticket that readers read as the newest one,
// because retention dropped it from the stream, and that the other nodes have to pull.
func TestTrimmedTicketIsNotPushed(t *testing.T) {
	for seed := range uint64(10) {
		f := newRefusedFleet(t, seed, 2, 12)
		for range 3 {
			newestTicketReads["trimmed"](f)
			f.requirePushed()
		}
	}
}

// TestSkippedRecordsServedAsChanges guards against changes that are sent to a peer which has
// applied records that this node skipped: they do not lead from its state to the newest one.
func TestSkippedRecordsServedAsChanges(t *testing.T) {
	var h history
	h.reset(5)
	h.add(6, nil)
	h.addReplacement(9, nil)
	h.add(uint64(state.LogPosition(1, 3)), nil)
	for position, want := range map[uint64]bool{4: false, 5: true, 6: true, 7: false, 9: true, 10: false} {
		if _, ok := h.since(position); ok != want {
			t.Errorf("changes since position %d are known: %v, want %v", position, ok, want)
		}
	}
}
