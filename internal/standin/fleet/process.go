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

// logTailBytes is how much of a log an error quotes.
const logTailBytes = 2 << 10

// Process is a process that the fleet started.
type Process struct {
	// Name is the name of the log file without its ending.
	Name string
	// LogPath is the file that takes standard output and standard error.
	LogPath string

	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error // valid once exited is closed
	ready   *readyLine
}

// readyLine passes standard output on to the log and keeps its first line.
type readyLine struct {
	log *os.File

	mu    sync.Mutex
	buf   []byte
	found bool
	line  chan []byte
}

// Write implements io.Writer.
func (r *readyLine) Write(data []byte) (int, error) {
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

// command is what a process is started from.
type command struct {
	name string
	path string
	args []string
	env  []string
	// announces says that the first line of standard output tells that the
	// process listens.
	announces bool
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
	if c.announces {
		p.ready = &readyLine{log: log, line: make(chan []byte, 1)}
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

// announcement is the first line of a stand-in.
type announcement struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// awaitReady waits for the first line of a stand-in.
func (p *Process) awaitReady(ctx context.Context) error {
	select {
	case line := <-p.ready.line:
		var said announcement
		if err := json.Unmarshal(line, &said); err != nil || !said.Ready {
			return fmt.Errorf("%s said %q in place of a ready line", p.Name, line)
		}
		return nil
	case <-p.exited:
		return p.exitError()
	case <-ctx.Done():
		return fmt.Errorf("%s did not get ready: %w", p.Name, ctx.Err())
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running says whether the process has not exited; a paused one runs.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Kill ends the process by SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// Resume continues a paused process by SIGCONT.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// SendTerminate sends SIGTERM and does not wait.
func (p *Process) SendTerminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Terminate sends SIGTERM and waits for the process's end. It fails when the
// process exits with another code than 0 or when ctx ends first.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.SendTerminate(); err != nil && p.Running() {
		return err
	}
	return p.Wait(ctx)
}

// Wait waits for the process's end. It fails as Terminate does.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.exited:
	case <-ctx.Done():
		return fmt.Errorf("%s did not end: %w", p.Name, ctx.Err())
	}
	if p.exitErr != nil {
		return p.exitError()
	}
	return nil
}

func (p *Process) exitError() error {
	return fmt.Errorf("%s exited (%v), its log ends with:\n%s", p.Name, p.exitErr, p.logTail())
}

func (p *Process) logTail() []byte {
	data, err := os.ReadFile(p.LogPath)
	if err != nil {
		return []byte(err.Error())
	}
	return data[max(0, len(data)-logTailBytes):]
}
