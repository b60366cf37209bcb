package pace

import (
	"math"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func started() (Ramp, Settings) {
	var r Ramp
	s := Default()
	r.Start(start, s, s.Duration)
	return r, s
}

// Guards against a replica that stays below its full share, or gets it at once, if nothing is
// known of how it answers.
func TestShareGrowsWithTime(t *testing.T) {
	r, s := started()
	if got := r.Share(start, s); math.Abs(got-s.InitialShare) > 1e-9 {
		t.Errorf("initial share %v", got)
	}
	if half := r.Share(start.Add(s.Duration/2), s); half < 0.5 || half > 0.6 {
		t.Errorf("share %v after half of the time", half)
	}
	if r.Active(start.Add(s.Duration), s) || r.Share(start.Add(s.Duration), s) != 1 {
		t.Error("less than the full share after the whole time")
	}
	r.Start(start, s, s.Duration/2)
	if half := r.Share(start, s); half < 0.5 || half > 0.6 {
		t.Errorf("share %v with half of the time remaining", half)
	}
	var zero Ramp
	if zero.Active(start, s) || zero.Share(start, s) != 1 {
		t.Error("a replica that has not started is limited")
	}
}

// Guards against a fast replica that is left idle.
func TestGoodAnswersMultiplyTheShare(t *testing.T) {
	r, s := started()
	for range 4 {
		r.Answered(start, s, 1)
	}
	if r.Active(start, s) {
		t.Errorf("share %v after four good answers", r.Share(start, s))
	}
}

// Guards against a slow replica that is flooded as time passes.
func TestSlowAnswersReduceTheShare(t *testing.T) {
	r, s := started()
	now := start
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		r.Answered(now, s, 5)
		if got := r.Share(now, s); got > s.InitialShare+0.1 {
			t.Fatalf("share %v after %v", got, now.Sub(start))
		}
	}
	if got := r.Share(now.Add(s.HoldTime), s); got < s.MinShare {
		t.Errorf("share %v, so that the replica cannot show that it is faster", got)
	}
}

// Guards against a replica that gets much between its failures: after each of them, good answers
// count later, also if it recovers in between.
func TestFlappingReplicaGetsLittle(t *testing.T) {
	r, s := started()
	now := start
	for period := range 8 {
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			r.Answered(now, s, 1)
		}
		if got := r.Share(now, s); period > 0 && got > 0.3 {
			t.Errorf("share %v at the end of good period %d", got, period)
		}
		r.Failed(now, s)
		now = now.Add(time.Second)
		r.Start(now, s, s.Duration)
	}
	for range 4 {
		now = now.Add(s.FailureMemory)
		r.Answered(now, s, 1)
	}
	if r.Active(now, s) {
		t.Error("the failures are never forgotten")
	}
}

// Guards against ramps that change with the answers where a fixed one is asked for.
func TestFixedRampIgnoresAnswers(t *testing.T) {
	s := Settings{Duration: 10 * time.Second, InitialShare: 0.1, MinShare: 0.05, Increase: 1, Decrease: 1}
	var r Ramp
	r.Start(start, s, s.Duration)
	r.Answered(start, s, 1)
	r.Answered(start, s, 9)
	r.Failed(start, s)
	if got := r.Share(start, s); math.Abs(got-s.InitialShare) > 1e-9 {
		t.Errorf("share %v", got)
	}
	if got := r.Share(start.Add(s.Duration/2), s); got < 0.5 || got > 0.6 {
		t.Errorf("share %v after half of the time", got)
	}
}
