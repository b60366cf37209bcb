// Package baseline follows a smoothed duration and the lowest value it had
// lately, which stands for the time that work takes without a queue. With the
// lowest single duration, durations that vary would look like a queue.
package baseline

import "time"

// Trend is a smoothed duration with its lowest value. The zero value is empty.
type Trend struct {
	smoothed       float64
	low, lowBefore float64
	since          time.Time
}

// Add takes a duration into account with a weight from 0 to 1. The lowest value
// is that of the last one to two periods of the given length.
func (t *Trend) Add(now time.Time, d time.Duration, weight float64, period time.Duration) {
	if t.smoothed == 0 {
		t.smoothed = float64(d)
	}
	t.smoothed += weight * (float64(d) - t.smoothed)
	if t.low == 0 || now.Sub(t.since) >= period {
		t.lowBefore, t.low, t.since = t.low, t.smoothed, now
	}
	t.low = min(t.low, t.smoothed)
}

// Smoothed returns the smoothed duration in nanoseconds; 0 before the first one.
func (t *Trend) Smoothed() float64 { return t.smoothed }

// Lowest returns the lowest smoothed duration in nanoseconds; 0 before the
// first one.
func (t *Trend) Lowest() float64 {
	if t.lowBefore > 0 {
		return min(t.low, t.lowBefore)
	}
	return t.low
}
