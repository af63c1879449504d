package processtest

import (
	"fmt"
	"net/http"
	"time"

	"jasminegate/internal/standin/load"
	"jasminegate/internal/state"
)

const callTimeout = 3 * time.Second

// Groups of calls in reports.
const (
	groupReads  = "reads"
	groupOrders = "orders"
	groupKeyed  = "keyed orders"
)

func baseTicket() state.Ticket {
	return state.Ticket{
		Author:   "test",
		Services: []state.Service{service("rider-view"), service("order-desk")},
		Routes:   []state.Route{readRoute(callTimeout), orderRoute()},
	}
}

// changedTicket changes one route; each i gives another content.
func changedTicket(i int) state.Ticket {
	return state.Ticket{Author: "test", Routes: []state.Route{readRoute(callTimeout + time.Duration(i+1)*time.Millisecond)}}
}

func service(name string) state.Service {
	return state.Service{
		Name: name, Slots: 6, Connections: 120, QueueLength: 24, QueueTimeout: state.Duration(time.Second),
	}
}

func readRoute(timeout time.Duration) state.Route {
	return state.Route{
		Name: "riders", PathPrefix: "/riders", Service: "rider-view", Class: state.ClassInteractive,
		Timeout: state.Duration(timeout), Idempotent: true, MaxAttempts: 3,
	}
}

func orderRoute() state.Route {
	return state.Route{
		Name: "orders", PathPrefix: "/orders", Methods: []string{http.MethodPost}, Service: "order-desk",
		Class: state.ClassInteractive, Timeout: state.Duration(callTimeout), MaxAttempts: 3,
	}
}

// mixedCalls alternates reads and orders; orders alternate without and with a
// key. Calls of different runs differ.
func mixedCalls(run string) func(int) load.Call {
	return func(i int) load.Call { return mixedCall(run, i) }
}

func mixedCall(run string, i int) load.Call {
	if i%2 == 0 {
		return load.Call{
			ID: fmt.Sprintf("%s-read-%d", run, i), Method: http.MethodGet, Group: groupReads, Timeout: callTimeout,
			URI: fmt.Sprintf("/riders/%d?bytes=3000&service_ms=5", i), MinResponseBytes: 3000,
		}
	}
	call := load.Call{
		ID: fmt.Sprintf("%s-order-%d", run, i), Method: http.MethodPost, Group: groupOrders, Timeout: callTimeout,
		URI: fmt.Sprintf("/orders/%d?service_ms=100", i), Body: fmt.Appendf(nil, "order %d", i), NonIdempotent: true,
	}
	if i%4 == 1 {
		call.Key = call.ID
		call.Group = groupKeyed
	}
	return call
}
