package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// trial is one run of a case: its record, its network addresses and its processes.
type trial struct {
	began time.Time
	dir   string
	// subnet is the first three numbers of the loopback addresses of the machines.
	subnet string

	mu     sync.Mutex
	record *os.File
	nodes  []*nodeProcess
	ended  []func()
}

func newTrial(path string) (*trial, error) {
	record, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	return &trial{began: time.Now(), dir: dir, subnet: subnet, record: record}, nil
}

// freeSubnet returns loopback addresses on which no port of a machine is in use.
func freeSubnet() (string, error) {
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 60+(os.Getpid()+i)%150, 1+(os.Getpid()/150+i)%250)
		if listener, err := net.Listen("tcp", subnet+".1:8304"); err == nil {
			return subnet, listener.Close()
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// ip returns the address of a machine.
func (t *trial) ip(number int) string { return fmt.Sprintf("%s.%d", t.subnet, number) }

// note writes a line to the record.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.record, "%8.3f ", time.Since(t.began).Seconds())
	fmt.Fprintf(t.record, format+"\n", args...)
}

// atEnd registers a function for close.
func (t *trial) atEnd(end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = append(t.ended, end)
}

// close ends all processes and servers of the trial.
func (t *trial) close() {
	t.mu.Lock()
	ended, nodes := t.ended, t.nodes
	t.ended, t.nodes = nil, nil
	t.mu.Unlock()
	for _, node := range nodes {
		node.kill()
	}
	for _, end := range ended {
		end()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs of the nodes:", filepath.Join(t.dir, "*.log"))
	} else {
		_ = os.RemoveAll(t.dir)
	}
	_ = t.record.Close()
}

// await waits until the condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
