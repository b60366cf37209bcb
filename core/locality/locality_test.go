package locality

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

var start = time.Unix(1_000_000, 0)

// Guards against attempts that leave the data centre although the local replica serves them
// well, and against all of them leaving at once when it does not.
func TestRemoteShare(t *testing.T) {
	cases := []struct {
		load          string
		local, remote Expected
		typical       time.Duration
		want          float64
	}{
		{"idle replicas of equal speed", Expected{20 * ms, 0, 2, 0}, Expected{20 * ms, 0, 2, 0}, 20 * ms, 0},
		{"the slowest local and the fastest remote replica", Expected{26 * ms, 0, 2, 0}, Expected{16 * ms, 0, 2, 0}, 20 * ms, 0},
		{"one of two local slots is busy", Expected{26 * ms, 1, 2, 0}, Expected{16 * ms, 0, 2, 0}, 20 * ms, 0},
		{"a remote replica that was not used for long looks fast", Expected{20 * ms, 0, 2, 0}, Expected{2 * ms, 0, 2, 0}, 20 * ms, 0},
		{"both local slots are busy", Expected{20 * ms, 2, 2, 0}, Expected{20 * ms, 0, 2, 0}, 20 * ms, 0},
		{"a queue at the local replica", Expected{20 * ms, 5, 2, 0}, Expected{20 * ms, 0, 2, 0}, 20 * ms, 0.45},
		{"queues at both", Expected{20 * ms, 5, 2, 0}, Expected{20 * ms, 5, 2, 0}, 20 * ms, 0},
		{"the local replica takes three times as long", Expected{60 * ms, 0, 2, 0}, Expected{20 * ms, 0, 2, 0}, 20 * ms, 0.45},
		{"the local replica takes ten times as long", Expected{200 * ms, 0, 2, 0}, Expected{20 * ms, 0, 2, 0}, 20 * ms, 0.9},
		{"both take ten times as long", Expected{200 * ms, 0, 2, 0}, Expected{200 * ms, 0, 2, 0}, 20 * ms, 0},
		{"one attempt at the local replica has failed", Expected{20 * ms, 0, 2, 2.5}, Expected{20 * ms, 0, 2, 1}, 20 * ms, 0.225},
		{"attempts fail at the local replica", Expected{20 * ms, 0, 2, 5}, Expected{20 * ms, 0, 2, 1}, 20 * ms, 0.9},
		{"attempts fail at both", Expected{20 * ms, 0, 2, 5}, Expected{20 * ms, 0, 2, 5}, 20 * ms, 0},
		{"nothing is known", Expected{0, 0, 2, 0}, Expected{0, 0, 2, 0}, 0, 0},
	}
	for _, c := range cases {
		if got := RemoteShare(c.local, c.remote, c.typical); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: share %.3f, want %.3f", c.load, got, c.want)
		}
	}
}

// Guards against traffic that swings between the data centres: the share that leaves a local
// replica whose latency grows with its load must settle, and be 0 again when the load is.
func TestShareSettles(t *testing.T) {
	share := 0.0
	for step := range 200 {
		demand := 1.5
		if step >= 150 {
			demand = 0.3
		}
		// A local replica at the utilization u takes 1/(1-u) of the work, at most 20 times.
		utilization := min(demand*(1-share), 0.95)
		latency := Latency{value: float64(20*ms) / (1 - utilization), at: start}
		next := RemoteShare(Expected{latency.Value(start, 20*ms), 0, 2, 0}, Expected{20 * ms, 0, 2, 0}, 20*ms)
		next = share + 0.1*(next-share) // latencies are smoothed
		if step > 100 && step < 150 && math.Abs(next-share) > 0.02 {
			t.Errorf("step %d: the share moves from %.3f to %.3f", step, share, next)
		}
		if step == 149 && (share < 0.3 || share > 0.8) {
			t.Errorf("%.2f of the traffic leaves at 1.5 times the local capacity", share)
		}
		share = next
	}
	if share > 0.02 {
		t.Errorf("%.2f of the traffic still leaves at a low load", share)
	}
}

// Guards against a hedge that crosses data centres too soon, or so late that it cannot be
// answered in time.
func TestHedgeDelay(t *testing.T) {
	cases := []struct {
		load                       string
		usual, left, typical, want time.Duration
	}{
		{"region search", 35 * ms, 184 * ms, 20 * ms, 70 * ms},
		{"urgent check, little time", 15 * ms, 51 * ms, 10 * ms, 21 * ms},
		{"less time than a hedge needs", 15 * ms, 40 * ms, 20 * ms, 15 * ms},
		{"latencies unknown", 17 * ms, 51 * ms, 0, 34 * ms},
		{"the target has passed", 2 * ms, -10 * ms, 20 * ms, 2 * ms},
	}
	for _, c := range cases {
		if got := HedgeDelay(c.usual, c.left, c.typical); got != c.want {
			t.Errorf("%s: %v, want %v", c.load, got, c.want)
		}
	}
}

// Guards against a replica that counts as slow because attempts met one pause, and against one
// that is slow but is recognized only after many attempts, of which a node sends one a second.
func TestLatencyOfAReplica(t *testing.T) {
	const typical = 20 * ms
	cases := []struct {
		load     string
		samples  []time.Duration // one a second
		min, max time.Duration
	}{
		{"the first attempt meets a pause", []time.Duration{200 * ms}, 0, 2*typical - 1},
		{"one of many attempts meets a pause", []time.Duration{20 * ms, 20 * ms, 200 * ms, 20 * ms}, 0, 2*typical - 1},
		{"two pauses between usual attempts", []time.Duration{200 * ms, 20 * ms, 200 * ms, 20 * ms}, 0, 2*typical - 1},
		{"five times as slow", []time.Duration{20 * ms, 20 * ms, 100 * ms, 100 * ms}, 3 * typical, 5 * typical},
		{"slow, then recovered", []time.Duration{100 * ms, 100 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms}, 0, 2*typical - 1},
	}
	for _, c := range cases {
		var l Latency
		now := start
		for _, s := range c.samples {
			now = now.Add(time.Second)
			l.Observe(now, s, typical)
		}
		if got := l.Value(now, typical); got < c.min || got > c.max {
			t.Errorf("%s: %v, want %v to %v", c.load, got, c.min, c.max)
		}
	}
	var l Latency
	for range 4 { // attempts that wait for the end of the same pause
		l.Observe(start, 150*ms, typical)
	}
	if got := l.Value(start, typical); got >= 2*typical {
		t.Errorf("four attempts in one pause make the replica look slow: %v", got)
	}
	l = Latency{value: float64(200 * ms), at: start}
	if got := l.Value(start.Add(30*time.Second), typical); got >= 2*typical {
		t.Errorf("a replica that was slow 30 s ago is expected to take %v", got)
	}
}
