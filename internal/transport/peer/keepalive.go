package peer

import (
	"net"
	"time"
)

// KeepAlive detects connections whose other end became unreachable without
// closing them: the connection fails about two seconds after the last byte was
// received. This is within the time in which a configuration change has to be in
// force.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}
