package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Machine is one machine with a node of the system and an upstream.
type Machine struct {
	Name, Zone, Service string
	fleet               *Fleet
	// Outbound, Inbound, Ready, Control, App and internal are the addresses that the platform gives.
	Outbound, Inbound, Ready, Control, App string
	ip                                     string
	internal                               []int
	cmd                                    *exec.Cmd
	exited                                 chan struct{}
	// Upstream is the upstream beside the node.
	Upstream *Upstream
}

// loopback returns the loopback address of the machine. Runs at the same time use different ones, so that none
// takes a free port of another.
func loopback(number int) string { return fmt.Sprintf("127.7.%d.%d", 1+os.Getpid()%250, number) }

// NewMachine adds a machine with free ports at a loopback address of its own.
func (f *Fleet) NewMachine(zone, service string) (*Machine, error) {
	number := len(f.Machines) + 1
	m := &Machine{Name: fmt.Sprintf("sidecar-%s-%d", zone, number), Zone: zone, Service: service, fleet: f, ip: loopback(number)}
	var ports []int
	var open []net.Listener
	defer func() {
		for _, listener := range open {
			_ = listener.Close()
		}
	}()
	for range 7 {
		listener, err := net.Listen("tcp", m.ip+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, listener)
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	m.Outbound, m.Inbound, m.Ready, m.Control, m.App = address(ports[0]), address(ports[1]), address(ports[2]), address(ports[3]), address(ports[4])
	m.internal = ports[5:]
	f.Machines = append(f.Machines, m)
	return m, nil
}

// settings are the fields of the platform's settings file that the template uses.
func (m *Machine) settings() map[string]any {
	bounds := map[string]any{
		"Grace": "6s", "Config": "2000ms", "StabilityWindow": "3000ms", "BudgetRatio": 0.2, "BudgetSlack": 60, "BudgetWindow": "10s",
	}
	return map[string]any{
		named("node"): m.Name, "Zone": m.Zone, "Service": m.Service, "Ip": m.ip, named("app"): m.App, "Heartbeat": heartbeat.String(),
		"Listen":          map[string]any{"Outbound": m.Outbound, "Inbound": m.Inbound, "Ready": m.Ready, "Control": m.Control},
		named("internal"): m.internal,
		"Limits":          map[string]any{"LinkMbps": 1000.0, "MemoryMb": 284, "MaxFds": 4100},
		"Bounds":          bounds,
		"Platform":        map[string]any{"Address": m.fleet.Store.Address()},
	}
}

// Start starts the node with the command of the deploy file.
func (m *Machine) Start() error {
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return err
	}
	path := filepath.Join(m.fleet.dir, m.Name+".yaml")
	if err := os.WriteFile(path, []byte(render(string(template), m.settings())), 0o600); err != nil {
		return err
	}
	command, err := runCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.cmd = exec.Command(command[0], command[1:]...)
	m.cmd.Env = append(os.Environ(), "JASMINEGATE_CONFIG="+path)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.fleet.Record.Line("%s is started", m.Name)
	exited, cmd := make(chan struct{}), m.cmd
	m.exited = exited
	go func() { _ = cmd.Wait(); close(exited) }()
	return nil
}

// runCommand returns the program and arguments of the node's role in the deploy file.
func runCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run command")
}

// Signal sends a signal to the node.
func (m *Machine) Signal(signal syscall.Signal) {
	m.fleet.Record.Line("%s gets %s", m.Name, signal)
	_ = m.cmd.Process.Signal(signal)
}

// Kill kills the node and waits for its end.
func (m *Machine) Kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.exited
}

// IsReady asks the node whether it is ready.
func (m *Machine) IsReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Ready+named("readiness"), nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
