package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/config"
	"jasminegate/internal/logging"
	"jasminegate/internal/transport/accept"
)

const (
	// portWait is how long a node waits for a port that is still taken, for example by the
	// process that it replaces, and portRetryInterval the time between two attempts.
	portWait          = 10 * time.Second
	portRetryInterval = 50 * time.Millisecond
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

// listen opens the ports. It fails with ErrAddress if one cannot be opened, or is still taken
// after portWait.
func listen(ctx context.Context, settings config.Node, logger *logging.Logger) (*listeners, error) {
	ctx, cancel := context.WithTimeout(ctx, portWait)
	defer cancel()
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
		listener, err := listenWhenFree(ctx, port.key, port.address, logger)
		if err != nil {
			opened.close()
			return nil, ErrAddress.New("%s %q: %v: choose a free address of this instance", port.key, port.address, err)
		}
		*port.into = listener
	}
	return opened, nil
}

// listenWhenFree opens the port. While it is taken, it tries again until ctx ends.
func listenWhenFree(ctx context.Context, key, address string, logger *logging.Logger) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		listener, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
		if attempt == 1 {
			logger.Event(logging.PortTaken).Str("key", key).Str("address", address).Err(err).Send()
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(portRetryInterval):
		}
	}
}

// inactiveTimeout is how long a connection must have carried nothing to be closed for a new one.
// Between nodes, heartbeats and health checks are more frequent.
const inactiveTimeout = 2 * time.Second

// limit limits the connections at the addresses that are not for callers.
func (l *listeners) limit(parts descriptorParts) {
	l.calls = accept.Limit(l.calls, parts.calls, inactiveTimeout)
	l.control = accept.Limit(l.control, parts.control, inactiveTimeout)
	for _, other := range []*net.Listener{&l.admin, &l.announce, &l.ready} {
		*other = accept.Limit(*other, parts.other, inactiveTimeout)
	}
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.admin, l.control, l.calls, l.announce, l.ready} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
