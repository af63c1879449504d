package state

import "fmt"

// Version identifies one accepted configuration.
type Version struct {
	// Position is one past the log offset of the last accepted ticket; 0 means
	// that no ticket has been accepted.
	Position uint64
	// Digest is the xxhash64 of the full state in canonical encoding.
	Digest uint64
}

// Newer reports whether v is a later configuration than other.
func (v Version) Newer(other Version) bool {
	return v.Position > other.Position
}

// String formats the version as position@digest, the digest in hexadecimal.
func (v Version) String() string {
	return fmt.Sprintf("%d@%016x", v.Position, v.Digest)
}
