package operatorhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/node"
	"github.com/baobabsail/baobabsail/entry/driver"
)

// fakeNode implements both Node and driver.Node. It returns the fields doc, change
// and search, and records the last change request in arrived.
type fakeNode struct {
	doc     *config.Document
	change  event.AnswerChange
	arrived event.ChangeArrived
	search  api.SearchAnswer
}

func (f *fakeNode) Search(context.Context, api.CallerID, api.Search, time.Time) api.SearchAnswer {
	return f.search
}
func (f *fakeNode) Change(_ context.Context, c event.ChangeArrived) event.AnswerChange {
	f.arrived = c
	return f.change
}
func (f *fakeNode) Inspect(_ context.Context, g func(driver.Node, time.Time)) error {
	g(f, time.Unix(0, 0))
	return nil
}
func (f *fakeNode) Step(time.Time, event.Event) []event.Action { return nil }
func (f *fakeNode) NextTick() time.Time                        { return time.Time{} }
func (f *fakeNode) Counts() *count.Set                         { return count.NewSet() }
func (f *fakeNode) Document() *config.Document                 { return f.doc }
func (f *fakeNode) NotReady(time.Time) api.Reason              { return api.ReasonNone }
func (f *fakeNode) Status(time.Time) node.Status {
	return node.Status{Name: "n", Replicas: []node.ReplicaStatus{{Name: "r1", Usable: true, Latency: time.Millisecond}}}
}
func (f *fakeNode) Explain(time.Time, api.Search) node.Plan {
	return node.Plan{Expected: 500_000, Shards: []node.PlanShard{{Shard: "s0", Replicas: []api.ReplicaName{"r1"}}, {Shard: "s1", Missing: api.ReasonNoReplica}}}
}

// document returns a configuration with one service, one replica and a history of
// two changes.
func document() *config.Document {
	return &config.Document{
		Revision: 4,
		Services: map[api.ServiceName]*config.Service{"tickets": {
			Kind: config.KindSearch, Rule: config.DefaultRule(config.KindSearch),
			Maps: []config.PartitionMap{{Epoch: 2, Shards: []config.Shard{{Name: "s0", Last: 4294967295, Replicas: []api.ReplicaName{"r1"}}}}},
		}},
		Replicas: map[api.ReplicaName]*config.Replica{"r1": {Service: "tickets", Address: "10.0.0.1:1"}},
		History:  []config.Change{{Revision: 3, Who: "a"}, {Revision: 4, Who: "b", Text: "drain replica r1"}},
	}
}

// post sends body as JSON to POST /v1/statements and returns the status and the
// decoded answer.
func post(t *testing.T, f *fakeNode, body any) (int, Answer) {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequest(http.MethodPost, "/v1/statements", strings.NewReader(string(text)))
	r.Header.Set("Content-Type", "application/json; charset=utf-8")
	w := httptest.NewRecorder()
	New(Config{Node: f, Metrics: http.NotFoundHandler(), MaxBodyBytes: 1000}).ServeHTTP(w, r)
	var answer Answer
	if err := json.Unmarshal(w.Body.Bytes(), &answer); err != nil {
		t.Fatalf("decoding failed: %v; body %s", err, w.Body)
	}
	return w.Code, answer
}

// Guards against outcomes of changes that share an HTTP status: an operator's tool
// must be able to tell "unknown" from "refused". Also checks that the reason and
// the revision in the text reach the node.
func TestOutcomesOfChanges(t *testing.T) {
	winner := &config.Change{ID: "c9", Revision: 9, Who: "eve", Why: "CHG-2"}
	cases := []struct {
		got     event.AnswerChange
		status  int
		outcome Outcome
	}{
		{event.AnswerChange{Outcome: event.ChangeAccepted, ID: "c1", Revision: 5}, 200, OK},
		{event.AnswerChange{Outcome: event.ChangeInvalid, Message: "replica r9 does not exist"}, 400, Invalid},
		{event.AnswerChange{Outcome: event.ChangeConflict, Winner: winner}, 409, Conflict},
		{event.AnswerChange{Outcome: event.ChangeRefused, Reason: api.ReasonStoreUnavailable}, 503, Refused},
		{event.AnswerChange{Outcome: event.ChangeUnknown}, 504, Unknown},
	}
	for _, c := range cases {
		f := &fakeNode{change: c.got}
		status, answer := post(t, f, Request{Text: `expect revision 4 because "CHG-1" drain replica r1`, Who: "ann", Why: "unused"})
		if status != c.status || answer.Outcome != c.outcome || answer.Message != c.got.Message || answer.Results[0].Change.Revision != c.got.Revision {
			t.Errorf("%+v: got status %d, answer %+v", c.got, status, answer)
		}
		if a := f.arrived; a.Who != "ann" || a.Why != "CHG-1" || *a.Expected != 4 || len(a.Ops) != 1 {
			t.Errorf("the node received %+v", a)
		}
		if w := answer.Results[0].Change.Winner; (w != nil) != (c.got.Winner != nil) || w != nil && w.Who != "eve" {
			t.Errorf("winner in the answer: %+v", w)
		}
	}
}

