// Package locality decides when an attempt leaves the data centre of its node, for services
// with replicas both there and elsewhere. Traffic between data centres costs money, so a
// remote replica is used only if the local ones cannot serve the attempt well.
package locality

import (
	"math"
	"time"
)

const (
	// spillRatio is the expected wait at the local replica, as a multiple of that at the
	// remote one, up to which every attempt stays. Replicas of one shard differ in speed by
	// up to 1.6 (0.8 to 1.3), which alone must not move traffic.
	spillRatio = 2.0
	// fullSpillRatio is the ratio at which maxRemoteShare is reached. The share grows linearly
	// in between: the local replicas get faster as traffic leaves, so the share settles where
	// both balance, instead of all traffic moving there and back.
	fullSpillRatio = 4.0
	// maxRemoteShare leaves some attempts at a slow local replica, which show when it
	// recovers.
	maxRemoteShare = 0.9
	// remoteHedgeFactor times the usual hedge delay is how long an attempt at a local replica
	// may take before a hedge crosses data centres. Most attempts that exceed the usual delay
	// (the 0.93 quantile) end soon after it; one that takes twice as long is at a replica that
	// has paused.
	remoteHedgeFactor = 2
	// hedgeReserve times the typical latency is left to the remote hedge before the answer is
	// due, also if that shortens the delay.
	hedgeReserve = 3
	// sampleWeight is the weight of a new sample in a Latency. A sample of more than
	// maxSampleRatio times the estimate is long and limited to that: an attempt that met a
	// pause takes ten times as long, and must not make its replica look slow. The second long
	// sample in a row shows that the replica is slow; it gets longWeight, since a node may
	// send a replica only one attempt a second.
	sampleWeight   = 0.2
	maxSampleRatio = 2
	longWeight     = 0.6
	// staleAfter is the age after which a Latency approaches the typical one, with a half-life
	// of staleHalfLife, so that a replica that was slow is tried again.
	staleAfter    = time.Second
	staleHalfLife = 5 * time.Second
)

// Latency is a smoothed latency of one replica in which single long samples count little. The
// zero value is ready for use.
type Latency struct {
	// value is the smoothed latency in nanoseconds at the time at; 0 before the first sample.
	value float64
	at    time.Time
	// long is the last sample, in nanoseconds, if it was long, and longAt when it was observed.
	long   float64
	longAt time.Time
}

// Observe adds the latency of an attempt. The estimate starts at what an attempt takes at most
// replicas, so that a first attempt that meets a pause counts little as well; nothing is recorded
// while that is unknown.
func (l *Latency) Observe(now time.Time, sample, typical time.Duration) {
	if typical == 0 {
		return
	}
	l.value = float64(l.Value(now, typical))
	l.at = now
	took, limit := float64(sample), maxSampleRatio*l.value
	switch {
	case took <= limit:
		l.value += sampleWeight * (took - l.value)
		l.long = 0
		return
	case l.long == 0:
		l.value += sampleWeight * (limit - l.value)
	case now.Add(-sample).Before(l.longAt):
		return // sent before the previous long sample was observed: it met the same pause
	default:
		l.value += longWeight * (min(took, l.long) - l.value)
	}
	l.long, l.longAt = took, now
}

// LastLong reports whether the last sample was long: the replica paused, or has become slow.
func (l *Latency) LastLong() bool { return l != nil && l.long != 0 }

// Value returns the expected latency: the smoothed one, which approaches the typical one as it
// gets old, or the typical one before the first sample.
func (l *Latency) Value(now time.Time, typical time.Duration) time.Duration {
	if l == nil || l.value == 0 {
		return typical
	}
	excess := l.value - float64(typical)
	if age := now.Sub(l.at) - staleAfter; age > 0 && excess > 0 {
		excess *= math.Exp2(-float64(age) / float64(staleHalfLife))
	}
	return typical + time.Duration(excess)
}

// Expected is what a node expects of a replica.
type Expected struct {
	// Latency is the expected time of an attempt while no other is in flight.
	Latency time.Duration
	// InFlight is the number of attempts that this node has in flight there, and Slots how many
	// the replica runs at a time.
	InFlight, Slots int
	// FailureFactor is above 1 if attempts failed recently; 0 means 1.
	FailureFactor float64
}

// wait returns the expected time of one more attempt, in nanoseconds. An attempt that finds a free slot does
// not wait for those in the other slots.
func (x Expected) wait() float64 {
	return float64(x.Latency) * max(1, float64(x.InFlight+1)/float64(max(x.Slots, 1))) * max(1, x.FailureFactor)
}

// RemoteShare returns the share of the attempts that should go to the remote replica although
// the local one is usable. typical is what an attempt takes at most replicas: a remote replica
// that is rarely used does not count as faster than that. It is 0 while it is unknown.
func RemoteShare(local, remote Expected, typical time.Duration) float64 {
	if typical == 0 {
		return 0
	}
	remote.Latency = max(remote.Latency, typical)
	ratio := local.wait() / remote.wait()
	share := (ratio - spillRatio) / (fullSpillRatio - spillRatio) * maxRemoteShare
	return min(max(share, 0), maxRemoteShare)
}

// HedgeDelay returns how long after an attempt at a local replica a hedge may go to a remote
// one. usual is the hedge delay within the data centre, remaining the time from the attempt
// until its answer is due, and typical what an attempt takes at most replicas.
func HedgeDelay(usual, remaining, typical time.Duration) time.Duration {
	return max(usual, min(remoteHedgeFactor*usual, remaining-hedgeReserve*typical))
}
