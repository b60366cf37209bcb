package driver

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/node"
	"github.com/baobabsail/baobabsail/entry/telemetry"
)

// fakeNode passes every event to the function step. It wakes only at a time that
// step sets.
type fakeNode struct {
	step func(event.Event) []event.Action
	wake time.Time
}

func (f *fakeNode) Step(_ time.Time, ev event.Event) []event.Action {
	f.wake = time.Time{}
	return f.step(ev)
}
func (f *fakeNode) NextTick() time.Time                         { return f.wake }
func (f *fakeNode) Counts() *count.Set                          { return count.NewSet() }
func (f *fakeNode) Document() *config.Document                  { return &config.Document{Revision: 7} }
func (f *fakeNode) NotReady(time.Time) api.Reason               { return api.ReasonNone }
func (f *fakeNode) Status(time.Time) node.Status                { return node.Status{} }
func (f *fakeNode) Explain(time.Time, api.Search) (p node.Plan) { return p }

// fakeStore never answers: each call blocks until its context ends. Watch first
// sends its callback on the channel changed.
type fakeStore struct{ changed chan func([]byte, int64) }

func (fakeStore) Get(ctx context.Context, _ string) event.StoreRead {
	<-ctx.Done()
	return event.StoreRead{Result: event.ReadFailed}
}
func (s fakeStore) Revision(ctx context.Context, key string) event.StoreRead { return s.Get(ctx, key) }
func (fakeStore) CompareAndSwap(ctx context.Context, _ string, _ []byte, _ int64) event.StoreWritten {
	<-ctx.Done()
	return event.StoreWritten{Result: event.WriteUnknown}
}
func (s fakeStore) Watch(ctx context.Context, _ string, _ int64, changed func([]byte, int64)) {
	s.changed <- changed
	<-ctx.Done()
}

