package forward

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Guards against new requests to a replica that is draining, was removed, or whose
// address now belongs to another replica.
func TestLeavingReplicaGetsNoNewWork(t *testing.T) {
	leave := map[string]func(h *harness){
		"draining": func(h *harness) {
			r := registration(0, 0)
			r.Draining, r.Sequence = true, 2
			h.step(ReplicaRegistered{Registration: r})
		},
		"removed": func(h *harness) { h.step(ReplicaUnregistered{Replica: replicaOf(0, 0)}) },
		"address reused": func(h *harness) {
			for {
				h.request("/one/x")
				s := h.takeSends()[0]
				if s.Replica == replicaOf(0, 0) {
					h.reply(s, Reply{Kind: ReplyMisdirected})
					return
				}
				h.ok(s, "")
			}
		},
	}
	for name, do := range leave {
		h := ready(t, 1)
		do(h)
		h.takeSends()
		for range 20 {
			h.request("/one/x")
			for _, s := range h.takeSends() {
				if s.Replica == replicaOf(0, 0) {
					t.Fatalf("%s: the replica still gets requests", name)
				}
				h.ok(s, "")
			}
		}
	}
}

// Guards against dropping running replicas because their registrations lapsed during an
// outage of the store, and against keeping replicas that have ended.
func TestRegistrationsThatLapsedInAnOutage(t *testing.T) {
	h := ready(t, 1)
	h.step(StoreLost{})
	h.step(ReplicaUnregistered{Replica: replicaOf(0, 0)})
	h.advance(10 * time.Second)
	h.unanswered(h.request("/one/x"))
	h.step(StoreBack{})
	h.step(ReplicaUnregistered{Replica: replicaOf(0, 1)})
	h.advance(1500 * time.Millisecond)
	h.step(ReplicaRegistered{Registration: registration(0, 1)})
	h.advance(time.Second)
	if len(h.e.registry.entries) != 1 {
		t.Fatalf("%d registrations, want only the one that came back", len(h.e.registry.entries))
	}
	h.takeSends()
	h.request("/one/x")
	if s := h.takeSends()[0]; s.Replica != replicaOf(0, 1) {
		t.Errorf("sent to %s", s.Replica)
	}
}

// Guards against dropping replicas at once that the first list after an outage lacks.
func TestListAfterAnOutage(t *testing.T) {
	h := ready(t, 1)
	h.step(StoreLost{})
	h.step(StoreBack{})
	h.step(RegistryRead{Registrations: []Registration{registration(0, 1)}})
	if len(h.e.registry.entries) != 2 {
		t.Error("a registration was dropped at once")
	}
	h.advance(3 * time.Second)
	if len(h.e.registry.entries) != 1 {
		t.Error("a registration that did not come back is kept")
	}
}

// Guards against choosing an unresponsive replica again and again: while an attempt at
// it is overdue, others are preferred, and once the attempt has stalled the replica gets
// only single probes.
func TestSilentReplicaIsAvoided(t *testing.T) {
	h := ready(t, 1)
	unresponsive := replicaOf(0, 0)
	unanswered := 0
	for i := range 200 {
		h.request("/one/x")
		for _, s := range h.takeSends() {
			if s.Replica == unresponsive {
				unanswered++
				continue
			}
			h.advance(5 * time.Millisecond)
			h.ok(s, "")
		}
		h.advance(5 * time.Millisecond)
		for _, s := range h.takeSends() {
			if s.Replica == unresponsive {
				unanswered++
			} else {
				h.ok(s, "")
			}
		}
		if i == 100 {
			unanswered = 0
		}
	}
	if unanswered > 10 {
		t.Errorf("%d of 100 requests went to a replica that has been unresponsive for a second", unanswered)
	}
	if !h.e.replicas.Suspect(unresponsive) {
		t.Error("the replica is not suspect")
	}
}

// Guards against treating a restarted replica by the failures of its previous process.
func TestRestartedReplicaStartsAnew(t *testing.T) {
	h := ready(t, 1)
	for range 5 {
		h.e.replicas.Lost(h.now, replicaOf(0, 0))
	}
	r := registration(0, 0)
	r.ProcessStart = 2
	h.step(ReplicaRegistered{Registration: r})
	if h.e.replicas.Suspect(replicaOf(0, 0)) {
		t.Error("a new process is suspect for the failures of the old one")
	}
	if len(h.e.registry.byService[shard(0)]) != 2 {
		t.Errorf("replicas %v", h.e.registry.byService[shard(0)])
	}
}

// Guards against opening more connections to a replica than this node's share.
func TestConnectionsPerReplicaAreBounded(t *testing.T) {
	h := ready(t, 1)
	h.step(Members{Nodes: 20})
	for range 50 {
		h.request("/one/x")
	}
	perReplica := map[api.ReplicaName]int{}
	for _, s := range h.takeSends() {
		perReplica[s.Replica]++
	}
	for name, n := range perReplica {
		if n > 1 { // 25 connections, 20 nodes
			t.Errorf("%d connections to %s", n, name)
		}
	}
}

// Guards against a storm of new connections to a replica whose limit is used up by the
// connections of lost nodes: once a connection was not accepted, new ones are opened
// rarely, while the open one stays in use. Requests that got no connection are not lost.
func TestConnectionsAtTheLimitAreNotOpenedAgainAtOnce(t *testing.T) {
	h := newHarness(t, nil)
	h.table(1, 1)
	h.replicas(1, 1)
	h.step(ConnOpened{Replica: replicaOf(0, 0)})
	ended, served := 0, 0
	for range 200 {
		h.request("/one/x")
		h.request("/one/y")
		sends := h.takeSends()
		if len(sends) == 0 {
			t.Fatal("the open connection is not used")
		}
		for _, s := range sends[1:] { // each beyond the first needs a new connection
			ended++
			h.step(Lost{Attempt: s.Attempt, Loss: LostLimited})
		}
		h.advance(5 * time.Millisecond)
		for pending := sends[:1]; len(pending) > 0; pending = h.takeSends() {
			served += len(pending)
			for _, s := range pending {
				h.ok(s, "")
			}
		}
		h.advance(5 * time.Millisecond)
		h.takeSends()
	}
	if ended > 40 || served < 300 {
		t.Errorf("%d new connections in 2 s, %d requests served over the open one", ended, served)
	}
}

