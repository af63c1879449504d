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
	PullsRefused    uint64 // answered with a retry delay
	UpdatesRefused  uint64 // undecodable, not applicable, or with a different digest
	PlatformReads   uint64
	PlatformAppends uint64
	MessagesDropped uint64 // message queue full
}

type counters struct {
	installs, pushesSent, pushesFailed, pushesReceived, pullsSent, pullsServed,
	pullsRefused, updatesRefused, platformReads, platformAppends atomic.Uint64
}

// Stats returns the current counter values.
func (d *Runner) Stats() Stats {
	return Stats{
		Installs:        d.stats.installs.Load(),
		PushesSent:      d.stats.pushesSent.Load(),
		PushesFailed:    d.stats.pushesFailed.Load(),
		PushesReceived:  d.stats.pushesReceived.Load(),
		PullsSent:       d.stats.pullsSent.Load(),
		PullsServed:     d.stats.pullsServed.Load(),
		PullsRefused:    d.stats.pullsRefused.Load(),
		UpdatesRefused:  d.stats.updatesRefused.Load(),
		PlatformReads:   d.stats.platformReads.Load(),
		PlatformAppends: d.stats.platformAppends.Load(),
		MessagesDropped: d.messages.Rejected(),
	}
}
