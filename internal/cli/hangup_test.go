package cli

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestHangupAtStartEndsNode: SIGHUP asks a node to load its settings again, but ended one that had
// not come so far as to wait for it.
func TestHangupAtStartEndsNode(t *testing.T) {
	n := newLonelyNode(t)
	n.start()
	n.awaitOwnSignals()
	for range 20 {
		n.NoErr(n.cmd.Process.Signal(syscall.SIGHUP))
		time.Sleep(time.Millisecond)
	}
	n.awaitServing()
}

// awaitOwnSignals waits until the process has replaced the system's handling of SIGHUP. Before, no
// program can keep the signal from ending it.
func (n *lonelyNode) awaitOwnSignals() {
	n.t.Helper()
	for deadline := time.Now().Add(processTestTimeout / 3); time.Now().Before(deadline); {
		status, err := os.ReadFile("/proc/" + strconv.Itoa(n.cmd.Process.Pid) + "/status")
		n.NoErr(err)
		_, rest, _ := strings.Cut(string(status), "SigCgt:\t")
		caught, err := strconv.ParseUint(strings.Fields(rest)[0], 16, 64)
		n.NoErr(err)
		_, rest, _ = strings.Cut(string(status), "SigIgn:\t")
		ignored, err := strconv.ParseUint(strings.Fields(rest)[0], 16, 64)
		n.NoErr(err)
		if (caught|ignored)&(1<<(uint(syscall.SIGHUP)-1)) != 0 {
			return
		}
	}
	n.t.Fatal("the process does not handle SIGHUP")
}
