package retry

import (
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/quantile"
)

const (
	// DefaultQuantile is the fraction of attempts that are answered before a
	// hedge is sent.
	DefaultQuantile = 0.95
	// DefaultFloor is the minimum hedge delay. It keeps very fast services from
	// sending hedges because of scheduling jitter.
	DefaultFloor = 2 * time.Millisecond
	// capDivisor limits the hedge delay to this fraction of the remaining time,
	// so that the hedge has at least as much time as the first attempt had.
	capDivisor = 2
	// noDataDivisor determines the delay, as a fraction of the remaining time,
	// while fewer than minSamples latencies are known.
	noDataDivisor = 4
	// minSamples is the number of latencies that must be known before the
	// quantile is used.
	minSamples = 20
)

// Delay estimates, for each service, how long to wait for an attempt before a
// hedge is sent.
type Delay struct {
	quantile float64
	floor    time.Duration
	services map[api.ServiceName]*quantile.Estimator
}

// NewDelay returns a Delay for the given quantile and minimum delay. Zero
// values select DefaultQuantile and DefaultFloor.
func NewDelay(q float64, floor time.Duration) *Delay {
	if q == 0 {
		q = DefaultQuantile
	}
	if floor == 0 {
		floor = DefaultFloor
	}
	return &Delay{quantile: q, floor: floor, services: make(map[api.ServiceName]*quantile.Estimator)}
}

// Observe records the latency of an answered attempt. An attempt that was
// cancelled because another one answered is recorded with the time spent
// waiting for it; otherwise slow attempts would be missing from the estimate.
func (d *Delay) Observe(now time.Time, service api.ServiceName, latency time.Duration) {
	e, ok := d.services[service]
	if !ok {
		e = &quantile.Estimator{}
		d.services[service] = e
	}
	e.Add(now, latency)
}

// Hedge returns how long to wait for an attempt with the given remaining time:
// the latency quantile of the service, at least the minimum delay, and at most
// half of the remaining time.
func (d *Delay) Hedge(service api.ServiceName, remaining time.Duration) time.Duration {
	remaining = max(remaining, 0)
	wait := remaining / noDataDivisor
	if e, ok := d.services[service]; ok && e.Count() >= minSamples {
		wait = e.Value(d.quantile)
	}
	return min(max(wait, d.floor), remaining/capDivisor)
}

// Usual returns a quantile of the latencies of a service. ok is unset if none is known.
func (d *Delay) Usual(service api.ServiceName, q float64) (latency time.Duration, ok bool) {
	e := d.services[service]
	if e == nil || e.Count() == 0 {
		return 0, false
	}
	return e.Value(q), true
}

// Preserve returns a function that undoes what calls of Hedge for a service in the meantime have
// changed.
func (d *Delay) Preserve(service api.ServiceName) (restore func()) {
	return d.services[service].Preserve()
}

// Retain removes the services for which keep returns false.
func (d *Delay) Retain(keep func(service api.ServiceName) bool) {
	for service := range d.services {
		if !keep(service) {
			delete(d.services, service)
		}
	}
}

// Drop removes a service.
func (d *Delay) Drop(service api.ServiceName) { delete(d.services, service) }

// Backoff computes delays with exponential backoff and full jitter. Each delay
// is uniformly distributed between 0 and an upper bound that doubles with each
// failure, from Base up to Cap, so that clients that failed at the same time do
// not retry at the same time.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// Delay returns a random delay after the given number of consecutive failures,
// starting at 1.
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
