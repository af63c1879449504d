package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// A fleet reserves one network 127.X.0.0/16 by listening on a guard address in
// it, so that fleets that run at the same time use different networks. Each node
// has its own IP address there, so that no other process takes its ports while it
// is restarted.
const (
	guardHost          = "255.254"
	guardPort          = 7000
	callersPort        = 7001
	adminPort          = 7002
	controlPort        = 7003
	callsPort          = 7004
	platformPort       = 7400
	targetPort         = 9000
	nodesPerBlock      = 250
	maxNodes           = 100 * nodesPerBlock
	nodeRelayBlock     = 100 // third byte of the addresses of node relays, from here on
	platformBlock      = 200
	platformRelayBlock = 201
	firstNetwork       = 1
	lastNetwork        = 254
)

// network is a reserved network 127.X.0.0/16.
type network struct {
	number int
	guard  net.Listener
}

// reserveNetwork reserves the first free network. It starts at a number derived
// from the process ID to avoid collisions with other fleets.
func reserveNetwork() (*network, error) {
	count := lastNetwork - firstNetwork + 1
	for i := range count {
		number := firstNetwork + (os.Getpid()+i)%count
		guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.%s:%d", number, guardHost, guardPort))
		if err == nil {
			return &network{number: number, guard: guard}, nil
		}
	}
	return nil, errors.New("fleet: all networks 127.X.0.0/16 are in use: stop other fleets")
}

func (n *network) release() { n.guard.Close() }

// node returns the address of a port of the node at index.
func (n *network) node(index, port int) string {
	return n.host(0, index, port)
}

// relay returns the address of the relay in front of node(index, port).
func (n *network) relay(index, port int) string {
	return n.host(nodeRelayBlock, index, port)
}

func (n *network) platform() string {
	return n.host(platformBlock, 0, platformPort)
}

// platformRelay returns the address of the relay that the failure domain at index
// reaches the platform through.
func (n *network) platformRelay(index int) string {
	return n.host(platformRelayBlock, index, platformPort)
}

func (n *network) host(block, index, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", n.number, block+index/nodesPerBlock, 1+index%nodesPerBlock, port)
}
