package balance

import (
	"math"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// compared is the number of ready candidates that a choice compares. In the
// simulation, comparing all gave a 0.95 latency of half that of two random
// ones; eight bound the cost for shards with very many replicas.
const compared = 8

// margin is the part of the best score so far that another one must stay under
// to be preferred. Without it, a node with few attempts in flight sends
// everything to one of several equal replicas, for a random difference of latency.
const margin = 0.8

// standing says how a candidate takes part in a choice.
type standing uint8

const (
	// out takes no part.
	out standing = iota
	// ready competes by score.
	ready
	// due is a suspect replica whose next probe is due.
	due
	// resort is a suspect or cold replica, taken only if no ready one exists.
	resort
)

// Pick chooses a replica for a new attempt. It never returns an excluded or
// drained one; false means that no candidate is left. Replicas that fail are
// chosen for single probes, or if no other is left.
func (r *Replicas) Pick(now time.Time, candidates, exclude []api.ReplicaName) (api.ReplicaName, bool) {
	if s := r.least(now, candidates, exclude, compared); s != nil {
		return s.name, true
	}
	return "", false
}

// least returns the candidate with the lowest score among the first ready ones,
// most at the most, from a random one on, so that equal scores share the work.
func (r *Replicas) least(now time.Time, candidates, exclude []api.ReplicaName, most int) *replica {
	if len(candidates) == 0 {
		return nil
	}
	var best, last *replica
	bestScore, lastScore := math.Inf(1), math.Inf(1)
	seen := 0
	i := r.rng.IntN(len(candidates))
	for range candidates {
		s, how := r.candidate(now, candidates[i], exclude)
		if i++; i == len(candidates) {
			i = 0
		}
		switch how {
		case due:
			return s
		case ready:
			if score := s.score(now); score < margin*bestScore {
				best, bestScore = s, score
			}
			if seen++; seen == most {
				return best
			}
		case resort:
			if best != nil {
				continue
			}
			if score := s.score(now); score < lastScore {
				last, lastScore = s, score
			}
		}
	}
	if best != nil {
		return best
	}
	return last
}

// candidate looks up a replica and its standing. A cold replica takes part in a
// growing share of the choices, which makes its traffic ramp up whatever the
// others' scores are.
func (r *Replicas) candidate(now time.Time, name api.ReplicaName, exclude []api.ReplicaName) (*replica, standing) {
	s, ok := r.replicas[name]
	if !ok || s.isDrained() || slices.Contains(exclude, name) {
		return nil, out
	}
	if s.failures >= suspectAfter {
		if s.inFlight == 0 && !now.Before(s.probeAt) {
			return s, due
		}
		return s, resort
	}
	if left := s.coldUntil.Sub(now); left > 0 {
		ramp := 1 - (1-rampStart)*float64(left)/float64(RampUp)
		if r.rng.Float64() >= ramp {
			return s, resort
		}
	}
	return s, ready
}

// score is the expected time of one more request: latency times the requests
// known to be there, own ones and reported ones, over the slots. Failures
// multiply it. Own attempts and latencies are measured here and count in full;
// reported load is bounded and fades, because it may be stale or false.
func (s *replica) score(now time.Time) float64 {
	load := float64(s.inFlight) + 1
	if s.reported > 0 {
		// A reported load includes own attempts, so only the excess is added.
		age := float64(now.Sub(s.reportedAt)) / float64(loadHalfLife)
		if others := s.reported - float64(s.inFlight); others > 0 && age < 8 {
			load += others / (1 + age)
		}
	}
	failing := fade(s.failureRate, now.Sub(s.failureAt))
	return s.expected(now) * load * (1 + failureCost*failing) * s.cost / s.slots
}

// expected is the smoothed latency; an old one returns to the prior.
func (s *replica) expected(now time.Time) float64 {
	if s.latency == 0 {
		return s.prior
	}
	if s.latency <= s.prior {
		return s.latency
	}
	return s.prior + fade(s.latency-s.prior, now.Sub(s.latencyAt))
}

// fade returns a value of the given age reduced by its half-life.
func fade(value float64, age time.Duration) float64 {
	if age <= fresh || value == 0 {
		return value
	}
	return value * math.Exp2(-float64(age)/float64(forgetHalfLife))
}
