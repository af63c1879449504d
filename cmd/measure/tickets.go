package main

import (
	"fmt"
	"net/http"
	"time"

	"jasminegate/internal/standin/fleet"
	"jasminegate/internal/state"
)

const callTimeout = 2 * time.Second

// baseTicket returns a ticket with every service of the nodes and its routes.
func baseTicket(nodes []fleet.NodePlan) state.Ticket {
	ticket := state.Ticket{Author: "measure"}
	seen := make(map[string]bool)
	for _, node := range nodes {
		if seen[node.Service] {
			continue
		}
		seen[node.Service] = true
		ticket.Services = append(ticket.Services, service(node.Service, node.Slots, node.Connections))
		ticket.Routes = append(ticket.Routes, routes(node.Service)...)
	}
	return ticket
}

// extraServices returns a ticket with count services, which no target serves, and
// their routes.
func extraServices(count int) state.Ticket {
	ticket := state.Ticket{Author: "measure"}
	for i := range count {
		name := fmt.Sprintf("extra-%d", i)
		ticket.Services = append(ticket.Services, service(name, 20, 110))
		ticket.Routes = append(ticket.Routes, routes(name)...)
	}
	return ticket
}

// routeChange returns a ticket that changes the lookup route of the service.
// Each i gives a different timeout, so that every ticket changes the
// configuration.
func routeChange(serviceName string, i int) state.Ticket {
	route := routes(serviceName)[0]
	route.Timeout = state.Duration(callTimeout + time.Duration(i+1)*time.Millisecond)
	return state.Ticket{Author: "measure", Routes: []state.Route{route}}
}

func service(name string, slots, connections int) state.Service {
	return state.Service{
		Name: name, Slots: slots, Connections: connections,
		QueueLength: slots, QueueTimeout: state.Duration(200 * time.Millisecond),
	}
}

// routes returns the routes of the service: an idempotent lookup, a
// non-idempotent filing and an idempotent search of the background class.
func routes(serviceName string) []state.Route {
	base := state.Route{
		Service: serviceName, Class: state.ClassInteractive,
		Timeout: state.Duration(callTimeout), MaxAttempts: 3,
	}
	lookup, filing, search := base, base, base
	lookup.Name = serviceName + "-lookup"
	lookup.PathPrefix = "/" + serviceName + "/lookup"
	lookup.Idempotent = true
	filing.Name = serviceName + "-filing"
	filing.PathPrefix = "/" + serviceName + "/filing"
	filing.Methods = []string{http.MethodPost}
	search.Name = serviceName + "-search"
	search.PathPrefix = "/" + serviceName + "/search"
	search.Idempotent = true
	search.Class = state.ClassBackground
	return []state.Route{lookup, filing, search}
}
