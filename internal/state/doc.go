// Package state defines the immutable configuration data: tickets, services,
// routes, snapshots and versions. It is the lowest layer and imports no other
// one.
package state
