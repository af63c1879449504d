package gate

import (
	"math"
	"time"
)

// Constants of the adaptive concurrency limit.
const (
	// limitDecrease is the factor applied to the limit on an overload signal.
	limitDecrease = 0.7
	// limitIncrease is added to the limit, in slots, after as many completed calls
	// as the limit.
	limitIncrease = 1.0
	// slowLog is how far the recent mean log latency must be above the baseline to
	// signal overload: a factor of two.
	slowLog = math.Ln2
	// baselineAnswers is the window of the baseline's moving average, in answers.
	baselineAnswers = 512
	// baselineFall is the weight of one answer in a baseline that is more than
	// slowLog above the recent mean, so that a baseline too high falls quickly.
	baselineFall = 1.0 / 32
	// recentWeight is the weight of one answer in the recent mean log latency.
	recentWeight = 1.0 / 64
	// meanWeight is the weight of one answer in the mean service time.
	meanWeight = 1.0 / 16
	// initialMean is the assumed service time before the first answer.
	initialMean = 10 * time.Millisecond
)

// limiter is an adaptive concurrency limit with additive increase and
// multiplicative decrease. It lowers the number of running calls below the
// announced slots while the target sheds calls, times out, or answers much slower
// than before. Latency counts only while at least half of the limit is in use;
// below that it does not indicate load.
type limiter struct {
	slots int
	limit float64
	// good counts the completed calls since the last increase or decrease.
	good int
	// fixed disables decreases of the limit.
	fixed   bool
	classes [2]latency
	// routes holds the mean service time of each route, in nanoseconds.
	routes map[string]float64
	// resume is the end of the period after a decrease in which further overload
	// signals are ignored, as they have the same cause.
	resume time.Time
}

// latency tracks the service times of one traffic class. Slowdowns are detected on
// the logarithm of the latency, so that a few long calls among many short ones do
// not count as a slow target.
type latency struct {
	answers int
	// mean is the moving average of the service time, in nanoseconds.
	mean float64
	// recent and baseline are moving averages of the log latency, over a short and
	// a long window.
	recent   float64
	baseline float64
}

// observe adds a service time, in nanoseconds.
func (l *latency) observe(took float64) {
	l.answers++
	log := math.Log(max(1, took))
	if l.answers == 1 {
		l.mean = took
		l.recent = log
		l.baseline = log
		return
	}
	l.mean += (took - l.mean) * meanWeight
	l.recent += (log - l.recent) * recentWeight
	weight := 1 / float64(min(l.answers, baselineAnswers))
	if l.baseline > l.recent+slowLog {
		weight = baselineFall
	}
	l.baseline += (log - l.baseline) * weight
}

func (l *latency) slow() bool { return l.recent > l.baseline+slowLog }

func (l *limiter) setSlots(slots int) {
	if slots != l.slots {
		l.slots = slots
		l.limit = float64(slots)
	}
}

// current returns how many calls may run at once.
func (l *limiter) current() int {
	if l.slots == 0 {
		return 0
	}
	return max(1, min(l.slots, int(l.limit)))
}

// meanOf returns the mean service time of the traffic class.
func (l *limiter) meanOf(background bool) time.Duration {
	if mean := l.classes[classIndex(background)].mean; mean > 0 {
		return time.Duration(mean)
	}
	return initialMean
}

// observe updates the limit and the service times with a call that ended. running
// is the number of running calls including it.
func (l *limiter) observe(now time.Time, ended *record, result Result, running int) {
	took := now.Sub(ended.started)
	switch result {
	case Completed:
		l.observeRoute(ended.route, float64(took))
		class := &l.classes[classIndex(ended.background)]
		class.observe(float64(took))
		if class.slow() && 2*running >= l.current() {
			l.decrease(now)
			return
		}
		l.increase()
	case Shed, Expired, Declined:
		l.decrease(now)
	}
}

// maxRoutes limits the number of routes whose service times are tracked.
const maxRoutes = 512

func (l *limiter) observeRoute(route string, took float64) {
	mean, known := l.routes[route]
	switch {
	case known:
		l.routes[route] = mean + (took-mean)*meanWeight
	case len(l.routes) < maxRoutes:
		if l.routes == nil {
			l.routes = make(map[string]float64)
		}
		l.routes[route] = took
	}
}

// unknownWorkShare is the assumed service time of a route before its first answer,
// as a share of the time to the soft deadline: services are given soft deadlines of
// a few times their usual service time.
const unknownWorkShare = 1.0 / 3

// workOf returns the expected service time of the call: the mean of its route, or an
// estimate before the route's first answer.
func (l *limiter) workOf(now time.Time, e Arrive) time.Duration {
	if mean := l.routes[e.Route]; mean > 0 {
		return time.Duration(mean)
	}
	if left := e.Aim.Sub(now); !e.Aim.IsZero() && left > 0 {
		return time.Duration(float64(left) * unknownWorkShare)
	}
	return l.meanOf(e.Background)
}

// decrease lowers the limit once per overload period.
func (l *limiter) decrease(now time.Time) {
	if l.fixed {
		return
	}
	if now.Before(l.resume) {
		return
	}
	l.limit = max(1, float64(l.current())*limitDecrease)
	l.good = 0
	l.resume = now.Add(max(l.meanOf(false), initialMean))
}

// increase counts a completed call and raises the limit after a full round of them.
func (l *limiter) increase() {
	l.good++
	if l.good < l.current() {
		return
	}
	l.good = 0
	l.limit = min(float64(l.slots), l.limit+limitIncrease)
}

func classIndex(background bool) int {
	if background {
		return 1
	}
	return 0
}
