package main

import "encoding/json"

// Hosts and services of the deployment.
const (
	host     = "jepu9.example"
	serviceA = "fiches-web"
	serviceB = "depot-regl"
)

// route is one route of the operator's configuration.
type route struct {
	Host, PathPrefix, Kind, Timeout, TargetLatency, Service string
	Priority, MaxAttempts                                   int
}

// service is one service of the operator's configuration.
type service struct {
	HealthPath     string
	MaxConnections int
}

// configuration returns the operator's configuration in full.
func configuration(version int, routes map[string]route) []byte {
	one := service{HealthPath: "/health", MaxConnections: 110}
	data, _ := json.Marshal(map[string]any{ // all of it can be encoded
		"Version": version, "Routes": routes, "Services": map[string]service{serviceA: one, serviceB: one},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
	return data
}

// routeTo returns the route under /r/ with a service and a timeout.
func routeTo(service, timeout string) route {
	return route{Host: host, PathPrefix: "/r/", Kind: "idempotent", Timeout: timeout, TargetLatency: "300ms", Service: service, Priority: 2, MaxAttempts: 2}
}
