package limit

import (
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// firstLimit is the limit of a service before anything is known of it.
	firstLimit = 16
	// leastLimit is admitted in any case. With 1, a few queries at once on an
	// idle service were refused after the limit had fallen.
	leastLimit = 4
	// mostLimit bounds a limit that no target ever pushed back.
	mostLimit = 100_000
	// MaxWait bounds the expected wait of an admitted query. Longer queues only
	// add latency: the rate at which the service answers stays the same.
	MaxWait = 100 * time.Millisecond
	// waitDivisor bounds the expected wait to a part of the time left. With the
	// whole of it, the simulation let so many admitted queries expire that the
	// goodput at 1.5 times the capacity fell to 0.69 of the capacity.
	waitDivisor = 2
	// rateWindow is the time over which the rate of ended parts is measured.
	rateWindow = 200 * time.Millisecond
	// rateAge is how long a measured rate is used: afterwards the limit has not
	// been in use, and the rate may be that of an overload long over.
	rateAge = 2 * time.Second
	// rateWeight is the weight of a new window in the smoothed rate.
	rateWeight = 0.3
	// retryLeast and retryMost bound the time after which a refused caller may return.
	retryLeast = 20 * time.Millisecond
	retryMost  = 5 * time.Second
)

// service is the admission state of one service.
type service struct {
	limit adaptive
	// admitted counts parts that were admitted and have not ended.
	admitted int
	// rate is the smoothed number of parts that end per second while the limit
	// is in use; 0 if unknown. An idle service ends fewer than it could.
	rate        float64
	ratedAt     time.Time // when rate was measured last
	ended       int
	windowStart time.Time
	// idle says that the limit was not in use at some time in the window.
	idle bool
}

// Admission decides, for each service, whether a query may start. Parts above
// the adaptive limit are expected to wait in the node for a replica; a query
// whose expected wait exceeds MaxWait or half of its time left is refused at
// once.
type Admission struct {
	rng      *rand.Rand
	services map[api.ServiceName]*service
	make     func() adaptive
}

// NewAdmission returns an Admission without services.
func NewAdmission(rng *rand.Rand) *Admission {
	return &Admission{
		rng:      rng,
		services: make(map[api.ServiceName]*service),
		make:     func() adaptive { return &aimd{limit: firstLimit, least: leastLimit, most: mostLimit} },
	}
}

// Admit takes the parts of a query into account if they may start. Otherwise it
// returns the time after which the caller may come back. A query is admitted
// whatever its size if nothing else of its service is in flight.
func (a *Admission) Admit(now time.Time, name api.ServiceName, parts int, deadline time.Time) (bool, time.Duration) {
	s := a.get(now, name)
	total := float64(s.admitted + parts)
	if total > s.limit.value() && s.admitted > 0 {
		wait := s.wait(now, total)
		if wait > min(MaxWait, deadline.Sub(now)/waitDivisor) {
			return false, a.retryAfter(wait)
		}
	}
	if s.admitted == 0 {
		s.restartWindow(now)
	}
	s.admitted += parts
	return true, 0
}

// restartWindow begins to measure the rate anew. With the pauses between them in
// the windows, a service with few wide queries seemed to end one part per pause.
func (s *service) restartWindow(now time.Time) { s.ended, s.windowStart, s.idle = 0, now, false }

// Done records that parts ended, with the time since they were admitted, which
// includes the wait in the node: a queue there is what the limit reacts to
// first. Outcome 0 stands for parts that ended without an answer; they free
// their place and change no limit.
func (a *Admission) Done(now time.Time, name api.ServiceName, parts int, outcome api.TargetOutcome, latency time.Duration) {
	s := a.get(now, name)
	busy := 2*float64(s.admitted) >= s.limit.value()
	s.idle = s.idle || float64(s.admitted) < s.limit.value()
	s.admitted = max(s.admitted-parts, 0)
	s.count(now, parts)
	switch outcome {
	case 0:
	case api.TargetShed, api.TargetExpired:
		s.limit.observe(now, latency, true, busy)
	case api.TargetOK, api.TargetError:
		s.limit.observe(now, latency, false, busy)
	}
}

// Limit returns the current limit of a service in parts.
func (a *Admission) Limit(name api.ServiceName) int {
	if s, ok := a.services[name]; ok {
		return int(s.limit.value())
	}
	return firstLimit
}

// InFlight returns the number of admitted parts that have not ended.
func (a *Admission) InFlight(name api.ServiceName) int {
	if s, ok := a.services[name]; ok {
		return s.admitted
	}
	return 0
}

// Drop forgets a service.
func (a *Admission) Drop(name api.ServiceName) { delete(a.services, name) }

func (a *Admission) get(now time.Time, name api.ServiceName) *service {
	s, ok := a.services[name]
	if !ok {
		s = &service{limit: a.make(), windowStart: now}
		a.services[name] = s
	}
	return s
}

// retryAfter is the expected wait, spread by half so that refused callers do
// not return together.
func (a *Admission) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, retryLeast), retryMost)
	return wait + time.Duration(a.rng.Int64N(int64(wait/2)+1))
}

// wait is the time until all of the parts have ended at the measured rate; 0 if
// none is known.
func (s *service) wait(now time.Time, parts float64) time.Duration {
	if s.rate <= 0 || now.Sub(s.ratedAt) > rateAge {
		return 0
	}
	return seconds(parts / s.rate)
}

// count adds to the measured rate. Windows in which the limit was not in use
// are left out.
func (s *service) count(now time.Time, parts int) {
	s.ended += parts
	took := now.Sub(s.windowStart)
	if took < rateWindow {
		return
	}
	rate := float64(s.ended) / took.Seconds()
	if !s.idle {
		s.addRate(now, rate)
	}
	s.restartWindow(now)
}

func (s *service) addRate(now time.Time, rate float64) {
	if s.rate == 0 || now.Sub(s.ratedAt) > rateAge {
		s.rate = rate
	} else {
		s.rate += rateWeight * (rate - s.rate)
	}
	s.ratedAt = now
}
