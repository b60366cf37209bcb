package forward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// These tests simulate nodes in front of replicas that name a rate limit in their responses.

const (
	// rateWindow is the span in which the requests to a rate-limited replica are counted. In
	// it, rateTolerance times the requests that the limit allows may arrive, and
	// rateAllowance more.
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateAllowance = 5
	// informedAfter is the time from the first response with the limit after which the
	// requests of a node count.
	informedAfter = 500 * time.Millisecond
	// loadStep is the time between two requests of callers.
	loadStep = 10 * time.Millisecond
	// maxRefusalTime is how soon a request is refused that no replica can take: one exchange
	// with an allocator takes 2 ms.
	maxRefusalTime = 20 * time.Millisecond
	// minUsedShare is the fraction of the limits of a service that is used if there is more
	// than enough to do.
	minUsedShare = 0.7
)

// limitedFleet is a fleet some of whose replicas name a rate limit.
type limitedFleet struct {
	*fleet
	// limits holds the rate limits that replicas name, in requests per second.
	limits map[api.ReplicaName]float64
	// informedAt is when a node first got a response with the limit, by node and replica.
	informedAt map[string]time.Time
	// arrivals holds the times at which requests of informed nodes reached each limited
	// replica.
	arrivals map[api.ReplicaName][]time.Time
	// lost holds the nodes that lost power and get no requests of callers.
	lost []string
	// ids holds the requests of callers, sentAt their arrival.
	ids    []string
	sentAt map[string]time.Time
}

func newLimitedFleet(t *testing.T, seed uint64, size fleetSize) *limitedFleet {
	l := &limitedFleet{
		fleet: newFleetOf(t, seed, size, func(int) api.DataCentre { return "dc-a" }), limits: map[api.ReplicaName]float64{},
		informedAt: map[string]time.Time{}, arrivals: map[api.ReplicaName][]time.Time{}, sentAt: map[string]time.Time{},
	}
	l.sendTo = l.sendLimited
	return l
}

// sendLimited runs an attempt at a replica, which names its limit in the response.
func (l *limitedFleet) sendLimited(node int, s Send) {
	limit, limited := l.limits[s.Replica]
	key := fmt.Sprint(node, "/", s.Replica)
	if at, ok := l.informedAt[key]; limited && ok && l.now.Sub(at) >= informedAfter {
		l.arrivals[s.Replica] = append(l.arrivals[s.Replica], l.now)
	}
	took := 5 * time.Millisecond
	if !l.noSlowReplies && l.rng.IntN(20) == 0 {
		took = 120 * time.Millisecond // long enough for a hedge
	}
	replied := Replied{
		Attempt: s.Attempt, Reply: Reply{Kind: ReplyOK, Proof: "proof-" + string(s.Replica), Body: []byte("ab")},
		Status: ReplicaStatus{HasRateLimit: limited, RateLimit: limit},
	}
	l.events = append(l.events, fleetEvent{at: l.now.Add(took), do: func() {
		if _, ok := l.informedAt[key]; limited && !ok {
			l.informedAt[key] = l.now
		}
		l.step(node, replied)
	}})
}

// load sends requests of callers for a time and waits until they are answered.
func (l *limitedFleet) load(path string, d time.Duration) {
	l.send(path, d)
	l.run(time.Second)
}

// send sends requests of callers for a time, more of them to nodes with low numbers.
func (l *limitedFleet) send(path string, d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.run(loadStep) {
		node := min(l.rng.IntN(l.size.nodes), l.rng.IntN(l.size.nodes))
		if slices.Contains(l.lost, nodeName(node)) {
			continue
		}
		id := l.requestWith(node, path, api.Fingerprint(l.next+1))
		l.ids = append(l.ids, id)
		l.sentAt[id] = l.now
	}
}

// checkLimits fails the test if more requests of informed nodes reached a replica in some
// rateWindow than its limit allows.
func (l *limitedFleet) checkLimits() {
	l.t.Helper()
	for replica, limit := range l.limits {
		allowed := int(rateTolerance*limit*rateWindow.Seconds()) + rateAllowance
		times := l.arrivals[replica]
		slices.SortFunc(times, time.Time.Compare)
		from, most := 0, 0
		for i, at := range times {
			for at.Sub(times[from]) > rateWindow {
				from++
			}
			most = max(most, i-from+1)
		}
		if most > allowed {
			l.t.Errorf("%s, limit %.1f a second: %d requests of informed nodes in %v, allowed %d", replica, limit, most, rateWindow, allowed)
		}
	}
}

