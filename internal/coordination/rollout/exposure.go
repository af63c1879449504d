package rollout

import (
	"time"
)

const (
	// grantShare is the part of the budget for the calls so far that is granted before Shifting.
	// The calls may end or become fewer, and the rest covers the shift.
	grantShare = 0.7
	// reservedShare is the part of the budget for the calls so far that is granted even if
	// the rest does not cover the shift.
	reservedShare = 0.3
	// firstCalls may be exposed before there are responses, and by each later probe.
	firstCalls = 12
	// loadTime is how long a target must carry the load of an old one.
	loadTime = 1200 * time.Millisecond
	// loadFactor makes sure that the load of an old one is reached although grants are used unevenly.
	loadFactor = 1.15
	// wantedResponses is how many responses there should be before Shifting where there are
	// so few calls that the share of one target does not yield them.
	wantedResponses = 60
	// maxShare leaves calls for the old version as a reference, except in bursts.
	maxShare = 0.5
	// maxRouteShare is the share of a route that needs more responses.
	maxRouteShare = 0.8
	// fewCallsFactor x the slack is the number of calls up to which a rollout has few calls.
	fewCallsFactor = 3
	// trickleShare is the part of the exposed share that is used between bursts.
	trickleShare = 0.25
	// afterBurst is how long after a burst its responses may come: 8 times 300 ms and more.
	afterBurst = 3 * time.Second
	// savingFactor reduces it while budget for the first burst is saved up.
	savingFactor = 0.6
	// maxBurst ends a burst that does not reach the load of an old target.
	maxBurst = 3 * time.Second
	// goodFactor limits the calls to a first target to firstCalls and, once it is warm, the responses
	// and goodFactor x the good ones: a version that is bad at once gets few calls before that is known.
	goodFactor = 2
	// rateBuckets x rateBucket is the period over which rates are measured.
	rateBuckets = 8
	rateBucket  = 250 * time.Millisecond
)

// exposure decides how many calls go to the new version before Shifting, and to which targets.
//
// Load pattern: an old target carries more of the calls than the budget allows for long,
// so the load of one is applied in bursts, for which budget is saved up. In between a few calls
// go on, so that a version that turns bad late is noticed.
type exposure struct {
	// credit is the number of calls that may be granted; it grows by share with the calls of
	// the service.
	credit float64
	share  float64
	// burst is the state of the present burst, bursting whether there is one.
	bursting bool
	burst    struct {
		from    time.Time
		exposed float64
	}
	// probes is the number of calls that a probe may still use, in addition to the credit.
	probes float64
	// burstEnd is when the last burst ended.
	burstEnd time.Time
	// loaded is set once targets have carried the load of an old one.
	loaded bool
	// base is the state when the present first target was taken, for the limit of its first calls.
	base    planInput
	restart bool
	// rotation counts the changes of targets in Expanding.
	rotation int

	// buckets count the calls of the service; bucket is the index of the one that is being
	// filled since bucketAt, and filled the number of full ones.
	bucketAt time.Time
	buckets  [rateBuckets]float64
	bucket   int
	filled   int
}

// advance notes calls of the service.
func (x *exposure) advance(now time.Time, calls float64) {
	if x.bucketAt.IsZero() {
		x.bucketAt = now
	}
	for now.Sub(x.bucketAt) >= rateBucket {
		x.bucketAt = x.bucketAt.Add(rateBucket)
		x.bucket = (x.bucket + 1) % rateBuckets
		x.buckets[x.bucket] = 0
		x.filled = min(x.filled+1, rateBuckets-1)
	}
	x.buckets[x.bucket] += calls
	x.credit += calls * x.share
}

// rate returns the calls of the service per second, without the bucket that is being filled.
func (x *exposure) rate() float64 {
	if x.filled == 0 {
		return 0
	}
	sum := 0.0
	for i := 1; i <= x.filled; i++ {
		sum += x.buckets[(x.bucket-i+rateBuckets)%rateBuckets]
	}
	return sum / (float64(x.filled) * rateBucket.Seconds())
}

// measured reports whether the rate was measured for long enough to be relied on.
func (x *exposure) measured() bool { return x.filled >= rateBuckets/2 }

// spend notes calls that were granted.
func (x *exposure) spend(calls float64) {
	fromProbes := min(calls, x.probes)
	x.probes -= fromProbes
	x.credit -= calls - fromProbes
}

// probe requests a few calls at once.
func (x *exposure) probe() { x.probes = max(x.probes, firstCalls) }

// targetChanged restarts the test of a target, after one was set aside.
func (x *exposure) targetChanged(now time.Time) {
	if x.bursting {
		x.burstEnd = now
	}
	x.loaded, x.bursting, x.restart = false, false, true
	x.probe()
}

