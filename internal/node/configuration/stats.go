package configuration

import "sync/atomic"

// Stats holds the runner's counters since its start.
type Stats struct {
	Installs        uint64
	PushesSent      uint64 // failed ones included
	PushesFailed    uint64
	PushesReceived  uint64
	PullsSent       uint64
	PullsServed     uint64
	PullsRefused    uint64 // responded to with a retry delay
	UpdatesRefused  uint64 // undecodable when pushed, not applicable, or with a different digest
	PlatformReads   uint64
	PlatformAppends uint64
	// PlatformFailures counts failed requests to the platform, TicketsRejected the
	// records of the log that this node read and rejected.
	PlatformFailures uint64
	TicketsRejected  uint64
	MessagesDropped  uint64 // message queue full
}

type counters struct {
	installs, pushesSent, pushesFailed, pushesReceived, pullsSent, pullsServed,
	pullsRefused, updatesRefused, platformReads, platformAppends, platformFailures,
	ticketsRejected atomic.Uint64
}

// Stats returns the current counter values.
func (r *Runner) Stats() Stats {
	return Stats{
		Installs:         r.stats.installs.Load(),
		PushesSent:       r.stats.pushesSent.Load(),
		PushesFailed:     r.stats.pushesFailed.Load(),
		PushesReceived:   r.stats.pushesReceived.Load(),
		PullsSent:        r.stats.pullsSent.Load(),
		PullsServed:      r.stats.pullsServed.Load(),
		PullsRefused:     r.stats.pullsRefused.Load(),
		UpdatesRefused:   r.stats.updatesRefused.Load(),
		PlatformReads:    r.stats.platformReads.Load(),
		PlatformAppends:  r.stats.platformAppends.Load(),
		PlatformFailures: r.stats.platformFailures.Load(),
		TicketsRejected:  r.stats.ticketsRejected.Load(),
		MessagesDropped:  r.messages.Rejected(),
	}
}
