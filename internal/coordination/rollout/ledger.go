package rollout

import (
	"time"
)

// grant is a number of calls that a node may have been allowed to send.
type grant struct {
	// ceiling is the value of the node's exposed counter up to which it was allowed.
	ceiling uint64
	until   time.Time
}

// account is what the coordinator knows of one incarnation of a node.
type account struct {
	calls, exposed uint64
	grants         []grant
	stats          map[statsKey]VersionStats
	reportedAt     time.Time
	// rate is the smoothed number of calls per second.
	rate    float64
	idle    bool
	stopped bool
	// charged is the charge that is part of ledger.total.
	charged uint64
}

// rateSmoothing is the time constant of account.rate.
const rateSmoothing = time.Second

// charge returns the calls to the new version that the incarnation has sent or may still send. Grants
// end at the node no later than here. A grant that has ended counts until the next report.
func (a *account) charge() uint64 {
	sum := a.exposed
	for _, g := range a.grants {
		sum = max(sum, g.ceiling)
	}
	return sum
}

// report takes over the counters of a report. Grants that had ended before it was received
// can no longer be used.
func (a *account) report(now time.Time, r Report) {
	if !a.reportedAt.IsZero() && now.After(a.reportedAt) {
		interval := now.Sub(a.reportedAt)
		weight := min(1, float64(interval)/float64(rateSmoothing))
		a.rate += weight * (float64(r.Calls-a.calls)/interval.Seconds() - a.rate)
	}
	a.calls, a.exposed, a.reportedAt = r.Calls, r.Exposed, now
	a.idle = a.idle || r.Idle
	a.stopped = r.Stopped
	live := a.grants[:0]
	for _, g := range a.grants {
		if now.Before(g.until) {
			live = append(live, g)
		}
	}
	a.grants = live
}

// ledger accounts for the exposure of a rollout.
type ledger struct {
	// accounts has all incarnations that reported, current the newest one of each node.
	accounts map[accountKey]*account
	current  map[string]*account
	newest   map[string]uint64
	// calls and exposed are the sums over all incarnations.
	calls, exposed uint64
	// total is the sum of the charges. It is kept up to date, because it is needed for each directive.
	total uint64
	// inherited is what a predecessor may have granted without its showing in reports.
	inherited float64
}

type accountKey struct {
	node        string
	incarnation uint64
}

func newLedger() *ledger {
	return &ledger{accounts: make(map[accountKey]*account), current: make(map[string]*account), newest: make(map[string]uint64)}
}

// receive takes over a report and returns the account, or nil if a later report of the incarnation
// was received before.
func (l *ledger) receive(now time.Time, r Report) *account {
	key := accountKey{r.Node, r.Incarnation}
	a := l.accounts[key]
	if a == nil {
		a = &account{stats: make(map[statsKey]VersionStats)}
		l.accounts[key] = a
	}
	if r.Calls < a.calls || r.Exposed < a.exposed {
		return nil
	}
	l.calls += r.Calls - a.calls
	l.exposed += r.Exposed - a.exposed
	a.report(now, r)
	l.recharge(a)
	if r.Incarnation >= l.newest[r.Node] {
		l.newest[r.Node], l.current[r.Node] = r.Incarnation, a
	}
	return a
}

// grant notes a grant to a node.
func (l *ledger) grant(a *account, ceiling uint64, until time.Time) {
	a.grants = append(a.grants, grant{ceiling, until})
	l.recharge(a)
}

// recharge takes a changed charge over into the total.
func (l *ledger) recharge(a *account) {
	charge := a.charge()
	l.total += charge - a.charged
	a.charged = charge
}

// charged returns the calls to the new version that were sent or may still be sent.
func (l *ledger) charged() float64 { return l.inherited + float64(l.total) }
