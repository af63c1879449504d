package load

import (
	"strconv"
	"strings"
)

// ControlByteCounts counts the bytes of a node's control traffic since its start.
type ControlByteCounts struct {
	NodesSent        uint64
	NodesReceived    uint64
	PlatformSent     uint64
	PlatformReceived uint64
}

// Total returns the bytes sent to other nodes and exchanged with the platform. It
// excludes bytes received from other nodes, which count at their sender.
func (b ControlByteCounts) Total() uint64 {
	return b.NodesSent + b.PlatformSent + b.PlatformReceived
}

// Sub returns the counts minus the earlier counts before.
func (b ControlByteCounts) Sub(before ControlByteCounts) ControlByteCounts {
	return ControlByteCounts{
		NodesSent:        b.NodesSent - before.NodesSent,
		NodesReceived:    b.NodesReceived - before.NodesReceived,
		PlatformSent:     b.PlatformSent - before.PlatformSent,
		PlatformReceived: b.PlatformReceived - before.PlatformReceived,
	}
}

// ParseControlBytes parses the counts from a node's metrics in text format.
func ParseControlBytes(metrics []byte) ControlByteCounts {
	value := func(path, direction string) uint64 {
		return uint64(MetricValue(metrics, `jasminegate_control_bytes_total{path="`+path+`",direction="`+direction+`"}`))
	}
	return ControlByteCounts{
		NodesSent:        value("nodes", "sent"),
		NodesReceived:    value("nodes", "received"),
		PlatformSent:     value("platform", "sent"),
		PlatformReceived: value("platform", "received"),
	}
}

// MetricValue returns the value of one metric, named with its labels, from
// metrics in text format; 0 if it is missing.
func MetricValue(metrics []byte, name string) float64 {
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
func (b ControlByteCounts) Add(other ControlByteCounts) ControlByteCounts {
	return ControlByteCounts{
		NodesSent:        b.NodesSent + other.NodesSent,
		NodesReceived:    b.NodesReceived + other.NodesReceived,
		PlatformSent:     b.PlatformSent + other.PlatformSent,
		PlatformReceived: b.PlatformReceived + other.PlatformReceived,
	}
}
