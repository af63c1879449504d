package spread

import (
	"testing"
	"time"
)

// TestPullFromSuspendedPeerBlocksOthers guards against a node that awaits the response of a peer
// that was suspended after it had accepted the pull, while others have the newer version.
func TestPullFromSuspendedPeerBlocksOthers(t *testing.T) {
	for seed := range uint64(20) {
		f := newRefusedFleet(t, seed, 2, 4)
		f.pullTimeout = 2 * time.Second
		f.domainsPartitioned, f.platformPartitioned["d1"] = true, true
		f.publishNext()
		f.run(time.Second)
		f.domainsPartitioned = false
		puller := f.nodes[4:][seed%4]
		for !puller.machine.pulling.request.inFlight && installedVersion(puller).Number < f.number {
			f.run(time.Millisecond)
		}
		if peer := f.find(puller.machine.pulling.inFlightPeer.ID); puller.machine.pulling.request.inFlight {
			peer.paused = true
		}
		f.run(changeBound)
		if got := installedVersion(puller).Number; got != f.number {
			t.Fatalf("%s is at number %d, want %d", puller.member.ID, got, f.number)
		}
	}
}
