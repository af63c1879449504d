package rollout

import "time"

// The schedule, as fractions of the duration.
const (
	canaryEnd   = 0.30
	latestStart = 0.45 // of expanding, without the responses that are wanted before
	earlyShift  = 0.50 // if old targets are slow
	shiftStart  = 0.60
	loadedBy    = 0.66 // without a target that has carried the load of an old one
	latestShift = 0.72 // without the responses or the budget that are wanted before
	completeBy  = 0.85
	lastTenth   = 0.90
	// decideBy is when an order without a result is rolled back: writing it takes time.
	decideBy = 0.96
)

// minSchedule is the time that the phases up to completion get at least if the first new target becomes
// ready late.
const minSchedule = 3 * time.Second

// schedule places the phases between the time at which the first new target was ready and the limit.
type schedule struct {
	accepted time.Time
	duration time.Duration
	start    time.Time
}

func (s schedule) fraction(of float64) time.Time {
	return s.accepted.Add(time.Duration(of * float64(s.duration)))
}

// at returns the time of a fraction up to completeBy, compressed if the start was late.
func (s schedule) at(of float64) time.Time {
	end := s.fraction(completeBy)
	if earliest := s.start.Add(minSchedule); earliest.After(end) {
		end = earliest
		if latest := s.fraction(lastTenth); end.After(latest) {
			end = latest
		}
	}
	return s.start.Add(time.Duration(of / completeBy * float64(end.Sub(s.start))))
}
