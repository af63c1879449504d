package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of tickets and resources.
const (
	// MaxTicketBytes has room for a ticket that replaces the configuration by the
	// largest one, and for the ticket's own fields.
	MaxTicketBytes   = MaxStateBytes + 256<<10
	MaxNameBytes     = 200
	MaxPathBytes     = 8192
	MaxSlots         = 100_000
	MaxConnections   = 100_000
	MaxQueueLength   = 100_000
	MaxRouteTimeout  = 10 * time.Minute
	MaxQueueTimeout  = time.Minute
	MaxRouteAttempts = 10
	MaxDestinations  = 1000
	MaxWeight        = 1_000_000
	MaxPriority      = 100
	MaxHeaderBytes   = 1 << 20
	MaxBodyBytes     = 1 << 30
	MaxHeaderTimeout = time.Minute
	MaxIdleTimeout   = time.Hour
)

// DecodeTicket decodes a ticket from its encoding in the log and validates it. It
// fails with ErrUndecodable, or with ErrInvalid if the ticket breaks a rule or
// exceeds MaxTicketBytes. A ticket that breaks a rule is returned with the error.
func DecodeTicket(data []byte) (Ticket, error) {
	if len(data) > MaxTicketBytes {
		return Ticket{}, ErrInvalid.New("ticket has %d bytes, over the bound of %d: split it", len(data), MaxTicketBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var ticket Ticket
	if err := decoder.Decode(&ticket); err != nil {
		return Ticket{}, ErrUndecodable.New("not a ticket: %v: check it with `jasminegate ticket check`", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Ticket{}, ErrUndecodable.New("bytes follow the ticket: publish one ticket a record")
	}
	return ticket, ticket.Validate()
}

// Encode returns the encoding of the ticket in the log.
func (t Ticket) Encode() ([]byte, error) {
	return json.Marshal(t)
}

// ContentHash returns the xxhash64 of the ticket's encoding, by which a repeated
// ticket is recognised.
func (t Ticket) ContentHash() (uint64, error) {
	data, err := t.Encode()
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(data), nil
}

// Changes returns the resources that the ticket changes or removes, in canonical
// encoding.
func (t Ticket) Changes() ([]Resource, error) {
	var changes []Resource
	for _, service := range t.Services {
		data, err := json.Marshal(service)
		if err != nil {
			return nil, err
		}
		changes = append(changes, Resource{Key: Key{KindService, service.Name}, Data: data})
	}
	for _, route := range t.Routes {
		data, err := json.Marshal(route)
		if err != nil {
			return nil, err
		}
		changes = append(changes, Resource{Key: Key{KindRoute, route.Name}, Data: data})
	}
	if t.CallerLimits != nil {
		data, err := json.Marshal(t.CallerLimits)
		if err != nil {
			return nil, err
		}
		changes = append(changes, Resource{Key: callerLimitsKey, Data: data})
	}
	for _, tenant := range t.Tenants {
		data, err := json.Marshal(tenant)
		if err != nil {
			return nil, err
		}
		changes = append(changes, Resource{Key: Key{KindTenant, tenant.Name}, Data: data})
	}
	for _, name := range t.RemoveServices {
		changes = append(changes, Resource{Key: Key{KindService, name}, Removed: true})
	}
	for _, name := range t.RemoveRoutes {
		changes = append(changes, Resource{Key: Key{KindRoute, name}, Removed: true})
	}
	for _, name := range t.RemoveTenants {
		changes = append(changes, Resource{Key: Key{KindTenant, name}, Removed: true})
	}
	return changes, nil
}
