package fleet

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// pauseTimeout is how long Pause waits until every thread has stopped.
	pauseTimeout = 10 * time.Second
	// pausePollInterval is the interval between two checks of the threads.
	pausePollInterval = time.Millisecond
)

// Pause suspends the process with SIGSTOP; its connections stay open. The signal
// takes effect asynchronously, so Pause returns only once every thread has
// stopped. It fails if the process exits or some thread runs on after 10 s.
func (p *Process) Pause() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	deadline := time.Now().Add(pauseTimeout)
	for !p.paused() {
		if !p.Running() {
			return p.exitError()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s was not suspended within %s", p.Name, pauseTimeout)
		}
		time.Sleep(pausePollInterval)
	}
	return nil
}

// paused reports whether every thread of the process is stopped.
func (p *Process) paused() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, path := range threads {
		stat, err := os.ReadFile(path)
		if err != nil || !bytes.Contains(stat, []byte(") T ")) {
			return false
		}
	}
	return true
}
