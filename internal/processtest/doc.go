// Package processtest tests fleets of real processes under faults: killed and
// paused processes, network partitions and platform outages. It holds only
// tests.
package processtest
