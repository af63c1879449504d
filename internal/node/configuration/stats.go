package configuration

import "sync/atomic"

// Stats counts what the duty did since its start.
type Stats struct {
	Installs        uint64
	PushesSent      uint64 // failed ones included
	PushesFailed    uint64
	PushesReceived  uint64
	PullsSent       uint64
	PullsServed     uint64
	PullsRefused    uint64 // told to come back later
	UpdatesRefused  uint64 // did not fit, or their digest differed
	PlatformReads   uint64
	PlatformAppends uint64
	MessagesDropped uint64 // the duty's ring was full
}

type counters struct {
	installs, pushesSent, pushesFailed, pushesReceived, pullsSent, pullsServed,
	pullsRefused, updatesRefused, platformReads, platformAppends atomic.Uint64
}

// Stats returns the counts so far.
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
