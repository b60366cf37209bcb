package callerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/entry/telemetry"
)

const validKey = "01890a5d-ac96-774b-bcce-b302099a8057"

// fakeRequests returns fixed answers and records the arguments of the last request.
type fakeRequests struct {
	lastSearch      api.Search
	lastDeadline    time.Time
	lastCaller      api.CallerID
	searchAnswer    api.SearchAnswer
	workAnswer      api.WorkAnswer
	shuttingDown    bool
	noConfiguration bool
	onSearch        func(context.Context)
}

func (f *fakeRequests) Search(ctx context.Context, c api.CallerID, s api.Search, d time.Time) api.SearchAnswer {
	f.lastCaller, f.lastSearch, f.lastDeadline = c, s, d
	if f.onSearch != nil {
		f.onSearch(ctx)
	}
	return f.searchAnswer
}

func (f *fakeRequests) Work(_ context.Context, c api.CallerID, _ api.Work, _ time.Time) api.WorkAnswer {
	f.lastCaller = c
	return f.workAnswer
}
func (f *fakeRequests) ShuttingDown() bool { return f.shuttingDown }
func (f *fakeRequests) NotReady() api.Reason {
	switch {
	case f.shuttingDown:
		return api.ReasonShuttingDown
	case f.noConfiguration:
		return api.ReasonNoConfiguration
	}
	return api.ReasonNone
}

func handler(t testing.TB, f *fakeRequests, counts *telemetry.Counts) http.Handler {
	t.Helper()
	h, err := New(Config{Requests: f, MaxBodyBytes: 1000, MaxConcurrent: 1, Counts: counts})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func post(h http.Handler, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against a changed HTTP status or Retry-After header of an outcome. Both are part
// of the published interface (section 6 of the design).
func TestStatusOfOutcomes(t *testing.T) {
	cases := []struct {
		outcome api.Outcome
		reason  api.Reason
		status  int
	}{
		{api.Answered, "", 200},
		{api.NotRun, api.ReasonMalformed, 400},
		{api.NotRun, api.ReasonWrongKind, 400},
		{api.NotRun, api.ReasonKeyFromFuture, 400},
		{api.NotRun, api.ReasonUnknownService, 404},
		{api.Unknown, api.ReasonKeyInProgress, 409},
		{api.Unknown, api.ReasonKeyClaimed, 409},
		{api.Unknown, api.ReasonKeyExpired, 409},
		{api.NotRun, api.ReasonKeyReused, 422},
		{api.NotRun, api.ReasonOverloaded, 429},
		{api.NotRun, api.ReasonShed, 429},
		{api.NotRun, api.ReasonClaimsFull, 429},
		{api.NotRun, api.ReasonStoreUnavailable, 503},
		{api.NotRun, api.ReasonQuarantined, 503},
		{api.NotRun, api.ReasonShuttingDown, 503},
		{api.NotRun, api.ReasonDeadline, 503},
		{api.Failed, api.ReasonFailed, 502},
		{api.Unknown, api.ReasonConnectionLost, 504},
		{0, "", 504},
	}
	f := &fakeRequests{}
	h := handler(t, f, nil)
	for _, c := range cases {
		f.workAnswer = api.WorkAnswer{Outcome: c.outcome, Reason: c.reason}
		w := post(h, "/v1/work", validKey, `{"service":"s"}`)
		var body workResponse
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
			t.Fatalf("%v %s: %v in %q", c.outcome, c.reason, err, w.Body)
		}
		if w.Code != c.status || body.Outcome != c.outcome.String() || body.Reason != c.reason {
			t.Errorf("%v %s: got %d %+v, want %d", c.outcome, c.reason, w.Code, body, c.status)
		}
		wantsHeader := c.status == 429 || c.status == 503
		if got := w.Header().Get("Retry-After"); (got == "1") != wantsHeader {
			t.Errorf("%v %s: Retry-After is %q", c.outcome, c.reason, got)
		}
	}
}

// Guards against a Retry-After header that is shorter than the node's delay.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	f := &fakeRequests{searchAnswer: api.SearchAnswer{Outcome: api.NotRun, Reason: api.ReasonOverloaded, RetryAfter: 2001 * time.Millisecond}}
	w := post(handler(t, f, nil), "/v1/search", "", `{"service":"s"}`)
	if w.Header().Get("Retry-After") != "3" || !strings.Contains(w.Body.String(), `"retry_after_ms":2001`) {
		t.Errorf("header %q, body %s", w.Header().Get("Retry-After"), w.Body)
	}
}

