package state

import "fmt"

// Version identifies one accepted configuration.
type Version struct {
	// Position is one past the log position of the last accepted ticket; 0 means
	// that no ticket has been accepted.
	Position uint64
	// Number is the number of the last accepted ticket, 0 if it is not known: nodes of
	// earlier releases do not send it.
	Number uint64
	// Digest is the xxhash64 of the full state in canonical encoding.
	Digest uint64
}

// Era returns the era of the log in which the last ticket was accepted.
func (v Version) Era() uint64 { return EraOf(v.Position) }

// Newer reports whether v is a later configuration than other. Versions of different
// eras are ordered by the number of their ticket: a restored log may have given a later
// position to an earlier ticket.
func (v Version) Newer(other Version) bool {
	if v.Era() != other.Era() && v.Number != other.Number && v.Number > 0 && other.Number > 0 {
		return v.Number > other.Number
	}
	return v.Position > other.Position
}

// String formats the version as position@digest, the digest in hexadecimal. A version
// of a log with eras begins with the era: era/position@digest.
func (v Version) String() string {
	return fmt.Sprintf("%s@%016x", FormatPosition(v.Position), v.Digest)
}