// Guards against sharded requests that wait until their target time for a shard whose
// replicas are all unresponsive, and against leaving out such a shard long after they
// answer again.
func TestSilentShardIsLeftOutAndFoundAgain(t *testing.T) {
	h := ready(t, 4)
	unresponsive := true
	run := func(n int) (late, partial int) {
		for range n {
			id := h.request("/all/x")
			startedAt := h.now
			for h.now.Sub(startedAt) < 100*time.Millisecond {
				for _, s := range h.takeSends() {
					if !unresponsive || s.Replica != replicaOf(0, 0) && s.Replica != replicaOf(0, 1) {
						h.ok(s, "aa")
					}
				}
				if a, ok := h.answers[id]; ok {
					if a.Merged != nil && a.Merged.Missing > 0 {
						partial++
					}
					break
				}
				h.advance(time.Millisecond)
			}
			if h.now.Sub(startedAt) > 30*time.Millisecond {
				late++
			}
			h.advance(10 * time.Millisecond)
		}
		return late, partial
	}
	run(50)
	if late, _ := run(200); late > 30 {
		t.Errorf("%d of 200 requests waited for the unresponsive shard", late)
	}
	unresponsive = false
	h.advance(5 * time.Second)
	run(5)
	if _, partial := run(100); partial > 0 {
		t.Errorf("%d of 100 answers leave out a shard that answers", partial)
	}
}

// Guards against more nodes connecting to a replica than it accepts when there are more
// nodes than connections, and against a node that has no replica of some shard.
func TestNodesShareReplicasThatAcceptFewConnections(t *testing.T) {
	const nodes, shards, each, accepted = 63, 90, 3, 54
	users := make(map[api.ReplicaName]int)
	for n := range nodes {
		h := newHarness(t, func(s *Settings) { s.Node = fmt.Sprint("node-", n) })
		h.step(Members{Nodes: nodes})
		h.accepted = accepted
		h.table(1, shards)
		h.replicas(shards, each)
		used := make(map[api.ReplicaName]bool)
		for range 20 {
			h.request("/all/x")
			for _, s := range h.takeSends() {
				used[s.Replica] = true
				h.ok(s, "aa")
			}
		}
		if len(used) < shards {
			t.Errorf("node %d uses %d replicas of %d shards", n, len(used), shards)
		}
		for name := range used {
			users[name]++
		}
	}
	most := 0
	for _, n := range users {
		most = max(most, n)
	}
	t.Logf("at most %d of %d nodes use one replica, which accepts %d connections", most, nodes, accepted)
	if most > accepted {
		t.Errorf("%d nodes use one replica", most)
	}
}

// Guards against each request waiting until its deadline for a service whose replicas are
// all unresponsive: after the first requests, the others are refused at once.
func TestRequestsToASilentServiceAreRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/one/x", "/order/x"} {
		h := ready(t, 1)
		waited := 0
		for range 30 {
			id := h.request(path)
			startedAt := h.now
			for h.answers[id].Outcome == 0 {
				h.advance(10 * time.Millisecond)
			}
			if h.now.Sub(startedAt) > 100*time.Millisecond {
				waited++
			} else if a := h.answer(id); a.Outcome != api.NotRun {
				t.Errorf("%s: answer %+v", path, a)
			}
			h.takeSends()
			h.advance(10 * time.Millisecond)
		}
		if waited > 8 { // two at first, then single probes
			t.Errorf("%s: %d of 30 requests waited", path, waited)
		}
	}
}

// Guards against a node that keeps using its preferred replica although it has become slow,
// because other nodes prefer the fast ones of the same shard.
func TestSlowPreferredReplicaIsLeft(t *testing.T) {
	const shards, slow = 8, 60 * time.Millisecond
	h := newHarness(t, func(s *Settings) { s.Node = "node-1" })
	h.step(Members{Nodes: 40})
	h.table(1, shards)
	h.replicas(shards, 2)
	preferred := make(map[api.ReplicaName]bool)
	run := func(times int, slowReplicas map[api.ReplicaName]bool) (toSlow int) {
		for range times {
			h.request("/all/x")
			var late []Send
			for _, s := range h.takeSends() {
				preferred[s.Replica] = true
				if slowReplicas[s.Replica] {
					toSlow++
					late = append(late, s)
					continue
				}
				h.advance(time.Millisecond)
				h.ok(s, "aa")
			}
			h.advance(slow)
			for _, s := range late {
				h.ok(s, "aa")
			}
			for _, s := range h.takeSends() { // hedges
				h.ok(s, "aa")
			}
			h.advance(200 * time.Millisecond)
		}
		return toSlow
	}
	run(40, nil)
	one := slices.Sorted(maps.Keys(preferred))[0]
	if got := run(40, map[api.ReplicaName]bool{one: true}); got > 12 {
		t.Errorf("%d of 40 requests went to the slow replica first", got)
	}
	// The node must keep its preferred replicas for the other shards.
	if len(preferred) > shards+2 {
		t.Errorf("%d replicas of %d shards in use", len(preferred), shards)
	}
}
