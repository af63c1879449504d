package load

import (
	"strconv"
	"strings"
)

// ControlByteCounts are a node's control bytes so far.
type ControlByteCounts struct {
	NodesSent        uint64
	NodesReceived    uint64
	PlatformSent     uint64
	PlatformReceived uint64
}

// Total counts each byte between two nodes once, at its sender, and the bytes
// to and from the platform.
func (b ControlByteCounts) Total() uint64 {
	return b.NodesSent + b.PlatformSent + b.PlatformReceived
}

// Sub returns what was added since before.
func (b ControlByteCounts) Sub(before ControlByteCounts) ControlByteCounts {
	return ControlByteCounts{
		NodesSent:        b.NodesSent - before.NodesSent,
		NodesReceived:    b.NodesReceived - before.NodesReceived,
		PlatformSent:     b.PlatformSent - before.PlatformSent,
		PlatformReceived: b.PlatformReceived - before.PlatformReceived,
	}
}

// ParseControlBytes reads the control bytes from a node's metrics.
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

// MetricValue reads one metric, with its labels in the name; 0 when it is missing.
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

// Add returns the sum of both.
func (b ControlByteCounts) Add(other ControlByteCounts) ControlByteCounts {
	return ControlByteCounts{
		NodesSent:        b.NodesSent + other.NodesSent,
		NodesReceived:    b.NodesReceived + other.NodesReceived,
		PlatformSent:     b.PlatformSent + other.PlatformSent,
		PlatformReceived: b.PlatformReceived + other.PlatformReceived,
	}
}
