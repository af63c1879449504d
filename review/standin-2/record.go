package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of the record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Line writes one line with the time since the start.
func (r *Record) Line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := float64(time.Since(r.start).Microseconds()) / 1e6
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", at, fmt.Sprintf(format, values...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
