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

// Guards against a second run, a false "not run", a replay of another result,
// and claims that stay behind, under faults of the store, kills, pauses, wrong
// clocks and resends through other nodes.
func TestStateful(t *testing.T) {
	const partitions, window = 2, 3 * time.Minute
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3, partitions, window)
		for _, h := range w.hosts {
			h.offset = time.Duration(rapid.IntRange(-10, 10).Draw(t, "offset")) * time.Minute
		}
		host := func() *host { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				age := time.Duration(rapid.SampledFrom([]int{0, 4}).Draw(t, "age")) * time.Minute
				payload := "dig"
				if rapid.IntRange(0, 9).Draw(t, "other") == 0 {
					payload = "fill"
				}
				patience := time.Duration(rapid.IntRange(0, 3000).Draw(t, "patience")) * time.Millisecond
				key := keyAt(epoch.Add(-age), byte(rapid.IntRange(0, 1).Draw(t, "key")))
				w.begin(host(), rapid.SampledFrom([]string{"ada", "bo"}).Draw(t, "caller"), key, payload, patience)
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
				if len(w.late) > 0 {
					i := rapid.IntRange(0, len(w.late)-1).Draw(t, "write")
					w.apply(w.late[i])
					w.late = slices.Delete(w.late, i, i+1)
				}
			},
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.SampledFrom([]int{1, 20, 200, 700, 90_000}).Draw(t, "ms")) * time.Millisecond)
			},
			"finish": func(t *rapid.T) {
				if h := host(); len(h.sent) > 0 && !h.paused {
					o := rapid.SampledFrom([]api.Outcome{api.Answered, api.Failed, api.NotRun, api.Unknown}).Draw(t, "outcome")
					w.finish(h, rapid.IntRange(0, len(h.sent)-1).Draw(t, "send"), Finish{Outcome: o, Result: []byte("done")})
				}
			},
			"kill": func(t *rapid.T) {
				if h := host(); rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					w.start(h, partitions, window)
				}
			},
			"pause": func(t *rapid.T) { host().paused = true },
			"wake":  func(t *rapid.T) { w.wake(host()) },
			"": func(t *rapid.T) {
				if err := judgeTrace(w.trace); err != nil {
					t.Fatal(err)
				}
			},
		})
		for _, h := range w.hosts {
			w.wake(h)
		}
		w.settle()
		checkEnd(t, w)
	})
}

// checkEnd checks that a quiet system has decided every request of a live node
// and keeps no claim of a live node that was not sent.
func checkEnd(t *rapid.T, w *world) {
	if err := judgeTrace(w.trace); err != nil {
		t.Fatal(err)
	}
	wasSent := make(map[identity]bool)
	for _, s := range w.trace {
		if s.what == sent {
			who := w.orders[s.request]
			wasSent[identity{who.Work.Key, hash8([]byte(who.Caller), []byte(who.Work.Service))}] = true
		}
	}
	for _, h := range w.hosts {
		if n := h.Outstanding(); n != len(h.sent) {
			t.Fatalf("%d requests or marks left, %d sends open", n, len(h.sent))
		}
	}
	for key, v := range w.values {
		r, err := decodeRecord(v.data)
		if err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		for _, e := range r.entries {
			live := slices.ContainsFunc(w.hosts, func(h *host) bool { return h.life == e.id.life })
			if e.state == stateClaimed && live && !wasSent[e.identity] {
				t.Fatalf("claim %v of a live node was neither sent nor released", e.id)
			}
		}
	}
}

func only(t *testing.T, w *world, id uint64, outcome api.Outcome, reason api.Reason) api.WorkAnswer {
	t.Helper()
	a, ok := w.decided[id]
	if !ok || a.Outcome != outcome || a.Reason != reason {
		t.Fatalf("request %d: %+v (decided %v), want %v %v", id, a, ok, outcome, reason)
	}
	return a
}

