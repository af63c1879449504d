package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// healthPath is the health path of all services.
const healthPath = "/health"

// Fleet is a store with machines.
type Fleet struct {
	Store    *Store
	Machines []*Machine
	Record   *Record
	// Trouble is false for a run without the disruption.
	Trouble bool
	// Tenants are those of the configurations; nil for none.
	Tenants Object
	dir     string
}

// NewFleet starts a store. The files of the nodes are in a temporary folder.
func NewFleet(record *Record, trouble bool) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := StartStore()
	if err != nil {
		return nil, err
	}
	return &Fleet{Store: store, Record: record, Trouble: trouble, dir: dir}, nil
}

// Close ends all processes.
func (f *Fleet) Close() {
	for _, m := range f.Machines {
		m.Kill()
		if m.Upstream != nil {
			m.Upstream.Close()
		}
	}
	f.Store.Close()
	_ = os.RemoveAll(f.dir)
}

// Object is a JSON object.
type Object = map[string]any

// Configure writes a configuration of the operator.
func (f *Fleet) Configure(version int, routes, services Object) error {
	configuration := Object{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": Object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	}
	if f.Tenants != nil {
		configuration[named("tenants")] = f.Tenants
	}
	data, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	f.Store.Write("config", data)
	f.Record.Line("the operator writes version %d, acknowledged: %s", version, data)
	return nil
}

// Service is a service of a configuration.
func Service() Object {
	return Object{"HealthPath": healthPath, "MaxConnections": 120, "Protocol": "h1", "Tls": false}
}

// AwaitReady waits until all nodes are ready.
func (f *Fleet) AwaitReady(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, m := range f.Machines {
		for !m.IsReady(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("%s did not become ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// RunsByPath counts the runs at all upstreams.
func (f *Fleet) RunsByPath() map[string]int {
	runs := make(map[string]int)
	for _, m := range f.Machines {
		for _, run := range m.Upstream.Runs() {
			runs[run.Path]++
		}
	}
	return runs
}
