// Package limit protects targets from overload. It limits the queries that are
// admitted per service, the attempts in flight per replica, and the connections per
// replica.
package limit

import (
	"math"
	"time"

	"github.com/baobabsail/baobabsail/core/baseline"
)

const (
	// additiveIncrease is added to a limit after as many good answers as the limit's value.
	additiveIncrease = 1.0
	// shedFactor multiplies a limit when a target sheds a request.
	shedFactor = 0.8
	// delayFactor multiplies a limit when the queueing delay is too long.
	delayFactor = 0.9
	// delayRatio is the smoothed latency, as a multiple of the baseline, above which
	// a queue is assumed.
	delayRatio = 2.5
	// delaySlack is added to that threshold, so that noise on fast services is ignored.
	delaySlack = 2 * time.Millisecond
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.02
	// baselinePeriod is the minimum time for which the lowest smoothed latency is kept as
	// the baseline.
	baselinePeriod = 10 * time.Second
	// minRoundTrip replaces a shorter smoothed latency where one round trip must pass: it
	// is the shortest time between two decreases.
	minRoundTrip = 5 * time.Millisecond
)

// adaptiveLimit is a limit that adjusts to the answers that it observes. The package uses
// aimd; the tests compare it with other algorithms.
type adaptiveLimit interface {
	// observe adjusts the limit to an answer. busy is set if the limit is in use, so
	// that a good answer may raise it.
	observe(now time.Time, latency time.Duration, shed, busy bool)
	value() float64
	// smoothed returns the smoothed latency.
	smoothed() time.Duration
	// setMaximum sets the largest value.
	setMaximum(maximum float64)
}

// aimd is a limit with additive increase and multiplicative decrease. It grows on
// good answers and falls when a target sheds or when latency indicates a queue, at
// most once per round trip, since all answers of one round trip reflect the same
// overload.
type aimd struct {
	limit, minimum, maximum float64
	// ignoreDelay disables decreases on queueing delay.
	ignoreDelay bool
	trend       baseline.Trend
	// holdUntil is the time before which the limit is not lowered again.
	holdUntil time.Time
	// slowStartDone ends the doubling per round trip of a new limit. The first decrease
	// sets it; a limit that is to start without the doubling is created with it set.
	slowStartDone bool
}

func (a *aimd) value() float64 { return a.limit }

func (a *aimd) smoothed() time.Duration { return time.Duration(a.trend.Smoothed()) }

func (a *aimd) setMaximum(maximum float64) {
	a.maximum = maximum
	a.limit = min(a.limit, maximum)
}

func (a *aimd) observe(now time.Time, latency time.Duration, shed, busy bool) {
	if !shed {
		a.measure(now, latency)
	}
	factor := 0.0
	switch {
	case shed:
		factor = shedFactor
	case !a.ignoreDelay && a.trend.Smoothed() > delayRatio*a.trend.Lowest()+float64(delaySlack):
		factor = delayFactor
	}
	if factor == 0 {
		if busy {
			a.grow()
		}
		return
	}
	a.slowStartDone = true
	if now.Before(a.holdUntil) {
		return
	}
	a.limit = max(a.limit*factor, a.minimum)
	a.holdUntil = now.Add(max(a.smoothed(), minRoundTrip))
}

// grow raises the limit. A limit that was never lowered doubles per round trip.
func (a *aimd) grow() {
	step := additiveIncrease
	if a.slowStartDone {
		step /= max(a.limit, 1)
	}
	a.limit = min(a.limit+step, a.maximum)
}

// measure updates the smoothed latency and its baseline, the lowest smoothed value.
// With the lowest single latency as the baseline, 6 % of the queries were refused at
// a fifth of the capacity.
func (a *aimd) measure(now time.Time, latency time.Duration) {
	a.trend.Add(now, latency, latencyWeight, baselinePeriod)
}

// Quota returns how many connections one of liveNodes nodes may hold to a
// replica that accepts limit: floor(limit / (nodes + 1)), at least 1 and at
// most 2. The share of one extra node stays free for connections that a replaced
// VM left open.
func Quota(limit, liveNodes int) int {
	return min(max(limit/(max(liveNodes, 1)+1), 1), 2)
}

// seconds converts a number of seconds to a duration of at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}
