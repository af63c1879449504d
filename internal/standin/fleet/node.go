package fleet

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
)

// Node is one node with its target. Both processes can be stopped and restarted
// at the same addresses.
type Node struct {
	NodePlan
	CallersAddress string
	AdminAddress   string
	ControlAddress string
	CallsAddress   string
	TargetAddress  string

	fleet        *Fleet
	index        int
	settingsPath string
	relays       *nodeRelays // nil if Plan.NodeRelays is false

	mu      sync.Mutex
	process *Process
	target  *Process
}

// Process returns the node's latest process, or nil before the first start.
func (n *Node) Process() *Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Target returns the target's latest process, or nil before the first start.
func (n *Node) Target() *Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.target
}

// Start starts the node's process. It fails if one is running.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.Running() {
		return fmt.Errorf("node %s is already running", n.ID)
	}
	process, err := n.fleet.launch(command{
		name: n.ID,
		path: n.fleet.plan.Node,
		args: append([]string{"node", "--config", n.settingsPath}, n.fleet.plan.NodeArgs...),
		env:  n.fleet.plan.NodeEnv,
	})
	if err != nil {
		return err
	}
	n.process = process
	return nil
}

// StartTarget starts the target's process, which announces itself to the node.
// It fails if one is running.
func (n *Node) StartTarget() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.Service == "" {
		return errors.New("node " + n.ID + " has no service in the plan")
	}
	if n.target != nil && n.target.Running() {
		return fmt.Errorf("target of %s is already running", n.ID)
	}
	process, err := n.fleet.launch(command{
		name: n.ID + ".target",
		path: n.fleet.plan.Standin,
		args: append([]string{
			"target",
			"-address", n.TargetAddress,
			"-service", n.Service,
			"-slots", strconv.Itoa(n.Slots),
			"-connections", strconv.Itoa(n.Connections),
			"-node", n.AdminAddress,
			"-software-version", n.Version,
		}, n.fleet.plan.TargetArgs...),
		printsReadyLine: true,
	})
	if err != nil {
		return err
	}
	n.target = process
	return nil
}
