package load

import (
	"strconv"
	"strings"
)

// Bytes counts the bytes of a node's control traffic since its start.
type Bytes struct {
	NodesSent        uint64
	NodesReceived    uint64
	PlatformSent     uint64
	PlatformReceived uint64
}

// Total returns the bytes sent to other nodes and exchanged with the platform. It
// excludes bytes received from other nodes, which count at their sender.
func (b Bytes) Total() uint64 {
	return b.NodesSent + b.PlatformSent + b.PlatformReceived
}

// Sub returns the difference to the earlier counts before.
func (b Bytes) Sub(before Bytes) Bytes {
	return Bytes{
		NodesSent:        b.NodesSent - before.NodesSent,
		NodesReceived:    b.NodesReceived - before.NodesReceived,
		PlatformSent:     b.PlatformSent - before.PlatformSent,
		PlatformReceived: b.PlatformReceived - before.PlatformReceived,
	}
}

// ControlBytes parses the counts from a node's metrics in text format.
func ControlBytes(metrics []byte) Bytes {
	value := func(path, direction string) uint64 {
		return uint64(Metric(metrics, `jasminegate_control_bytes_total{path="`+path+`",direction="`+direction+`"}`))
	}
	return Bytes{
		NodesSent:        value("nodes", "sent"),
		NodesReceived:    value("nodes", "received"),
		PlatformSent:     value("platform", "sent"),
		PlatformReceived: value("platform", "received"),
	}
}

// Metric returns the value of one metric, named with its labels, from metrics in
// text format; 0 if it is missing.
func Metric(metrics []byte, name string) float64 {
	for line := range strings.Lines(string(metrics)) {
		rest, ok := strings.CutPrefix(line, name+" ")
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(rest), 64)
		if err == nil {
			return value
		}
	}
	return 0
}

// Add returns the sum of both counts.
func (b Bytes) Add(other Bytes) Bytes {
	return Bytes{
		NodesSent:        b.NodesSent + other.NodesSent,
		NodesReceived:    b.NodesReceived + other.NodesReceived,
		PlatformSent:     b.PlatformSent + other.PlatformSent,
		PlatformReceived: b.PlatformReceived + other.PlatformReceived,
	}
}
