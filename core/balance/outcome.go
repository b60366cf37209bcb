package balance

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/pace"
)

// Sent records that an attempt was sent to a replica.
func (r *Replicas) Sent(now time.Time, name api.ReplicaName) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	s.inFlight++
	if s.consecutiveFailures >= suspectAfter {
		s.probing = true
		s.nextProbeAt = now.Add(r.probeDelay(s.consecutiveFailures))
	}
}

// Done records an answer. The latency counts only if the target ran the request: a
// fast rejection says nothing about the time that a request takes. Like ObserveLoad,
// it reports whether the incarnation was newly marked as draining.
func (r *Replicas) Done(now time.Time, name api.ReplicaName, outcome api.TargetOutcome, latency time.Duration, load api.TargetLoad) (drained bool) {
	s, ok := r.replicas[name]
	if !ok {
		return false
	}
	s.inFlight = max(s.inFlight-1, 0)
	drained = s.observeLoad(now, r.rampSettings, load)
	switch outcome {
	case api.TargetOK:
		s.adaptShare(now, r.rampSettings, latency)
		s.addLatency(now, latency)
		s.tailLatency.Add(now, latency)
		s.addOutcome(now, 0)
		if s.consecutiveFailures >= suspectAfter {
			// The probe was answered: the share of the replica ramps up like that of
			// a cold one.
			s.failureRate = 0
			s.ramp.Start(now, r.rampSettings, r.rampSettings.Duration)
		}
		s.consecutiveFailures = 0
	case api.TargetError:
		r.recordFailure(now, s)
	case api.TargetShed, api.TargetExpired:
		// Overload is not a failure of the replica: it lowers the share, but a
		// replica that answers does not become suspect.
		s.addOutcome(now, 1)
		s.ramp.Failed(now, r.rampSettings)
		s.consecutiveFailures = 0
	}
	return drained
}

// Lost records an attempt that ended without an answer because the connection
// broke or the deadline expired.
func (r *Replicas) Lost(now time.Time, name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok {
		s.inFlight = max(s.inFlight-1, 0)
		r.recordFailure(now, s)
	}
}

// MarkSuspect limits a replica to one probe request at a time. It is called for a
// replica that has answered nothing for longer than a pause of its process takes.
func (r *Replicas) MarkSuspect(now time.Time, name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok && s.consecutiveFailures < suspectAfter {
		s.consecutiveFailures = suspectAfter
		s.nextProbeAt = now.Add(r.probeDelay(s.consecutiveFailures))
	}
}

// Cancelled records an attempt whose answer is no longer needed. The time waited is
// a lower bound of its latency. If it were not recorded, a slow replica whose attempts
// always finish after their hedges would keep a low latency estimate.
func (r *Replicas) Cancelled(now time.Time, name api.ReplicaName, waited time.Duration) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if s.peerLatency > 0 && float64(waited) > r.rampSettings.SlowLatency*s.peerLatency {
		s.adaptShare(now, r.rampSettings, waited)
	}
	if float64(waited) > s.latency {
		s.addLatency(now, waited)
	}
}

// Unsent undoes the in-flight count of an attempt that was passed to Sent but never
// reached the connection.
func (r *Replicas) Unsent(name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok {
		s.inFlight = max(s.inFlight-1, 0)
	}
}

// adaptShare adapts the share of a replica that has started or recovered to the latency of an
// answer.
func (s *replica) adaptShare(now time.Time, settings pace.Settings, latency time.Duration) {
	if s.peerLatency > 0 {
		s.ramp.Answered(now, settings, float64(latency)/s.peerLatency)
	}
}

// addLatency adds a sample to the smoothed latency. A sample below an old latency that has
// decayed meanwhile confirms the decay: otherwise each answer of a replica that was slow would
// restore most of the old latency, and the replica would stay idle.
func (s *replica) addLatency(now time.Time, latency time.Duration) {
	sample := float64(latency)
	switch {
	case s.latency == 0:
		s.latency = sample
	case sample < s.latency:
		s.latency = max(s.expectedLatency(now), sample)
		s.latency += latencyWeight * (sample - s.latency)
	default:
		s.latency += latencyWeight * (sample - s.latency)
	}
	s.latencyAt = now
}

// addOutcome adds a sample to the smoothed failure rate: 0 for an answer, 1 for a
// failure, a shed or an expired request.
func (s *replica) addOutcome(now time.Time, failure float64) {
	rate := decay(s.failureRate, now.Sub(s.failureAt))
	s.failureRate = rate + failureWeight*(failure-rate)
	s.failureAt = now
}

// recordFailure counts a failure. For a suspect replica only the failure of a probe
// counts as consecutive: one broken connection fails many attempts at once, but is only
// one failure.
func (r *Replicas) recordFailure(now time.Time, s *replica) {
	s.addOutcome(now, 1)
	s.ramp.Failed(now, r.rampSettings)
	if s.consecutiveFailures >= suspectAfter && !s.probing {
		return
	}
	s.probing = false
	s.consecutiveFailures++
	if s.consecutiveFailures >= suspectAfter {
		s.nextProbeAt = now.Add(r.probeDelay(s.consecutiveFailures))
	}
}

// probeDelay returns the delay before the next probe. It doubles with each failure and
// is reduced by up to a quarter at random, so that the nodes do not probe at the same
// time.
func (r *Replicas) probeDelay(failures int) time.Duration {
	d := minProbeInterval
	for i := suspectAfter; i < failures && d < maxProbeInterval; i++ {
		d *= 2
	}
	d = min(d, maxProbeInterval)
	return d - time.Duration(r.rng.Int64N(int64(d/4)))
}

// ProbeDue reports whether the next probe of a suspect replica may be sent.
func (r *Replicas) ProbeDue(now time.Time, name api.ReplicaName) bool {
	s, ok := r.replicas[name]
	return ok && s.consecutiveFailures >= suspectAfter && s.inFlight == 0 && !now.Before(s.nextProbeAt)
}

// ProbeSoon makes the next probe of a suspect replica due immediately.
func (r *Replicas) ProbeSoon(now time.Time, name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok && s.nextProbeAt.After(now) {
		s.nextProbeAt = now
	}
}
