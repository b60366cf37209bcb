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
	"github.com/baobabsail/baobabsail/standin/endless"
	"github.com/baobabsail/baobabsail/standin/platform"
)

const key = "baobabsail/config"

func startPlatform(t *testing.T, s platform.Settings) *platform.Platform {
	t.Helper()
	// By default the rate limits are too high to affect a test; TestRateLimit
	// sets its own.
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

// connect returns a client with timeouts so long that no test reaches them.
func connect(t *testing.T, maxValue int, endpoints ...string) *etcdstore.Client {
	t.Helper()
	c, err := etcdstore.New(etcdstore.Settings{Endpoints: endpoints, MaxValue: maxValue, CallTimeout: time.Hour, DialTimeout: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// startClient starts a stand-in platform and returns it with a client.
func startClient(t *testing.T) (*platform.Platform, *etcdstore.Client) {
	p := startPlatform(t, platform.Settings{})
	return p, connect(t, 0, p.URL())
}

func setFaults(t *testing.T, p *platform.Platform, f platform.Faults) {
	t.Helper()
	if err := p.SetFaults(f); err != nil {
		t.Fatal(err)
	}
}

func wantRead(t *testing.T, got store.Read, result event.ReadResult, value string) {
	t.Helper()
	if got.Result != result || string(got.Value) != value {
		t.Fatalf("read result %d, value %q (error %v), want result %d, value %q", got.Result, got.Value, got.Err, result, value)
	}
}

func wantWrite(t *testing.T, got store.Write, want event.WriteResult) {
	t.Helper()
	if got.Result != want {
		t.Fatalf("write result %d (error %v), want %d", got.Result, got.Err, want)
	}
}

// Guards against reads, writes and conflicts that return a revision which a later
// compare-and-swap cannot use.
func TestReadAndCompareAndSwap(t *testing.T) {
	_, c := startClient(t)
	ctx := t.Context()
	wantRead(t, c.Get(ctx, key), event.ReadAbsent, "")
	first := c.CompareAndSwap(ctx, key, []byte("a"), 0)
	wantWrite(t, first, event.WriteApplied)
	read := c.Get(ctx, key)
	wantRead(t, read, event.ReadFound, "a")
	if read.Revision != first.Revision {
		t.Fatalf("read at revision %d, but written at revision %d", read.Revision, first.Revision)
	}
	conflict := c.CompareAndSwap(ctx, key, []byte("b"), 0)
	wantWrite(t, conflict, event.WriteConflict)
	if conflict.Revision != first.Revision {
		t.Fatalf("conflict reports revision %d, want %d", conflict.Revision, first.Revision)
	}
	wantWrite(t, c.CompareAndSwap(ctx, "other", nil, 0), event.WriteApplied)
	wantWrite(t, c.CompareAndSwap(ctx, key, []byte("b"), first.Revision), event.WriteApplied)
	wantRead(t, c.Get(ctx, key), event.ReadFound, "b")
}

// Guards against reporting a write whose response is lost as anything but unknown,
// and against sending the write again. The store applies the write at once or
// later.
func TestLostAnswer(t *testing.T) {
	p, c := startClient(t)
	ctx := t.Context()
	setFaults(t, p, platform.Faults{LoseWrites: 1})
	wantWrite(t, c.CompareAndSwap(ctx, key, []byte("a"), 0), event.WriteUnknown)
	wantRead(t, c.Get(ctx, key), event.ReadFound, "a")
	if n := p.Counters().Writes; n != 1 {
		t.Fatalf("%d writes arrived, want 1", n)
	}
	setFaults(t, p, platform.Faults{LoseWrites: 1, DelayApplyMS: platform.HoldDelayed})
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

// Guards against reporting "not sent" for a write that may have reached the
// store, and "unknown" for a write to a store that does not listen.
func TestOutage(t *testing.T) {
	p, c := startClient(t)
	ctx := t.Context()
	wantWrite(t, c.CompareAndSwap(ctx, key, []byte("a"), 0), event.WriteApplied)
	setFaults(t, p, platform.Faults{Down: true})
	wantWrite(t, connect(t, 0, p.URL()).CompareAndSwap(ctx, key, []byte("b"), 0), event.WriteNotSent)
	wantRead(t, c.Get(ctx, key), event.ReadFailed, "")
	setFaults(t, p, platform.Faults{})
	// The first reads may fail on a connection that the outage has closed.
	for c.Get(ctx, key).Result != event.ReadFound {
	}
	setFaults(t, p, platform.Faults{StoreFails: true})
	wantWrite(t, c.CompareAndSwap(ctx, key, []byte("b"), 0), event.WriteUnknown)
	setFaults(t, p, platform.Faults{Hang: true})
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

// Guards against two concurrent writers that both succeed with a compare-and-swap
// on the same revision.
func TestConcurrentCompareAndSwapHasOneWinner(t *testing.T) {
	p, c := startClient(t)
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
					t.Fatalf("round %d: writers %d and %d both succeeded", round, winner, i)
				}
				winner = i
				continue
			}
			wantWrite(t, r, event.WriteConflict)
		}
		if winner < 0 {
			t.Fatalf("round %d: no writer succeeded", round)
		}
		entry, _ := p.Get(key)
		if string(entry.Value) != fmt.Sprintf("%d-%d", round, winner) || entry.ModRevision != results[winner].Revision {
			t.Fatalf("round %d: writer %d succeeded, but the store holds %q at revision %d", round, winner, entry.Value, entry.ModRevision)
		}
		revision = entry.ModRevision
	}
}

func openWatch(t *testing.T, c *etcdstore.Client, after int64) store.Watch {
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
		t.Fatalf("watch received %q (error %v), want %q", change.Value, err, value)
	}
	return change
}

// Guards against a watch that loses changes made before it started or while it
// received nothing, and against a stalled watch that cannot be closed.
func TestWatch(t *testing.T) {
	p, c := startClient(t)
	p.Put(key, []byte("a"))
	p.Put("other", []byte("x"))
	w := openWatch(t, c, 0)
	wantNext(t, w, "a")
	p.Put(key, []byte("b"))
	seen := wantNext(t, w, "b")
	setFaults(t, p, platform.Faults{WatchesFrozen: true})
	p.Put(key, []byte("c"))
	ended := make(chan error, 1)
	go func() { _, err := w.Next(); ended <- err }()
	setFaults(t, p, platform.Faults{})
	wantNext(t, openWatch(t, c, seen.Revision), "c")
	w.Close()
	if err := <-ended; !errorx.IsOfType(err, store.ErrWatchEnded) {
		t.Fatalf("the stalled watch ended with %v, want ErrWatchEnded", err)
	}
}

// Guards against a watch that continues after the store is restored from a backup,
// and against a read that hides the lower revision.
func TestRestore(t *testing.T) {
	p, c := startClient(t)
	p.Put(key, []byte("a"))
	p.Save("early")
	newer := p.Put(key, []byte("b"))
	w := openWatch(t, c, newer.ModRevision)
	for p.Counters().OpenWatches != 1 {
		time.Sleep(time.Millisecond)
	}
	if err := p.Restore("early"); err != nil {
		t.Fatal(err)
	}
	if _, err := w.Next(); err == nil {
		t.Fatal("the watch did not end at the restore")
	}
	read := c.Get(t.Context(), key)
	wantRead(t, read, event.ReadFound, "a")
	if read.Revision >= newer.ModRevision {
		t.Fatalf("revision %d is not below the revision before the restore", read.Revision)
	}
}

// Guards against reading a response or watch message of unlimited size, and
// against sending a value that the store would refuse.
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
	wantNext(t, openWatch(t, small, 0), string(big[:1<<20]))
	entry := p.Put(key, big)
	wantRead(t, small.Get(t.Context(), key), event.ReadFailed, "")
	if _, err := openWatch(t, small, entry.ModRevision-1).Next(); !errorx.IsOfType(err, store.ErrProtocol) {
		t.Fatalf("oversized watch message: got error %v, want ErrProtocol", err)
	}
	large := connect(t, 16<<20, p.URL())
	wantWrite(t, large.CompareAndSwap(t.Context(), "big", bytes.Repeat([]byte("y"), 5<<20), 0), event.WriteUnknown)
	if _, found := p.Get("big"); found || p.Counters().TooLarge != 1 {
		t.Fatal("the store accepted an oversized value")
	}
}

