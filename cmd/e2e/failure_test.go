package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// workOrderInterval is the pause of a caller after each work order. It keeps a few
// callers below the 500 writes/s that the store accepts.
const workOrderInterval = 20 * time.Millisecond

// Guards against a second run of a work order that the caller resends after the
// node that held its claim was killed (P5): while the order runs, and right after
// its answer.
func TestNodeKilledBetweenWorkOrderAndResend(t *testing.T) {
	s := newSystem(t, 1, 1, 4)
	s.postAdmin(s.targets["c1"], "/targets/c1/faults", `{"stalled":true}`)
	key := newKey()
	go s.work(0, key, orderBody)
	s.waitFor("start of the work order", func() bool { return s.runCount(key) > 0 })
	s.claimHolder(key).kill()
	for range 2 { // While the order runs, and once it has ended.
		a := s.work(s.runningNode(), key, orderBody)
		if a.Status != http.StatusConflict || a.Outcome != "unknown" || a.RetryAfter == "" {
			t.Errorf("resend: got %+v", a)
		}
		s.postAdmin(s.targets["c1"], "/targets/c1/faults", `{"stalled":false}`)
	}
	if n := s.runCount(key); n != 1 {
		t.Errorf("the order ran %d times", n)
	}

	key = newKey()
	if a := s.work(s.runningNode(), key, orderBody); a.Outcome != "answered" {
		t.Errorf("work order: got %+v", a)
	}
	s.claimHolder(key).kill()
	a := s.work(s.runningNode(), key, orderBody)
	if a.Outcome != "unknown" && !(a.Outcome == "answered" && a.Replayed) {
		t.Errorf("resend after the answer: got %+v", a)
	}
	if n := s.runCount(key); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Guards against a second run of a work order, or a run after its deadline, when
// the node that holds the claim is paused before it sends the order to a target
// (P5).
func TestPausedHolderOfAClaim(t *testing.T) {
	s := newSystem(t, 1, 1, 2)
	for _, deadline := range []time.Duration{20 * time.Second, 2500 * time.Millisecond} {
		t.Run(deadline.String(), func(t *testing.T) {
			s.t = t
			body := fmt.Sprintf(`{"service":"crews","payload":"clear drain 7","deadline_ms":%d}`, deadline.Milliseconds())
			p := s.pauseClaimHolder(body)
			// The resend may be forwarded to the paused node, in which case the
			// answer comes only at the deadline of the resend.
			resend := strings.Replace(orderBody, "{", `{"deadline_ms":1000,`, 1)
			if a := s.work(1, p.key, resend); a.Outcome != "unknown" || a.RetryAfter == "" {
				t.Errorf("resend during the pause: got %+v", a)
			}
			past := deadline < 10*time.Second
			if past {
				time.Sleep(time.Until(p.sent.Add(deadline + 100*time.Millisecond)))
			}
			s.nodes[0].signal(t, syscall.SIGCONT)
			a := <-p.answer
			t.Logf("first answer: %+v", a)
			// A node gives up a claim that has waited for 1 s.
			if a.Outcome != "not_run" && (past || a.Outcome != "answered") {
				t.Errorf("first answer: got %+v", a)
			}
			s.waitFor("answer through the other node", func() bool { return s.work(1, p.key, resend).Outcome == "answered" })
			if n := s.runCount(p.key); n != 1 {
				t.Errorf("the order ran %d times", n)
			}
		})
	}
}

// pausedClaim is a work order whose claim is held by node 0 while that is stopped.
type pausedClaim struct {
	key    string
	sent   time.Time
	answer chan answer
}

// pauseClaimHolder sends work orders through node 0 until it has stopped node 0
// while that holds the claim of an order that it has not sent to a target. Orders
// whose claim node 1 holds run to their end.
func (s *system) pauseClaimHolder(body string) pausedClaim {
	s.t.Helper()
	for range 30 {
		s.waitForIdleStore()
		lost := s.counters().WritesLost
		// The store applies the claim but loses the reply, so that the node
		// learns of it only by reading it back.
		s.postAdmin(s.platform, "/admin/faults", `{"latency_ms":400,"lose_writes":1}`)
		p := pausedClaim{key: newKey(), sent: time.Now(), answer: make(chan answer, 1)}
		go func() { p.answer <- s.work(0, p.key, body) }()
		s.waitFor("lost write", func() bool { return s.counters().WritesLost > lost })
		s.nodes[0].signal(s.t, syscall.SIGSTOP)
		s.postAdmin(s.platform, "/admin/faults", `{"latency_ms":0}`)
		for range 30 {
			time.Sleep(pollInterval)
			if s.runCount(p.key) > 0 {
				break
			}
		}
		if s.runCount(p.key) == 0 {
			return p
		}
		s.nodes[0].signal(s.t, syscall.SIGCONT)
		<-p.answer
	}
	s.t.Fatal("node 0 never held the claim")
	return pausedClaim{}
}

// waitForIdleStore waits until the store applies no more writes of outcomes, so that
// the next write is a claim.
func (s *system) waitForIdleStore() {
	s.t.Helper()
	before := s.counters().WritesApplied
	s.waitFor("idle store", func() bool {
		time.Sleep(300 * time.Millisecond)
		now := s.counters().WritesApplied
		quiet := now == before
		before = now
		return quiet
	})
}

// loadGenerator sends requests from several callers until stop is called, and
// counts those that did not get the expected answer.
type loadGenerator struct {
	done         atomic.Bool
	sent         atomic.Int64
	failed       atomic.Int64
	firstFailure atomic.Pointer[string]
	callers      sync.WaitGroup
}

func startLoad(callers int, sendOne func(i int) (answer, bool)) *loadGenerator {
	l := &loadGenerator{}
	for i := range callers {
		l.callers.Go(func() {
			for !l.done.Load() {
				a, ok := sendOne(i)
				l.sent.Add(1)
				if !ok {
					l.failed.Add(1)
					text := fmt.Sprintf("%+v", a)
					l.firstFailure.CompareAndSwap(nil, &text)
				}
			}
		})
	}
	return l
}

func (l *loadGenerator) stop(t *testing.T, what string) {
	t.Helper()
	l.done.Store(true)
	l.callers.Wait()
	if n := l.failed.Load(); n > 0 {
		t.Errorf("%s: %d of %d requests did not get the expected answer, the first: %s", what, n, l.sent.Load(), *l.firstFailure.Load())
	}
	t.Logf("%s: %d requests", what, l.sent.Load())
}

// Guards against requests that the shutdown of a node on SIGTERM cuts off (P7).
// As a load balancer does, the callers switch to the other node once the readiness
// check of the first one fails.
func TestTermOfANodeUnderLoad(t *testing.T) {
	s := newSystem(t, 2, 1, 2)
	var activeNode atomic.Int64
	searches := startLoad(6, func(int) (answer, bool) {
		a := s.searchWithRetry(int(activeNode.Load()), searchBody)
		return a, a.complete()
	})
	orders := startLoad(2, func(int) (answer, bool) {
		a := s.work(int(activeNode.Load()), newKey(), orderBody)
		time.Sleep(workOrderInterval)
		return a, a.Outcome == "answered"
	})
	time.Sleep(300 * time.Millisecond)
	// This order is still running when the node stops accepting requests.
	s.postAdmin(s.targets["c1"], "/targets/c1/faults", `{"stalled":true}`)
	long := make(chan answer, 1)
	key := newKey()
	go func() { long <- s.work(0, key, orderBody) }()
	s.waitFor("start of the long order", func() bool { return s.runCount(key) > 0 })
	s.nodes[0].signal(t, syscall.SIGTERM)
	s.waitFor("failed readiness", func() bool { return s.readyStatus(0) == http.StatusServiceUnavailable })
	activeNode.Store(1)
	s.waitFor("closed listener", func() bool { return s.readyStatus(0) == 0 })
	if !s.nodes[0].running() {
		t.Error("the node ended with a request in flight")
	}
	s.postAdmin(s.targets["c1"], "/targets/c1/faults", `{"stalled":false}`)
	if a := <-long; a.Outcome != "answered" {
		t.Errorf("order in flight: got %+v", a)
	}
	if code := s.nodes[0].waitExitCode(t); code != 0 {
		t.Errorf("exit code %d", code)
	}
	searches.stop(t, "searches")
	orders.stop(t, "work orders")
}

// Guards against requests that the drain of a target on SIGTERM cuts off, and
// against a second run of their work orders (P6, P7).
func TestTermOfTargetsUnderLoad(t *testing.T) {
	s := newSystem(t, 2, 2, 2)
	searches := startLoad(4, func(i int) (answer, bool) {
		a := s.searchWithRetry(i%2, searchBody)
		return a, a.complete()
	})
	var keys sync.Map
	orders := startLoad(4, func(i int) (answer, bool) {
		key := newKey()
		keys.Store(key, true)
		a := s.work(i%2, key, orderBody)
		time.Sleep(workOrderInterval)
		return a, a.Outcome == "answered"
	})
	time.Sleep(300 * time.Millisecond)
	for _, name := range []string{"r1", "c1"} {
		s.targets[name].signal(t, syscall.SIGTERM)
	}
	for _, name := range []string{"r1", "c1"} {
		if code := s.targets[name].waitExitCode(t); code != 0 {
			t.Errorf("%s: exit code %d", name, code)
		}
	}
	time.Sleep(200 * time.Millisecond)
	searches.stop(t, "searches")
	orders.stop(t, "work orders")
	keys.Range(func(key, _ any) bool {
		if n := s.runCount(key.(string)); n != 1 {
			t.Errorf("order %s ran %d times", key, n)
		}
		return true
	})
}

// Guards against nodes that need the store to start or to serve searches, and
// against a work order that runs or a change that is accepted while the store is
// down.
func TestPlatformDown(t *testing.T) {
	s := newSystem(t, 1, 1, 2)
	s.postAdmin(s.platform, "/admin/faults", `{"down":true}`)
	if a := s.search(0, searchBody); !a.complete() {
		t.Errorf("search: got %+v", a)
	}
	key := newKey()
	a := s.work(1, key, orderBody)
	if a.Status != http.StatusServiceUnavailable || a.Outcome != "not_run" || a.Reason != "store_unavailable" || a.RetryAfter == "" || a.RetryAfterMS <= 0 {
		t.Errorf("work order: got %+v", a)
	}
	if out, code := s.exec(0, "ana", "CHG-2", "drain replica c1"); code == 0 {
		t.Errorf("change: accepted: %s", out)
	}
	s.startNode()
	s.waitReady(2)
	if a := s.search(2, searchBody); !a.complete() {
		t.Errorf("search through the new node: got %+v", a)
	}
	s.postAdmin(s.platform, "/admin/faults", `{"down":false}`)
	s.waitFor("change after the outage", func() bool {
		_, code := s.exec(2, "ana", "CHG-3", "alter service readings max rows 50")
		return code == 0
	})
	s.waitFor("work order after the outage", func() bool { return s.work(1, key, orderBody).Outcome == "answered" })
	if n := s.runCount(key); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Guards against searches that hang on connections that stay open but pass no more
// bytes, and against the loss of their target (P10). There is no other replica to
// answer instead.
func TestSilentConnections(t *testing.T) {
	s := newSystem(t, 1, 0, 1)
	if a := s.search(0, searchBody); !a.complete() {
		t.Fatalf("search: got %+v", a)
	}
	open := s.openConnections("r1")
	s.postAdmin(s.targets["r1"], "/targets/r1/connections", fmt.Sprintf(`{"silence":%d}`, open))
	begin := time.Now()
	quick := strings.Replace(searchBody, "{", `{"deadline_ms":1000,`, 1)
	s.waitFor("answer after the silence", func() bool { return s.search(0, quick).complete() })
	// The design allows 2 s while connections are in use; the rest is a margin for
	// slow machines.
	if took := time.Since(begin); took > 8*time.Second {
		t.Errorf("searches were answered again after %v", took)
	} else {
		t.Logf("searches were answered again after %v", took)
	}
}

// crashUntilRefused sends a search that crashes its targets through both nodes in
// turn until it is refused, and returns the number of targets that have ended.
func (s *system) crashUntilRefused() int {
	s.t.Helper()
	for name, p := range s.targets {
		s.postAdmin(p, "/targets/"+name+"/faults", `{"crash_on":"poison"}`)
	}
	poison := strings.Replace(searchBody, "alarm", "poison", 1)
	tries := 0
	s.waitFor("refusal", func() bool {
		a := s.search(tries%2, poison)
		tries++
		return a.Status == http.StatusServiceUnavailable && a.Outcome == "not_run" && a.Reason == "quarantined" && a.RetryAfter != ""
	})
	for range 4 {
		if a := s.search(tries%2, poison); a.Reason != "quarantined" {
			s.t.Errorf("resend after the refusal: got %+v", a)
		}
		tries++
	}
	gone := 0
	for _, p := range s.targets {
		if !p.running() {
			gone++
		}
	}
	return gone
}

// Guards against a search that crashes one target after another when its caller
// resends it (P9), and against the refusal of other searches that come later.
func TestCrashingSearch(t *testing.T) {
	s := newSystem(t, 4, 0, 2)
	if gone := s.crashUntilRefused(); gone < 1 || gone > 2 {
		t.Errorf("the search crashed %d targets, want 1 or 2", gone)
	}
	for i := range s.nodes {
		s.waitFor("answer to another search", func() bool { return s.search(i, searchBody).complete() })
	}
}

// Guards against the refusal of a search that is in flight on targets that another
// search crashes (P9). It was answered before, so the nodes must not take it for
// the cause of the crashes.
func TestSearchBesideACrashingOne(t *testing.T) {
	s := newSystem(t, 4, 0, 2)
	if a := s.search(0, searchBody); !a.complete() {
		t.Fatalf("search: got %+v", a)
	}
	others := startLoad(4, func(i int) (answer, bool) {
		a := s.search(i%2, searchBody)
		// A search whose target crashed may fail, and its caller may resend it; it
		// must not be refused.
		return a, a.Outcome == "answered" || a.Reason == "connection_lost" || a.Reason == "crashed"
	})
	s.crashUntilRefused()
	others.stop(t, "other searches")
	for i := range s.nodes {
		s.waitFor("answer to the other search", func() bool { return s.search(i, searchBody).complete() })
	}
}

// Guards against two changes to the same revision that are both accepted, and
// against a refusal that does not name the operator who came first (P8).
func TestOperatorsRacing(t *testing.T) {
	s := newSystem(t, 1, 0, 2)
	for round := range 3 {
		var outs [2]string
		var codes [2]int
		var wait sync.WaitGroup
		names := [2]string{"ana", "ben"}
		for i, who := range names {
			wait.Go(func() {
				outs[i], codes[i] = s.exec(i, who, "CHG-race", fmt.Sprintf("expect revision %d alter service readings max rows %d", round+1, 10*round+i+1))
			})
		}
		wait.Wait()
		winner := 0
		if codes[0] != 0 {
			winner = 1
		}
		loser := 1 - winner
		if codes[winner] != 0 || codes[loser] != 1 || !strings.Contains(outs[loser], "conflict") ||
			!strings.Contains(outs[loser], "by "+names[winner]+" came first") {
			t.Fatalf("exit codes %v: %s", codes, strings.Join(outs[:], "\n"))
		}
		s.waitFor("revision at both nodes", func() bool {
			for i := range s.nodes {
				if out, _ := s.exec(i, "x", "", "show history limit 1"); !strings.Contains(out, names[winner]) || !strings.Contains(out, fmt.Sprintf("\n%d ", round+2)) {
					return false
				}
			}
			return true
		})
	}
}

// Guards against a configuration or a work order's outcome that is lost or reverts
// when all nodes are killed and started again.
func TestRestartOfAllNodes(t *testing.T) {
	s := newSystem(t, 1, 1, 2)
	if out, code := s.exec(1, "ana", "CHG-2", "alter service readings max rows 77"); code != 0 {
		t.Fatal(out)
	}
	before, _ := s.exec(1, "x", "", "show configuration")
	written := s.counters().WritesApplied
	key := newKey()
	if a := s.work(0, key, orderBody); a.Outcome != "answered" {
		t.Errorf("work order: got %+v", a)
	}
	// Two writes: the claim, and within 200 ms the outcome.
	s.waitFor("recorded outcome", func() bool { return s.counters().WritesApplied >= written+2 })
	s.nodes[0].kill()
	s.nodes[1].kill()
	for range 2 {
		s.startNode()
	}
	for i := 2; i < 4; i++ {
		s.waitReady(i)
		if after, _ := s.exec(i, "x", "", "show configuration"); after != before || !strings.Contains(after, "77") {
			t.Errorf("node %d has\n%s\nwant\n%s", i, after, before)
		}
		if a := s.search(i, searchBody); !a.complete() {
			t.Errorf("search: got %+v", a)
		}
		if a := s.work(i, key, orderBody); !a.Replayed || s.runCount(key) != 1 {
			t.Errorf("resend: got %+v, %d runs", a, s.runCount(key))
		}
	}
}