// planInput is the state that a plan depends on.
type planInput struct {
	expanding  bool
	oldTargets int
	endpoints  []string
	// limit, charged and exposed count calls.
	limit, charged, exposed float64
	shiftIn                 time.Duration
	exposeShare             float64
	// responses counts those of the new version, good the good ones of them.
	responses, good float64
	// patient is set while rare routes wait for a first burst.
	patient bool
	// fewCalls is set if all calls of the rollout are about as many as the slack.
	fewCalls bool
	// recheck is the target to which single calls go, if any.
	recheck string
	// warm is set if the targets may no longer be slow because they have just been started.
	warm bool
	// routesNeed is the number of responses that are missing on single routes.
	routesNeed float64
}

// plan is what the next grants may be.
type plan struct {
	// want is how many more calls may be granted now.
	want float64
	// forRoutes is how many may be granted for routes with few responses.
	forRoutes float64
	share     float64
	endpoints []string
}

// plan returns the present plan.
func (x *exposure) plan(now time.Time, in planInput) plan {
	number := 1
	if in.expanding {
		number = max(1, min(len(in.endpoints), int(grantShare*in.exposeShare*float64(in.oldTargets))))
	}
	oldLoad := float64(number) / float64(max(1, in.oldTargets))
	rate, room := x.rate(), in.limit-in.charged
	x.updateBurst(now, oldLoad*rate, room, in)
	p := plan{share: trickleShare * in.exposeShare, endpoints: x.choose(in, number)}
	if !x.loaded {
		p.share *= savingFactor
	}
	if x.bursting {
		p.share = min(1, loadFactor*oldLoad)
	}
	if left := wantedResponses - in.responses; left > 0 && in.shiftIn > 0 && rate > 0 {
		// A service with few calls needs more than the share of one target.
		needed := left / (rate * in.shiftIn.Seconds())
		if needed > oldLoad {
			p.share = max(p.share, min(maxShare, needed))
		}
	}
	x.share = p.share
	// Credit is bounded, so that calls that could not be granted in time are not made up for.
	x.credit = max(-2, min(x.credit, max(2, p.share*rate*2*rateBucket.Seconds())))
	if x.probes > 0 {
		p.share = max(p.share, min(maxShare, oldLoad))
	}
	if x.restart {
		x.restart, x.base = false, in
	}
	ramp := x.base.charged + firstCalls - in.charged
	if in.warm {
		ramp += in.responses - x.base.responses + goodFactor*(in.good-x.base.good)
	}
	p.want = min(room, x.credit+x.probes, ramp)
	if in.fewCalls {
		// Each node needs a grant before its next call, and there are too few calls to do harm.
		p.want, p.share = room, maxShare
		return p
	}
	if x.loaded || !in.patient {
		// Rare routes get calls after the first burst, which covers the other ones.
		p.forRoutes = min(room, ramp, in.routesNeed-(in.charged-in.exposed))
	}
	if in.recheck != "" && !x.bursting {
		p.endpoints = []string{in.recheck}
		p.want = min(room, max(p.want, clearingResponses-(in.charged-in.exposed)))
	}
	return p
}

// loading reports whether targets carry the load of an old one, or did so a moment ago.
func (x *exposure) loading(now time.Time) bool {
	return x.bursting || now.Sub(x.burstEnd) < afterBurst
}

// updateBurst begins a burst when the budget covers the load of old targets for loadTime, and
// ends it when they have carried it, or when the budget is used up. OldLoad is in calls per second.
func (x *exposure) updateBurst(now time.Time, oldLoad, room float64, in planInput) {
	if x.bursting {
		lasted := now.Sub(x.burst.from)
		if lasted >= loadTime && in.exposed-x.burst.exposed >= oldLoad*lasted.Seconds() {
			x.loaded, x.bursting, x.burstEnd = true, false, now
		} else if room < 1 || lasted >= maxBurst {
			x.bursting, x.burstEnd = false, now
		}
		return
	}
	needed := oldLoad * (loadTime + rateBucket).Seconds()
	if in.warm && x.probes < 1 && in.responses >= firstCalls/2 && oldLoad > 0 && room >= needed && (in.expanding || !x.loaded) {
		x.bursting = true
		x.burst.from, x.burst.exposed = now, in.exposed
		x.rotation++
	}
}

// choose returns the targets to use: the first one in Canary, others with each burst in Expanding.
func (x *exposure) choose(in planInput, number int) []string {
	if !in.expanding {
		return in.endpoints[:1]
	}
	chosen := make([]string, 0, number)
	for i := range number {
		chosen = append(chosen, in.endpoints[(x.rotation*number+i)%len(in.endpoints)])
	}
	return chosen
}
