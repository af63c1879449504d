package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// logTailBytes is how much of a log an error message quotes.
const logTailBytes = 2 << 10

// Process is a process of a fleet.
type Process struct {
	// Name is the name of the log file without its extension.
	Name string
	// LogPath is the file with the standard output and standard error.
	LogPath string

	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error // valid after exited is closed
	ready   *readyWriter
}

// readyWriter writes standard output to the log and passes its first line on to
// line.
type readyWriter struct {
	log *os.File

	mu    sync.Mutex
	buf   []byte
	found bool
	line  chan []byte
}

// Write implements io.Writer.
func (r *readyWriter) Write(data []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.found {
		r.buf = append(r.buf, data...)
		line, _, ok := bytes.Cut(r.buf, []byte("\n"))
		if ok {
			r.found = true
			r.line <- line
		}
	}
	return r.log.Write(data)
}

// command describes a process to start.
type command struct {
	name string
	path string
	args []string
	env  []string
	// printsReadyLine says that the process prints a ready line when it listens,
	// as its first output.
	printsReadyLine bool
}

// launch starts a process whose output is appended to a file in dir.
func launch(s *starter, dir string, c command) (*Process, error) {
	logPath := filepath.Join(dir, c.name+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &Process{
		Name:    c.name,
		LogPath: logPath,
		cmd:     exec.Command(c.path, c.args...),
		exited:  make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), c.env...)
	p.cmd.Stderr = log
	p.cmd.Stdout = log
	if c.printsReadyLine {
		p.ready = &readyWriter{log: log, line: make(chan []byte, 1)}
		p.cmd.Stdout = p.ready
	}
	if err := s.start(p.cmd); err != nil {
		log.Close()
		return nil, fmt.Errorf("start %s: %w", c.name, err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		log.Close()
		close(p.exited)
	}()
	return p, nil
}

// readyLine is the first line that the standin program prints, once it listens.
type readyLine struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// awaitReady waits for the ready line of a process that announces itself. It
// fails if the process prints something else, exits, or ctx ends.
func (p *Process) awaitReady(ctx context.Context) error {
	select {
	case line := <-p.ready.line:
		var ready readyLine
		if err := json.Unmarshal(line, &ready); err != nil || !ready.Ready {
			return fmt.Errorf("%s printed %q instead of a ready line", p.Name, line)
		}
		return nil
	case <-p.exited:
		return p.exitError()
	case <-ctx.Done():
		return fmt.Errorf("%s did not become ready: %w", p.Name, ctx.Err())
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not exited yet. A paused process is
// running.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Exited returns a channel that is closed after the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// SendTerminate sends SIGTERM without waiting for the exit.
func (p *Process) SendTerminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// SendHangUp sends SIGHUP.
func (p *Process) SendHangUp() error { return p.cmd.Process.Signal(syscall.SIGHUP) }

// Terminate sends SIGTERM and waits until the process has exited. It fails if the
// exit code is not 0 or if ctx ends first.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.SendTerminate(); err != nil && p.Running() {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits until the process has exited. It fails if the exit code is not 0 or
// if ctx ends first.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
	case <-ctx.Done():
		return fmt.Errorf("%s did not exit: %w", p.Name, ctx.Err())
	}
	if p.exitErr != nil {
		return p.exitError()
	}
	return nil
}

func (p *Process) exitError() error {
	return fmt.Errorf("%s exited (%v), end of its log:\n%s", p.Name, p.exitErr, p.logTail())
}

func (p *Process) logTail() []byte {
	data, err := os.ReadFile(p.LogPath)
	if err != nil {
		return []byte(err.Error())
	}
	return data[max(0, len(data)-logTailBytes):]
}
