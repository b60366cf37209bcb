package limit

import (
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// initialLimit is the limit of a service that has not been observed yet.
	initialLimit = 16
	// minLimit is the lowest limit. With 1, a few simultaneous queries on an idle
	// service were refused after the limit had fallen.
	minLimit = 4
	// maxLimit bounds a limit that was never lowered.
	maxLimit = 100_000
	// MaxWait bounds the expected wait of an admitted query. Longer queues only
	// add latency: the rate at which the service answers stays the same.
	MaxWait = 100 * time.Millisecond
	// waitDivisor bounds the expected wait to a fraction of the time left before the
	// deadline. With all of the time left, so many admitted queries expired in the
	// simulation that goodput at a load of 1.5 times the capacity fell to 0.69 of
	// the capacity.
	waitDivisor = 2
	// rateWindow is the minimum time over which the rate of ended parts is measured.
	rateWindow = 200 * time.Millisecond
	// maxRateAge is how long a measured rate is used. An older one means that the limit
	// has not been reached since, and the rate may stem from a past overload.
	maxRateAge = 2 * time.Second
	// rateWeight is the weight of a new window in the smoothed rate.
	rateWeight = 0.3
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may
	// retry, before random spread is added.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// service is the admission state of one service.
type service struct {
	limit adaptiveLimit
	// admitted counts the parts that were admitted and have not ended.
	admitted int
	// rate is the smoothed number of parts that end per second while the limit is
	// reached; 0 if unknown. An idle service ends fewer parts than it could.
	rate           float64
	rateMeasuredAt time.Time // when rate was last measured
	ended          int
	windowStart    time.Time
	// belowLimit is set if the limit was not reached at some time in the window.
	belowLimit bool
}

// Admission decides, for each service, whether a query may start. A query consists
// of parts, which count one by one. Parts above the adaptive limit are expected to
// wait in the node for a replica; a query whose expected wait exceeds MaxWait or
// half of its time left is refused at once.
type Admission struct {
	rng      *rand.Rand
	services map[api.ServiceName]*service
	newLimit func() adaptiveLimit
}

// NewAdmission returns an Admission without services.
func NewAdmission(rng *rand.Rand) *Admission {
	return &Admission{
		rng:      rng,
		services: make(map[api.ServiceName]*service),
		newLimit: func() adaptiveLimit { return &aimd{limit: initialLimit, minimum: minLimit, maximum: maxLimit} },
	}
}

// Admit admits a query of the given number of parts, or returns false and the time
// after which the caller may retry. A query of any size is admitted if nothing else
// of its service is in flight.
func (a *Admission) Admit(now time.Time, name api.ServiceName, parts int, deadline time.Time) (bool, time.Duration) {
	s := a.get(now, name)
	total := float64(s.admitted + parts)
	if total > s.limit.value() && s.admitted > 0 {
		wait := s.expectedWait(now, total)
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

// restartWindow starts a new measurement window for the rate. Admit calls it when
// the service was idle: if windows included the pauses between queries, a service
// with few wide queries would seem to end one part per pause.
func (s *service) restartWindow(now time.Time) { s.ended, s.windowStart, s.belowLimit = 0, now, false }

// Done records that parts ended. latency is the time since they were admitted. It
// includes the wait in the node, because a queue there is the first sign of overload
// that the limit reacts to. Outcome 0 means that the parts ended without an answer:
// they are no longer in flight, and the limit does not change.
func (a *Admission) Done(now time.Time, name api.ServiceName, parts int, outcome api.TargetOutcome, latency time.Duration) {
	s := a.get(now, name)
	busy := 2*float64(s.admitted) >= s.limit.value()
	s.belowLimit = s.belowLimit || float64(s.admitted) < s.limit.value()
	s.admitted = max(s.admitted-parts, 0)
	s.countEnded(now, parts)
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
	return initialLimit
}

// InFlight returns the number of admitted parts that have not ended.
func (a *Admission) InFlight(name api.ServiceName) int {
	if s, ok := a.services[name]; ok {
		return s.admitted
	}
	return 0
}

// Drop removes the state of a service.
func (a *Admission) Drop(name api.ServiceName) { delete(a.services, name) }

func (a *Admission) get(now time.Time, name api.ServiceName) *service {
	s, ok := a.services[name]
	if !ok {
		s = &service{limit: a.newLimit(), windowStart: now}
		a.services[name] = s
	}
	return s
}

// retryAfter returns the expected wait, within bounds, plus a random part of up to half
// of it, so that refused callers do not all retry at once.
func (a *Admission) retryAfter(wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(a.rng.Int64N(int64(wait/2)+1))
}

// expectedWait returns the time until all of the parts have ended at the measured rate;
// 0 if no recent rate is known.
func (s *service) expectedWait(now time.Time, parts float64) time.Duration {
	if s.rate <= 0 || now.Sub(s.rateMeasuredAt) > maxRateAge {
		return 0
	}
	return seconds(parts / s.rate)
}

// countEnded counts ended parts towards the rate. Windows in which the limit was not
// reached throughout are ignored.
func (s *service) countEnded(now time.Time, parts int) {
	s.ended += parts
	took := now.Sub(s.windowStart)
	if took < rateWindow {
		return
	}
	rate := float64(s.ended) / took.Seconds()
	if !s.belowLimit {
		s.addRate(now, rate)
	}
	s.restartWindow(now)
}

func (s *service) addRate(now time.Time, rate float64) {
	if s.rate == 0 || now.Sub(s.rateMeasuredAt) > maxRateAge {
		s.rate = rate
	} else {
		s.rate += rateWeight * (rate - s.rate)
	}
	s.rateMeasuredAt = now
}