func start(t *testing.T, c Config) *Driver {
	t.Helper()
	d := New(c)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { d.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return d
}

// Guards against answers that reach the wrong caller when the node answers
// requests out of order or answers one twice.
func TestAnswersReachTheirOwnCaller(t *testing.T) {
	n := &fakeNode{}
	var waiting []event.SearchArrived
	n.step = func(ev event.Event) []event.Action {
		arrived, ok := ev.(event.SearchArrived)
		if !ok {
			return nil
		}
		waiting = append(waiting, arrived)
		if len(waiting) < 2 {
			return nil
		}
		var out []event.Action
		for _, w := range []event.SearchArrived{waiting[1], waiting[0]} {
			out = append(out, event.AnswerSearch{Request: w.Request, Answer: api.SearchAnswer{Reason: api.Reason(w.Caller)}})
		}
		return append(out, out[0]) // A second answer must have no effect.
	}
	d := start(t, Config{Node: n})
	var both sync.WaitGroup
	for _, caller := range []api.CallerID{"a", "b"} {
		both.Go(func() {
			got := d.Search(context.Background(), caller, api.Search{}, time.Time{})
			if got.Reason != api.Reason(caller) {
				t.Errorf("caller %s got the answer of %s", caller, got.Reason)
			}
		})
	}
	both.Wait()
	if got := d.NotReady(); got != api.ReasonNone {
		t.Errorf("not ready, reason %q, want ready", got)
	}
}

// Guards against requests that block on a full inbox, and against reports that
// are lost while it is full.
func TestFullInboxRefusesRequestsAndKeepsReports(t *testing.T) {
	release, busy := make(chan struct{}), make(chan struct{})
	probes := make(chan api.ConnID, 10)
	n := &fakeNode{step: func(ev event.Event) []event.Action {
		switch ev := ev.(type) {
		case event.CallerGone:
			close(busy)
			<-release
		case event.ProbeReplied:
			probes <- ev.Conn
		}
		return nil
	}}
	counts := telemetry.NewCounts()
	d := start(t, Config{Node: n, InboxSize: 1, Counts: counts})
	d.Report(event.CallerGone{})
	<-busy
	var reports sync.WaitGroup
	for i := range 5 {
		reports.Go(func() { d.Report(event.ProbeReplied{Conn: api.ConnID(i)}) })
	}
	for d.TryReport(event.Timer{}) {
		// Repeat until the inbox, which holds one event, is full.
	}
	got := d.Work(context.Background(), "c", api.Work{}, time.Time{})
	if got.Outcome != api.NotRun || got.Reason != api.ReasonOverloaded || got.RetryAfter <= 0 {
		t.Errorf("answer %+v, want not_run, overloaded, with a retry-after time", got)
	}
	if counts.Get(count.Refused, api.ReasonOverloaded) != 1 {
		t.Error("the refused request is not counted")
	}
	close(release)
	reports.Wait()
	for range 5 {
		<-probes
	}
}

// Guards against a node that keeps working for a caller that has gone.
func TestCallerGoneIsReported(t *testing.T) {
	gone := make(chan api.RequestID, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var arrived api.RequestID
	n := &fakeNode{step: func(ev event.Event) []event.Action {
		switch ev := ev.(type) {
		case event.WorkArrived:
			arrived = ev.Request
			cancel()
		case event.CallerGone:
			gone <- ev.Request
		}
		return nil
	}}
	d := start(t, Config{Node: n})
	got := d.Work(ctx, "c", api.Work{}, time.Time{})
	if id := <-gone; id != arrived || got.Outcome != api.Unknown {
		t.Errorf("CallerGone for request %d, want %d; answer %+v, want outcome unknown", id, arrived, got)
	}
}

// Guards against a store that never answers blocking the event loop or leaving
// an operation without a result. Also covers a watch and its cancellation.
func TestSilentStoreEndsAsFailedOrUnknown(t *testing.T) {
	results := make(chan event.Event, 4)
	n := &fakeNode{step: func(ev event.Event) []event.Action {
		switch ev.(type) {
		case event.Timer:
			return []event.Action{
				event.ReadStore{Op: 1, Key: "k"},
				event.WriteStore{Op: 2, Key: "k"},
				event.WatchStore{Op: 3, Key: "k"},
			}
		case event.CallerGone:
			return []event.Action{event.CancelWatch{Op: 3}, event.Stopped{}, event.Stopped{}}
		default:
			results <- ev
		}
		return nil
	}}
	store := fakeStore{changed: make(chan func([]byte, int64), 1)}
	d := start(t, Config{Node: n, Store: store, StoreTimeout: 20 * time.Millisecond})
	for range 2 {
		switch r := (<-results).(type) {
		case event.StoreRead:
			if r.Op != 1 || r.Result != event.ReadFailed {
				t.Errorf("read result %+v, want operation 1 with ReadFailed", r)
			}
		case event.StoreWritten:
			if r.Op != 2 || r.Result != event.WriteUnknown {
				t.Errorf("write result %+v, want operation 2 with WriteUnknown", r)
			}
		}
	}
	(<-store.changed)([]byte("v"), 9)
	if c, ok := (<-results).(event.StoreChanged); !ok || c.Op != 3 || c.Revision != 9 {
		t.Errorf("change %+v, want operation 3 at revision 9", c)
	}
	d.Report(event.CallerGone{})
	<-d.Stopped()
}

// Guards against a wake-up time of the node that fires no Timer event.
func TestWakeFiresATimerEvent(t *testing.T) {
	n := &fakeNode{}
	fired := make(chan struct{})
	timers := 0
	n.step = func(ev event.Event) []event.Action {
		if timers++; timers == 2 {
			close(fired)
		} else {
			n.wake = time.Now().Add(time.Millisecond)
		}
		return nil
	}
	d := start(t, Config{Node: n})
	<-fired
	var revision uint64
	if err := d.Inspect(context.Background(), func(n Node, _ time.Time) { revision = n.Document().Revision }); err != nil || revision != 7 {
		t.Errorf("inspected revision %d, error %v, want revision 7", revision, err)
	}
}