// Guards against invalid requests that reach the node or get the wrong HTTP status.
func TestInvalidRequestsDoNotReachNode(t *testing.T) {
	cases := []struct {
		request any
		status  int
		message string
	}{
		{Request{Text: "drain replica r1", Why: "w"}, 400, "who is missing"},
		{Request{Text: "drain replica r1", Who: "w"}, 400, "needs a reason"},
		{Request{Text: "drain\nreplicas", Who: "w"}, 400, "line 2"},
		{map[string]any{"txt": ""}, 400, `unknown field "txt"`},
		{Request{Text: strings.Repeat(" ", 2000)}, 413, "too large"},
	}
	for _, c := range cases {
		f := &fakeNode{}
		status, answer := post(t, f, c.request)
		if status != c.status || answer.Outcome != Invalid || !strings.Contains(answer.Message, c.message) || f.arrived.Ops != nil {
			t.Errorf("%v: got status %d, answer %+v", c.request, status, answer)
		}
	}
	w := httptest.NewRecorder()
	New(Config{Node: &fakeNode{}, Metrics: http.NotFoundHandler()}).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/statements", strings.NewReader("{}")))
	if w.Code != http.StatusUnsupportedMediaType {
		t.Errorf("without a content type: got status %d, want 415", w.Code)
	}
}

// Guards against wrong tables and coverage in the results of searches and reports,
// and against a failed statement that hides the results of the others.
func TestReports(t *testing.T) {
	f := &fakeNode{doc: document(), search: api.SearchAnswer{
		Outcome:  api.Answered,
		Rows:     []api.Row{{Key: "a", Fields: []api.Field{{Name: "x", Value: "1"}}}, {Key: "b", Fields: []api.Field{{Name: "y", Value: "2"}}}},
		Coverage: api.Coverage{Share: 500_000, Missing: []api.MissingShard{{Shard: "s1", Reason: api.ReasonDeadline}}},
	}}
	text := `search tickets; explain search tickets; show services; show replicas of tickets;
		show shards of tickets; show history limit 1; show status; show configuration; show service other`
	status, answer := post(t, f, Request{Text: text})
	if status != 400 || answer.Reason != api.ReasonUnknownService || len(answer.Results) != 9 {
		t.Fatalf("got status %d, answer %+v, want 400, unknown_service and 9 results", status, answer)
	}
	r := answer.Results
	if !reflect.DeepEqual(r[0].Rows, [][]string{{"a", "1", ""}, {"b", "", "2"}}) || r[0].Coverage.SharePercent != 50 || len(r[0].Coverage.Missing) != 1 {
		t.Errorf("search: %+v", r[0])
	}
	for i, want := range map[int][]string{
		1: {"shard s1", "missing: no_replica"},
		4: {"2", "s0", "0", "4294967295", "r1"},
		5: {"4", "0001-01-01T00:00:00Z", "b", "", "", "drain replica r1"},
		6: {"shutting down", "false"},
	} {
		if rows := r[i].Rows; !reflect.DeepEqual(rows[len(rows)-1], want) {
			t.Errorf("%s: got %v, want %v", r[i].Statement, rows, want)
		}
	}
	if row := r[3].Rows[0]; row[0] != "r1" || row[8] != "true" || row[12] != "1ms" {
		t.Errorf("replicas: %v", row)
	}
	if !strings.Contains(string(r[7].Document), `"revision":4`) {
		t.Errorf("configuration: %s", r[7].Document)
	}
}

// Guards against status fields that are missing or have the wrong unit.
func TestStatusBody(t *testing.T) {
	w := httptest.NewRecorder()
	New(Config{Node: &fakeNode{}, Metrics: http.NotFoundHandler()}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/status", nil))
	if w.Code != 200 || !strings.Contains(w.Body.String(), `"latency_us":1000`) {
		t.Errorf("got status %d, body %s, want 200 and a latency of 1000 us", w.Code, w.Body)
	}
}