// Guards the refusals that need no store, and their order.
func TestRefusedAtOnce(t *testing.T) {
	w := newWorld(1, 2, time.Hour)
	h := w.hosts[0]
	key := keyAt(epoch, 1)
	only(t, w, w.begin(h, "a", api.IdempotencyKey{}, "", time.Second), api.NotRun, api.ReasonMalformed)
	only(t, w, w.begin(h, "a", keyAt(epoch.Add(futureLimit+time.Millisecond), 1), "", time.Second), api.NotRun, api.ReasonKeyFromFuture)
	only(t, w, w.begin(h, "a", key, "", 0), api.NotRun, api.ReasonDeadline)
	w.begin(h, "a", key, "", time.Second)
	a := only(t, w, w.begin(h, "a", key, "", time.Second), api.Unknown, api.ReasonKeyInProgress)
	if a.RetryAfter == 0 {
		t.Error("no retry-after")
	}
}

// Guards the answers to resends through another node.
func TestResend(t *testing.T) {
	w := newWorld(2, 1, time.Hour)
	a, b := w.hosts[0], w.hosts[1]
	key := keyAt(epoch, 1)
	w.begin(a, "a", key, "dig", 9*time.Second)
	w.settle()
	only(t, w, settled(w, w.begin(b, "a", key, "dig", 9*time.Second)), api.Unknown, api.ReasonKeyClaimed)
	only(t, w, settled(w, w.begin(b, "a", key, "fill", 9*time.Second)), api.NotRun, api.ReasonKeyReused)
	w.finish(a, 0, Finish{Outcome: api.Answered, Result: bytes.Repeat([]byte("x"), maxResult+1)})
	w.settle()
	got := only(t, w, settled(w, w.begin(b, "a", key, "dig", 9*time.Second)), api.Answered, api.ReasonTruncated)
	if !got.Replayed || len(got.Result) != maxResult {
		t.Errorf("replayed %v, %d bytes", got.Replayed, len(got.Result))
	}
	old := w.begin(b, "a", keyAt(epoch.Add(-2*time.Hour), 1), "dig", 9*time.Second)
	only(t, w, settled(w, old), api.Unknown, api.ReasonKeyExpired)
}

func settled(w *world, id uint64) uint64 {
	w.settle()
	return id
}

// Guards against a send after the claim was given up, when its write is applied
// later than the read-back, and against the claim staying behind.
func TestLateWriteIsReleased(t *testing.T) {
	w := newWorld(2, 1, time.Hour)
	h := w.hosts[0]
	key := keyAt(epoch, 1)
	id := w.begin(h, "a", key, "dig", 300*time.Millisecond)
	w.serve(0, none) // the first read
	w.serve(0, lateWrite)
	w.advance(time.Second)
	only(t, w, id, api.NotRun, api.ReasonDeadline)
	w.serve(0, none) // read-back, before the write is applied
	w.apply(w.late[0])
	w.settle()
	w.begin(w.hosts[1], "a", key, "dig", time.Second)
	w.settle()
	if n := len(w.hosts[1].sent); n != 1 || len(h.sent) != 0 {
		t.Errorf("%d sends by the second node, %d by the first", n, len(h.sent))
	}
}

// Guards against claims that wait for a failing store, and against more than
// one call at a time to it.
func TestOutage(t *testing.T) {
	w := newWorld(1, 8, time.Hour)
	h := w.hosts[0]
	for n := range byte(8) {
		w.begin(h, "a", keyAt(epoch, n), "dig", time.Minute)
	}
	for range 40 {
		for len(w.calls) > 0 {
			w.serve(0, notSent)
		}
		w.advance(50 * time.Millisecond)
		if h.failures >= outageFailures && len(w.calls) > 1 {
			t.Fatalf("%d calls at once during an outage", len(w.calls))
		}
	}
	for id := uint64(1); id <= 8; id++ {
		if a := only(t, w, id, api.NotRun, api.ReasonStoreUnavailable); a.RetryAfter == 0 {
			t.Error("no retry-after")
		}
	}
	w.settle()
	w.begin(h, "a", keyAt(epoch, 9), "dig", time.Minute)
	w.settle()
	if len(h.sent) != 1 {
		t.Error("not granted after the outage")
	}
}

