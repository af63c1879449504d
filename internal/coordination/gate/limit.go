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
	// slowLogRatio is how far the recent mean log latency must be above the baseline
	// to signal overload: a factor of two.
	slowLogRatio = math.Ln2
	// baselineWindow is the window of the baseline's moving average, in responses.
	baselineWindow = 512
	// baselineDropWeight is the weight of one response in a baseline that is more than
	// slowLogRatio above the recent mean, so that a baseline too high falls quickly.
	baselineDropWeight = 1.0 / 32
	// recentWeight is the weight of one response in the recent mean log latency.
	recentWeight = 1.0 / 64
	// meanWeight is the weight of one response in the mean service time.
	meanWeight = 1.0 / 16
	// initialServiceTime is the assumed service time before the first response.
	initialServiceTime = 10 * time.Millisecond
)

// limiter is an adaptive concurrency limit with additive increase and
// multiplicative decrease. It lowers the number of running calls below the
// announced slots while the target sheds calls, times out, or responds much slower
// than before. Latency counts only while at least half of the limit is in use;
// below that it does not indicate load.
type limiter struct {
	slots int
	limit float64
	// completedInRound counts the completed calls since the last increase or
	// decrease.
	completedInRound int
	// fixed disables decreases of the limit.
	fixed bool
	// classes is indexed by classIndex.
	classes [2]latency
	// routes holds the mean service time of each route, in nanoseconds.
	routes map[string]float64
	// ignoreSignalsUntil is the end of the period after a decrease in which further
	// overload signals are ignored, as they have the same cause.
	ignoreSignalsUntil time.Time
}

// latency tracks the service times of one traffic class. Slowdowns are detected on
// the logarithm of the latency, so that a few long calls among many short ones do
// not count as a slow target.
type latency struct {
	responses int
	// mean is the moving average of the service time, in nanoseconds.
	mean float64
	// recent and baseline are moving averages of the log latency, over a short and
	// a long window.
	recent   float64
	baseline float64
}

// observe adds a service time, in nanoseconds.
func (l *latency) observe(serviceTime float64) {
	l.responses++
	log := math.Log(max(1, serviceTime))
	if l.responses == 1 {
		l.mean = serviceTime
		l.recent = log
		l.baseline = log
		return
	}
	l.mean += (serviceTime - l.mean) * meanWeight
	l.recent += (log - l.recent) * recentWeight
	weight := 1 / float64(min(l.responses, baselineWindow))
	if l.baseline > l.recent+slowLogRatio {
		weight = baselineDropWeight
	}
	l.baseline += (log - l.baseline) * weight
}

func (l *latency) slow() bool { return l.recent > l.baseline+slowLogRatio }

// setSlots sets the announced slots. A fixed limit equals the slots and is not
// decreased.
func (l *limiter) setSlots(slots int, fixed bool) {
	l.fixed = fixed
	if slots != l.slots || fixed {
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

// meanServiceTime returns the mean service time of the traffic class.
func (l *limiter) meanServiceTime(background bool) time.Duration {
	if mean := l.classes[classIndex(background)].mean; mean > 0 {
		return time.Duration(mean)
	}
	return initialServiceTime
}

// observe updates the limit and the service times with a call that ended. running
// is the number of running calls including it.
func (l *limiter) observe(now time.Time, ended *record, result Result, running int) {
	serviceTime := now.Sub(ended.started)
	switch result {
	case Completed:
		l.observeRoute(ended.route, float64(serviceTime))
		class := &l.classes[classIndex(ended.background)]
		class.observe(float64(serviceTime))
		if class.slow() && 2*running >= l.current() {
			l.decrease(now)
			return
		}
		l.increase()
	case Shed, DeadlineExceeded, RejectedByTarget:
		l.decrease(now)
	}
}

// maxRoutes limits the number of routes whose service times are tracked.
const maxRoutes = 512

func (l *limiter) observeRoute(route string, serviceTime float64) {
	mean, known := l.routes[route]
	switch {
	case known:
		l.routes[route] = mean + (serviceTime-mean)*meanWeight
	case len(l.routes) < maxRoutes:
		if l.routes == nil {
			l.routes = make(map[string]float64)
		}
		l.routes[route] = serviceTime
	}
}

// unmeasuredServiceTimeShare is the assumed service time of a route before its first
// response, as a share of the time to the soft deadline: services are given soft
// deadlines of a few times their usual service time.
const unmeasuredServiceTimeShare = 1.0 / 3

// expectedServiceTime returns the mean service time of the call's route, or an
// estimate before the route's first response.
func (l *limiter) expectedServiceTime(now time.Time, e Arrive) time.Duration {
	if mean := l.routes[e.Route]; mean > 0 {
		return time.Duration(mean)
	}
	if left := e.SoftDeadline.Sub(now); !e.SoftDeadline.IsZero() && left > 0 {
		return time.Duration(float64(left) * unmeasuredServiceTimeShare)
	}
	return l.meanServiceTime(e.Background)
}

// decrease lowers the limit, unless it is fixed or overload signals are ignored after
// an earlier decrease (see ignoreSignalsUntil).
func (l *limiter) decrease(now time.Time) {
	if l.fixed {
		return
	}
	if now.Before(l.ignoreSignalsUntil) {
		return
	}
	l.limit = max(1, float64(l.current())*limitDecrease)
	l.completedInRound = 0
	l.ignoreSignalsUntil = now.Add(max(l.meanServiceTime(false), initialServiceTime))
}

// increase counts a completed call and raises the limit after a full round of them.
func (l *limiter) increase() {
	l.completedInRound++
	if l.completedInRound < l.current() {
		return
	}
	l.completedInRound = 0
	l.limit = min(float64(l.slots), l.limit+limitIncrease)
}

func classIndex(background bool) int {
	if background {
		return 1
	}
	return 0
}
