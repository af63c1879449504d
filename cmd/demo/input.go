package main

import (
	"fmt"
	"net/http"
	"time"

	"jasminegate/internal/standin/load"
	"jasminegate/internal/state"
)

// ticket returns the whole configuration of the demonstration.
func ticket(number uint64, queueTimeout time.Duration) state.Ticket {
	return state.Ticket{
		Number: number,
		Author: "demo",
		Services: []state.Service{
			service("rider-view", queueTimeout),
			service("order-desk", queueTimeout),
		},
		Routes: []state.Route{
			{
				Name: "riders", PathPrefix: "/riders", Methods: []string{http.MethodGet}, Service: "rider-view",
				Class: state.ClassInteractive, Timeout: state.Duration(callTimeout), Idempotent: true, MaxAttempts: 3,
			},
			{
				Name: "orders", PathPrefix: "/orders", Methods: []string{http.MethodPost}, Service: "order-desk",
				Class: state.ClassInteractive, Timeout: state.Duration(callTimeout), MaxAttempts: 3,
			},
		},
	}
}

func service(name string, queueTimeout time.Duration) state.Service {
	return state.Service{
		Name: name, Slots: 6, Connections: 120, QueueLength: 24, QueueTimeout: state.Duration(queueTimeout),
	}
}

// nextCall alternates reads and orders.
func nextCall(i int) load.Call {
	if i%2 == 0 {
		return load.Call{
			ID: fmt.Sprintf("read-%d", i), Method: http.MethodGet, URI: fmt.Sprintf("/riders/%d?bytes=2000", i),
			MinResponseBytes: 2000, Timeout: callTimeout, Group: "reads",
		}
	}
	return load.Call{
		ID: fmt.Sprintf("order-%d", i), Method: http.MethodPost, URI: fmt.Sprintf("/orders/%d", i),
		Body: fmt.Appendf(nil, "order %d", i), Timeout: callTimeout, NonIdempotent: true, Group: "orders",
	}
}
