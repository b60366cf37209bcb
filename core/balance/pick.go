package balance

import (
	"math"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// maxCompared is the number of eligible candidates whose scores Pick compares. In
// the simulation (TestSelectionStrategies), comparing all candidates gave half the
// 0.95 latency quantile of comparing two random ones. The limit of eight bounds the
// cost for shards with very many replicas.
const maxCompared = 8

// scoreMargin is the fraction of the best score so far that the score of another
// candidate must be below for it to be preferred. Without the margin, a node with few
// attempts in flight sends everything to one of several equal replicas because of a
// random difference in latency.
const scoreMargin = 0.8

// eligibility says how Pick treats a candidate.
type eligibility uint8

const (
	// ineligible candidates are unknown, drained or excluded and never picked.
	ineligible eligibility = iota
	// eligible candidates are compared by score.
	eligible
	// probeDue marks a suspect replica whose next probe is due; it is picked at once.
	probeDue
	// reportedBusy candidates do not take part in this pick because of the load that they
	// report. They are picked only if no candidate is eligible.
	reportedBusy
	// lastResort marks a suspect or cold replica that is picked only if no candidate
	// is eligible.
	lastResort
)

// Pick selects a replica for a new attempt. It never returns an excluded or drained
// replica; false means that no candidate is left. A suspect replica is picked for one
// probe at a time, or if no other candidate is left.
func (r *Replicas) Pick(now time.Time, candidates, exclude []api.ReplicaName) (api.ReplicaName, bool) {
	if s := r.lowestScore(now, candidates, exclude, maxCompared); s != nil {
		return s.name, true
	}
	return "", false
}

// PickReady is like Pick, but never returns a replica that Pick would only use as a last
// resort. The latency and the reported load of the candidates are compared with those of peers,
// which include them.
func (r *Replicas) PickReady(now time.Time, candidates, peers []api.ReplicaName) (api.ReplicaName, bool) {
	if best, _ := r.compare(now, candidates, peers, nil, maxCompared); best != nil {
		return best.name, true
	}
	return "", false
}

// lowestScore returns the candidate with the lowest score among the first limit
// eligible ones, or else the best last resort.
func (r *Replicas) lowestScore(now time.Time, candidates, exclude []api.ReplicaName, limit int) *replica {
	best, fallback := r.compare(now, candidates, candidates, exclude, limit)
	if best != nil {
		return best
	}
	return fallback
}

// compare returns the candidate with the lowest score among the first limit eligible
// ones, or nil, and the best last resort seen. It starts at a random candidate, so that
// replicas with equal scores share the work.
func (r *Replicas) compare(now time.Time, candidates, peers, exclude []api.ReplicaName, limit int) (best, fallback *replica) {
	if len(candidates) == 0 {
		return nil, nil
	}
	var busy *replica
	bestScore, busyScore, fallbackScore := math.Inf(1), math.Inf(1), math.Inf(1)
	meanWait := r.meanReportedWait(now, peers)
	compared := 0
	i := r.rng.IntN(len(candidates))
	for range candidates {
		s, class := r.classify(now, candidates[i], exclude, meanWait)
		if s != nil && r.rampSettings.GoodLatency > 0 && s.ramp.Active(now, r.rampSettings) {
			s.peerLatency = r.peerLatency(now, peers)
		}
		if i++; i == len(candidates) {
			i = 0
		}
		switch class {
		case probeDue:
			return s, nil
		case eligible:
			if score := s.score(now); score < scoreMargin*bestScore {
				best, bestScore = s, score
			}
			if compared++; compared == limit {
				return best, nil
			}
		case reportedBusy:
			if score := s.score(now); score < busyScore {
				busy, busyScore = s, score
			}
		case lastResort:
			if best != nil {
				continue
			}
			if score := s.score(now); score < fallbackScore {
				fallback, fallbackScore = s, score
			}
		}
	}
	if best == nil {
		best = busy
	}
	return best, fallback
}

// peerLatency returns the mean expected latency of the candidates that have neither started nor
// recovered recently, in nanoseconds; 0 if none of them has answered yet.
func (r *Replicas) peerLatency(now time.Time, candidates []api.ReplicaName) float64 {
	sum, n := 0.0, 0
	for _, name := range candidates {
		s, ok := r.replicas[name]
		if !ok || s.latency == 0 || s.consecutiveFailures >= suspectAfter || s.ramp.Active(now, r.rampSettings) {
			continue
		}
		sum += s.expectedLatency(now)
		if n++; n == maxCompared {
			break
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// classify returns a replica and its eligibility. A cold replica is eligible in a
// growing fraction of the calls, so that its traffic ramps up whatever the scores of
// the other replicas are. One that reports a longer wait than the mean of the candidates is
// eligible in a smaller fraction.
func (r *Replicas) classify(now time.Time, name api.ReplicaName, exclude []api.ReplicaName, meanWait float64) (*replica, eligibility) {
	s, ok := r.replicas[name]
	if !ok || s.isDrained() || slices.Contains(exclude, name) {
		return nil, ineligible
	}
	if s.consecutiveFailures >= suspectAfter {
		if s.inFlight == 0 && !now.Before(s.nextProbeAt) {
			return s, probeDue
		}
		return s, lastResort
	}
	if share := s.ramp.Share(now, r.rampSettings); share < 1 && r.rng.Float64() >= share {
		return s, lastResort
	}
	if share := s.reportedShare(now, meanWait); share < 1 && r.rng.Float64() >= share {
		return s, reportedBusy
	}
	return s, eligible
}

// score is the expected duration of one more request: the expected latency times the
// number of requests known to be on the replica, divided by its slots. The requests
// are the attempts of this node and the reported load. Failures increase the score.
// This node measures its own attempts and latencies, so they count in full; the
// reported load is capped and decays, because it may be stale or wrong.
func (s *replica) score(now time.Time) float64 {
	load := float64(s.inFlight) + 1
	if s.reportedLoad > 0 {
		// The reported load includes the attempts of this node, so only the excess
		// is added.
		age := float64(now.Sub(s.reportedAt)) / float64(loadHalfLife)
		if others := s.reportedLoad - float64(s.inFlight); others > 0 && age < 8 {
			load += others / (1 + age)
		}
	}
	return s.expectedLatency(now) * load * s.failureFactor(now) * s.costFactor / s.slots
}

// failureFactor is the factor by which recent failures raise the score.
func (s *replica) failureFactor(now time.Time) float64 {
	return 1 + failurePenalty*decay(s.failureRate, now.Sub(s.failureAt))
}

// FailureFactor returns the factor by which recent failures of a replica raise its score; 1
// without failures.
func (r *Replicas) FailureFactor(now time.Time, name api.ReplicaName) float64 {
	if s, ok := r.replicas[name]; ok {
		return s.failureFactor(now)
	}
	return 1
}

// expectedLatency is the smoothed latency. If it is above the prior, it decays towards
// the prior as it gets old.
func (s *replica) expectedLatency(now time.Time) float64 {
	if s.latency == 0 {
		return max(s.priorLatency, s.peerLatency)
	}
	if s.latency <= s.priorLatency {
		return s.latency
	}
	return s.priorLatency + decay(s.latency-s.priorLatency, now.Sub(s.latencyAt))
}

// decay reduces a value of the given age with the half-life decayHalfLife. Up to the
// age decayDelay the value is unchanged.
func decay(value float64, age time.Duration) float64 {
	if age <= decayDelay || value == 0 {
		return value
	}
	return value * math.Exp2(-float64(age)/float64(decayHalfLife))
}