// rateSizes are fleets of one node, a few, and so many that they are divided into groups.
var rateSizes = []fleetSize{
	{nodes: 1, shards: 4, replicas: 2, accepted: 25},
	{nodes: 8, shards: 4, replicas: 2, accepted: 25},
	{nodes: 60, shards: 16, replicas: 2, accepted: 54},
}

// Guards against replicas that get more requests than the rate limit that they name (LIMIT):
// nodes did not read it. The sum over all nodes counts, whatever the share of each and
// whichever node runs a range of shards.
func TestReplicasStayWithinTheirRateLimit(t *testing.T) {
	for _, size := range rateSizes {
		for _, limit := range []float64{1.1, 5.9, 25} {
			for _, path := range []string{"/all/x", "/one/x"} {
				t.Run(fmt.Sprintf("%d nodes, %.1f a second, %s", size.nodes, limit, path), func(t *testing.T) {
					l := newLimitedFleet(t, 1, size)
					l.load(path, time.Second)
					l.limits[replicaOf(0, 0)] = limit
					l.load(path, 12*time.Second)
					l.checkLimits()
				})
			}
		}
	}
}

// TestRateLimitsAreUsed guards against limits that are wasted: with one share for each node,
// those of the nodes with few callers go unused. It also guards against requests that wait
// although no replica can take them.
func TestRateLimitsAreUsed(t *testing.T) {
	const limit, seconds = 10.0, 10
	for _, size := range rateSizes {
		t.Run(fmt.Sprint(size.nodes, " nodes"), func(t *testing.T) {
			l := newLimitedFleet(t, 1, size)
			l.limits[replicaOf(0, 0)], l.limits[replicaOf(0, 1)] = limit, limit
			l.load("/one/x", time.Second)
			l.ids = nil
			l.load("/one/x", seconds*time.Second)
			l.checkLimits()
			served := 0
			for _, id := range l.ids {
				a := l.answers[id]
				if a.Outcome == api.Answered {
					served++
					continue
				}
				if a.Outcome != api.NotRun || a.Reason != api.ReasonRateLimited || a.RetryAfter <= 0 {
					t.Fatalf("%s ended with %v, %q, retry after %v", id, a.Outcome, a.Reason, a.RetryAfter)
				}
				if took := l.answeredAt[id].Sub(l.sentAt[id]); took > maxRefusalTime {
					t.Errorf("%s is refused after %v", id, took)
				}
			}
			t.Logf("%d requests are served, the limits allow %.0f", served, 2*limit*seconds)
			if allowed := 2 * limit * seconds; float64(served) < minUsedShare*allowed {
				t.Errorf("%d requests are served, the limits allow %.0f", served, allowed)
			}
		})
	}
}

// TestLimitedShardIsLeftOut guards against searches that are late or refused because all
// replicas of one shard are limited.
func TestLimitedShardIsLeftOut(t *testing.T) {
	for _, size := range rateSizes {
		t.Run(fmt.Sprint(size.nodes, " nodes"), func(t *testing.T) {
			l := newLimitedFleet(t, 1, size)
			l.noSlowReplies = true
			l.limits[replicaOf(0, 0)], l.limits[replicaOf(0, 1)] = 2, 2
			l.load("/all/x", 6*time.Second)
			l.checkLimits()
			for _, id := range l.ids {
				a := l.answers[id]
				if a.Outcome != api.Answered || a.Merged.Missing > 1 {
					t.Fatalf("%s ended with %v, %q, parts %+v", id, a.Outcome, a.Reason, a.Merged)
				}
			}
		})
	}
}

// TestReplicaIsUsedAfterItsRateLimit guards against nodes that keep a limit that has ended,
// since a node that sends nothing to a replica does not hear that it names none any more.
func TestReplicaIsUsedAfterItsRateLimit(t *testing.T) {
	for _, size := range rateSizes {
		t.Run(fmt.Sprint(size.nodes, " nodes"), func(t *testing.T) {
			l := newLimitedFleet(t, 1, size)
			l.limits[replicaOf(0, 0)], l.limits[replicaOf(0, 1)] = 5, 5
			l.load("/one/x", 5*time.Second)
			clear(l.limits)
			l.load("/one/x", time.Second)
			l.ids = nil
			l.load("/one/x", 2*time.Second)
			for _, id := range l.ids {
				if a := l.answers[id]; a.Outcome != api.Answered {
					t.Fatalf("%s ended with %v, %q", id, a.Outcome, a.Reason)
				}
			}
		})
	}
}

