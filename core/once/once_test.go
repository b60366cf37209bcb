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
		c := newFakeCluster(3, partitions, window)
		for _, node := range c.nodes {
			node.offset = time.Duration(rapid.IntRange(-10, 10).Draw(t, "offset")) * time.Minute
		}
		randomNode := func() *fakeNode { return c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")] }
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				age := time.Duration(rapid.SampledFrom([]int{0, 4}).Draw(t, "age")) * time.Minute
				payload := "dig"
				if rapid.IntRange(0, 9).Draw(t, "other") == 0 {
					payload = "fill"
				}
				timeout := time.Duration(rapid.IntRange(0, 3000).Draw(t, "patience")) * time.Millisecond
				key := keyAt(epoch.Add(-age), byte(rapid.IntRange(0, 1).Draw(t, "key")))
				c.begin(randomNode(), rapid.SampledFrom([]string{"ada", "bo"}).Draw(t, "caller"), key, payload, timeout)
			},
			"serve": func(t *rapid.T) {
				if len(c.calls) > 0 {
					c.serve(rapid.IntRange(0, len(c.calls)-1).Draw(t, "call"), none)
				}
			},
			"fault": func(t *rapid.T) {
				if len(c.calls) > 0 {
					i := rapid.IntRange(0, len(c.calls)-1).Draw(t, "call")
					c.serve(i, fault(rapid.IntRange(1, int(faults)-1).Draw(t, "fault")))
				}
			},
			"late": func(t *rapid.T) {
				if len(c.lateWrites) > 0 {
					i := rapid.IntRange(0, len(c.lateWrites)-1).Draw(t, "write")
					c.apply(c.lateWrites[i])
					c.lateWrites = slices.Delete(c.lateWrites, i, i+1)
				}
			},
			"advance": func(t *rapid.T) {
				c.advance(time.Duration(rapid.SampledFrom([]int{1, 20, 200, 700, 90_000}).Draw(t, "ms")) * time.Millisecond)
			},
			"finish": func(t *rapid.T) {
				if node := randomNode(); len(node.openSends) > 0 && !node.paused {
					o := rapid.SampledFrom([]api.Outcome{api.Answered, api.Failed, api.NotRun, api.Unknown}).Draw(t, "outcome")
					c.finish(node, rapid.IntRange(0, len(node.openSends)-1).Draw(t, "send"), Completion{Outcome: o, Result: []byte("done")})
				}
			},
			"kill": func(t *rapid.T) {
				if node := randomNode(); rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					c.start(node, partitions, window)
				}
			},
			"pause": func(t *rapid.T) { randomNode().paused = true },
			"wake":  func(t *rapid.T) { c.resume(randomNode()) },
			"": func(t *rapid.T) {
				if err := checkTrace(c.trace); err != nil {
					t.Fatal(err)
				}
			},
		})
		for _, node := range c.nodes {
			c.resume(node)
		}
		c.runUntilIdle()
		checkEnd(t, c)
	})
}

// checkEnd checks that an idle cluster has decided every request of a running
// node and that the store holds no claim of a running node that was neither sent
// nor released.
func checkEnd(t *rapid.T, c *fakeCluster) {
	if err := checkTrace(c.trace); err != nil {
		t.Fatal(err)
	}
	wasSent := make(map[claimKey]bool)
	for _, s := range c.trace {
		if s.kind == sent {
			req := c.orders[s.request]
			wasSent[claimKey{req.Work.Key, hash8([]byte(req.Caller), []byte(req.Work.Service))}] = true
		}
	}
	for _, node := range c.nodes {
		if n := node.Outstanding(); n != len(node.openSends) {
			t.Fatalf("%d requests or updates outstanding, %d sends without Finish", n, len(node.openSends))
		}
	}
	for key, v := range c.values {
		r, err := decodeRecord(v.data)
		if err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		for _, e := range r.entries {
			running := slices.ContainsFunc(c.nodes, func(node *fakeNode) bool { return node.life == e.id.life })
			if e.state == stateClaimed && running && !wasSent[e.claimKey] {
				t.Fatalf("claim %v of a running node was neither sent nor released", e.id)
			}
		}
	}
}

