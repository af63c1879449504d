// Package coordination holds the decisions of a node as deterministic state
// machines. A machine has a method Step(now, event) that returns actions. It
// reads no clock, starts no goroutine, does no I/O and draws random numbers
// only from a source that it was given, so every run replays from its seed.
package coordination