// TestRateLimitsHoldWithoutAllocators guards against limits that are exceeded or unused while
// nodes do not respond, or while the nodes have different lists of each other.
func TestRateLimitsHoldWithoutAllocators(t *testing.T) {
	for seed := range uint64(10) {
		for _, limit := range []float64{1.1, 8, 25} {
			l := newLimitedFleet(t, seed, rateSizes[1])
			l.limits[replicaOf(0, 0)], l.limits[replicaOf(0, 1)] = limit, limit
			l.load("/one/x", time.Second)
			l.ids = nil
			for range 10 {
				clear(l.unreachable)
				l.unreachable[nodeName(l.rng.IntN(l.size.nodes))] = true
				l.unreachable[nodeName(l.rng.IntN(l.size.nodes))] = true
				behind := l.rng.IntN(l.size.nodes)
				l.step(behind, Members{Nodes: l.size.nodes, Peers: slices.Delete(l.peers(), 2, 3)})
				l.load("/one/x", time.Second)
				l.step(behind, Members{Nodes: l.size.nodes, Peers: l.peers()})
			}
			l.checkLimits()
			served := 0
			for _, id := range l.ids {
				if l.answers[id].Outcome == api.Answered {
					served++
				}
			}
			if allowed := 2 * limit * 10; float64(served) < allowed/2 {
				t.Errorf("seed %d, limit %.1f: %d requests are served, the limits allow %.0f", seed, limit, served, allowed)
			}
		}
	}
}

// TestPermitRequestsAreFew guards against a storm of requests for permits while limits are used
// up: a refused request must not cost more messages than an answered one.
func TestPermitRequestsAreFew(t *testing.T) {
	for _, nodes := range []int{8, 60, 295} {
		l := newLimitedFleet(t, 1, fleetSize{nodes: nodes, shards: 4, replicas: 2, accepted: 25})
		l.limits[replicaOf(0, 0)], l.limits[replicaOf(0, 1)] = 5, 5
		messages := 0
		l.onPermitRequest = func() { messages++ }
		l.load("/one/x", time.Second)
		messages = 0
		requests := len(l.ids)
		l.load("/one/x", 10*time.Second)
		requests = len(l.ids) - requests
		t.Logf("%d nodes: %d messages to allocators for %d requests at two limits of 5 a second", nodes, messages, requests)
		if messages > 2*requests {
			t.Errorf("%d nodes: %d messages for %d requests", nodes, messages, requests)
		}
	}
}

// TestRateLimitsHoldWhileNodesRestart guards against limits that are exceeded while the nodes
// that grant permits stop and start again: a stopping node went on granting permits to itself
// while the others had another allocator.
func TestRateLimitsHoldWhileNodesRestart(t *testing.T) {
	for seed := range uint64(20) {
		for _, limit := range []float64{3, 10} {
			l := newLimitedFleet(t, seed, rateSizes[1])
			l.limits[replicaOf(0, 0)], l.limits[replicaOf(0, 1)] = limit, limit
			l.load("/one/x", 2*time.Second)
			for range 12 {
				l.restart(l.rng.IntN(l.size.nodes))
				l.send("/one/x", 700*time.Millisecond)
			}
			l.checkLimits()
		}
	}
}

// restart stops a node: it takes no calls from other nodes but serves its callers for
// stopTime, and is then replaced by a new process.
func (l *limitedFleet) restart(node int) {
	const stopTime = 2500 * time.Millisecond
	if l.unreachable[nodeName(node)] {
		return
	}
	l.unreachable[nodeName(node)] = true
	l.step(node, Stopping{})
	l.events = append(l.events, fleetEvent{at: l.now.Add(stopTime), do: func() {
		l.engines[node] = l.newEngine(node, l.next)
		l.configure(node, l.peers())
		l.unreachable[nodeName(node)] = false
		for replica := range l.limits {
			delete(l.informedAt, fmt.Sprint(node, "/", replica))
		}
	}})
}
