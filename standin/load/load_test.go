package load

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/standin/target"
)

func settings(endpoints ...string) Settings {
	return Settings{
		Endpoints: endpoints, Seed: 3, RatePerSecond: 1000, DurationMS: 200,
		Requests: []Request{
			{Weight: 3, Distinct: 5, Search: &SearchBody{Service: "alarm", Conditions: []Condition{{Field: "site", Operator: "=", Value: "site-{n}"}}}},
			{Work: &WorkBody{Service: "orders", Payload: "crew {n}"}, ResendShare: 0.5},
		},
	}
}

// Guards against arrivals that depend on anything but the settings, and against
// a seed without effect.
func TestScheduleIsSeeded(t *testing.T) {
	s := settings("a", "b")
	first := Schedule(s)
	if !reflect.DeepEqual(first, Schedule(s)) {
		t.Fatal("two schedules with the same seed differ")
	}
	searches, resent := 0, 0
	for i, a := range first {
		if a.At >= 200*time.Millisecond || (i > 0 && a.At < first[i-1].At) || a.Endpoint != i%2 || a.N >= 5 {
			t.Fatalf("invalid arrival %d: %+v", i, a)
		}
		if a.Request == 0 {
			searches++
		}
		if a.Resend {
			resent++
		}
	}
	if n := len(first); n < 150 || n > 250 || searches*10 < n*6 || searches*10 > n*9 || resent == 0 {
		t.Fatalf("%d arrivals, %d searches, %d resent", n, searches, resent)
	}
	s.Seed++
	if reflect.DeepEqual(first, Schedule(s)) {
		t.Fatal("schedules with different seeds are equal")
	}
}

// Guards against a generator that waits for answers before it sends further
// requests: the server answers only when all scheduled requests have arrived. Also
// checks the report of that run.
func TestOpenLoopAndReport(t *testing.T) {
	want := 0
	for _, a := range Schedule(settings("x")) {
		want++
		if a.Resend {
			want++
		}
	}
	var mu sync.Mutex
	arrived, keys := 0, map[string]int{}
	all := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		arrived++
		key := r.Header.Get("Idempotency-Key")
		keys[key]++
		if arrived == want {
			close(all)
		}
		mu.Unlock()
		if r.Header.Get("X-Caller") != "load" {
			t.Error("X-Caller is not \"load\"")
		}
		<-all
		if key == "" {
			_, _ = w.Write([]byte(`{"outcome":"answered","coverage":{"share_percent":75,"covered_shards":3,"missing":[{"shard":"d","reason":"deadline"}]}}`))
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"outcome":"not_run","reason":"store_unavailable"}`))
	}))
	t.Cleanup(server.Close)
	h, err := target.NewHost([]target.Settings{{Name: "a", Service: "s"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	admin := httptest.NewServer(h.Handler())
	t.Cleanup(admin.Close)

	s := settings(server.URL)
	s.TargetAdmins = []string{admin.URL}
	g, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	report, err := g.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	search, work := report.Kinds[KindSearch], report.Kinds[KindWork]
	if int(search.Sent+work.Sent) != want || arrived != want {
		t.Fatalf("sent %d and %d, arrived %d, want %d", search.Sent, work.Sent, arrived, want)
	}
	if search.Outcomes["answered"] != search.Sent || work.Reasons["store_unavailable"] != work.Sent || work.Answered.Count != 0 {
		t.Fatalf("search %+v, work %+v", search, work)
	}
	// The first search waited for the last arrival, so the maximum latency must be
	// at least the time between the two.
	arrivals := Schedule(s)
	first := slices.IndexFunc(arrivals, func(a Arrival) bool { return a.Request == 0 })
	spread := arrivals[len(arrivals)-1].At - arrivals[first].At
	if search.All.Max < spread.Seconds()*1000*0.99 {
		t.Fatalf("max latency %.3f ms is below the spread %v of the arrivals", search.All.Max, spread)
	}
	if c := report.Coverage; c.MeanPercent != 75 || c.WorstPercent != 75 || c.WholePercent != 0 || c.Missing["deadline"] != c.Answers {
		t.Fatalf("coverage %+v", c)
	}
	if n := report.Targets; n.Needed != 4*search.Sent || n.Received != 0 {
		t.Fatalf("targets %+v", n)
	}
	journals, err := g.Journals(t.Context())
	if err != nil || len(journals) != 1 || len(CheckWork(report.Work, journals)) != 0 {
		t.Fatalf("journals %v, %v", journals, err)
	}
	var text, asJSON bytes.Buffer
	if report.WriteText(&text) != nil || report.WriteJSON(&asJSON) != nil || !json.Valid(asJSON.Bytes()) {
		t.Fatal("the report could not be written as text and valid JSON")
	}
	for _, part := range []string{"p99.9", "worst 75.000 %", "store_unavailable", "needed"} {
		if !strings.Contains(text.String(), part) {
			t.Errorf("the text report lacks %q:\n%s", part, text.String())
		}
	}
}

// Guards against a check that misses a work order that ran twice or an answer
// that contradicts the journals, and against false alarms on uncertain answers.
func TestCheckWork(t *testing.T) {
	journal := func(keys ...string) []target.Journal {
		var j target.Journal
		for _, k := range keys {
			j.Work = append(j.Work, target.WorkEntry{Key: k})
		}
		return []target.Journal{j}
	}
	record := func(key, outcome string) WorkRecord { return WorkRecord{Key: key, Outcome: outcome} }
	records := []WorkRecord{
		record("a", "answered"), record("a", "unknown"), record("b", "not_run"), record("c", "unknown"), record("d", OutcomeTransport),
	}
	if got := CheckWork(records, journal("a", "c")); len(got) != 0 {
		t.Fatalf("consistent records reported as contradictions: %v", got)
	}
	if got := CheckWork(records, journal("c", "b", "c")); len(got) != 3 {
		t.Fatalf("want three contradictions, got %v", got)
	}
}
