package retry

import (
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/quantile"
)

const (
	// DefaultQuantile is the share of attempts that end before a hedge is due.
	DefaultQuantile = 0.95
	// DefaultFloor keeps a very fast service from hedging on scheduling noise.
	DefaultFloor = 2 * time.Millisecond
	// capDivisor caps the hedge delay at this part of the time left, so that the
	// hedge has at least as long as the first attempt had.
	capDivisor = 2
	// unknownDivisor gives the delay, as a part of the time left, while too few
	// latencies are known.
	unknownDivisor = 4
	// minSamples is the number of latencies from which the quantile is used.
	minSamples = 20
)

// Delay estimates, for each service, how long to wait for an attempt before a
// hedge is sent.
type Delay struct {
	quantile float64
	floor    time.Duration
	services map[api.ServiceName]*quantile.Estimate
}

// NewDelay returns a Delay; zero values take DefaultQuantile and DefaultFloor.
func NewDelay(q float64, floor time.Duration) *Delay {
	if q == 0 {
		q = DefaultQuantile
	}
	if floor == 0 {
		floor = DefaultFloor
	}
	return &Delay{quantile: q, floor: floor, services: make(map[api.ServiceName]*quantile.Estimate)}
}

// Observe records the latency of an answered attempt. An attempt that was
// cancelled because another one answered counts with the time it was waited
// for, else stragglers would drop out of the estimate.
func (d *Delay) Observe(now time.Time, service api.ServiceName, latency time.Duration) {
	e, ok := d.services[service]
	if !ok {
		e = &quantile.Estimate{}
		d.services[service] = e
	}
	e.Add(now, latency)
}

// Hedge returns how long to wait for an attempt that has the given time left:
// the service's quantile, at least the floor, at most half of the time left.
func (d *Delay) Hedge(service api.ServiceName, left time.Duration) time.Duration {
	left = max(left, 0)
	wait := left / unknownDivisor
	if e, ok := d.services[service]; ok && e.Count() >= minSamples {
		wait = e.Value(d.quantile)
	}
	return min(max(wait, d.floor), left/capDivisor)
}

// Drop forgets a service.
func (d *Delay) Drop(service api.ServiceName) { delete(d.services, service) }

// Backoff draws delays that double with each failure, with full jitter: evenly
// distributed between 0 and the doubled base, so that callers that failed
// together do not return together.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// Delay returns the wait after the given number of failures in a row, counted
// from 1.
func (b Backoff) Delay(rng *rand.Rand, failures int) time.Duration {
	upper := b.Base
	for i := 1; i < failures && upper < b.Cap; i++ {
		upper *= 2
	}
	upper = min(upper, b.Cap)
	if upper <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(upper)))
}
