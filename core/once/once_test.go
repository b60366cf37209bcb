package once

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
	"pgregory.net/rapid"
)

// Guards against work orders that are sent twice, a NotRun answer for an order
// that was sent, replays of a wrong result, and claims that are never released.
// Random runs combine store faults, killed and paused nodes, wrong clocks, and
// resends through other nodes.
func TestStateful(t *testing.T) {
	const partitions, window = 2, 3 * time.Minute
	rapid.Check(t, func(t *rapid.T) {
		w := newFakeCluster(3, partitions, window)
		for _, h := range w.nodes {
			h.offset = time.Duration(rapid.IntRange(-10, 10).Draw(t, "offset")) * time.Minute
		}
		randomNode := func() *fakeNode { return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				age := time.Duration(rapid.SampledFrom([]int{0, 4}).Draw(t, "age")) * time.Minute
				payload := "dig"
				if rapid.IntRange(0, 9).Draw(t, "other") == 0 {
					payload = "fill"
				}
				timeout := time.Duration(rapid.IntRange(0, 3000).Draw(t, "patience")) * time.Millisecond
				key := keyAt(epoch.Add(-age), byte(rapid.IntRange(0, 1).Draw(t, "key")))
				w.begin(randomNode(), rapid.SampledFrom([]string{"ada", "bo"}).Draw(t, "caller"), key, payload, timeout)
			},
			"serve": func(t *rapid.T) {
				if len(w.calls) > 0 {
					w.serve(rapid.IntRange(0, len(w.calls)-1).Draw(t, "call"), none)
				}
			},
			"fault": func(t *rapid.T) {
				if len(w.calls) > 0 {
					i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
					w.serve(i, fault(rapid.IntRange(1, int(faults)-1).Draw(t, "fault")))
				}
			},
			"late": func(t *rapid.T) {
				if len(w.lateWrites) > 0 {
					i := rapid.IntRange(0, len(w.lateWrites)-1).Draw(t, "write")
					w.apply(w.lateWrites[i])
					w.lateWrites = slices.Delete(w.lateWrites, i, i+1)
				}
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.SampledFrom([]int{1, 20, 200, 700, 90_000}).Draw(t, "ms")) * time.Millisecond)
			},
			"finish": func(t *rapid.T) {
				if h := randomNode(); len(h.openSends) > 0 && !h.paused {
					o := rapid.SampledFrom([]api.Outcome{api.Answered, api.Failed, api.NotRun, api.Unknown}).Draw(t, "outcome")
					w.finish(h, rapid.IntRange(0, len(h.openSends)-1).Draw(t, "send"), Completion{Outcome: o, Result: []byte("done")})
				}
			},
			"kill": func(t *rapid.T) {
				if h := randomNode(); rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					w.start(h, partitions, window)
				}
			},
			"pause": func(t *rapid.T) { randomNode().paused = true },
			"wake":  func(t *rapid.T) { w.resume(randomNode()) },
			"": func(t *rapid.T) {
				if err := checkTrace(w.trace); err != nil {
					t.Fatal(err)
				}
			},
		})
		for _, h := range w.nodes {
			w.resume(h)
		}
		w.runUntilIdle()
		checkEnd(t, w)
	})
}

// checkEnd checks that an idle cluster has decided every request of a running
// node and that the store holds no claim of a running node that was neither sent
// nor released.
func checkEnd(t *rapid.T, w *fakeCluster) {
	if err := checkTrace(w.trace); err != nil {
		t.Fatal(err)
	}
	wasSent := make(map[claimKey]bool)
	for _, s := range w.trace {
		if s.kind == sent {
			req := w.orders[s.request]
			wasSent[claimKey{req.Work.Key, hash8([]byte(req.Caller), []byte(req.Work.Service))}] = true
		}
	}
	for _, h := range w.nodes {
		if n := h.Outstanding(); n != len(h.openSends) {
			t.Fatalf("%d requests or updates outstanding, %d sends without Finish", n, len(h.openSends))
		}
	}
	for key, v := range w.values {
		r, err := decodeRecord(v.data)
		if err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		for _, e := range r.entries {
			live := slices.ContainsFunc(w.nodes, func(h *fakeNode) bool { return h.life == e.id.life })
			if e.state == stateClaimed && live && !wasSent[e.claimKey] {
				t.Fatalf("claim %v of a live node was neither sent nor released", e.id)
			}
		}
	}
}

// wantAnswer checks that a request was answered with the outcome and reason, and
// returns the answer.
func wantAnswer(t *testing.T, w *fakeCluster, id uint64, outcome api.Outcome, reason api.Reason) api.WorkAnswer {
	t.Helper()
	a, ok := w.decided[id]
	if !ok || a.Outcome != outcome || a.Reason != reason {
		t.Fatalf("request %d: %+v (decided %v), want %v %v", id, a, ok, outcome, reason)
	}
	return a
}