// wantAnswer checks that a request was answered with the outcome and reason, and
// returns the answer.
func wantAnswer(t *testing.T, c *fakeCluster, id uint64, outcome api.Outcome, reason api.Reason) api.WorkAnswer {
	t.Helper()
	a, ok := c.decided[id]
	if !ok || a.Outcome != outcome || a.Reason != reason {
		t.Fatalf("request %d: %+v (decided %v), want %v %v", id, a, ok, outcome, reason)
	}
	return a
}

// Guards against wrong reasons for requests that are refused without a store call,
// and against a change in the order of these checks.
func TestRefusedAtOnce(t *testing.T) {
	c := newFakeCluster(1, 2, time.Hour)
	node := c.nodes[0]
	key := keyAt(epoch, 1)
	wantAnswer(t, c, c.begin(node, "a", api.IdempotencyKey{}, "", time.Second), api.NotRun, api.ReasonMalformed)
	wantAnswer(t, c, c.begin(node, "a", keyAt(epoch.Add(maxFutureSkew+time.Millisecond), 1), "", time.Second), api.NotRun, api.ReasonKeyFromFuture)
	wantAnswer(t, c, c.begin(node, "a", key, "", 0), api.NotRun, api.ReasonDeadline)
	c.begin(node, "a", key, "", time.Second)
	a := wantAnswer(t, c, c.begin(node, "a", key, "", time.Second), api.Unknown, api.ReasonKeyInProgress)
	if a.RetryAfter == 0 {
		t.Error("no retry-after")
	}
}

// Guards against wrong answers when a caller resends a work order through another
// node: while it is claimed, with another payload, after its end, and with an
// expired key.
func TestResend(t *testing.T) {
	c := newFakeCluster(2, 1, time.Hour)
	a, b := c.nodes[0], c.nodes[1]
	key := keyAt(epoch, 1)
	c.begin(a, "a", key, "dig", 9*time.Second)
	c.runUntilIdle()
	wantAnswer(t, c, afterIdle(c, c.begin(b, "a", key, "dig", 9*time.Second)), api.Unknown, api.ReasonKeyClaimed)
	wantAnswer(t, c, afterIdle(c, c.begin(b, "a", key, "fill", 9*time.Second)), api.NotRun, api.ReasonKeyReused)
	c.finish(a, 0, Completion{Outcome: api.Answered, Result: bytes.Repeat([]byte("x"), maxResultSize+1)})
	c.runUntilIdle()
	got := wantAnswer(t, c, afterIdle(c, c.begin(b, "a", key, "dig", 9*time.Second)), api.Answered, api.ReasonTruncated)
	if !got.Replayed || len(got.Result) != maxResultSize {
		t.Errorf("replayed %v, %d bytes", got.Replayed, len(got.Result))
	}
	old := c.begin(b, "a", keyAt(epoch.Add(-2*time.Hour), 1), "dig", 9*time.Second)
	wantAnswer(t, c, afterIdle(c, old), api.Unknown, api.ReasonKeyExpired)
}

// afterIdle runs the cluster until it is idle and returns the request.
func afterIdle(c *fakeCluster, id uint64) uint64 {
	c.runUntilIdle()
	return id
}

// Guards against sending an abandoned claim whose write is applied only after the
// record was read back, and against never releasing that claim.
func TestLateWriteIsReleased(t *testing.T) {
	c := newFakeCluster(2, 1, time.Hour)
	node := c.nodes[0]
	key := keyAt(epoch, 1)
	id := c.begin(node, "a", key, "dig", 300*time.Millisecond)
	c.serve(0, none) // the first read
	c.serve(0, lateWrite)
	c.advance(time.Second)
	wantAnswer(t, c, id, api.NotRun, api.ReasonDeadline)
	c.serve(0, none) // reads the record back before the write is applied
	c.apply(c.lateWrites[0])
	c.runUntilIdle()
	c.begin(c.nodes[1], "a", key, "dig", time.Second)
	c.runUntilIdle()
	if n := len(c.nodes[1].openSends); n != 1 || len(node.openSends) != 0 {
		t.Errorf("%d sends by the second node, %d by the first", n, len(node.openSends))
	}
}