// Guards against reads over the store's rate limit that are not reported as failed.
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
		t.Fatalf("%d reads failed, but the store counted %d as rate limited", limited, p.Counters().RateLimited)
	}
}

// Guards against staying with an endpoint that does not listen any more, and
// against trying a second endpoint within one call.
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

// Guards against accepting a response that is truncated, malformed or for another
// key, and against following a redirect.
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
			t.Errorf("response %q: read result %d, want ReadFailed", body, got.Result)
		}
		if got := c.CompareAndSwap(t.Context(), key, nil, 0); got.Result != event.WriteUnknown {
			t.Errorf("response %q: write result %d, want WriteUnknown", body, got.Result)
		}
		if calls.Load() != 2 {
			t.Errorf("response %q: %d calls, want 2", body, calls.Load())
		}
	}
	for status, want := range map[int]event.WriteResult{
		http.StatusTooManyRequests:    event.WriteNotSent, // refused before the store processed it
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

// Guards against reading a response head without end: the client read 10 MiB of it, a large
// part of the memory of a small VM.
func TestEndlessResponseHead(t *testing.T) {
	server, err := endless.NewServer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c := connect(t, 0, "http://"+server.Address())
	read := c.Get(t.Context(), key)
	err = read.Err
	if err == nil {
		t.Error("a head without end is accepted")
	}
	if sent := server.Sent(); sent > maxEndlessBytes {
		t.Errorf("the client took %d bytes", sent)
	}
}

// maxEndlessBytes is the bound of a response head with generous buffers of the sockets.
const maxEndlessBytes = 1 << 20
