package node

import (
	"net"

	"github.com/joomcode/errorx"

	"jasminegate/internal/config"
)

// Errors of the startup of a node.
var (
	Errors = errorx.NewNamespace("node")

	// ErrAddress says that a listen address or the trace endpoint cannot be used.
	ErrAddress = errorx.NewType(Errors, "address")
	// ErrAdapter says that the settings name an adapter that does not exist.
	ErrAdapter = errorx.NewType(Errors, "adapter")
)

// listeners holds the node's open ports. One whose address is not set is nil;
// announce and ready serve the endpoints of an adapter.
type listeners struct {
	callers net.Listener
	admin   net.Listener
	control net.Listener
	calls   net.Listener

	announce net.Listener
	ready    net.Listener
}

func listen(settings config.Node) (*listeners, error) {
	opened := &listeners{}
	for _, port := range []struct {
		key     string
		address string
		into    *net.Listener
	}{
		{"node.callers_address", settings.CallersAddress, &opened.callers},
		{"node.admin_address", settings.AdminAddress, &opened.admin},
		{"node.control_address", settings.ControlAddress, &opened.control},
		{"node.calls_address", settings.CallsAddress, &opened.calls},
		{"node.announce_address", settings.AnnounceAddress, &opened.announce},
		{"node.ready_address", settings.ReadyAddress, &opened.ready},
	} {
		if port.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			opened.close()
			return nil, ErrAddress.New("%s %q: %v: choose a free address of this instance", port.key, port.address, err)
		}
		*port.into = listener
	}
	return opened, nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.admin, l.control, l.calls, l.announce, l.ready} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
