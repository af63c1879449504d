package membership

import "time"

// Summary is a reporter's statement of which configuration versions the counted
// members of its failure domain run. A reporter is a relay of the domain.
type Summary struct {
	Domain   string
	Reporter string
	// Sequence increases with each summary of a reporter.
	Sequence uint64
	// Members is the number of counted members of the domain: live ones, and dead
	// ones until the forget timeout.
	Members uint32
	// LeastPosition is the lowest configuration position that a counted member may
	// still run.
	LeastPosition uint64
	// Laggards are the IDs of the counted members at the lowest current position if
	// others run a later version, and of dead ones that still count. LeastPosition may
	// be lower than that position (see confirmedPosition). The list is truncated.
	Laggards []string
	// LeftOut are members that are no longer counted, each with the reason. The list
	// is truncated.
	LeftOut []string
	// Age is an upper bound on the time since the summary was made.
	Age time.Duration
}
