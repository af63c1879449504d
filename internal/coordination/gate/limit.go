package gate

import (
	"math"
	"time"
)

// Constants of the adaptive limit.
const (
	// limitDecrease is the factor at a sign of overload.
	limitDecrease = 0.7
	// limitIncrease is what one round of good answers adds, in slots.
	limitIncrease = 1.0
	// slowLog is how far the recent mean logarithm of the latency must be above
	// the baseline to count as overload: a factor of two.
	slowLog = math.Ln2
	// baselineAnswers is over how many answers the baseline is a mean.
	baselineAnswers = 512
	// baselineFall is the weight of one answer in a baseline that is more than
	// slowLog above the recent mean.
	baselineFall = 1.0 / 32
	// recentWeight is the weight of one answer in the recent mean logarithm.
	recentWeight = 1.0 / 64
	// meanWeight is the weight of one answer in the mean service time.
	meanWeight = 1.0 / 16
	// initialMean stands for the service time before the first answer.
	initialMean = 10 * time.Millisecond
)

// limiter lowers the number of running calls below the announced slots while
// the target sheds, times out, or answers much slower than it used to, by
// additive increase and multiplicative decrease. Latency counts only while half
// of the slots are in use: below that it says nothing about load.
type limiter struct {
	slots int
	limit float64
	good  int
	// fixed says that all slots are used, whatever the answers tell.
	fixed   bool
	classes [2]latency
	// routes are the mean service times by route, in nanoseconds.
	routes map[string]float64
	// resume is until when a further sign of overload is the same one.
	resume time.Time
}

// latency is what is known of one class's service times. Whether they rose is
// judged by logarithms, so that a few long calls among many short ones do not
// count as a slow target.
type latency struct {
	answers int
	// mean is in nanoseconds.
	mean float64
	// recent and baseline are means of the logarithm.
	recent   float64
	baseline float64
}

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

// current returns how many calls may run.
func (l *limiter) current() int {
	if l.slots == 0 {
		return 0
	}
	return max(1, min(l.slots, int(l.limit)))
}

// meanOf returns the mean service time of the class.
func (l *limiter) meanOf(background bool) time.Duration {
	if mean := l.classes[classIndex(background)].mean; mean > 0 {
		return time.Duration(mean)
	}
	return initialMean
}

// observe takes in one call that ended while running calls ran.
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
	case Shed, DeadlineExceeded, RejectedByTarget:
		l.decrease(now)
	}
}

// maxRoutes bounds the routes whose service times are kept.
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

// unknownWorkShare is the part of the time to their aim that calls of a route are
// taken to run before the first answer: services are given aims of some times
// their usual work.
const unknownWorkShare = 1.0 / 3

// workOf returns the mean service time of the route's calls, or what is expected
// of it before the first answer.
func (l *limiter) workOf(now time.Time, e Arrive) time.Duration {
	if mean := l.routes[e.Route]; mean > 0 {
		return time.Duration(mean)
	}
	if left := e.SoftDeadline.Sub(now); !e.SoftDeadline.IsZero() && left > 0 {
		return time.Duration(float64(left) * unknownWorkShare)
	}
	return l.meanOf(e.Background)
}

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
