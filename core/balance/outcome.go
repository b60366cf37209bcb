package balance

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Sent records an attempt handed to a replica.
func (r *Replicas) Sent(now time.Time, name api.ReplicaName) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	s.inFlight++
	if s.failures >= suspectAfter {
		s.probing = true
		s.probeAt = now.Add(r.probeDelay(s.failures))
	}
}

// Done records an answer. The latency counts only if the target ran the
// request: a fast refusal says nothing about the time that a request takes. It
// reports whether the load is the first sign that this incarnation drains.
func (r *Replicas) Done(now time.Time, name api.ReplicaName, outcome api.TargetOutcome, latency time.Duration, load api.TargetLoad) (drained bool) {
	s, ok := r.replicas[name]
	if !ok {
		return false
	}
	s.inFlight = max(s.inFlight-1, 0)
	drained = s.observe(now, load)
	switch outcome {
	case api.TargetOK:
		s.addLatency(now, latency)
		s.high.Add(now, latency)
		s.addOutcome(now, 0)
		if s.failures >= suspectAfter {
			// The probe was answered: its share grows as that of a cold replica.
			s.failureRate = 0
			s.coldUntil = now.Add(RampUp)
		}
		s.failures = 0
	case api.TargetError:
		r.failed(now, s)
	case api.TargetShed, api.TargetExpired:
		// Overload is no fault of the replica: it lowers the share, but a replica
		// that answers is never reduced to probes.
		s.addOutcome(now, 1)
		s.failures = 0
	}
	return drained
}

// Lost records an attempt that ended without an answer because the connection
// broke or the deadline passed.
func (r *Replicas) Lost(now time.Time, name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok {
		s.inFlight = max(s.inFlight-1, 0)
		r.failed(now, s)
	}
}

// MarkSuspect reduces a replica to single probes: it has not answered anything
// for longer than a pause takes.
func (r *Replicas) MarkSuspect(now time.Time, name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok && s.failures < suspectAfter {
		s.failures = suspectAfter
		s.probeAt = now.Add(r.probeDelay(s.failures))
	}
}

// Cancelled records an attempt that nobody waits for any more. The time waited
// is a lower bound of its latency; without it, a slow replica whose attempts
// always lose to hedges would keep a good figure.
func (r *Replicas) Cancelled(now time.Time, name api.ReplicaName, waited time.Duration) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if float64(waited) > s.latency {
		s.addLatency(now, waited)
	}
}

// Unsent records an attempt that Sent counted but that never reached the
// connection.
func (r *Replicas) Unsent(name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok {
		s.inFlight = max(s.inFlight-1, 0)
	}
}

func (s *replica) addLatency(now time.Time, latency time.Duration) {
	if s.latency == 0 {
		s.latency = float64(latency)
	} else {
		s.latency += latencyWeight * (float64(latency) - s.latency)
	}
	s.latencyAt = now
}

// addOutcome adds 0 for an answer and 1 for a failure or a shed request to the
// smoothed failure rate.
func (s *replica) addOutcome(now time.Time, failure float64) {
	rate := fade(s.failureRate, now.Sub(s.failureAt))
	s.failureRate = rate + failureWeight*(failure-rate)
	s.failureAt = now
}

// failed counts a failure. Of a suspect replica only that of a probe counts:
// one broken connection ends many attempts at once, which says no more than one.
func (r *Replicas) failed(now time.Time, s *replica) {
	s.addOutcome(now, 1)
	if s.failures >= suspectAfter && !s.probing {
		return
	}
	s.probing = false
	s.failures++
	if s.failures >= suspectAfter {
		s.probeAt = now.Add(r.probeDelay(s.failures))
	}
}

// probeDelay doubles with each failure and is spread by a quarter, so that the
// nodes do not probe together.
func (r *Replicas) probeDelay(failures int) time.Duration {
	d := probeFirst
	for i := suspectAfter; i < failures && d < probeMost; i++ {
		d *= 2
	}
	d = min(d, probeMost)
	return d - time.Duration(r.rng.Int64N(int64(d/4)))
}

// ProbeDue reports whether a suspect replica may get its next single probe.
func (r *Replicas) ProbeDue(now time.Time, name api.ReplicaName) bool {
	s, ok := r.replicas[name]
	return ok && s.failures >= suspectAfter && s.inFlight == 0 && !now.Before(s.probeAt)
}

// ProbeSoon makes the next probe of a suspect replica due.
func (r *Replicas) ProbeSoon(now time.Time, name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok && s.probeAt.After(now) {
		s.probeAt = now
	}
}
