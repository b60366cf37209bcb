// Package quantile estimates quantiles of recent durations in bounded memory.
package quantile

import (
	"math/bits"
	"time"
)

const (
	// subBuckets is the number of linear buckets per power of two.
	subBuckets = 8
	// subBits is the number of bits that select a bucket within a power of two.
	subBits = 3
	// maxBits bounds the recorded value to 2^26 us (67 s); longer ones count as that.
	maxBits = 26
	buckets = (maxBits - subBits + 1) * subBuckets
	// windowSamples closes a window; 1,024 samples place a 0.95 quantile within
	// 1.4 percentage points (two standard errors).
	windowSamples = 1024
	// windowAge closes a window early, so that an estimate forgets under low traffic.
	windowAge = 10 * time.Second
	// windowMin is the smallest number of samples for which windowAge applies.
	windowMin = 64
	// refresh is the number of samples after which a cached value is recomputed.
	refresh = 32
)

// Estimate is a histogram of the last one to two windows of samples. A window
// ends after 1,024 samples, or after 10 s if it has at least 64. A value is off
// by at most 1/16 of itself through the bucket's width, or by half a
// microsecond below 8 us. The zero value is ready for use.
type Estimate struct {
	current, previous   [buckets]uint16
	nCurrent, nPrevious int
	started             time.Time
	// cached is the last computed value for cachedFor, valid for stale samples.
	cached    time.Duration
	cachedFor float64
	stale     int
}

// Add records a duration.
func (e *Estimate) Add(now time.Time, d time.Duration) {
	if e.nCurrent == 0 {
		e.started = now
	}
	full := e.nCurrent >= windowSamples
	old := e.nCurrent >= windowMin && now.Sub(e.started) >= windowAge
	if full || old {
		e.previous, e.nPrevious = e.current, e.nCurrent
		e.current, e.nCurrent = [buckets]uint16{}, 0
		e.started = now
	}
	e.current[index(d)]++
	e.nCurrent++
	e.stale++
}

// Count returns the number of samples that the estimate rests on.
func (e *Estimate) Count() int { return e.nCurrent + e.nPrevious }

// Value returns the duration below which the share q of the samples lies; 0
// without samples. It may lag by 32 samples.
func (e *Estimate) Value(q float64) time.Duration {
	if e.Count() == 0 {
		return 0
	}
	if e.cachedFor == q && e.stale < refresh && e.Count() > refresh {
		return e.cached
	}
	e.cached, e.cachedFor, e.stale = e.compute(q), q, 0
	return e.cached
}

func (e *Estimate) compute(q float64) time.Duration {
	want := int(q*float64(e.Count()) + 0.5)
	sum := 0
	for i := range e.current {
		sum += int(e.current[i]) + int(e.previous[i])
		if sum >= want && sum > 0 {
			return middle(i)
		}
	}
	return middle(buckets - 1)
}

// index returns the bucket of d.
func index(d time.Duration) int {
	us := uint64(max(d, 0) / time.Microsecond)
	if us < subBuckets {
		return int(us)
	}
	n := bits.Len64(us)
	if n > maxBits {
		return buckets - 1
	}
	return (n-subBits)*subBuckets + int(us>>(n-1-subBits)) - subBuckets
}

// middle returns the duration in the middle of bucket i.
func middle(i int) time.Duration {
	if i < subBuckets {
		return time.Duration(i)*time.Microsecond + time.Microsecond/2
	}
	shift := i/subBuckets - 1
	low := uint64(subBuckets+i%subBuckets) << shift
	return time.Duration(low)*time.Microsecond + time.Duration(uint64(time.Microsecond)<<shift)/2
}
