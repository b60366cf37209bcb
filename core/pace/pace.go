// Package pace determines which share of its traffic a replica gets after it has started or
// recovered. The share grows with time, faster while the replica answers as fast as its peers,
// and shrinks when it answers slowly, refuses requests or fails.
//
// Each node decides alone. A share is relative to what the node would send to the replica
// otherwise, so the sum over all nodes grows like the shares, whatever the number of nodes.
package pace

import "time"

const (
	// smoothedWeight is the weight of a new latency in the smoothed one.
	smoothedWeight = 0.5
	// maxFailureDoublings limits how often FailureTime is doubled, so that the shift cannot
	// overflow.
	maxFailureDoublings = 8
)

// Settings says how a share changes.
type Settings struct {
	// Duration is the time in which a share grows from InitialShare to 1 without any answer.
	Duration     time.Duration
	InitialShare float64
	// MinShare is the smallest share: without requests, a replica could not show that it has
	// become faster.
	MinShare float64
	// GoodLatency and SlowLatency are multiples of the latency of the peers. A smoothed latency of at
	// most GoodLatency multiplies the share by Increase, one above SlowLatency divides it by Decrease.
	// Increase and Decrease are at least 1. If GoodLatency is 0, latencies are not compared.
	GoodLatency, SlowLatency float64
	Increase, Decrease       float64
	// HoldTime is how long the share does not grow with time after it was reduced.
	HoldTime time.Duration
	// GoodGrowth multiplies the growth with time after a good answer, until the share is
	// reduced. It matters where a node sends a replica fewer requests than one in Duration.
	GoodGrowth float64
	// FailureTime is how long after a refusal, a failure or a loss good answers count for
	// nothing. It doubles with each further period of failures that follows within
	// FailureMemory, so that a replica that fails again and again gets little.
	FailureTime, FailureMemory time.Duration
}

// Default returns the settings that core/balance uses. With a Duration of 7 s, replicas are fully
// used earlier than with a ramp of 10 s without feedback, and a replica that is 5 times as slow for
// 10 s delays no more requests than with that ramp. With 2.5 s, a replica that is 1.6 times as slow
// for 3 s delays more.
func Default() Settings {
	return Settings{
		Duration: 7 * time.Second, InitialShare: 0.1, MinShare: 0.05,
		GoodLatency: 1.3, SlowLatency: 2, Increase: 2, Decrease: 2, HoldTime: time.Second, GoodGrowth: 3,
		FailureTime: 3 * time.Second, FailureMemory: 30 * time.Second,
	}
}

// Ramp is the share of one replica. The zero value is the full share.
type Ramp struct {
	active bool
	share  float64
	// growsFrom is the time up to which share is computed; it lies in the future while the
	// share is held.
	growsFrom time.Time
	// smoothed is the smoothed latency relative to that of the peers; 0 before the first
	// answer.
	smoothed float64
	// failedAt is the time of the last refusal, failure or loss; it outlasts the ramp.
	failedAt time.Time
	// failurePeriods counts the periods of failures within FailureMemory of each other, with
	// an answer between them. answered is set if there was one since the last failure.
	failurePeriods int
	answered       bool
	// growth multiplies the growth with time.
	growth float64
	// slow is set once slow answers have reduced the share.
	slow bool
}

// Start starts a ramp that takes the given time if no answer changes it.
func (r *Ramp) Start(now time.Time, s Settings, remaining time.Duration) {
	share := 1 - (1-s.InitialShare)*min(float64(remaining)/float64(s.Duration), 1)
	*r = Ramp{active: true, share: share, growsFrom: now, failedAt: r.failedAt, failurePeriods: r.failurePeriods, answered: true}
	r.growth = r.slowGrowth(now, s)
}

// Active reports whether the replica gets less than its full share.
func (r *Ramp) Active(now time.Time, s Settings) bool { return r.active && r.Share(now, s) < 1 }

// Share returns the share from 0 to 1.
func (r *Ramp) Share(now time.Time, s Settings) float64 {
	if !r.active {
		return 1
	}
	grown := max(now.Sub(r.growsFrom), 0)
	return min(r.share+r.growth*(1-s.InitialShare)*float64(grown)/float64(s.Duration), 1)
}

// Answered records the latency of an answer relative to the latency of the peers.
func (r *Ramp) Answered(now time.Time, s Settings, relative float64) {
	if !r.Active(now, s) {
		r.active = false
		return
	}
	r.answered = true
	if r.smoothed == 0 {
		r.smoothed = relative
	} else {
		r.smoothed += smoothedWeight * (relative - r.smoothed)
	}
	switch {
	case r.smoothed <= s.GoodLatency && now.Sub(r.failedAt) >= r.failureTime(s):
		r.advance(now, s)
		r.share, r.growth = min(r.share*s.Increase, 1), s.GoodGrowth
	case r.smoothed > s.SlowLatency:
		r.reduce(now, s)
		r.slow = true
	}
}

// Slow reports whether slow answers have reduced the share since the start of the ramp.
func (r *Ramp) Slow() bool { return r.active && r.slow }

// Failed records a refusal, a failure or a loss.
func (r *Ramp) Failed(now time.Time, s Settings) {
	switch since := now.Sub(r.failedAt); {
	case since >= s.FailureMemory:
		r.failurePeriods = 1
	case r.answered:
		r.failurePeriods++
	}
	r.failedAt, r.answered = now, false
	r.reduce(now, s)
}

// slowGrowth returns the growth with time before the next good answer. It is the lower, the more
// often the replica has failed.
func (r *Ramp) slowGrowth(now time.Time, s Settings) float64 {
	if s.FailureMemory == 0 || now.Sub(r.failedAt) >= s.FailureMemory {
		return 1
	}
	return 1 / float64(1+r.failurePeriods)
}

// failureTime returns how long after the last failure good answers count for nothing.
func (r *Ramp) failureTime(s Settings) time.Duration {
	return min(s.FailureTime<<min(max(r.failurePeriods-1, 0), maxFailureDoublings), s.FailureMemory)
}

// reduce divides the share by Settings.Decrease and stops its growth for Settings.HoldTime.
func (r *Ramp) reduce(now time.Time, s Settings) {
	if s.Decrease <= 1 || !r.Active(now, s) {
		return
	}
	r.advance(now, s)
	r.share, r.growth = max(r.share/s.Decrease, s.MinShare), r.slowGrowth(now, s)
	r.growsFrom = now.Add(s.HoldTime)
}

// advance computes the share up to now.
func (r *Ramp) advance(now time.Time, s Settings) {
	r.share = r.Share(now, s)
	if now.After(r.growsFrom) {
		r.growsFrom = now
	}
}
