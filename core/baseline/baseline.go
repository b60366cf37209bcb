// Package baseline tracks a smoothed duration and its recent minimum, which
// estimates the time that work takes without queueing. The minimum is that of the
// smoothed duration: with the minimum of single durations as the baseline, normal
// variation would look like queueing.
package baseline

import "time"

// Trend is an exponentially smoothed duration with its recent minimum. The zero
// value is empty.
type Trend struct {
	smoothed                float64
	currentLow, previousLow float64
	periodStart             time.Time
}

// Add adds a duration to the smoothed value with a weight from 0 to 1. The
// minimum covers the last one to two periods of the given length.
func (t *Trend) Add(now time.Time, d time.Duration, weight float64, period time.Duration) {
	if t.smoothed == 0 {
		t.smoothed = float64(d)
	}
	t.smoothed += weight * (float64(d) - t.smoothed)
	if t.currentLow == 0 || now.Sub(t.periodStart) >= period {
		t.previousLow, t.currentLow, t.periodStart = t.currentLow, t.smoothed, now
	}
	t.currentLow = min(t.currentLow, t.smoothed)
}

// Smoothed returns the smoothed duration in nanoseconds; 0 before the first Add.
func (t *Trend) Smoothed() float64 { return t.smoothed }

// Lowest returns the recent minimum of the smoothed duration in nanoseconds; 0
// before the first Add.
func (t *Trend) Lowest() float64 {
	if t.previousLow > 0 {
		return min(t.currentLow, t.previousLow)
	}
	return t.currentLow
}
