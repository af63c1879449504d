package spread

import (
	"testing"
	"time"
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