// Guards against wrong reasons for requests that are refused without a store call,
// and against a change in the order of these checks.
func TestRefusedAtOnce(t *testing.T) {
	w := newFakeCluster(1, 2, time.Hour)
	h := w.nodes[0]
	key := keyAt(epoch, 1)
	wantAnswer(t, w, w.begin(h, "a", api.IdempotencyKey{}, "", time.Second), api.NotRun, api.ReasonMalformed)
	wantAnswer(t, w, w.begin(h, "a", keyAt(epoch.Add(maxFutureSkew+time.Millisecond), 1), "", time.Second), api.NotRun, api.ReasonKeyFromFuture)
	wantAnswer(t, w, w.begin(h, "a", key, "", 0), api.NotRun, api.ReasonDeadline)
	w.begin(h, "a", key, "", time.Second)
	a := wantAnswer(t, w, w.begin(h, "a", key, "", time.Second), api.Unknown, api.ReasonKeyInProgress)
	if a.RetryAfter == 0 {
		t.Error("no retry-after")
	}
}

// Guards against wrong answers when a caller resends a work order through another
// node: while it is claimed, with another payload, after its end, and with an
// expired key.
func TestResend(t *testing.T) {
	w := newFakeCluster(2, 1, time.Hour)
	a, b := w.nodes[0], w.nodes[1]
	key := keyAt(epoch, 1)
	w.begin(a, "a", key, "dig", 9*time.Second)
	w.runUntilIdle()
	wantAnswer(t, w, afterIdle(w, w.begin(b, "a", key, "dig", 9*time.Second)), api.Unknown, api.ReasonKeyClaimed)
	wantAnswer(t, w, afterIdle(w, w.begin(b, "a", key, "fill", 9*time.Second)), api.NotRun, api.ReasonKeyReused)
	w.finish(a, 0, Completion{Outcome: api.Answered, Result: bytes.Repeat([]byte("x"), maxResultSize+1)})
	w.runUntilIdle()
	got := wantAnswer(t, w, afterIdle(w, w.begin(b, "a", key, "dig", 9*time.Second)), api.Answered, api.ReasonTruncated)
	if !got.Replayed || len(got.Result) != maxResultSize {
		t.Errorf("replayed %v, %d bytes", got.Replayed, len(got.Result))
	}
	old := w.begin(b, "a", keyAt(epoch.Add(-2*time.Hour), 1), "dig", 9*time.Second)
	wantAnswer(t, w, afterIdle(w, old), api.Unknown, api.ReasonKeyExpired)
}

// afterIdle runs the cluster until it is idle and returns the request.
func afterIdle(w *fakeCluster, id uint64) uint64 {
	w.runUntilIdle()
	return id
}

// Guards against sending an abandoned claim whose write is applied only after the
// record was read back, and against never releasing that claim.
func TestLateWriteIsReleased(t *testing.T) {
	w := newFakeCluster(2, 1, time.Hour)
	h := w.nodes[0]
	key := keyAt(epoch, 1)
	id := w.begin(h, "a", key, "dig", 300*time.Millisecond)
	w.serve(0, none) // the first read
	w.serve(0, lateWrite)
	w.advance(time.Second)
	wantAnswer(t, w, id, api.NotRun, api.ReasonDeadline)
	w.serve(0, none) // reads the record back before the write is applied
	w.apply(w.lateWrites[0])
	w.runUntilIdle()
	w.begin(w.nodes[1], "a", key, "dig", time.Second)
	w.runUntilIdle()
	if n := len(w.nodes[1].openSends); n != 1 || len(h.openSends) != 0 {
		t.Errorf("%d sends by the second node, %d by the first", n, len(h.openSends))
	}
}

// Guards against claims that keep waiting for a failing store, and against more
// than one call at a time to it during an outage.
func TestOutage(t *testing.T) {
	w := newFakeCluster(1, 8, time.Hour)
	h := w.nodes[0]
	for n := range byte(8) {
		w.begin(h, "a", keyAt(epoch, n), "dig", time.Minute)
	}
	for range 40 {
		for len(w.calls) > 0 {
			w.serve(0, notSent)
		}
		w.advance(50 * time.Millisecond)
		if h.failures >= outageThreshold && len(w.calls) > 1 {
			t.Fatalf("%d calls at once during an outage", len(w.calls))
		}
	}
	for id := uint64(1); id <= 8; id++ {
		if a := wantAnswer(t, w, id, api.NotRun, api.ReasonStoreUnavailable); a.RetryAfter == 0 {
			t.Error("no retry-after")
		}
	}
	w.runUntilIdle()
	w.begin(h, "a", keyAt(epoch, 9), "dig", time.Minute)
	w.runUntilIdle()
	if len(h.openSends) != 1 {
		t.Error("not granted after the outage")
	}
}

