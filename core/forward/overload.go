package forward

import (
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/baseline"
	"github.com/baobabsail/baobabsail/core/routing"
)

// Admission control for sharded requests. Without it, when more requests arrive than
// the remaining replicas can serve in time and callers retry after a refusal, nearly
// every request misses its target. A node therefore refuses a share of the requests on
// arrival, so that the others are answered in time. Routes of lower priority are refused
// more often.

const (
	// overloadLatencyShare is the share of the time to the target within which half of the
	// parts of a request must be answered; if it takes longer, the replicas may be
	// overloaded. Half is used because single slow or lost replicas leave most parts
	// unaffected.
	overloadLatencyShare = 0.45
	// overloadLatencyFactor times the baseline of that time must be exceeded as well, since
	// work that always takes long does not indicate overload.
	overloadLatencyFactor = 1.8
	// baselineWeight is the weight of a new sample in the smoothed time, and baselinePeriod
	// is the minimum period over which the lowest smoothed time serves as the baseline.
	baselineWeight = 0.05
	baselinePeriod = 30 * time.Second
	// adjustInterval and minEndedToAdjust are the time and the number of ended requests
	// needed before the admitted share is adjusted.
	adjustInterval   = 100 * time.Millisecond
	minEndedToAdjust = 4
	// admittedDecrease multiplies the admitted share while most requests meet overloaded
	// replicas; otherwise admittedIncrease is added to it.
	admittedDecrease = 0.9
	admittedIncrease = 0.06
	// minAdmitted keeps enough requests flowing to detect the end of the overload.
	minAdmitted = 0.1
	// lowPriorityShare is multiplied with the admitted share for routes of lower priority
	// than another route over the same shards.
	lowPriorityShare = 0.7
	// A refused caller may retry after minRetryAfter plus up to retryAfterJitter; the jitter
	// keeps callers from returning at the same time.
	minRetryAfter    = 100 * time.Millisecond
	retryAfterJitter = 200 * time.Millisecond
)

// admissionControl decides which sharded requests over one set of shards are admitted.
type admissionControl struct {
	// admitted is the share of requests of the highest priority that is admitted.
	admitted float64
	// topPriority is the priority value of the most urgent route seen; lower values are
	// more urgent.
	topPriority int
	// credits spreads admissions evenly over the requests of each route.
	credits map[string]float64
	// baselines tracks, per route, the time until half of the parts are answered.
	baselines map[string]*baseline.Trend
	// ended and overloaded count requests since the last adjustment, at adjustedAt.
	ended, overloaded int
	adjustedAt        time.Time
}

func newAdmissionControl(now time.Time, priority int) *admissionControl {
	return &admissionControl{admitted: 1, topPriority: priority, credits: make(map[string]float64), baselines: make(map[string]*baseline.Trend), adjustedAt: now}
}

// admit reports whether a request of a route may start.
func (c *admissionControl) admit(now time.Time, route *routing.Route) bool {
	share := c.share(now, route)
	credit := c.credits[route.Name] + share
	if credit < 1 {
		c.credits[route.Name] = credit
		return false
	}
	c.credits[route.Name] = credit - 1
	return true
}

// share returns the share of the requests of a route that is admitted. It changes no map of c, so
// that a copy of c may be asked.
func (c *admissionControl) share(now time.Time, route *routing.Route) float64 {
	c.topPriority = min(c.topPriority, route.Priority)
	if now.Sub(c.adjustedAt) > 10*adjustInterval {
		c.adjust(now) // no request has ended for a while
	}
	if c.admitted < 1 && route.Priority > c.topPriority {
		return c.admitted * lowPriorityShare
	}
	return c.admitted
}

// observe records the end of a request: half is the time until half of its parts were
// answered, limit the time above which that may indicate overload.
func (c *admissionControl) observe(now time.Time, route string, half, limit time.Duration) {
	trend := c.baselines[route]
	if trend == nil {
		trend = &baseline.Trend{}
		c.baselines[route] = trend
	}
	c.ended++
	if half > limit && float64(half) > overloadLatencyFactor*trend.Lowest() {
		c.overloaded++
	}
	trend.Add(now, half, baselineWeight, baselinePeriod)
	if now.Sub(c.adjustedAt) >= adjustInterval && c.ended >= minEndedToAdjust {
		c.adjust(now)
	}
}

// adjust recomputes the admitted share from the requests since the last adjustment.
func (c *admissionControl) adjust(now time.Time) {
	if 2*c.overloaded > c.ended {
		c.admitted = max(c.admitted*admittedDecrease, minAdmitted)
	} else {
		c.admitted = min(c.admitted+admittedIncrease, 1)
	}
	c.ended, c.overloaded, c.adjustedAt = 0, 0, now
}

// overloadRetryAfter returns a random time after which a refused caller may retry.
func overloadRetryAfter(rng *rand.Rand) time.Duration {
	return minRetryAfter + time.Duration(rng.Int64N(int64(retryAfterJitter)))
}

// admissionControlFor returns the admission control of a route's shards, which all
// routes over the same shards share.
func (e *Engine) admissionControlFor(now time.Time, route *routing.Route) *admissionControl {
	key := route.Shards[0]
	c := e.admissions[key]
	if c == nil {
		c = newAdmissionControl(now, route.Priority)
		e.admissions[key] = c
	}
	return c
}

// admissionDenied reports whether a request must be refused because its shards are
// overloaded.
func (e *Engine) admissionDenied(now time.Time, r *request) bool {
	if !r.route.Sharded() {
		return false
	}
	c := e.admissionControlFor(now, r.route)
	if !e.sharesFairly() {
		return !c.admit(now, r.route)
	}
	share := c.share(now, r.route)
	return share < 1 && !e.fairlyAdmitted(now, r, share)
}

// observeLoad records how long the replicas took to answer half of the parts of a sharded
// request.
func (e *Engine) observeLoad(now time.Time, r *request) {
	if !r.route.Sharded() || r.subset != nil {
		return
	}
	limit := time.Duration(overloadLatencyShare * float64(r.targetTime.Sub(r.start)))
	half := r.halfAnsweredAt.Sub(r.start)
	if r.halfAnsweredAt.IsZero() {
		half = now.Sub(r.start)
		if half < limit {
			return // it ended too early to indicate overload
		}
	}
	e.admissionControlFor(now, r.route).observe(now, r.route.Name, half, limit)
}

// observeDividedLoad records the load seen by a divided request: half is the median over
// its ranges of the time until half of the parts of a range were answered.
func (e *Engine) observeDividedLoad(now time.Time, r *request, half time.Duration) {
	limit := time.Duration(overloadLatencyShare * float64(r.targetTime.Sub(r.start)))
	e.admissionControlFor(now, r.route).observe(now, r.route.Name, half, limit)
}

// dropUnusedAdmissionControls removes the state of shards that a new configuration no longer names.
func (e *Engine) dropUnusedAdmissionControls() {
	named := make(map[api.ServiceName]bool)
	for i := range e.table.Routes {
		if r := &e.table.Routes[i]; r.Sharded() {
			named[r.Shards[0]] = true
		}
	}
	for key := range e.admissions {
		if !named[key] {
			delete(e.admissions, key)
		}
	}
}
