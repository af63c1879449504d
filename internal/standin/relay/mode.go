package relay

import (
	"fmt"
	"time"
)

// Kind selects what a relay does with connections.
type Kind string

// Values of Kind.
const (
	// Pass forwards bytes; the empty string means the same.
	Pass Kind = "pass"
	// Refuse resets open and new connections.
	Refuse Kind = "refuse"
	// Silent drops all bytes on the connections that are open when it is set,
	// and does not forward their close. Later modes don't restore forwarding on
	// these connections.
	Silent Kind = "silent"
)

// Mode is the fault mode of a relay.
type Mode struct {
	Kind Kind `json:"kind"`
	// SilenceNew makes Silent apply to connections opened later too; otherwise they
	// are forwarded.
	SilenceNew bool `json:"hang_new"`
	// DelayMS is the delay of forwarded bytes in each direction, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Validate returns an error if Kind is unknown or DelayMS is negative.
func (m Mode) Validate() error {
	switch m.Kind {
	case "", Pass, Refuse, Silent:
	default:
		return fmt.Errorf("kind %q: use %s, %s or %s", m.Kind, Pass, Refuse, Silent)
	}
	if m.DelayMS < 0 {
		return fmt.Errorf("delay_ms %d: must be 0 or more", m.DelayMS)
	}
	return nil
}

func (m Mode) delay() time.Duration { return time.Duration(m.DelayMS) * time.Millisecond }