// Guards against one write per claim: claims that arrive while a store call is in
// flight must share the next write.
func TestGroupCommit(t *testing.T) {
	w := newFakeCluster(1, 1, time.Hour)
	h := w.nodes[0]
	for n := range byte(50) {
		w.begin(h, "a", keyAt(epoch, n), "dig", time.Minute)
	}
	w.serve(0, none)
	w.begin(h, "a", keyAt(epoch, 60), "dig", time.Minute)
	w.serve(0, none)
	if len(h.openSends) != 50 || len(w.calls) != 1 {
		t.Errorf("%d granted by the first write, %d calls", len(h.openSends), len(w.calls))
	}
}

// Guards against a record that exceeds its size limit: a full record must refuse
// claims, still accept outcomes, and accept claims again after pruning.
func TestRecordFull(t *testing.T) {
	w := newFakeCluster(1, 1, time.Hour)
	h := w.nodes[0]
	full := &record{}
	for i := 0; full.bytes < maxSizeWithClaim-60; i++ {
		k := keyAt(epoch, 0)
		k[9], k[10], k[11] = byte(i>>16), byte(i>>8), byte(i)
		full.put(entry{claimKey: claimKey{key: k}, id: claimID{9, 9}, state: stateClaimed})
	}
	w.apply(event.WriteStore{Key: h.partitions[0].key, Value: full.encode()})
	w.begin(h, "a", keyAt(epoch, 1), "dig", time.Minute)
	refusedID := w.begin(h, "a", keyAt(epoch, 2), "dig", time.Minute)
	w.runUntilIdle()
	wantAnswer(t, w, refusedID, api.NotRun, api.ReasonClaimsFull)
	w.finish(h, 0, Completion{Outcome: api.Answered, Result: []byte("done")})
	w.runUntilIdle()
	if v := w.values[h.partitions[0].key]; len(v.data) > maxRecordSize {
		t.Errorf("record of %d bytes", len(v.data))
	}
	w.advance(2 * time.Hour)
	w.begin(h, "a", keyAt(w.now, 3), "dig", time.Minute)
	w.runUntilIdle()
	if len(h.openSends) != 1 {
		t.Error("not granted after pruning")
	}
}

// Guards against losing the floor or fields of claims in the encoding, and against
// accepting damaged records, which would lose claims.
func TestRecordEncoding(t *testing.T) {
	r := &record{floor: -5}
	r.put(entry{claimKey: claimKey{key: keyAt(epoch, 2)}, id: claimID{1 << 63, 1 << 40}, state: stateFailed, truncated: true, result: strings.Repeat("e", 200)})
	r.put(entry{claimKey: claimKey{key: keyAt(epoch, 1)}, id: claimID{1, 2}, digest: [8]byte{7}, state: stateClaimed})
	value := r.encode()
	back, err := decodeRecord(value)
	if err != nil || back.floor != r.floor || back.bytes != r.bytes || !slices.Equal(back.entries, r.entries) {
		t.Fatalf("%+v, %v", back, err)
	}
	for n := range value {
		if _, err := decodeRecord(value[:n]); err == nil {
			t.Errorf("accepted a record truncated to %d bytes", n)
		}
	}
	if _, err := decodeRecord(append(slices.Clone(value), 0)); err == nil {
		t.Error("accepted trailing bytes")
	}
	value[0]++
	if _, err := decodeRecord(value); err == nil {
		t.Error("accepted another version")
	}
}

// Guards against sending a work order again after the store was restored from an
// older copy that lacks the claim.
func TestStoreRegressed(t *testing.T) {
	w := newFakeCluster(1, 1, time.Hour)
	h, key := w.nodes[0], keyAt(epoch, 1)
	w.begin(h, "a", key, "dig", time.Minute)
	w.runUntilIdle()
	w.finish(h, 0, Completion{Outcome: api.Unknown})
	delete(w.values, h.partitions[0].key)
	wantAnswer(t, w, afterIdle(w, w.begin(h, "a", key, "dig", time.Minute)), api.NotRun, api.ReasonStoreUnavailable)
}

// Guards against the keys of all callers expiring because the clock of one node
// is ahead.
func TestClockAhead(t *testing.T) {
	w := newFakeCluster(2, 1, time.Hour)
	w.nodes[0].offset = 48 * time.Hour
	for i, h := range w.nodes {
		w.begin(h, "a", keyAt(epoch, byte(i)), "dig", time.Minute)
		w.runUntilIdle()
		if len(h.openSends) != 1 {
			t.Errorf("node %d: %+v", i, w.decided)
		}
	}
}
