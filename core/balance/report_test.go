package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// reporting returns one balancer for each of the given number of nodes, with three equal replicas of
// two slots whose latency is known.
func reporting(nodes int) []*Replicas {
	var out []*Replicas
	for n := range nodes {
		r := New(rand.New(rand.NewPCG(uint64(n), 1)), "dc-a")
		for i := range 3 {
			r.Set(start, name(i), Spec{Address: string(name(i)), DataCentre: "dc-a", Slots: 2})
			r.Sent(start, name(i))
			r.Done(start, name(i), api.TargetOK, 15*time.Millisecond, api.TargetLoad{})
		}
		out = append(out, r)
	}
	return out
}

// threeNames are the candidates of these tests.
var threeNames = []api.ReplicaName{name(0), name(1), name(2)}

// pickShares returns the share of each replica in one pick of each node at a time.
func pickShares(t *testing.T, now time.Time, nodes []*Replicas) map[api.ReplicaName]float64 {
	t.Helper()
	shares := map[api.ReplicaName]float64{}
	for _, r := range nodes {
		picked, ok := r.Pick(now, threeNames, nil)
		if !ok {
			t.Fatal("nothing is picked")
		}
		shares[picked] += 1 / float64(len(nodes))
	}
	return shares
}

// naivePick returns the candidate that last reported the lowest load, as a choice by the report
// alone does.
func naivePick(waits map[api.ReplicaName]float64) api.ReplicaName {
	best := threeNames[0]
	for _, n := range threeNames[1:] {
		if waits[n] < waits[best] {
			best = n
		}
	}
	return best
}

// Guards against nodes that all send to the replica that last looked idle, against a false report
// that draws or repels more than a bounded share, and against one that is believed for long. A
// replica may draw at most what it would get with one of the other two gone, a half, and keeps at
// least a quarter of its third.
func TestReportsDrawAndRepelABoundedShare(t *testing.T) {
	const nodes, sampling = 3000, 0.04 // 0.04 is over four standard deviations of a share
	idle, busy := Report{Slots: 2, DurationPercent: 100}, Report{Running: 2, Waiting: 4, Slots: 2, DurationPercent: 100}
	usual := Report{Running: 1, Slots: 2, DurationPercent: 100}
	for what, c := range map[string]struct {
		first, others   Report
		age             time.Duration
		lowest, highest float64 // of the share of the first replica
	}{
		"equal reports":                    {usual, usual, 0, 1. / 3, 1. / 3},
		"idle, others busy":                {idle, busy, 0, 0.40, 0.5},
		"falsely idle, others usual":       {idle, usual, 0, 1. / 3, 0.5},
		"busy, others idle":                {busy, idle, 0, 0.25 / 3, 0.25},
		"falsely busy, in millions":        {Report{Running: 1e6, Waiting: 1e6, Slots: 1, DurationPercent: 1e6}, idle, 0, 0.25 / 3, 0.3},
		"falsely fast":                     {Report{Running: 2, Waiting: 4, Slots: 2, DurationPercent: 1e-9}, busy, 0, 1. / 3, 0.5},
		"falsely many slots":               {Report{Running: 2, Waiting: 4, Slots: 1e6, DurationPercent: 100}, busy, 0, 1. / 3, 0.5},
		"slow pace, others as usual":       {Report{Running: 2, Slots: 2, DurationPercent: 400}, Report{Running: 2, Slots: 2, DurationPercent: 100}, 0, 0.25 / 3, 0.30},
		"busy, at the age of 3 half-lives": {busy, idle, 3 * loadHalfLife, 0.26, 1. / 3},
		"busy, outdated":                   {busy, idle, maxReportAge * loadHalfLife, 1. / 3, 1. / 3},
		"idle, outdated":                   {idle, busy, maxReportAge * loadHalfLife, 1. / 3, 1. / 3},
	} {
		all := reporting(nodes)
		for _, r := range all {
			r.ObserveReport(start, name(0), c.first)
			r.ObserveReport(start, name(1), c.others)
			r.ObserveReport(start, name(2), c.others)
		}
		got := pickShares(t, start.Add(c.age), all)[name(0)]
		if got < c.lowest-sampling || got > c.highest+sampling {
			t.Errorf("%s: a share of %.3f, want %.3f to %.3f", what, got, c.lowest, c.highest)
		}
	}
	if naivePick(map[api.ReplicaName]float64{name(0): 0, name(1): 3, name(2): 3}) != name(0) {
		t.Error("a choice by the report alone does not show the fault")
	}
}

// Guards against replicas that report nothing and are avoided or preferred for it, and against a
// single report that is compared with nothing.
func TestReplicasWithoutReportsKeepTheirShare(t *testing.T) {
	const sampling = 0.04
	for _, report := range []Report{{Slots: 2, DurationPercent: 100}, {Running: 2, Waiting: 9, Slots: 2, DurationPercent: 100}} {
		all := reporting(3000)
		for _, r := range all {
			r.ObserveReport(start, name(0), report)
		}
		if got := pickShares(t, start, all)[name(0)]; got < 1./3-sampling || got > 1./3+sampling {
			t.Errorf("report %+v: a share of %.3f, want a third", report, got)
		}
	}
}

