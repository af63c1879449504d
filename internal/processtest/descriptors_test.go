//go:build linux

package processtest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"jasminegate/internal/logging"
	"jasminegate/internal/standin/fleet"
)

const (
	// spareDescriptors is how many files the node may open in addition to those that it
	// has, and greedyConnections how many connections a caller then opens.
	spareDescriptors  = 30
	greedyConnections = 200
	// exhaustedTime is how long the node has no descriptor left.
	exhaustedTime = 3 * time.Second
	// keptConnections is how many callers send requests meanwhile, each on a connection
	// that was open before.
	keptConnections = 6
)

// openFiles returns the number of files that the process has open.
func (h *harness) openFiles(process *fleet.Process) int {
	h.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.PID()))
	h.must(err)
	return len(entries)
}

// limitFiles sets the number of files that the running process may have open.
func (h *harness) limitFiles(process *fleet.Process, files int) {
	h.t.Helper()
	limit := syscall.Rlimit{Cur: uint64(files), Max: uint64(files)}
	_, _, code := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(process.PID()), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if code != 0 {
		h.t.Fatalf("prlimit: %v", code)
	}
}

// keptClient sends requests on one connection.
func keptClient() *http.Client {
	return &http.Client{Timeout: 2 * callTimeout, Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}}
}

func readOnce(client *http.Client, node *fleet.Node) (int, error) {
	response, err := client.Get("http://" + node.CallersAddress + "/riders/1?service_ms=5")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// TestNodeWithoutDescriptorsGoesOn takes all file descriptors of a node by callers'
// connections. The node must not end, and each request on the connections that it has
// gets a response; once the descriptors are free, new callers are served again.
func TestNodeWithoutDescriptorsGoesOn(t *testing.T) {
	h := startHarness(t, fleetPlan(2))
	victim := h.Nodes[0]
	process := victim.Process()
	var clients []*http.Client
	for range keptConnections {
		client := keptClient()
		clients = append(clients, client)
		if _, err := readOnce(client, victim); err != nil {
			t.Fatal(err)
		}
	}
	h.limitFiles(process, h.openFiles(process)+spareDescriptors)
	var greedy []net.Conn
	for range greedyConnections {
		conn, err := net.Dial("tcp", victim.CallersAddress)
		h.must(err)
		defer conn.Close()
		greedy = append(greedy, conn)
	}
	h.await("the node to log that it cannot accept", func() bool { return h.hasLogged(victim, logging.AcceptFailed) })
	var group sync.WaitGroup
	var answered, refused, cut atomic.Int64
	until := time.Now().Add(exhaustedTime)
	for _, client := range clients {
		group.Go(func() {
			for time.Now().Before(until) {
				status, err := readOnce(client, victim)
				switch {
				case err != nil:
					cut.Add(1)
					t.Logf("cut off: %v", err)
				case status == http.StatusOK:
					answered.Add(1)
				default:
					refused.Add(1)
				}
			}
		})
	}
	group.Wait()
	t.Logf("without descriptors: %d answered, %d refused, %d cut off", answered.Load(), refused.Load(), cut.Load())
	if cut.Load() > 0 || answered.Load()+refused.Load() == 0 {
		t.Errorf("%d requests were cut off", cut.Load())
	}
	if !process.Running() {
		t.Fatal("the node has ended")
	}
	for _, conn := range greedy {
		_ = conn.Close()
	}
	h.await("a new caller to be served", func() bool {
		client := keptClient()
		defer client.CloseIdleConnections()
		status, err := readOnce(client, victim)
		return err == nil && status == http.StatusOK
	})
	if h.hasLogged(victim, logging.NodeStopped) {
		t.Error("the node has ended")
	}
}
