package fleet

import (
	"os/exec"
	"runtime"
	"syscall"
)

// starter starts processes from one operating system thread with a parent death
// signal. The kernel kills them when that thread ends, so that they don't outlive
// this program, even if it is killed.
type starter struct {
	requests chan startRequest
	done     chan struct{}
}

type startRequest struct {
	cmd    *exec.Cmd
	result chan error
}

func newStarter() *starter {
	s := &starter{requests: make(chan startRequest), done: make(chan struct{})}
	go s.run()
	return s
}

func (s *starter) run() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(s.done)
	for request := range s.requests {
		request.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		request.result <- request.cmd.Start()
	}
}

func (s *starter) start(cmd *exec.Cmd) error {
	request := startRequest{cmd: cmd, result: make(chan error, 1)}
	s.requests <- request
	return <-request.result
}

// stop ends the starter's thread. start must not be called afterwards.
func (s *starter) stop() {
	close(s.requests)
	<-s.done
}
