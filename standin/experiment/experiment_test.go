package experiment

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/standin/load"
)

// Guards against a deployment whose shards do not cover the whole hash range, or
// whose targets hold other shards than the configuration statements say.
func TestDeploymentsAreConsistent(t *testing.T) {
	for _, d := range Deployments() {
		text := d.statements(map[string]string{})
		for i := range d.services {
			s := &d.services[i]
			next, held := uint64(0), 0
			for k := range s.shards {
				first, last := s.shardRange(k)
				if uint64(first) != next {
					t.Errorf("%s: shard %d begins at %d, want %d", s.name, k, first, next)
				}
				next = uint64(last) + 1
			}
			if !s.isWork && next != hashSpace {
				t.Errorf("%s: the shards do not cover the hash range, they end before hash %d", s.name, next)
			}
			for _, target := range d.targets(s, 0) {
				held += len(target.Shards)
				if !strings.Contains(text, "create replica "+target.Name+" of "+s.name+" ") {
					t.Errorf("no statement creates replica %s", target.Name)
				}
			}
			if held != replicasPerShard*s.shards {
				t.Errorf("%s: the targets hold %d shards, want %d", s.name, held, replicasPerShard*s.shards)
			}
		}
	}
}

// Guards against a load that is not the requested share of the capacity.
func TestRequestsFollowTheCapacity(t *testing.T) {
	for _, d := range Deployments() {
		requests, rate := d.requests(0.5, 3)
		searches := 0.0
		for _, r := range requests {
			if r.Search != nil {
				searches += r.Weight
			}
		}
		if diff := searches - 0.5*d.Capacity(); diff > 1e-6 || diff < -1e-6 {
			t.Errorf("%s: %f searches/s, want half of %f", d.Name, searches, d.Capacity())
		}
		if diff := rate - searches - workRate; diff > 1e-6 || diff < -1e-6 {
			t.Errorf("%s: %f requests/s for %f searches/s", d.Name, rate, searches)
		}
	}
}

// Guards against a misspelt name that is ignored, so that nothing is measured.
func TestUnknownNamesAreErrors(t *testing.T) {
	good := Options{Programs: "x", Directory: "x", WarmUp: 1, Measure: 1, Limit: 1, Distinct: 1}
	for _, change := range []func(*Options){
		func(o *Options) { o.Scenarios = []string{"stedy"} },
		func(o *Options) { o.Policies = []string{"none"} },
		func(o *Options) { o.Deployments = []string{"none"} },
		func(o *Options) { o.Measure = 0 },
	} {
		o := good
		change(&o)
		if _, err := Run(context.Background(), o); err == nil {
			t.Errorf("Run accepted invalid options %+v", o)
		}
	}
}

// Guards against counters that are no longer found after a change to the format
// of the metrics.
func TestParseCounters(t *testing.T) {
	got, err := parseCounters(strings.NewReader("# TYPE baobabsail_events_total counter\n" +
		"baobabsail_events_total{kind=\"sent\",node=\"entry-1\",reason=\"extra\"} 12\nbaobabsail_members{node=\"entry-1\"} 8\n"))
	if err != nil || len(got) != 1 || got["sent/extra"] != 12 {
		t.Errorf("got %v, %v", got, err)
	}
	if increase := got.since(counters{"sent/extra": 5}); increase["sent/extra"] != 7 {
		t.Errorf("increase is %v, want 7 for sent/extra", increase)
	}
}

// Guards against a reported recovery although searches of later seconds fail.
func TestRecovered(t *testing.T) {
	second := func(answered uint64) load.SecondReport { return load.SecondReport{Sent: 100, Answered: answered} }
	for _, c := range []struct {
		seconds []load.SecondReport
		want    int
	}{
		{[]load.SecondReport{second(100), second(100)}, 0},
		{[]load.SecondReport{second(50), second(99), second(100)}, 1},
		{[]load.SecondReport{second(100), second(98)}, -1},
		{nil, -1},
	} {
		if got := recoverySecond(c.seconds); got != c.want {
			t.Errorf("%v: recovery second is %d, want %d", c.seconds, got, c.want)
		}
	}
}

// Guards against a process that outlives the experiment, whether or not it exits
// on SIGTERM, and against a logged event that is not found.
func TestProcessesAreEnded(t *testing.T) {
	const script = `trap '' TERM; echo ts=1 event=listening "admin=\"a b\""; while :; do sleep 0.05; done`
	p, err := startProcess(t.TempDir(), "p", 1, "/bin/sh", "-c", script)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if found, err := p.waitForEvent(ctx, "listening"); err != nil || found["admin"] != "a b" {
		t.Errorf("got %v, %v", found, err)
	}
	p.kill()
	if _, err := p.waitForEvent(ctx, "absent"); err == nil {
		t.Error("waitForEvent returned an event that was not logged")
	}
	quick, err := startProcess(t.TempDir(), "q", 1, "/bin/sh", "-c", "exec sleep 600")
	if err != nil {
		t.Fatal(err)
	}
	stopAll([]*process{p, quick})
	select {
	case <-quick.ended:
	default:
		t.Error("stopAll returned while a process was still running")
	}
}

// Guards against cells, ratios, reasons or errors that are missing from the tables.
func TestTable(t *testing.T) {
	phase := func(p99 float64) []PhaseResult {
		return []PhaseResult{{Name: "usual", Report: &load.Report{
			Kinds:    map[load.Kind]load.KindReport{load.KindSearch: {Sent: 10, All: load.Latency{P99: p99}}},
			Coverage: &load.CoverageReport{MeanPercent: 50, WholePercent: 25},
		}, Counters: counters{"refused/overloaded": 3, "sent/first": 100}}}
	}
	r := &Result{Cells: []Cell{
		{Deployment: "d", Scenario: "s", Policy: DesignPolicy, Phases: phase(10)},
		{Deployment: "d", Scenario: "s", Policy: "wait", Phases: phase(40)},
		{Deployment: "d", Scenario: "s2", Policy: "wait", Error: "no luck"},
	}}
	var out bytes.Buffer
	if err := r.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| 40.0", "| 0.25", "overloaded 3", "d s2 wait failed: no luck"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}
