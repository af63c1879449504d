package adminapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"jasminegate/internal/state"
)

// Errors of messages to the admin address.
var (
	Errors = errorx.NewNamespace("adminapi")

	// ErrAnnouncement says that an announcement cannot be taken; the text names
	// the remedy.
	ErrAnnouncement = errorx.NewType(Errors, "announcement")
)

// Bounds of an announcement's lifetime.
const (
	MinTTL = 200 * time.Millisecond
	MaxTTL = 5 * time.Minute
)

// TargetState is what a target announces.
type TargetState string

// States that a target announces.
const (
	TargetReady    TargetState = "ready"
	TargetDraining TargetState = "draining"
)

// Announcement is a target's word to the node beside it. It is repeated within
// its lifetime; without a repeat the target counts as gone.
type Announcement struct {
	Service string `json:"service"`
	// Slots is how many calls the target runs at once.
	Slots uint32 `json:"slots"`
	// Connections is how many connections the target accepts.
	Connections uint32 `json:"connections"`
	// Address is the target's IP address and port.
	Address string      `json:"address"`
	State   TargetState `json:"state"`
	// TTLMS is how long the announcement holds, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// TTL returns how long the announcement holds.
func (a Announcement) TTL() time.Duration {
	return time.Duration(a.TTLMS) * time.Millisecond
}

// DecodeAnnouncement reads and checks an announcement. It fails with
// ErrAnnouncement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var announcement Announcement
	if err := decoder.Decode(&announcement); err != nil {
		return Announcement{}, ErrAnnouncement.New("not an announcement: %v: send service, slots, connections, address, state and ttl_ms as JSON", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Announcement{}, ErrAnnouncement.New("bytes follow the announcement: send one a request")
	}
	return announcement, announcement.check()
}

func (a Announcement) check() error {
	if text, remedy := state.CheckName(a.Service, state.MaxNameBytes); text != "" {
		return ErrAnnouncement.New("service %s: %s", text, remedy)
	}
	if a.Slots < 1 || a.Slots > state.MaxSlots {
		return ErrAnnouncement.New("slots is %d: use 1 to %d", a.Slots, state.MaxSlots)
	}
	if a.Connections < 1 || a.Connections > state.MaxConnections {
		return ErrAnnouncement.New("connections is %d: use 1 to %d", a.Connections, state.MaxConnections)
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		return ErrAnnouncement.New("address is %q: give the target's IP address and port", a.Address)
	}
	if a.State != TargetReady && a.State != TargetDraining {
		return ErrAnnouncement.New("state is %q: use %s or %s", a.State, TargetReady, TargetDraining)
	}
	if a.TTLMS < MinTTL.Milliseconds() || a.TTLMS > MaxTTL.Milliseconds() {
		return ErrAnnouncement.New("ttl_ms is %d: use %d to %d", a.TTLMS, MinTTL.Milliseconds(), MaxTTL.Milliseconds())
	}
	return nil
}
