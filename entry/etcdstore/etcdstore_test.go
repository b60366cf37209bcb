package etcdstore_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/entry/etcdstore"
	"github.com/baobabsail/baobabsail/entry/store"
	"github.com/baobabsail/baobabsail/standin/platform"
)

const key = "baobabsail/config"

func startPlatform(t *testing.T, s platform.Settings) *platform.Platform {
	t.Helper()
	// The tests are not about the rates, except the one that sets them.
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond, s.ReadsPerSecond = 1_000_000, 1_000_000
	}
	p, err := platform.New(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// connect returns a client whose timeouts no test reaches.
func connect(t *testing.T, maxValue int, endpoints ...string) *etcdstore.Client {
	t.Helper()
	c, err := etcdstore.New(etcdstore.Settings{Endpoints: endpoints, MaxValue: maxValue, CallTimeout: time.Hour, DialTimeout: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func pair(t *testing.T) (*platform.Platform, *etcdstore.Client) {
	p := startPlatform(t, platform.Settings{})
	return p, connect(t, 0, p.URL())
}

func set(t *testing.T, p *platform.Platform, f platform.Faults) {
	t.Helper()
	if err := p.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

func wantRead(t *testing.T, got store.Read, result event.ReadResult, value string) {
	t.Helper()
	if got.Result != result || string(got.Value) != value {
		t.Fatalf("read %d %q (%v), want %d %q", got.Result, got.Value, got.Err, result, value)
	}
}

func wantWrite(t *testing.T, got store.Write, want event.WriteResult) {
	t.Helper()
	if got.Result != want {
		t.Fatalf("write result %d (%v), want %d", got.Result, got.Err, want)
	}
}

// Guards against revisions that do not fit a later compare-and-swap.
func TestReadAndCompareAndSwap(t *testing.T) {
	_, c := pair(t)
	ctx := t.Context()
	wantRead(t, c.Get(ctx, key), event.ReadAbsent, "")
	first := c.CompareAndSwap(ctx, key, []byte("a"), 0)
	wantWrite(t, first, event.WriteApplied)
	read := c.Get(ctx, key)
	wantRead(t, read, event.ReadFound, "a")
	if read.Revision != first.Revision {
		t.Fatalf("read revision %d, written %d", read.Revision, first.Revision)
	}
	conflict := c.CompareAndSwap(ctx, key, []byte("b"), 0)
	wantWrite(t, conflict, event.WriteConflict)
	if conflict.Revision != first.Revision {
		t.Fatalf("conflict names revision %d, want %d", conflict.Revision, first.Revision)
	}
	wantWrite(t, c.CompareAndSwap(ctx, "other", nil, 0), event.WriteApplied)
	wantWrite(t, c.CompareAndSwap(ctx, key, []byte("b"), first.Revision), event.WriteApplied)
	wantRead(t, c.Get(ctx, key), event.ReadFound, "b")
}

// Guards against reporting a lost answer as anything but unknown, and against
// sending the write again.
func TestLostAnswer(t *testing.T) {
	p, c := pair(t)
	ctx := t.Context()
	set(t, p, platform.Faults{LoseWrites: 1})
	wantWrite(t, c.CompareAndSwap(ctx, key, []byte("a"), 0), event.WriteUnknown)
	wantRead(t, c.Get(ctx, key), event.ReadFound, "a")
	if n := p.Counters().Writes; n != 1 {
		t.Fatalf("%d writes arrived, want 1", n)
	}
	set(t, p, platform.Faults{LoseWrites: 1, DelayApplyMS: platform.HoldDelayed})
	wantWrite(t, c.CompareAndSwap(ctx, "late", []byte("b"), 0), event.WriteUnknown)
	wantRead(t, c.Get(ctx, "late"), event.ReadAbsent, "")
	if p.ApplyDelayed() != 1 {
		t.Fatal("no write was delayed")
	}
	wantRead(t, c.Get(ctx, "late"), event.ReadFound, "b")
	if n := p.Counters().Writes; n != 2 {
		t.Fatalf("%d writes arrived, want 2", n)
	}
}

// Guards against claiming "not sent" for a write that may have left, and
// against claiming "unknown" when nothing listens.
func TestOutage(t *testing.T) {
	p, c := pair(t)
	ctx := t.Context()
	wantWrite(t, c.CompareAndSwap(ctx, key, []byte("a"), 0), event.WriteApplied)
	set(t, p, platform.Faults{Down: true})
	wantWrite(t, connect(t, 0, p.URL()).CompareAndSwap(ctx, key, []byte("b"), 0), event.WriteNotSent)
	wantRead(t, c.Get(ctx, key), event.ReadFailed, "")
	set(t, p, platform.Faults{})
	// The first read may still find the connection that the outage cut.
	for c.Get(ctx, key).Result != event.ReadFound {
	}
	set(t, p, platform.Faults{StoreFails: true})
	wantWrite(t, c.CompareAndSwap(ctx, key, []byte("b"), 0), event.WriteUnknown)
	set(t, p, platform.Faults{Hang: true})
	hanging, cancel := context.WithCancel(ctx)
	result := make(chan store.Write)
	go func() { result <- c.CompareAndSwap(hanging, key, []byte("b"), 0) }()
	for p.Counters().Writes != 3 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	wantWrite(t, <-result, event.WriteUnknown)
	wantWrite(t, c.CompareAndSwap(hanging, key, []byte("b"), 0), event.WriteNotSent)
}

// Guards against two winners of one compare-and-swap.
func TestConcurrentCompareAndSwapHasOneWinner(t *testing.T) {
	p, c := pair(t)
	const writers, rounds = 16, 20
	revision := int64(0)
	for round := range rounds {
		results := make([]store.Write, writers)
		var wg sync.WaitGroup
		for i := range writers {
			wg.Go(func() { results[i] = c.CompareAndSwap(t.Context(), key, fmt.Appendf(nil, "%d-%d", round, i), revision) })
		}
		wg.Wait()
		winner := -1
		for i, r := range results {
			if r.Result == event.WriteApplied {
				if winner >= 0 {
					t.Fatalf("round %d: writers %d and %d both won", round, winner, i)
				}
				winner = i
				continue
			}
			wantWrite(t, r, event.WriteConflict)
		}
		if winner < 0 {
			t.Fatalf("round %d has no winner", round)
		}
		entry, _ := p.Get(key)
		if string(entry.Value) != fmt.Sprintf("%d-%d", round, winner) || entry.ModRevision != results[winner].Revision {
			t.Fatalf("round %d: winner %d, stored %q at %d", round, winner, entry.Value, entry.ModRevision)
		}
		revision = entry.ModRevision
	}
}

func open(t *testing.T, c *etcdstore.Client, after int64) store.Watch {
	t.Helper()
	w, err := c.Watch(t.Context(), key, after)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

func wantNext(t *testing.T, w store.Watch, value string) store.Change {
	t.Helper()
	change, err := w.Next()
	if err != nil || string(change.Value) != value {
		t.Fatalf("watch got %q, %v, want %q", change.Value, err, value)
	}
	return change
}

// Guards against a watch that loses changes made before it or while it was
// silent, and against a silent watch that cannot be closed.
func TestWatch(t *testing.T) {
	p, c := pair(t)
	p.Put(key, []byte("a"))
	p.Put("other", []byte("x"))
	w := open(t, c, 0)
	wantNext(t, w, "a")
	p.Put(key, []byte("b"))
	seen := wantNext(t, w, "b")
	set(t, p, platform.Faults{WatchesFrozen: true})
	p.Put(key, []byte("c"))
	ended := make(chan error, 1)
	go func() { _, err := w.Next(); ended <- err }()
	set(t, p, platform.Faults{})
	wantNext(t, open(t, c, seen.Revision), "c")
	w.Close()
	if err := <-ended; !errorx.IsOfType(err, store.ErrWatchEnded) {
		t.Fatalf("the silent watch ended with %v", err)
	}
}

// Guards against a restored store whose older revision goes unnoticed.
func TestRestore(t *testing.T) {
	p, c := pair(t)
	p.Put(key, []byte("a"))
	p.Save("early")
	newer := p.Put(key, []byte("b"))
	w := open(t, c, newer.ModRevision)
	for p.Counters().OpenWatches != 1 {
		time.Sleep(time.Millisecond)
	}
	if err := p.Restore("early"); err != nil {
		t.Fatal(err)
	}
	if _, err := w.Next(); err == nil {
		t.Fatal("the watch outlived the restore")
	}
	read := c.Get(t.Context(), key)
	wantRead(t, read, event.ReadFound, "a")
	if read.Revision >= newer.ModRevision {
		t.Fatalf("revision %d did not go back", read.Revision)
	}
}

// Guards against unbounded answers and against sending a value that the store
// would refuse.
func TestSizes(t *testing.T) {
	p := startPlatform(t, platform.Settings{MaxValue: 4 << 20})
	small := connect(t, 1<<20, p.URL())
	big := bytes.Repeat([]byte("x"), 3<<20)
	wantWrite(t, small.CompareAndSwap(t.Context(), key, big, 0), event.WriteNotSent)
	if n := p.Counters().Writes; n != 0 {
		t.Fatalf("%d oversized writes were sent", n)
	}
	wantWrite(t, small.CompareAndSwap(t.Context(), key, big[:1<<20], 0), event.WriteApplied)
	wantRead(t, small.Get(t.Context(), key), event.ReadFound, string(big[:1<<20]))
	wantNext(t, open(t, small, 0), string(big[:1<<20]))
	entry := p.Put(key, big)
	wantRead(t, small.Get(t.Context(), key), event.ReadFailed, "")
	if _, err := open(t, small, entry.ModRevision-1).Next(); !errorx.IsOfType(err, store.ErrProtocol) {
		t.Fatalf("oversized watch message: %v", err)
	}
	large := connect(t, 16<<20, p.URL())
	wantWrite(t, large.CompareAndSwap(t.Context(), "big", bytes.Repeat([]byte("y"), 5<<20), 0), event.WriteUnknown)
	if _, found := p.Get("big"); found || p.Counters().TooLarge != 1 {
		t.Fatal("the store took an oversized value")
	}
}

// Guards against a rate limit that is not applied.
func TestRateLimit(t *testing.T) {
	p := startPlatform(t, platform.Settings{WritesPerSecond: 1, ReadsPerSecond: 1})
	c := connect(t, 0, p.URL())
	limited := 0
	for range 20 {
		if c.Get(t.Context(), key).Result == event.ReadFailed {
			limited++
		}
	}
	if limited == 0 || p.Counters().RateLimited != uint64(limited) {
		t.Fatalf("%d calls were limited, counted %d", limited, p.Counters().RateLimited)
	}
}

// Guards against staying with an endpoint that is gone, and against trying a
// second endpoint within one call.
func TestSeveralEndpoints(t *testing.T) {
	p := startPlatform(t, platform.Settings{})
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := gone.Addr().String()
	_ = gone.Close()
	c := connect(t, 0, "http://"+address, p.URL())
	wantWrite(t, c.CompareAndSwap(t.Context(), key, []byte("a"), 0), event.WriteNotSent)
	wantWrite(t, c.CompareAndSwap(t.Context(), key, []byte("a"), 0), event.WriteApplied)
}

// Guards against believing an answer that is cut, malformed or for another key,
// and against following a redirect.
func TestUnusableAnswers(t *testing.T) {
	for _, body := range []string{
		``, `{`, `[]`, `{}`, `{"header":{"revision":"7"},"succ`, `{"header":{"revision":"x"},"succeeded":true}`,
		`{"succeeded":true}`, `{"header":{},"kvs":[{"key":"YQ==","mod_revision":"3"}],"succeeded":true}`,
	} {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			_, _ = w.Write([]byte(body))
		}))
		t.Cleanup(server.Close)
		c := connect(t, 0, server.URL)
		if got := c.Get(t.Context(), key); got.Result != event.ReadFailed {
			t.Errorf("%s: read %d", body, got.Result)
		}
		if got := c.CompareAndSwap(t.Context(), key, nil, 0); got.Result != event.WriteUnknown {
			t.Errorf("%s: write %d", body, got.Result)
		}
		if calls.Load() != 2 {
			t.Errorf("%s: %d calls, want 2", body, calls.Load())
		}
	}
	for status, want := range map[int]event.WriteResult{
		http.StatusTooManyRequests:    event.WriteNotSent, // refused before the store looked at it
		http.StatusServiceUnavailable: event.WriteUnknown,
		http.StatusBadRequest:         event.WriteUnknown,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		t.Cleanup(server.Close)
		wantWrite(t, connect(t, 0, server.URL).CompareAndSwap(t.Context(), key, nil, 0), want)
	}
	p := startPlatform(t, platform.Settings{})
	redirect := httptest.NewServer(http.RedirectHandler(p.URL()+"/v3/kv/txn", http.StatusTemporaryRedirect))
	t.Cleanup(redirect.Close)
	wantWrite(t, connect(t, 0, redirect.URL).CompareAndSwap(t.Context(), key, nil, 0), event.WriteUnknown)
	if p.Counters().Writes != 0 {
		t.Fatal("the redirect was followed")
	}
}
