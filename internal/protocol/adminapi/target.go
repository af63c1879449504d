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

// Errors of requests to the admin address.
var (
	Errors = errorx.NewNamespace("adminapi")

	// ErrAnnouncement means that an announcement is invalid; the text gives the
	// remedy.
	ErrAnnouncement = errorx.NewType(Errors, "announcement")
)

// Bounds of an announcement's lifetime.
const (
	MinTTL = 200 * time.Millisecond
	MaxTTL = 5 * time.Minute
)

// TargetState is the state that a target announces.
type TargetState string

// States that a target announces.
const (
	TargetReady TargetState = "ready"
	// TargetDraining means that the target accepts no new calls.
	TargetDraining TargetState = "draining"
)

// Announcement is the message by which a target registers with its node. The
// target must renew it before the TTL ends; otherwise the node treats the target
// as absent.
type Announcement struct {
	Service string `json:"service"`
	// Slots is how many calls the target runs at once.
	Slots uint32 `json:"slots"`
	// Connections is how many connections the target accepts at once.
	Connections uint32 `json:"connections"`
	// Address is the target's IP address and port.
	Address string `json:"address"`
	// Instance identifies the process of the target; it is optional.
	Instance string      `json:"instance,omitempty"`
	State    TargetState `json:"state"`
	// Version is the version of the target's software; it is optional.
	Version string `json:"version,omitempty"`
	// TTLMS is how long the announcement is valid, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// TTL returns how long the announcement is valid.
func (a Announcement) TTL() time.Duration {
	return time.Duration(a.TTLMS) * time.Millisecond
}

// DecodeAnnouncement decodes and validates an announcement. It fails with
// ErrAnnouncement.
func DecodeAnnouncement(data []byte) (Announcement, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var announcement Announcement
	if err := decoder.Decode(&announcement); err != nil {
		return Announcement{}, ErrAnnouncement.New("not an announcement: %v: send service, slots, connections, address, state and ttl_ms as JSON", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Announcement{}, ErrAnnouncement.New("bytes follow the announcement: send one announcement in each request")
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
	if a.Instance != "" {
		if text, remedy := state.CheckName(a.Instance, state.MaxNameBytes); text != "" {
			return ErrAnnouncement.New("instance %s: %s", text, remedy)
		}
	}
	if a.Version != "" {
		if text, remedy := state.CheckName(a.Version, state.MaxNameBytes); text != "" {
			return ErrAnnouncement.New("version %s: %s", text, remedy)
		}
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
