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
	// maxBits limits the recorded value to 2^26 us (67 s); longer durations count
	// into the last bucket.
	maxBits = 26
	buckets = (maxBits - subBits + 1) * subBuckets
	// windowSamples is the number of samples after which a window ends. 1,024
	// samples determine a 0.95 quantile within 1.4 percentage points (two standard
	// errors).
	windowSamples = 1024
	// windowAge is the age at which a window ends even with fewer samples, so that
	// old samples expire under low traffic.
	windowAge = 10 * time.Second
	// windowMinSamples is the minimum number of samples for windowAge to apply.
	windowMinSamples = 64
	// refreshSamples is the number of samples after which a cached value is recomputed.
	refreshSamples = 32
)

// Estimator is a histogram of the last one to two windows of samples. A window
// ends after 1,024 samples, or after 10 s if it has at least 64. The bucket width
// limits the error of a value to 1/16 of the value, or to half a microsecond
// below 8 us. The zero value is ready for use.
type Estimator struct {
	current, previous   [buckets]uint16
	nCurrent, nPrevious int
	windowStart         time.Time
	// cached is the last computed value, the quantile cachedQuantile;
	// samplesSinceCached counts the samples added since.
	cached             time.Duration
	cachedQuantile     float64
	samplesSinceCached int
}

// Add records a duration.
func (e *Estimator) Add(now time.Time, d time.Duration) {
	if e.nCurrent == 0 {
		e.windowStart = now
	}
	full := e.nCurrent >= windowSamples
	old := e.nCurrent >= windowMinSamples && now.Sub(e.windowStart) >= windowAge
	if full || old {
		e.previous, e.nPrevious = e.current, e.nCurrent
		e.current, e.nCurrent = [buckets]uint16{}, 0
		e.windowStart = now
	}
	e.current[bucketIndex(d)]++
	e.nCurrent++
	e.samplesSinceCached++
}

// Count returns the number of samples in the histogram.
func (e *Estimator) Count() int { return e.nCurrent + e.nPrevious }

// Value returns the q-quantile of the samples; 0 without samples. The result is
// cached and may lag behind by up to 32 samples.
func (e *Estimator) Value(q float64) time.Duration {
	if e.Count() == 0 {
		return 0
	}
	if e.cachedQuantile == q && e.samplesSinceCached < refreshSamples && e.Count() > refreshSamples {
		return e.cached
	}
	e.cached, e.cachedQuantile, e.samplesSinceCached = e.compute(q), q, 0
	return e.cached
}

// Preserve returns a function that undoes what calls of Value in the meantime have changed: when
// the value is computed again depends on when it was computed last. e may be nil.
func (e *Estimator) Preserve() (restore func()) {
	if e == nil {
		return func() {}
	}
	cached, quantile, samples := e.cached, e.cachedQuantile, e.samplesSinceCached
	return func() { e.cached, e.cachedQuantile, e.samplesSinceCached = cached, quantile, samples }
}

func (e *Estimator) compute(q float64) time.Duration {
	rank := int(q*float64(e.Count()) + 0.5)
	sum := 0
	for i := range e.current {
		sum += int(e.current[i]) + int(e.previous[i])
		if sum >= rank && sum > 0 {
			return midpoint(i)
		}
	}
	return midpoint(buckets - 1)
}

// bucketIndex returns the bucket of d.
func bucketIndex(d time.Duration) int {
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

// midpoint returns the duration in the middle of bucket i.
func midpoint(i int) time.Duration {
	if i < subBuckets {
		return time.Duration(i)*time.Microsecond + time.Microsecond/2
	}
	shift := i/subBuckets - 1
	low := uint64(subBuckets+i%subBuckets) << shift
	return time.Duration(low)*time.Microsecond + time.Duration(uint64(time.Microsecond)<<shift)/2
}
