package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["key"] = unknownKeyOnOpenRoute }

// Figures of the case.
const (
	keyedRequests = 20
	heldKey       = "ta828m82thhkmgjqnirt"
	unknownKey    = "q1r7nx52bdkvzowpyeuh"
	openPath      = "/vouchers/2f"
	closedPath    = "/balances/2f"
)

// unknownKeyOnOpenRoute sends requests with a key that no configuration ever held. One route needs a key, the
// other does not.
func unknownKeyOnOpenRoute(f *Fleet) error {
	routes := Object{
		"balances": route("/balances/", "idempotent", "topup-svc", "3000ms"),
		"vouchers": route("/vouchers/", "idempotent", "settle-svc", "1200ms"),
	}
	routes["vouchers"].(Object)[named("open")] = true
	f.Tenants = Object{"huka270": Object{named("keys"): []string{heldKey}, "Priority": 1, "RatePerS": 632, "Burst": 632}}
	services := Object{"topup-svc": Service(), "settle-svc": Service()}
	err := f.Begin(routes, services, takes(100*time.Millisecond), part{"at-east-a", "topup-svc", 18}, part{"at-east-b", "settle-svc", 18})
	if err != nil {
		return err
	}
	key := heldKey
	if f.Trouble {
		key = unknownKey
	}
	statuses := make(map[string]int)
	for range keyedRequests {
		for _, path := range []string{closedPath, openPath} {
			a := f.Machines[0].Send(Request{Method: http.MethodGet, Path: path, Limit: 2 * time.Second, Key: key})
			statuses[fmt.Sprintf("%s: %d", path, a.Status)]++
		}
	}
	runs := f.RunsByPath()
	f.Record.Line("answers %v, runs %v", statuses, runs)
	if !f.Trouble && (runs[openPath] == 0 || runs[closedPath] == 0) {
		return fmt.Errorf("requests with a key that the configuration holds were not run")
	}
	if ran := runs[openPath] + runs[closedPath]; f.Trouble && ran > 0 {
		return fmt.Errorf("ROUTE: %d requests were run whose key no configuration ever held: %w", ran, errBroken)
	}
	return nil
}
