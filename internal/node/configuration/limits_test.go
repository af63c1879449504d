package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jasminegate/internal/coordination/acceptance"
	"jasminegate/internal/protocol/codec"
	"jasminegate/internal/state"
	"jasminegate/internal/transport/peer"
)

// largestTicket returns a ticket that replaces the configuration by one just within
// state.MaxStateBytes, with names that compress badly.
func largestTicket(t *testing.T) state.Ticket {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	ticket := state.Ticket{Number: 1, Replace: true, Services: []state.Service{{
		Name: "a", Slots: 6, Connections: 120, QueueLength: 12, QueueTimeout: state.Duration(time.Second),
	}}}
	size := 1 << 10 // of the service, and rounded up
	for i := 0; len(ticket.Routes) < state.MaxResources-1; i++ {
		name := fmt.Sprintf("r%05d-%016x%016x%016x", i, random.Uint64(), random.Uint64(), random.Uint64())
		route := state.Route{
			Name: name, Host: "a.example", PathPrefix: "/" + name + "/", Service: "a", Class: state.ClassInteractive,
			Timeout: state.Duration(time.Second), TargetLatency: state.Duration(time.Second), MaxAttempts: 2,
		}
		changes, err := state.Ticket{Number: 1, Routes: []state.Route{route}}.Changes()
		is.NoErr(err)
		size += len(changes[0].Data)
		if size > state.MaxStateBytes {
			break
		}
		ticket.Routes = append(ticket.Routes, route)
	}
	return ticket
}

// The largest configuration fits into one ticket, and its full update into one
// message between nodes.
func TestLargestConfigurationExceedsNoOtherLimit(t *testing.T) {
	is := is.New(t)
	data, err := largestTicket(t).Encode()
	is.NoErr(err)
	is.True(len(data) <= state.MaxTicketBytes)
	fold := acceptance.New()
	result, _, err := fold.Apply(0, data)
	is.NoErr(err)
	is.Equal(result.Verdict.Reason, "")
	is.Equal(result.Verdict.Outcome, acceptance.Accepted)
	message, err := codec.Encode(fold.FullUpdate())
	is.NoErr(err)
	is.True(len(message.GetData()) <= peer.MaxMessageBytes)
	update, err := codec.Decode(message)
	is.NoErr(err)
	is.NoErr(acceptance.New().ApplyUpdate(update))
}

// A push of the largest state over a link of 5 Mbit/s ends before its timeout, a pull at
// the latest when it has been repeated.
func TestTimeoutsOfPeersAllowLargestState(t *testing.T) {
	const slowLinkBytesPerS = 625_000
	is := is.New(t)
	data, err := largestTicket(t).Encode()
	is.NoErr(err)
	fold := acceptance.New()
	_, _, err = fold.Apply(0, data)
	is.NoErr(err)
	message, err := codec.Encode(fold.FullUpdate())
	is.NoErr(err)
	size := len(message.GetData())
	transfer := time.Duration(size) * time.Second / slowLinkBytesPerS
	t.Logf("largest state: %d bytes as a ticket, %d between nodes, %v on the link", len(data), size, transfer)
	is.True(pushTimeoutFor(size) > transfer)
	is.Equal(pullTimeoutAfter(0), pullTimeout)
	is.True(pullTimeoutAfter(3) > transfer)
}
