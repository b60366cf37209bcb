package balance

import (
	"math"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// scanUpTo is the number of candidates up to which all are compared. From
	// there on, two random ones are.
	scanUpTo = 3
	// draws is the number of random draws for two usable candidates before Pick
	// looks at all of them.
	draws = 6
)

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
	if len(candidates) > scanUpTo {
		if s := r.sample(now, candidates, exclude); s != nil {
			return s.name, true
		}
	}
	if s := r.scan(now, candidates, exclude); s != nil {
		return s.name, true
	}
	return "", false
}

// sample compares two random candidates; nil if it finds no two that are ready.
func (r *Replicas) sample(now time.Time, candidates, exclude []api.ReplicaName) *replica {
	var first *replica
	for range draws {
		s, how := r.candidate(now, candidates[r.rng.IntN(len(candidates))], exclude)
		switch {
		case how == due:
			return s
		case how != ready || s == first:
		case first == nil:
			first = s
		case s.score(now) < first.score(now):
			return s
		default:
			return first
		}
	}
	return nil
}

// scan compares all candidates. It starts at a random one, so that equal scores
// share the work.
func (r *Replicas) scan(now time.Time, candidates, exclude []api.ReplicaName) *replica {
	if len(candidates) == 0 {
		return nil
	}
	var best, last *replica
	bestScore, lastScore := math.Inf(1), math.Inf(1)
	start := r.rng.IntN(len(candidates))
	for i := range candidates {
		s, how := r.candidate(now, candidates[(start+i)%len(candidates)], exclude)
		if how == due {
			return s
		}
		if how == out {
			continue
		}
		score := s.score(now)
		if how == ready && (best == nil || score < bestScore) {
			best, bestScore = s, score
		}
		if how == resort && (last == nil || score < lastScore) {
			last, lastScore = s, score
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
	return s.expected(now) * load * (1 + failureCost*s.failureRate) / s.slots
}

// expected is the smoothed latency; an old one returns to the prior.
func (s *replica) expected(now time.Time) float64 {
	if s.latency == 0 {
		return s.prior
	}
	age := now.Sub(s.latencyAt)
	if age <= latencyFresh || s.latency <= s.prior {
		return s.latency
	}
	return s.prior + (s.latency-s.prior)*math.Exp2(-float64(age)/float64(latencyHalfLife))
}
