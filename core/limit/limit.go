// Package limit refuses work early: admission per service, concurrency per
// replica, and the quota of connections per replica.
package limit

import (
	"math"
	"time"

	"github.com/baobabsail/baobabsail/core/baseline"
)

const (
	// increase is added to a limit per limit's worth of good answers.
	increase = 1.0
	// shedFactor multiplies a limit when a target sheds.
	shedFactor = 0.8
	// delayFactor multiplies a limit when the queueing delay is too long.
	delayFactor = 0.9
	// delayRatio is the smoothed latency, as a multiple of the baseline, from
	// which a queue is assumed.
	delayRatio = 2.5
	// delaySlack is added to that bound, so that noise on fast services does not count.
	delaySlack = 2 * time.Millisecond
	// smooth is the weight of a new latency in the smoothed one.
	smooth = 0.02
	// baselineAge is how long a lowest value is kept as the baseline, at least.
	baselineAge = 10 * time.Second
	// minPause is the shortest time between two decreases.
	minPause = 5 * time.Millisecond
)

// adaptive is a limit that follows what it observes. There are two ways, which
// the tests compare; the package uses aimd.
type adaptive interface {
	// observe takes an answer into account. busy says that the limit is in use,
	// so that a good answer may raise it.
	observe(now time.Time, latency time.Duration, shed, busy bool)
	value() float64
	// smoothed returns the smoothed latency.
	smoothed() time.Duration
	// bound sets the largest value.
	bound(most float64)
}

// aimd adds to the limit for good answers and multiplies it by less than one
// when a target sheds or when latency shows a queue, at most once per
// round trip, since all answers of one round trip tell of the same overload.
type aimd struct {
	limit, least, most float64
	// ignoreDelay leaves queueing delay out of account.
	ignoreDelay bool
	trend       baseline.Trend
	pausedUntil time.Time
	// settled ends the fast growth of a new limit.
	settled bool
}

func (a *aimd) value() float64 { return a.limit }

func (a *aimd) smoothed() time.Duration { return time.Duration(a.trend.Smoothed()) }

func (a *aimd) bound(most float64) {
	a.most = most
	a.limit = min(a.limit, most)
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
	a.settled = true
	if now.Before(a.pausedUntil) {
		return
	}
	a.limit = max(a.limit*factor, a.least)
	a.pausedUntil = now.Add(max(a.smoothed(), minPause))
}

// grow adds to the limit. A limit that was never lowered doubles per round trip.
func (a *aimd) grow() {
	step := increase
	if a.settled {
		step /= max(a.limit, 1)
	}
	a.limit = min(a.limit+step, a.most)
}

// measure smooths the latency. With the lowest single latency as the baseline,
// 6 % of the queries were refused at a fifth of the capacity.
func (a *aimd) measure(now time.Time, latency time.Duration) {
	a.trend.Add(now, latency, smooth, baselineAge)
}

// Quota returns how many connections one of liveNodes nodes may hold to a
// replica that accepts limit: floor(limit / (nodes + 1)), at least 1 and at
// most 2. The share of one node stays free for connections that a replaced VM
// left behind.
func Quota(limit, liveNodes int) int {
	return min(max(limit/(max(liveNodes, 1)+1), 1), 2)
}

// seconds converts a number of seconds, bounded to an hour.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, 3600) * float64(time.Second))
}