// Guards the group commit: claims that arrive during a write share the next.
func TestGroupCommit(t *testing.T) {
	w := newWorld(1, 1, time.Hour)
	h := w.hosts[0]
	for n := range byte(50) {
		w.begin(h, "a", keyAt(epoch, n), "dig", time.Minute)
	}
	w.serve(0, none)
	w.begin(h, "a", keyAt(epoch, 60), "dig", time.Minute)
	w.serve(0, none)
	if len(h.sent) != 50 || len(w.calls) != 1 {
		t.Errorf("%d granted by the first write, %d calls", len(h.sent), len(w.calls))
	}
}

// Guards the bound of a record: a full one refuses, takes outcomes, and takes
// claims again after pruning.
func TestRecordFull(t *testing.T) {
	w := newWorld(1, 1, time.Hour)
	h := w.hosts[0]
	full := &record{}
	for i := 0; full.bytes < claimLimit-60; i++ {
		k := keyAt(epoch, 0)
		k[9], k[10], k[11] = byte(i>>16), byte(i>>8), byte(i)
		full.put(entry{identity: identity{key: k}, id: claimID{9, 9}, state: stateClaimed})
	}
	w.apply(event.WriteStore{Key: h.partitions[0].key, Value: full.encode()})
	w.begin(h, "a", keyAt(epoch, 1), "dig", time.Minute)
	refusedID := w.begin(h, "a", keyAt(epoch, 2), "dig", time.Minute)
	w.settle()
	only(t, w, refusedID, api.NotRun, api.ReasonClaimsFull)
	w.finish(h, 0, Finish{Outcome: api.Answered, Result: []byte("done")})
	w.settle()
	if v := w.values[h.partitions[0].key]; len(v.data) > recordLimit {
		t.Errorf("record of %d bytes", len(v.data))
	}
	w.advance(2 * time.Hour)
	w.begin(h, "a", keyAt(w.now, 3), "dig", time.Minute)
	w.settle()
	if len(h.sent) != 1 {
		t.Error("not granted after pruning")
	}
}

// Guards against losing the floor or fields of claims, and against accepting
// damaged records, which would lose claims.
func TestRecordEncoding(t *testing.T) {
	r := &record{floor: -5}
	r.put(entry{identity: identity{key: keyAt(epoch, 2)}, id: claimID{1 << 63, 1 << 40}, state: stateFailed, cut: true, result: strings.Repeat("e", 200)})
	r.put(entry{identity: identity{key: keyAt(epoch, 1)}, id: claimID{1, 2}, digest: [8]byte{7}, state: stateClaimed})
	value := r.encode()
	back, err := decodeRecord(value)
	if err != nil || back.floor != r.floor || back.bytes != r.bytes || !slices.Equal(back.entries, r.entries) {
		t.Fatalf("%+v, %v", back, err)
	}
	for n := range value {
		if _, err := decodeRecord(value[:n]); err == nil {
			t.Errorf("accepted a record cut to %d bytes", n)
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

// Guards against sending on the word of a store that was restored from an older
// copy and has lost claims.
func TestStoreRegressed(t *testing.T) {
	w := newWorld(1, 1, time.Hour)
	h, key := w.hosts[0], keyAt(epoch, 1)
	w.begin(h, "a", key, "dig", time.Minute)
	w.settle()
	w.finish(h, 0, Finish{Outcome: api.Unknown})
	delete(w.values, h.partitions[0].key)
	only(t, w, settled(w, w.begin(h, "a", key, "dig", time.Minute)), api.NotRun, api.ReasonStoreUnavailable)
}

// Guards against a node whose clock is ahead expiring everyone's keys.
func TestClockAhead(t *testing.T) {
	w := newWorld(2, 1, time.Hour)
	w.hosts[0].offset = 48 * time.Hour
	for i, h := range w.hosts {
		w.begin(h, "a", keyAt(epoch, byte(i)), "dig", time.Minute)
		w.settle()
		if len(h.sent) != 1 {
			t.Errorf("node %d: %+v", i, w.decided)
		}
	}
}
