package testbed

import (
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// Guards against a run that depends on anything but its seed and its faults,
// and against a fault that has no effect.
func TestSameSeedSameRun(t *testing.T) {
	trace := func(f Fault, step int) uint64 {
		s := NewScenario(7)
		s.Sim.Hashing = true
		for range step {
			s.Sim.Step()
		}
		s.Inject(f)
		s.Finish()
		return s.Sim.Hash()
	}
	for _, f := range Faults() {
		differs := false
		for _, step := range []int{20, 45} {
			a, b := trace(f, step), trace(f, step)
			if a != b {
				t.Errorf("%s at step %d: two runs with the same seed differ", f.Name, step)
			}
			differs = differs || a != trace(Fault{SettlesAfter: f.SettlesAfter, Inject: func(*Simulation) {}}, step)
		}
		if !differs {
			t.Errorf("%s has no effect on the run", f.Name)
		}
	}
}

// Guards against a base run in which requests go unanswered or nothing happens. A
// run without requests would keep every promise.
func TestBaseRunAnswersEverything(t *testing.T) {
	s := NewScenario(3)
	s.settledAt, s.promise = s.Sim.Now(), "base"
	if found := s.Finish(); len(found) > 0 {
		t.Fatal(found)
	}
	trace := &s.Sim.Trace
	answered, replayed, accepted := 0, 0, 0
	for _, r := range trace.Requests {
		if len(r.Answers) == 1 && r.Answers[0].Outcome == api.Answered {
			answered++
			if r.Answers[0].Replayed {
				replayed++
			}
		}
	}
	for _, c := range trace.Changes {
		if c.Outcome == event.ChangeAccepted {
			accepted++
		}
	}
	if answered != len(trace.Requests) || answered < 35 || replayed < 3 || accepted != 2 {
		t.Fatalf("%d requests, %d answered, %d replayed, %d changes accepted", len(trace.Requests), answered, replayed, accepted)
	}
}

// validTrace returns a trace without violations. It has one search that covers two
// of three shards, one work order and one change.
func validTrace() *Trace {
	doc := Document()
	at := func(ms int) time.Time { return Start.Add(time.Duration(ms) * time.Millisecond) }
	snap := api.Snapshot{Epoch: 1, Version: 1}
	q := api.Query{Service: Readings, Conditions: []api.Condition{{Field: "tag", Value: "q1"}}, OrderBy: "n", Limit: 4}
	rows, more := answerRows(q, []api.ShardName{"a", "b"}, snap)
	search := &Request{ID: 0, Life: 1, Tag: "q1", Query: q, At: at(0), Deadline: at(100), Answers: []Answer{{
		At: at(50), Outcome: api.Answered, Search: &api.SearchAnswer{
			Outcome: api.Answered, Rows: rows, LimitReached: more, Coverage: api.Coverage{
				Snapshot: snap, Covered: []api.ShardName{"a", "b"}, Share: 666_666,
				Missing: []api.MissingShard{{Shard: "c", Reason: api.ReasonDeadline}},
			},
		},
	}}}
	work := &Request{ID: 1, Life: 1, Work: true, Tag: "k1", Payload: "p", At: at(0), Deadline: at(100), Answers: []Answer{{
		At: at(50), Outcome: api.Answered, Result: []byte("done k1"),
	}}}
	execution := func(tag string, shard api.ShardName, ms int) *Execution {
		return &Execution{Replica: "r1", Incarnation: 1, Life: 1, Tag: tag, Work: shard == "", Shard: shard, Snapshot: snap, Received: at(ms), Started: at(ms)}
	}
	pos := config.Position{Generation: 1, Revision: 1}
	return &Trace{
		Requests:   []*Request{search, work},
		Executions: []*Execution{execution("q1", "a", 5), execution("q1", "b", 5), execution("k1", "", 6)},
		Documents:  []StoredDocument{{At: Start, Doc: doc}},
		Adoptions:  []Adoption{{At: at(1), Life: 1, Position: pos}},
		Changes:    []*Change{{Life: 1, At: at(0), AnsweredAt: at(1), Outcome: event.ChangeAccepted, ID: "first", Revision: 1}},
		Hosts:      1, End: at(10_000),
	}
}

// Guards against an oracle that accepts a broken promise.
func TestOracleRejects(t *testing.T) {
	if found := Check(validTrace()); len(found) > 0 {
		t.Fatalf("the valid trace is rejected: %v", found)
	}
	answer := func(tr *Trace) *api.SearchAnswer { return tr.Requests[0].Answers[0].Search }
	again := func(tr *Trace, i int, change func(r *Execution)) {
		r := *tr.Executions[i]
		change(&r)
		tr.Executions = append(tr.Executions, &r)
	}
	for _, c := range []struct {
		promise, text string
		corrupt       func(tr *Trace)
	}{
		{"P1", "has epoch and version", func(tr *Trace) { answer(tr).Rows[1].Fields[2].Value = "2" }},
		{"P1", "has epoch and version", func(tr *Trace) { answer(tr).Rows[0].Fields[1].Value = "9" }},
		{"P2", "names the shards", func(tr *Trace) { answer(tr).Coverage.Missing = nil }},
		{"P2", "names the shards", func(tr *Trace) { answer(tr).Coverage.Covered = append(answer(tr).Coverage.Covered, "c") }},
		{"P2", "share", func(tr *Trace) { answer(tr).Coverage.Share = api.Whole }},
		{"P2", "without a reason", func(tr *Trace) { answer(tr).Coverage.Missing[0].Reason = "" }},
		{"P2", "does not exist", func(tr *Trace) { answer(tr).Coverage.Snapshot.Epoch = 5 }},
		{"P3", "rows are not", func(tr *Trace) { answer(tr).Rows = answer(tr).Rows[:3] }},
		{"P3", "a row for", func(tr *Trace) { answer(tr).Rows[0].Fields[3].Value = "q2" }},
		{"P3", "limit reached", func(tr *Trace) { answer(tr).LimitReached = false }},
		{"P3", "2 answers", func(tr *Trace) {
			tr.Requests[1].Answers = append(tr.Requests[1].Answers, tr.Requests[1].Answers[0])
		}},
		{"P3", "got the result", func(tr *Trace) { tr.Requests[1].Answers[0].Result = []byte("done k2") }},
		{"P4", "and runs at", func(tr *Trace) {
			tr.Requests[1].Answers[0] = Answer{At: Start, Outcome: api.NotRun, RetryAfter: 1}
		}},
		{"P4", "and runs at", func(tr *Trace) {
			tr.Requests[0].Answers[0] = Answer{At: Start, Outcome: api.NotRun, RetryAfter: 1}
		}},
		{"P4", "no caller requested", func(tr *Trace) { tr.Executions[0].Tag = "q9" }},
		{"P5", "work order k1 runs", func(tr *Trace) { again(tr, 2, func(r *Execution) { r.Replica = "r2" }) }},
		{"P6", "first sign", func(tr *Trace) {
			tr.DrainSignals = []DrainSignal{{Replica: "r1", Incarnation: 1, At: Start}}
			again(tr, 0, func(r *Execution) { r.Received = Start.Add(3100 * time.Millisecond) })
		}},
		{"P6", "first sign", func(tr *Trace) {
			tr.DrainSignals = []DrainSignal{{Replica: "r1", Incarnation: 1, At: Start, Cut: true, Host: tr.Executions[0].Host}}
			again(tr, 0, func(r *Execution) { r.Received = Start.Add(3100 * time.Millisecond) })
		}},
		{"P8", "not in the store", func(tr *Trace) { tr.Changes[0].ID = "lost" }},
		{"P8", "goes from", func(tr *Trace) { tr.Adoptions = append(tr.Adoptions, Adoption{Life: 1}) }},
		{"P8", "not in force", func(tr *Trace) { tr.Changes[0].Revision = 2 }},
		{"P9", "takes down", func(tr *Trace) {
			for i := range 3 {
				again(tr, 0, func(r *Execution) { r.Crashed, r.Incarnation = true, api.Incarnation(i) })
			}
		}},
		{"P9", "should be refused", func(tr *Trace) { tr.Requests[0].RequireRefused = "P9" }},
		{"P9", "should be refused", func(tr *Trace) {
			for i := range 2 {
				again(tr, 0, func(r *Execution) { r.Crashed, r.Incarnation = true, api.Incarnation(i) })
			}
			again := *tr.Requests[0]
			again.At, again.Deadline, again.RequireRefused = Start.Add(3*time.Second), Start.Add(4*time.Second), "P9"
			again.Answers = []Answer{{At: again.At, Outcome: api.NotRun, Reason: api.ReasonNoConnection, RetryAfter: 1}}
			tr.Requests = append(tr.Requests, &again)
		}},
		{"P10", "not answered in full", func(tr *Trace) { tr.Requests[0].RequireFull = "P10" }},
		{"P10", "does not replace", func(tr *Trace) {
			tr.SilentConns = []*SilentConn{{Start, 0, "r2", Start.Add(time.Second)}}
			tr.Dials = []Dial{{Start.Add(3100 * time.Millisecond), 0, "r2"}}
		}},
		{"P11", "extra attempts", func(tr *Trace) {
			for range 5 {
				again(tr, 0, func(*Execution) {})
			}
		}},
		{"final", "has no answer", func(tr *Trace) { tr.Requests[0].Answers = nil }},
		{"final", "after its deadline", func(tr *Trace) { tr.Requests[0].Answers[0].At = Start.Add(200 * time.Millisecond) }},
		{"final", "without a retry time", func(tr *Trace) { tr.Requests[0].Answers[0] = Answer{At: Start, Outcome: api.NotRun} }},
		{"final", "the change", func(tr *Trace) { tr.Changes[0].Outcome = 0 }},
		{"P7", "in flight", func(tr *Trace) { tr.recordViolation("P7", "node stopped with request 1 in flight") }},
	} {
		tr := validTrace()
		c.corrupt(tr)
		detected := false
		for _, v := range Check(tr) {
			detected = detected || v.Promise == c.promise && strings.Contains(v.Detail, c.text)
		}
		if !detected {
			t.Errorf("%s (%s) is not detected: %v", c.promise, c.text, Check(tr))
		}
	}
}
