package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds a case; with the end of the processes it stays below 120 s.
const maxRun = 110 * time.Second

// endEarly ends the trial's processes and this one at the limit, or at a signal.
func (t *trial) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxRun):
	}
	t.note("ended early")
	t.close()
	os.Exit(exitFailed)
}