// Guards against counting this node's own attempts twice, in the report and as attempts in flight.
func TestOwnAttemptsAreNotCountedTwice(t *testing.T) {
	r := reporting(1)[0]
	for range 3 {
		r.Sent(start, name(0))
	}
	r.ObserveReport(start, name(0), Report{Running: 2, Waiting: 1, Slots: 2, DurationPercent: 100})
	r.ObserveReport(start, name(1), Report{Slots: 2, DurationPercent: 100})
	if got := r.replicas[name(0)].reportedWait; got != 0 {
		t.Errorf("a wait of %v of others, want 0", got)
	}
}

// herdSlots are the slots of a replica in herd: enough for many requests between two reports.
const herdSlots = 8

// herd simulates nodes that send requests to three replicas of herdSlots slots, which are used to
// three quarters, and learn their load from the answers, 5 ms after they left. choose picks the
// replica. It returns the mean time to an answer, and the largest share that a replica has in the
// requests of 10 ms, as a mean over these spans.
func herd(nodes int, choose func(node int, now time.Time) int, learn func(node int, now time.Time, replica int, report Report)) (mean time.Duration, peak float64) {
	const work, gap, transit = 15 * time.Millisecond, 830 * time.Microsecond, 5 * time.Millisecond
	const total, span = 10000, 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(7, 7))
	var free [3][herdSlots]time.Time // when each slot of each replica is free
	type reply struct {
		sent, at      time.Time
		node, replica int
	}
	var replies []reply
	var sum time.Duration
	spans, counts, spanEnd := 0, [3]int{}, start.Add(span)
	now := start
	for range total {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(gap)))
		kept := replies[:0]
		for _, r := range replies {
			if r.at.After(now) {
				kept = append(kept, r)
				continue
			}
			report := Report{Slots: herdSlots, DurationPercent: 100}
			for _, other := range replies {
				if left := r.at.Add(-transit); other.replica == r.replica && other.sent.Before(left) && other.at.After(r.at) {
					report.Running++
				}
			}
			if report.Running > herdSlots {
				report.Running, report.Waiting = herdSlots, report.Running-herdSlots
			}
			learn(r.node, now, r.replica, report)
		}
		replies = kept
		if now.After(spanEnd) {
			if n := counts[0] + counts[1] + counts[2]; n >= 4 {
				peak += float64(max(counts[0], counts[1], counts[2])) / float64(n)
				spans++
			}
			counts, spanEnd = [3]int{}, now.Add(span)
		}
		node := rng.IntN(nodes)
		replica := choose(node, now)
		counts[replica]++
		slot := 0
		for i := range free[replica] {
			if free[replica][i].Before(free[replica][slot]) {
				slot = i
			}
		}
		begin := free[replica][slot]
		if begin.Before(now) {
			begin = now
		}
		end := begin.Add(time.Duration(float64(work) * (0.5 + rng.Float64())))
		free[replica][slot] = end
		sum += end.Sub(now)
		replies = append(replies, reply{sent: now, at: end.Add(transit), node: node, replica: replica})
	}
	return sum / total, peak / float64(spans)
}

// Guards against herds in the course of time: 100 nodes with few requests each, which a choice by
// the last report alone sends to one replica after the other. The reports must not make the choice
// worse than none do.
func TestManyNodesDoNotFormHerds(t *testing.T) {
	const nodes = 100
	// The reports are shared, as if each node had heard the newest: the worst case for herds.
	run := func(withReports bool) (time.Duration, float64) {
		all := reporting(nodes)
		index := map[api.ReplicaName]int{name(0): 0, name(1): 1, name(2): 2}
		return herd(nodes, func(node int, now time.Time) int {
			picked, _ := all[node].Pick(now, threeNames, nil)
			return index[picked]
		}, func(_ int, now time.Time, replica int, report Report) {
			if !withReports {
				return
			}
			for _, r := range all {
				r.ObserveReport(now, name(replica), report)
			}
		})
	}
	waits := map[api.ReplicaName]float64{}
	naive, naivePeak := herd(nodes, func(int, time.Time) int {
		best := naivePick(waits)
		for i, n := range threeNames {
			if n == best {
				return i
			}
		}
		return 0
	}, func(_ int, _ time.Time, replica int, report Report) {
		waits[name(replica)] = (report.Running + report.Waiting) / report.Slots
	})
	without, withoutPeak := run(false)
	with, withPeak := run(true)
	t.Logf("by the last report alone: %v, peak share %.2f; without reports: %v, %.2f; with: %v, %.2f",
		naive, naivePeak, without, withoutPeak, with, withPeak)
	if naivePeak < withoutPeak+0.1 {
		t.Errorf("a choice by the last report alone has a peak share of %.2f: the simulation does not show herds", naivePeak)
	}
	if with > without {
		t.Errorf("requests take %v with reports, %v without", with, without)
	}
	if withPeak > withoutPeak+0.05 {
		t.Errorf("a peak share of %.2f with reports, %.2f without", withPeak, withoutPeak)
	}
}