// Guards against claims that keep waiting for a failing store, and against more
// than one call at a time to it during an outage.
func TestOutage(t *testing.T) {
	c := newFakeCluster(1, 8, time.Hour)
	node := c.nodes[0]
	for n := range byte(8) {
		c.begin(node, "a", keyAt(epoch, n), "dig", time.Minute)
	}
	for range 40 {
		for len(c.calls) > 0 {
			c.serve(0, notSent)
		}
		c.advance(50 * time.Millisecond)
		if node.failures >= outageThreshold && len(c.calls) > 1 {
			t.Fatalf("%d calls at once during an outage", len(c.calls))
		}
	}
	for id := uint64(1); id <= 8; id++ {
		if a := wantAnswer(t, c, id, api.NotRun, api.ReasonStoreUnavailable); a.RetryAfter == 0 {
			t.Error("no retry-after")
		}
	}
	c.runUntilIdle()
	c.begin(node, "a", keyAt(epoch, 9), "dig", time.Minute)
	c.runUntilIdle()
	if len(node.openSends) != 1 {
		t.Error("not granted after the outage")
	}
}

// Guards against one write per claim: claims that arrive while a store call is in
// flight must share the next write.
func TestGroupCommit(t *testing.T) {
	c := newFakeCluster(1, 1, time.Hour)
	node := c.nodes[0]
	for n := range byte(50) {
		c.begin(node, "a", keyAt(epoch, n), "dig", time.Minute)
	}
	c.serve(0, none)
	c.begin(node, "a", keyAt(epoch, 60), "dig", time.Minute)
	c.serve(0, none)
	if len(node.openSends) != 50 || len(c.calls) != 1 {
		t.Errorf("%d granted by the first write, %d calls", len(node.openSends), len(c.calls))
	}
}

// Guards against a record that exceeds its size limit: a full record must refuse
// claims, still accept outcomes, and accept claims again after pruning.
func TestRecordFull(t *testing.T) {
	c := newFakeCluster(1, 1, time.Hour)
	node := c.nodes[0]
	full := &record{}
	for i := 0; full.bytes < maxSizeWithClaim-60; i++ {
		k := keyAt(epoch, 0)
		k[9], k[10], k[11] = byte(i>>16), byte(i>>8), byte(i)
		full.put(entry{claimKey: claimKey{key: k}, id: claimID{9, 9}, state: stateClaimed})
	}
	c.apply(event.WriteStore{Key: node.partitions[0].key, Value: full.encode()})
	c.begin(node, "a", keyAt(epoch, 1), "dig", time.Minute)
	refusedID := c.begin(node, "a", keyAt(epoch, 2), "dig", time.Minute)
	c.runUntilIdle()
	wantAnswer(t, c, refusedID, api.NotRun, api.ReasonClaimsFull)
	c.finish(node, 0, Completion{Outcome: api.Answered, Result: []byte("done")})
	c.runUntilIdle()
	if v := c.values[node.partitions[0].key]; len(v.data) > maxRecordSize {
		t.Errorf("record of %d bytes", len(v.data))
	}
	c.advance(2 * time.Hour)
	c.begin(node, "a", keyAt(c.now, 3), "dig", time.Minute)
	c.runUntilIdle()
	if len(node.openSends) != 1 {
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
	c := newFakeCluster(1, 1, time.Hour)
	node, key := c.nodes[0], keyAt(epoch, 1)
	c.begin(node, "a", key, "dig", time.Minute)
	c.runUntilIdle()
	c.finish(node, 0, Completion{Outcome: api.Unknown})
	delete(c.values, node.partitions[0].key)
	wantAnswer(t, c, afterIdle(c, c.begin(node, "a", key, "dig", time.Minute)), api.NotRun, api.ReasonStoreUnavailable)
}

// Guards against the keys of all callers expiring because the clock of one node
// is ahead.
func TestClockAhead(t *testing.T) {
	c := newFakeCluster(2, 1, time.Hour)
	c.nodes[0].offset = 48 * time.Hour
	for i, node := range c.nodes {
		c.begin(node, "a", keyAt(epoch, byte(i)), "dig", time.Minute)
		c.runUntilIdle()
		if len(node.openSends) != 1 {
			t.Errorf("node %d: %+v", i, c.decided)
		}
	}
}
