package node

import (
	"cmp"
	"math"
	"runtime/debug"
	"syscall"

	"jasminegate/internal/config"
	"jasminegate/internal/coordination/resources"
)

// Parts of the process's memory and descriptors. What is left over is for the configuration, the
// members, the platform and the target.
const (
	// heldMemoryShare is the part of node.memory_bytes that callers and other nodes may hold, and
	// heapShare the part that the garbage collector lets the process grow to.
	heldMemoryShare = 1.0 / 4
	heapShare       = 7.0 / 10

	callerShare   = 3.0 / 8  // callers' connections
	outgoingShare = 1.0 / 4  // connections to other nodes' gates
	callsShare    = 1.0 / 8  // connections of other nodes for calls
	controlShare  = 1.0 / 16 // connections of other nodes for control messages
	otherShare    = 1.0 / 64 // those of the admin, announcement and readiness addresses, each
	minOther      = 8
)

// descriptorParts are the largest numbers of connections.
type descriptorParts struct {
	callers, outgoing, calls, control, other int
}

// splitDescriptors divides the descriptors of the process.
func splitDescriptors(descriptors int) descriptorParts {
	part := func(share float64) int { return int(share * float64(descriptors)) }
	return descriptorParts{
		callers: part(callerShare), outgoing: part(outgoingShare), calls: part(callsShare), control: part(controlShare),
		other: max(minOther, part(otherShare)),
	}
}

// usableDescriptors returns node.descriptors, or the process's own limit if that is lower. Settings
// that were not loaded from a file may have none.
func usableDescriptors(settings config.Node) int {
	descriptors := cmp.Or(settings.Descriptors, config.Defaults().Node.Descriptors)
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur >= uint64(descriptors) {
		return descriptors
	}
	return int(limit.Cur)
}

// heldLimits returns what callers and other nodes may hold.
func heldLimits(settings config.Node, parts descriptorParts) resources.Limits {
	return resources.Limits{Bytes: int64(heldMemoryShare * float64(settings.MemoryBytes)), Connections: parts.callers}
}

// limitHeap makes the garbage collector run more often near the process's memory, unless the
// environment sets a limit.
func limitHeap(settings config.Node) {
	const unlimited, onlyRead = math.MaxInt64, -1
	if settings.MemoryBytes > 0 && debug.SetMemoryLimit(onlyRead) == unlimited {
		debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryBytes)))
	}
}
