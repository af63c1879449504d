package peer

import (
	"net"
	"time"
)

// KeepAlive finds connections that went silent for good, which carry no error by
// themselves: about two seconds after the last byte the connection fails. That
// is within the time in which a change of the configuration has to be in force.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}