// Guards against a field of a search that is lost or altered between the JSON interface
// and the node, in either direction.
func TestSearchRequestAndAnswer(t *testing.T) {
	f := &fakeRequests{searchAnswer: api.SearchAnswer{
		Outcome: api.Answered, Rows: []api.Row{{Key: "k", Fields: []api.Field{{Name: "level", Value: "3"}}}},
		Coverage: api.Coverage{
			Snapshot: api.Snapshot{Epoch: 2, Version: 9}, Covered: []api.ShardName{"a"}, Share: 500_000,
			Missing: []api.MissingShard{{Shard: "b", Reason: api.ReasonDeadline}},
		},
	}}
	before := time.Now()
	w := post(handler(t, f, nil), "/v1/search", "", `{"service":"alarms","conditions":[{"field":"level","operator":">=","value":"3"}],
		"order_by":"level","descending":true,"limit":5,"deadline_ms":60000,"coverage_percent":99.9,"early_return":true}`)
	want := `{"outcome":"answered","reason":"","rows":[{"key":"k","fields":{"level":"3"}}],"coverage":{"epoch":2,"version":9,` +
		`"share_percent":50,"covered_shards":1,"covered":["a"],"missing":[{"shard":"b","reason":"deadline"}]},"limit_reached":false,"retry_after_ms":0}`
	if got := strings.TrimSpace(w.Body.String()); got != want || w.Code != 200 {
		t.Errorf("status %d, body\n%s\nwant\n%s", w.Code, got, want)
	}
	q := f.lastSearch.Query
	if q.Service != "alarms" || len(q.Conditions) != 1 || q.Conditions[0].Operator != api.GreaterOrEqual || q.Limit != 5 || !q.Descending {
		t.Errorf("query %+v", q)
	}
	if f.lastSearch.Coverage != 999_000 || !*f.lastSearch.EarlyReturn || f.lastDeadline.Before(before.Add(time.Minute)) {
		t.Errorf("search %+v, deadline %v", f.lastSearch, f.lastDeadline)
	}
	if f.lastCaller != "192.0.2.1" { // httptest's remote address
		t.Errorf("caller %q, want the remote IP", f.lastCaller)
	}
}

