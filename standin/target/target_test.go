package target

import (
	"context"
	"math"
	"net"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/wire/targetpb"
)

// longMS is a deadline in milliseconds that no test reaches.
const longMS = 600_000

func startTarget(t *testing.T, change func(*Settings)) *Target {
	t.Helper()
	s := Settings{
		Name: "t1", Service: "alarm", Seed: 7, Rows: 400, Slots: 2, Queue: 1,
		Versions: []uint64{3, 4},
		Shards:   []Shard{{Epoch: 2, Name: "low", Last: 1<<31 - 1}, {Epoch: 2, Name: "high", First: 1 << 31, Last: math.MaxUint32}},
	}
	if change != nil {
		change(&s)
	}
	out, err := New(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := out.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(out.Close)
	return out
}

func dialConn(t *testing.T, address string) *grpc.ClientConn {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func dial(t *testing.T, address string) targetpb.TargetClient {
	t.Helper()
	return targetpb.NewTargetClient(dialConn(t, address))
}

func searchRequest(shard string, version uint64) *targetpb.SearchRequest {
	return &targetpb.SearchRequest{
		Attempt: &targetpb.AttemptID{Life: 9, Seq: 1}, Shard: shard,
		Snapshot: &targetpb.Snapshot{Epoch: 2, Version: version},
		Query:    &targetpb.Query{Service: "alarm", Limit: 1000}, DeadlineMs: longMS,
	}
}

func workRequest(payload string) *targetpb.ExecuteRequest {
	return &targetpb.ExecuteRequest{
		Attempt: &targetpb.AttemptID{Life: 9, Seq: 2}, Service: "alarm",
		Key: make([]byte, 16), Payload: []byte(payload), DeadlineMs: longMS,
	}
}

// eventually polls until a condition holds; only the timeout of the test binary
// limits it.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

type searchResult struct {
	reply *targetpb.SearchReply
	err   error
}

func goSearch(ctx context.Context, c targetpb.TargetClient, req *targetpb.SearchRequest) <-chan searchResult {
	out := make(chan searchResult, 1)
	go func() {
		reply, err := c.Search(ctx, req)
		out <- searchResult{reply, err}
	}()
	return out
}

func mustSearch(t *testing.T, c targetpb.TargetClient, req *targetpb.SearchRequest) *targetpb.SearchReply {
	t.Helper()
	reply, err := c.Search(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// fill occupies both slots and the queue of a stalled target.
func fill(t *testing.T, target *Target, c targetpb.TargetClient) []<-chan searchResult {
	t.Helper()
	if err := target.SetFaults(Faults{Stalled: true}); err != nil {
		t.Fatal(err)
	}
	var out []<-chan searchResult
	for range 3 {
		out = append(out, goSearch(t.Context(), c, searchRequest("low", 4)))
	}
	eventually(func() bool {
		running, queued, _ := target.State()
		return running == 2 && queued == 1
	})
	return out
}

// Guards against running more requests than there are slots, and against running a
// request that was answered with SHED.
func TestSlotsAndShedding(t *testing.T) {
	target := startTarget(t, nil)
	c := dial(t, target.Address())
	waiting := fill(t, target, c)
	reply := mustSearch(t, c, searchRequest("low", 4))
	if reply.GetOutcome() != targetpb.Outcome_SHED || reply.GetRetryAfterMs() == 0 {
		t.Fatalf("want SHED with retry_after, got %v", reply)
	}
	if load := reply.GetLoad(); load.GetRunning() != 2 || load.GetQueued() != 1 || load.GetSlots() != 2 {
		t.Fatalf("load is %v", load)
	}
	if n := len(target.Journal(true).Searches); n != 2 {
		t.Fatalf("%d searches started, want 2", n)
	}
	_ = target.SetFaults(Faults{})
	for _, w := range waiting {
		if r := <-w; r.err != nil || r.reply.GetOutcome() != targetpb.Outcome_OK {
			t.Fatalf("admitted search ended with %v, %v", r.reply.GetOutcome(), r.err)
		}
	}
}

// Guards against a drain that aborts running or queued requests or admits new ones.
func TestDrainFinishesAdmittedRequests(t *testing.T) {
	target := startTarget(t, nil)
	c := dial(t, target.Address())
	waiting := fill(t, target, c)
	drained := make(chan struct{})
	go func() { target.Drain(0); close(drained) }()
	eventually(func() bool { _, _, draining := target.State(); return draining })
	reply := mustSearch(t, c, searchRequest("low", 4))
	if reply.GetOutcome() != targetpb.Outcome_DRAINING || !reply.GetLoad().GetDraining() {
		t.Fatalf("want DRAINING, got %v", reply)
	}
	_ = target.SetFaults(Faults{})
	for _, w := range waiting {
		if r := <-w; r.err != nil || r.reply.GetOutcome() != targetpb.Outcome_OK {
			t.Fatalf("the drain aborted an admitted search: %v, %v", r.reply.GetOutcome(), r.err)
		}
	}
	<-drained
	if conn, err := net.Dial("tcp", target.Address()); err == nil {
		_ = conn.Close()
		t.Fatal("the drained target still accepts connections")
	}
}

// Guards against running a request whose deadline has passed or that the caller has
// cancelled, and against leaking its slot.
func TestDeadlineAndCancellation(t *testing.T) {
	target := startTarget(t, func(s *Settings) { s.Slots = 1 })
	c := dial(t, target.Address())
	_ = target.SetFaults(Faults{Stalled: true})
	running, cancelRunning := context.WithCancel(t.Context())
	first := goSearch(running, c, searchRequest("low", 4))
	eventually(func() bool { n, _, _ := target.State(); return n == 1 })

	late := searchRequest("low", 4)
	late.DeadlineMs = 20
	if reply := mustSearch(t, c, late); reply.GetOutcome() != targetpb.Outcome_EXPIRED {
		t.Fatalf("queued past its deadline: %v", reply.GetOutcome())
	}
	late.DeadlineMs = 0
	if reply := mustSearch(t, c, late); reply.GetOutcome() != targetpb.Outcome_EXPIRED {
		t.Fatalf("arrived past its deadline: %v", reply.GetOutcome())
	}
	work := workRequest("crew")
	work.DeadlineMs = 20
	if reply, err := c.Execute(t.Context(), work); err != nil || reply.GetOutcome() != targetpb.Outcome_EXPIRED {
		t.Fatalf("work order past its deadline: %v, %v", reply, err)
	}
	cancelRunning()
	if r := <-first; status.Code(r.err) != codes.Canceled {
		t.Fatalf("cancelled search ended with %v", r.err)
	}
	eventually(func() bool { n, _, _ := target.State(); return n == 0 })
	late.DeadlineMs = 100
	// On a busy machine the deadline may pass before the search starts.
	var last searchResult
	eventually(func() bool {
		last = <-goSearch(t.Context(), c, late)
		return last.reply.GetOutcome() != targetpb.Outcome_EXPIRED
	})
	if status.Code(last.err) != codes.DeadlineExceeded {
		t.Fatalf("running past its deadline: %v, %v", last.reply, last.err)
	}
	if j := target.Journal(false); len(j.Work) != 0 || j.Counters[SearchesStarted] != 2 {
		t.Fatalf("journal is %+v", j)
	}
}

// Guards against answering a search from a different snapshot than the requested one.
func TestSnapshotRefusals(t *testing.T) {
	target := startTarget(t, nil)
	c := dial(t, target.Address())
	cases := []struct {
		shard          string
		epoch, version uint64
		want           targetpb.Outcome
		served         uint64
	}{
		{"low", 2, 3, targetpb.Outcome_OK, 3},
		{"low", 2, 4, targetpb.Outcome_OK, 4},
		{"low", 2, api.NewestVersion, targetpb.Outcome_OK, 4},
		{"low", 2, 2, targetpb.Outcome_VERSION_GONE, 2},
		{"low", 2, 5, targetpb.Outcome_VERSION_NOT_YET, 5},
		{"low", 1, 4, targetpb.Outcome_WRONG_EPOCH, 4},
		{"middle", 2, 4, targetpb.Outcome_WRONG_EPOCH, 4},
	}
	for _, k := range cases {
		req := searchRequest(k.shard, k.version)
		req.Snapshot.Epoch = k.epoch
		reply := mustSearch(t, c, req)
		if reply.GetOutcome() != k.want || reply.GetSnapshot().GetVersion() != k.served {
			t.Errorf("%+v: got %v at %v", k, reply.GetOutcome(), reply.GetSnapshot())
		}
		for _, row := range rowsFrom(reply) {
			if v, _ := row.Value("version"); v != map[uint64]string{3: "3", 4: "4"}[k.served] {
				t.Fatalf("%+v: row of version %s", k, v)
			}
		}
	}
	target.AddVersion("", 0)
	if reply := mustSearch(t, c, searchRequest("high", 3)); reply.GetOutcome() != targetpb.Outcome_VERSION_GONE {
		t.Fatalf("after the advance: %v", reply.GetOutcome())
	}
}

func rowsFrom(reply *targetpb.SearchReply) []api.Row {
	var out []api.Row
	for _, r := range reply.GetRows() {
		row := api.Row{Key: r.GetKey()}
		for _, f := range r.GetFields() {
			row.Fields = append(row.Fields, api.Field{Name: f.GetName(), Value: f.GetValue()})
		}
		out = append(out, row)
	}
	return out
}

// Guards against the faults truncate and wrong_echo having no effect on the answer
// or continuing after their count.
func TestTruncationAndWrongEcho(t *testing.T) {
	target := startTarget(t, nil)
	c := dial(t, target.Address())
	_ = target.SetFaults(Faults{Truncate: 1, WrongEcho: 1})
	reply := mustSearch(t, c, searchRequest("low", 4))
	if int(reply.GetRowCount()) <= len(reply.GetRows()) || reply.GetAttempt().GetSeq() == 1 {
		t.Fatalf("announced %d, sent %d, attempt %v", reply.GetRowCount(), len(reply.GetRows()), reply.GetAttempt())
	}
	reply = mustSearch(t, c, searchRequest("low", 4))
	if int(reply.GetRowCount()) != len(reply.GetRows()) || reply.GetAttempt().GetSeq() != 1 {
		t.Fatal("the counted faults still apply after their count")
	}
}

// Guards against a crash that answers the request which caused it, or that loses
// the journal.
func TestCrash(t *testing.T) {
	target := startTarget(t, nil)
	c := dial(t, target.Address())
	before := target.Incarnation()
	_ = target.SetFaults(Faults{CrashOn: "poison"})
	if _, err := c.Execute(t.Context(), workRequest("poison")); status.Code(err) != codes.Unavailable {
		t.Fatalf("the request that caused the crash: want Unavailable, got %v", err)
	}
	eventually(func() bool { now := target.Incarnation(); return now != 0 && now != before })
	reply, err := c.Execute(t.Context(), workRequest("crew"), grpc.WaitForReady(true))
	if err != nil || reply.GetOutcome() != targetpb.Outcome_OK || reply.GetLoad().GetIncarnation() == before {
		t.Fatalf("after the crash: %v, %v", reply, err)
	}
	work := target.Journal(false).Work
	if len(work) != 2 || work[0].Finished || !work[1].Finished || string(work[0].Payload) != "poison" {
		t.Fatalf("journal is %+v", work)
	}
}

// Guards against silent connections not counting towards the connection limit, and
// against a freeze that loses a request.
func TestConnectionsAndFreeze(t *testing.T) {
	target := startTarget(t, func(s *Settings) { s.Connections = 1 })
	c := dial(t, target.Address())
	mustSearch(t, c, searchRequest("low", 4))
	second := dialConn(t, target.Address())
	if _, err := targetpb.NewTargetClient(second).Search(t.Context(), searchRequest("low", 4)); status.Code(err) != codes.Unavailable {
		t.Fatalf("beyond the limit: %v", err)
	}
	// The second client must not use the connection that the reset below frees.
	_ = second.Close()
	_ = target.SetFaults(Faults{Frozen: true})
	pending := goSearch(t.Context(), c, searchRequest("low", 4))
	_ = target.SetFaults(Faults{})
	if r := <-pending; r.err != nil {
		t.Fatal(r.err)
	}
	if target.SilenceConnections(2) != 1 {
		t.Fatal("want one connection made silent")
	}
	ctx, cancel := context.WithCancel(t.Context())
	pending = goSearch(ctx, c, searchRequest("low", 4))
	cancel()
	if r := <-pending; status.Code(r.err) != codes.Canceled {
		t.Fatalf("a silent connection answered: %v, %v", r.reply, r.err)
	}
	if target.OpenConnections() != 1 {
		t.Fatal("the silent connection does not count as open")
	}
	target.ResetSilentConnections()
	// A search may still use the reset connection before the client notices.
	eventually(func() bool {
		_, err := c.Search(t.Context(), searchRequest("low", 4), grpc.WaitForReady(true))
		if err != nil && status.Code(err) != codes.Unavailable {
			t.Fatal(err)
		}
		return err == nil
	})
}

// Guards against answers that omit the held versions after a change.
func TestHeldVersionsAreSentOnChange(t *testing.T) {
	target := startTarget(t, nil)
	c := dial(t, target.Address())
	held := func() int { return len(mustSearch(t, c, searchRequest("low", 4)).GetLoad().GetHeld()) }
	if held() != 2 || held() != 0 {
		t.Fatal("want held in the first answer only")
	}
	target.AddVersion("low", 0)
	if held() != 2 {
		t.Fatal("want held after a change")
	}
	_ = target.SetFaults(Faults{Lie: &Lie{Versions: []uint64{99}}})
	health, err := c.Health(t.Context(), &targetpb.HealthRequest{})
	if err != nil || health.GetLoad().GetHeld()[0].GetVersions()[0] != 99 {
		t.Fatalf("want the false versions in the health answer, got %v, %v", health, err)
	}
}

// Guards against rows that are lost or duplicated between shards, and against an
// order or limit that is not applied.
func TestDataset(t *testing.T) {
	d := NewDataset(7, "alarm", 400)
	q := api.Query{OrderBy: "reading", Descending: true, Conditions: []api.Condition{{Field: "number", Operator: api.Less, Value: "300"}}}
	whole, _ := d.Search(q, 5, 0, math.MaxUint32)
	low, _ := d.Search(q, 5, 0, 99_999_999)
	high, _ := d.Search(q, 5, 100_000_000, math.MaxUint32)
	if len(whole) == 0 || len(low)+len(high) != len(whole) {
		t.Fatalf("whole %d, parts %d + %d", len(whole), len(low), len(high))
	}
	for i := 1; i < len(whole); i++ {
		a, _ := whole[i-1].Value("reading")
		b, _ := whole[i].Value("reading")
		if api.CompareValues(a, b) < 0 {
			t.Fatalf("rows out of order: %s before %s", a, b)
		}
	}
	q.Limit = 3
	first, more := d.Search(q, 5, 0, math.MaxUint32)
	if len(first) != 3 || !more || first[0].Key != whole[0].Key {
		t.Fatal("the limit is not applied after the order")
	}
}

// Guards against admin requests that ignore an unknown fault switch or change
// switches that they do not name.
func TestAdmin(t *testing.T) {
	h, err := NewHost([]Settings{{Name: "a", Service: "s"}, {Name: "b", Service: "s"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	post := func(path, body string) int {
		w := httptest.NewRecorder()
		h.Handler().ServeHTTP(w, httptest.NewRequest("POST", path, strings.NewReader(body)))
		return w.Code
	}
	if code := post("/targets/all/faults", `{"truncate":-1,"lie":{"running":1}}`); code != 204 {
		t.Fatal(code)
	}
	if code := post("/targets/b/faults", `{"stalled":true}`); code != 204 {
		t.Fatal(code)
	}
	for _, body := range []string{`{"stalled":false,"no_such":1}`, `{"echo":"x"}`, `{"fail":-2}`} {
		if code := post("/targets/b/faults", body); code != 400 {
			t.Fatalf("%s: %d", body, code)
		}
	}
	if f := h.Target("b").Faults(); f.Truncate != Always || !f.Stalled || f.Lie == nil {
		t.Fatalf("faults are %+v", f)
	}
	if code := post("/targets/c/crash", ""); code != 404 {
		t.Fatal(code)
	}
}

// Guards against service times that ignore the seed, the stragglers or the cold
// start.
func TestServiceTime(t *testing.T) {
	draw := func(seed uint64) (times []time.Duration, slow int) {
		target, err := New(Settings{
			Name: "t", Service: "s", Seed: seed,
			ServiceTime: ServiceTime{MedianMS: 10, StragglerShare: 0.25, StragglerFactor: 50},
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		for range 400 {
			d := target.serviceTime(&instance{started: time.Now()})
			times = append(times, d)
			if d == 500*time.Millisecond {
				slow++
			} else if d != 10*time.Millisecond {
				t.Fatalf("drew %v", d)
			}
		}
		return times, slow
	}
	first, slow := draw(1)
	second, _ := draw(1)
	other, _ := draw(2)
	if !slices.Equal(first, second) || slices.Equal(first, other) || slow < 60 || slow > 140 {
		t.Fatalf("%d stragglers of 400, want about 100", slow)
	}
	cold := &Target{settings: Settings{ColdStart: ColdStart{DurationMS: 1000, Factor: 5}}}
	for age, want := range map[time.Duration]float64{0: 5, 500 * time.Millisecond: 3, time.Second: 1, time.Hour: 1} {
		if got := cold.coldFactor(age); got != want {
			t.Errorf("factor %v at age %v, want %v", got, age, want)
		}
	}
}

// Guards against fault switches that do not change the service time, and against
// accepting a straggler share above 1.
func TestServiceTimeFaults(t *testing.T) {
	target, err := New(Settings{Name: "t", Service: "s", Seed: 1, ServiceTime: ServiceTime{MedianMS: 10}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if target.SetFaults(Faults{StragglerShare: 1.5}) == nil {
		t.Error("a share above 1 is accepted")
	}
	for _, c := range []struct {
		faults Faults
		want   time.Duration
	}{
		{Faults{}, 10 * time.Millisecond},
		{Faults{StragglerShare: 1, StragglerFactor: 4}, 40 * time.Millisecond},
		{Faults{SlowFactor: 3}, 30 * time.Millisecond},
	} {
		if err := target.SetFaults(c.faults); err != nil {
			t.Fatal(err)
		}
		if got := target.serviceTime(&instance{started: time.Now()}); got != c.want {
			t.Errorf("%+v: drew %v, want %v", c.faults, got, c.want)
		}
	}
}
