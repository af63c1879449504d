package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["header"] = headerOfUpstream }

// headerOfUpstream adds routes to a service whose answers have a header value in ISO-8859-1. Its upstreams
// are beside other nodes than the consumers.
func headerOfUpstream(f *Fleet) error {
	const each = 30
	routes := Object{"read": route("/read/", "idempotent", "rider-view", "1500ms")}
	services := Object{"rider-view": Service(), "stock-book": Service()}
	err := f.Begin(routes, services, takes(50*time.Millisecond),
		part{"casa-port", "rider-view", 6}, part{"casa-port", "stock-book", 6}, part{"casa-port", "stock-book", 6})
	if err != nil {
		return err
	}
	name := "fiche-Guediawaye.pdf"
	if f.Trouble {
		name = "fiche-Gu\xe9diawaye.pdf"
	}
	for _, m := range f.Machines[1:] {
		m.Upstream.Respond = func(header http.Header) { header.Set("Content-Disposition", `attachment; filename="`+name+`"`) }
	}
	routes["files"] = route("/files/", "idempotent", "stock-book", "1500ms")
	routes["orders"] = route("/orders/", "non_idempotent", "stock-book", "1500ms")
	if err := f.Configure(8, routes, services); err != nil {
		return err
	}
	time.Sleep(inForce)
	tally := NewTally()
	send := func(method, path string) {
		tally.Note(path, f.Machines[0].Send(Request{Method: method, Path: path, Limit: 3 * time.Second}))
	}
	for range each {
		send(http.MethodGet, "/read/2f")
		send(http.MethodGet, "/files/2f")
		send(http.MethodPost, "/orders/2f")
		time.Sleep(100 * time.Millisecond)
	}
	f.Record.Line("sent %v, served %v, run by upstreams %v", tally.Sent, tally.Served, f.RunsByPath())
	if tally.addedRouteStarves("/read/2f", "/files/2f") || tally.addedRouteStarves("/read/2f", "/orders/2f") {
		return fmt.Errorf("CONFIG: in steady state %v were sent and %v served: %w", tally.Sent, tally.Served, errBroken)
	}
	return nil
}