// Guards against a malformed request that is accepted and interpreted differently from
// what the caller meant. Each mistake has to be rejected with a message that names it.
func TestStrictDecoding(t *testing.T) {
	h := handler(t, &fakeRequests{}, nil)
	cases := []struct{ path, key, body, message string }{
		{"/v1/search", "", `{"service":"s","limt":5}`, `unknown field \"limt\"`},
		{"/v1/search", "", `{"service":"s","conditions":[{"field":"f","operator":"~","value":""}]}`, "conditions[0].operator"},
		{"/v1/search", "", `{"service":"s","conditions":[{"operator":"="}]}`, "conditions[0].field"},
		{"/v1/search", "", `{"service":"s","Limit":5}`, `unknown field \"Limit\"`},
		{"/v1/search", "", `{"ſervice":"s"}`, "unknown field"}, // U+017F folds to s.
		{"/v1/search", "", `{"service":"s","limit":5,"limit":6}`, `field \"limit\" is given twice`},
		{"/v1/search", "", `{"service":"s","conditions":[{"field":"f","operator":"=","field":"g"}]}`, "given twice"},
		{"/v1/search", "", `{"service":"s"} {}`, "more data"},
		{"/v1/search", "", `null`, "service is missing"},
		{"/v1/search", "", ``, "EOF"},
		{"/v1/search", "", `{"service":"s","limit":-1}`, "limit"},
		{"/v1/search", "", `{"service":"s","deadline_ms":0}`, "deadline_ms"},
		{"/v1/search", "", `{"service":"s","deadline_ms":9223372036854775807}`, "deadline_ms"},
		{"/v1/search", "", `{"service":"s","coverage_percent":100.1}`, "coverage_percent"},
		{"/v1/work", "", `{"service":"s"}`, "Idempotency-Key is missing"},
		{"/v1/work", "7", `{"service":"s"}`, "not a UUID"},
		{"/v1/work", "{" + validKey + "}", `{"service":"s"}`, "not a UUID"},
		{"/v1/work", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", `{"service":"s"}`, "version 7"},
		{"/v1/work", validKey, `{"service":"s","payload":{}}`, "payload"},
	}
	for _, c := range cases {
		w := post(h, c.path, c.key, c.body)
		body := w.Body.String()
		if w.Code != 400 || !strings.Contains(body, c.message) || !strings.Contains(body, `"outcome":"not_run","reason":"malformed"`) {
			t.Errorf("%s %s: got %d %s, want 400 with %q", c.path, c.body, w.Code, body, c.message)
		}
	}
}

// Guards against a request that is too large, or has a wrong path or method, and is
// redirected, not counted or answered without an outcome.
func TestTooLargeAndUnknownPath(t *testing.T) {
	counts := telemetry.NewCounts()
	h := handler(t, &fakeRequests{}, counts)
	if w := post(h, "/v1/search", "", `{"service":"`+strings.Repeat("x", 2000)+`"}`); w.Code != 413 {
		t.Errorf("got %d, want 413", w.Code)
	}
	if w := post(h, "/v1/statements", "", `{}`); w.Code != 404 || !strings.Contains(w.Body.String(), `"not_run"`) {
		t.Errorf("got %d %s, want 404", w.Code, w.Body)
	}
	if w := post(h, "/v1/search/", "", `{}`); w.Code != 404 {
		t.Errorf("got %d with a trailing slash, want 404 and no redirect", w.Code)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/work", nil))
	if w.Code != 405 || !strings.Contains(w.Body.String(), `"not_run"`) {
		t.Errorf("got %d %s, want 405", w.Code, w.Body)
	}
	if n := counts.Get(count.Refused, api.ReasonMalformed); n != 4 {
		t.Errorf("%d refusals counted, want 4", n)
	}
}

// Guards against requests above the concurrency limit, and against a panic that gives the
// caller no response or never releases its concurrency slot.
func TestConcurrencyLimitAndPanic(t *testing.T) {
	f := &fakeRequests{}
	h := handler(t, f, nil)
	var inner *httptest.ResponseRecorder
	f.onSearch = func(context.Context) { inner = post(h, "/v1/work", validKey, `{"service":"s"}`) }
	post(h, "/v1/search", "", `{"service":"s"}`)
	if inner.Code != 429 {
		t.Errorf("second concurrent request: got %d, want 429", inner.Code)
	}
	f.onSearch = func(context.Context) { panic("bug") }
	if w := post(h, "/v1/search", "", `{"service":"s"}`); w.Code != 500 || !strings.Contains(w.Body.String(), `"unknown"`) {
		t.Errorf("after a panic: %d %s", w.Code, w.Body)
	}
	f.onSearch = nil
	if w := post(h, "/v1/search", "", `{"service":"s"}`); w.Code == 429 {
		t.Error("the panic did not release its concurrency slot")
	}
}

// Guards against a load balancer that sends requests to a node without a configuration or
// in shutdown, and against one that takes a node in shutdown for dead.
func TestHealthAndReadiness(t *testing.T) {
	f := &fakeRequests{}
	h := handler(t, f, nil)
	get := func(path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w
	}
	if get("/readyz").Code != 200 {
		t.Error("not ready although a configuration is present")
	}
	f.noConfiguration = true
	if w := get("/readyz"); w.Code != 503 || w.Body.String() != "no_configuration" {
		t.Errorf("without configuration: %d %q", w.Code, w.Body)
	}
	f.noConfiguration, f.shuttingDown = false, true
	if w := get("/readyz"); w.Code != 503 || w.Body.String() != "shutting_down" || w.Header().Get("Connection") != "close" {
		t.Errorf("during shutdown: %d %q %v", w.Code, w.Body, w.Header())
	}
	if get("/healthz").Code != 200 {
		t.Error("the liveness check fails during a shutdown")
	}
}

// Guards against a search body that causes a panic, or with values out of range that are
// accepted.
func FuzzSearchBody(f *testing.F) {
	f.Add(`{"service":"s","conditions":[{"field":"f","operator":"=","value":"v"}],"coverage_percent":1e-9,"deadline_ms":1}`)
	f.Add(`{"service":"s","limit":1e3}`)
	f.Fuzz(func(t *testing.T, body string) {
		now := time.Unix(1_800_000_000, 0)
		s, d, err := decodeSearch(strings.NewReader(body), now)
		if err != nil {
			return
		}
		if s.Query.Service == "" || s.Query.Limit < 0 || s.Coverage > api.Whole || (!d.IsZero() && !d.After(now)) {
			t.Errorf("accepted %+v with deadline %v", s, d)
		}
	})
}
