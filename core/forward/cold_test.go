package forward

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/ratelimit"
	"github.com/baobabsail/baobabsail/core/routing"
)

// These tests simulate nodes in front of replicas that restart and are cold afterwards.

const (
	coldTime      = 6 * time.Second
	coldDowntime  = time.Second
	coldPerSecond = 3.0
	// coldAllowed is the number of requests that may reach a cold replica in any second.
	coldAllowed = 1.5*coldPerSecond + 5
)

// withColdLimit returns a configuration whose services state a limit for cold replicas.
func withColdLimit(h *harness, version uint64, shards int, perSecond float64) TableRead {
	t := h.newTable(version, shards)
	services := make(map[api.ServiceName]routing.Service, len(t.Services))
	for name, s := range t.Services {
		s.ColdStart, s.ColdPerSecond = coldTime, perSecond
		services[name] = s
	}
	t.Services = services
	return TableRead{Table: t}
}

// coldFleet is a fleet some of whose replicas restart.
type coldFleet struct {
	*limitedFleet
	// down holds the replicas that are not running, upAt the last start of those that
	// restarted.
	down map[api.ReplicaName]bool
	upAt map[api.ReplicaName]time.Time
	// connected holds the nodes with an open connection, by replica.
	connected map[api.ReplicaName]map[int]bool
	// isolated holds the nodes that have neither the store nor other nodes.
	isolated map[int]bool
}

func newColdFleet(t *testing.T, seed uint64, size fleetSize) *coldFleet {
	c := &coldFleet{
		limitedFleet: newLimitedFleet(t, seed, size), down: map[api.ReplicaName]bool{}, upAt: map[api.ReplicaName]time.Time{},
		connected: map[api.ReplicaName]map[int]bool{}, isolated: map[int]bool{},
	}
	c.noSlowReplies = true
	c.sendTo, c.otherActions = c.sendCold, c.sendNotices
	for node := range size.nodes {
		c.step(node, withColdLimit(&harness{accepted: size.accepted}, 2, size.shards, coldPerSecond))
		c.step(node, RegistryRead{Registrations: allRegistrations(size)})
	}
	return c
}

// sendNotices delivers notices that nodes send to each other.
func (c *coldFleet) sendNotices(node int, a Action) {
	s, ok := a.(SendNotices)
	if !ok || c.isolated[node] {
		return
	}
	for _, address := range s.Addresses {
		var to int
		if _, err := fmt.Sscanf(address, "n%d:1", &to); err != nil {
			c.t.Fatalf("%s sends notices to %q", nodeName(node), address)
		}
		if !c.isolated[to] {
			c.later(time.Millisecond, to, NoticesRead{Notices: s.Notices, PassOn: s.PassOn})
		}
	}
}

func allRegistrations(size fleetSize) []Registration {
	var list []Registration
	for s := range size.shards {
		for i := range size.replicas {
			list = append(list, registration(s, i))
		}
	}
	return list
}

func (c *coldFleet) sendCold(node int, s Send) {
	if c.down[s.Replica] {
		c.later(time.Millisecond, node, Lost{Attempt: s.Attempt, Loss: LostRefused})
		return
	}
	if c.connected[s.Replica] == nil {
		c.connected[s.Replica] = map[int]bool{}
	}
	if !c.connected[s.Replica][node] {
		c.connected[s.Replica][node] = true
		c.later(0, node, ConnOpened{Replica: s.Replica, Attempt: s.Attempt})
	}
	if up, ok := c.upAt[s.Replica]; ok && c.now.Sub(up) < coldTime {
		c.arrivals[s.Replica] = append(c.arrivals[s.Replica], c.now)
	}
	c.limitedFleet.sendLimited(node, s)
}

// restart ends the process of a replica and starts another one after coldDowntime. The nodes
// read its registration up to maxLag later.
func (c *coldFleet) restartReplica(service, i int, maxLag time.Duration) {
	name := replicaOf(service, i)
	c.down[name] = true
	for node := range c.size.nodes {
		if c.connected[name][node] {
			c.later(time.Millisecond, node, ConnEnded{Replica: name, ByReplica: true})
		}
	}
	delete(c.connected, name)
	reg := registration(service, i)
	reg.ProcessStart, reg.ColdFor = 2, coldTime
	c.events = append(c.events, fleetEvent{at: c.now.Add(coldDowntime), do: func() {
		delete(c.down, name)
		c.upAt[name] = c.now
		for node := range c.size.nodes {
			if !c.isolated[node] {
				c.later(time.Duration(c.rng.Int64N(int64(maxLag))), node, ReplicaRegistered{Registration: reg})
			}
		}
	}})
}

// isolate cuts a node off from the store and from the other nodes.
func (c *coldFleet) isolate(node int) {
	c.isolated[node], c.unreachable[nodeName(node)] = true, true
	c.step(node, StoreLost{})
}

// checkCold fails the test if more requests reached a cold replica in some second than its
// bound allows.
func (c *coldFleet) checkCold() {
	c.t.Helper()
	for name := range c.upAt {
		times := c.arrivals[name]
		slices.SortFunc(times, time.Time.Compare)
		from, most := 0, 0
		for i, at := range times {
			for at.Sub(times[from]) > time.Second {
				from++
			}
			most = max(most, i-from+1)
		}
		if float64(most) > coldAllowed {
			c.t.Errorf("%d nodes, %s: %d requests in a second, allowed %.1f", c.size.nodes, name, most, coldAllowed)
		}
	}
}

// Guards against a replica that crashes because it gets more requests than it can take after a
// restart: from nodes that know of it, that learn of it late, or that are cut off.
func TestColdReplicasStayWithinTheirLimit(t *testing.T) {
	for _, size := range rateSizes {
		for _, path := range []string{"/all/x", "/one/x"} {
			for _, isolated := range []int{0, size.nodes / 3} {
				t.Run(fmt.Sprintf("%d nodes, %d cut off, %s", size.nodes, isolated, path), func(t *testing.T) {
					c := newColdFleet(t, 1, size)
					c.load(path, 8*time.Second)
					for node := range isolated {
						c.isolate(node)
					}
					c.restartReplica(0, 0, 3*time.Second)
					c.load(path, coldDowntime+coldTime+time.Second)
					c.checkCold()
				})
			}
		}
	}
}

// Guards against cold replicas that get far fewer requests than they can take, while no other
// replica of the service is left.
func TestColdLimitIsUsedIfAllReplicasAreCold(t *testing.T) {
	for _, size := range rateSizes {
		c := newColdFleet(t, 1, size)
		c.load("/one/x", 8*time.Second)
		for i := range size.replicas {
			c.restartReplica(0, i, time.Second)
		}
		c.load("/one/x", coldDowntime+coldTime+time.Second)
		c.checkCold()
		got := 0
		for i := range size.replicas {
			got += len(c.arrivals[replicaOf(0, i)])
		}
		most := coldPerSecond * coldTime.Seconds() * float64(size.replicas)
		t.Logf("%d nodes: %d requests reach the cold replicas, which can take %.0f", size.nodes, got, most)
		if float64(got) < minUsedShare*most {
			t.Errorf("%d nodes: %d requests reach the cold replicas, which can take %.0f", size.nodes, got, most)
		}
	}
}

// Guards against replicas that crash when a whole data centre returns: all of them are cold at
// the same time.
func TestAllReplicasOfADataCentreReturnCold(t *testing.T) {
	for _, size := range rateSizes {
		c := newColdFleet(t, 2, size)
		c.load("/all/x", 8*time.Second)
		for s := range size.shards {
			c.restartReplica(s, 0, 3*time.Second)
		}
		c.load("/all/x", coldDowntime+coldTime+time.Second)
		c.checkCold()
		if len(c.upAt) != size.shards {
			t.Fatalf("%d replicas restarted, want %d", len(c.upAt), size.shards)
		}
	}
}

// Guards against cold limits without which a configuration has none: permits are then needed by
// nobody.
func TestNoColdLimitWithoutConfiguration(t *testing.T) {
	h := ready(t, 1)
	reg := registration(0, 0)
	reg.ProcessStart, reg.ColdFor = 2, time.Minute
	h.step(ReplicaRegistered{Registration: reg})
	h.step(ConnOpened{Replica: reg.Replica})
	h.step(ConnEnded{Replica: reg.Replica, ByReplica: true})
	if h.e.limits.limiter.Limited(reg.Replica) {
		t.Error("the replica needs permits")
	}
}

// Guards against a cold replica that is taken for a warm one: when its entry changes, lapses and
// returns, or is read again from an older copy of the store, and in the other direction against
// a limit that never ends.
func TestColdStateFollowsTheReplica(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.ColdBounds = ratelimit.ColdBounds{Overage: 1.5, Slack: 5} })
	h.step(withColdLimit(h, 1, 1, coldPerSecond))
	reg := registration(0, 0)
	h.step(RegistryRead{Registrations: []Registration{reg, registration(0, 1)}})
	cold := func(step string, want bool) {
		t.Helper()
		if got := h.e.limits.limiter.Cold(reg.Replica); got != want {
			t.Errorf("%s: cold %v, want %v", step, got, want)
		}
	}
	cold("running when the node starts", false)
	again := reg
	again.Sequence, again.ColdFor = 2, 2*time.Second
	h.step(ReplicaRegistered{Registration: again})
	cold("cold again", true)
	h.step(RegistryRead{Registrations: []Registration{reg, registration(0, 1)}, Restored: true})
	cold("older copy of the store", true)
	h.advance(time.Second)
	h.step(ReplicaUnregistered{Replica: reg.Replica})
	h.advance(500 * time.Millisecond)
	h.step(ReplicaRegistered{Registration: again})
	cold("lapsed and returned", true)
	h.advance(600 * time.Millisecond)
	cold("after the stated time", false)
	h.step(ConnEnded{Replica: reg.Replica, ByReplica: true})
	cold("connection ended by the replica", true)
	h.step(StatusReported{Replica: reg.Replica, Status: ReplicaStatus{HasCold: true}})
	cold("stated by a response of unknown age", true)
	h.advance(suspectedColdTime)
	cold("no new process is registered", false)
	restarted := reg
	restarted.ProcessStart = 2
	h.step(ReplicaRegistered{Registration: restarted})
	cold("new process that does not say so", true)
	h.advance(coldTime)
	cold("after the time of the service", false)
	h.step(StatusReported{Replica: reg.Replica, Status: ReplicaStatus{HasCold: true, ColdFor: time.Second}})
	cold("stated by a response", true)
	h.step(withColdLimit(h, 2, 1, 0))
	cold("limit removed from the configuration", false)
	if got := h.e.Counts().Get(count.ReplicaStatus, statusCold); got != 4 {
		t.Errorf("%d times cold are counted, want 4", got)
	}
}

// Guards against a node without the store that sends freely to a replica that may have been
// replaced.
func TestReplicaWithoutConnectionIsSuspectWhileTheStoreIsLost(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.ColdBounds = ratelimit.ColdBounds{Overage: 1.5, Slack: 5} })
	h.step(withColdLimit(h, 1, 1, coldPerSecond))
	h.step(RegistryRead{Registrations: []Registration{registration(0, 0), registration(0, 1)}})
	h.step(ConnOpened{Replica: replicaOf(0, 1)})
	h.advance(time.Minute)
	h.step(StoreLost{})
	for range 20 {
		h.request("/one/x")
		for _, s := range h.takeSends() {
			if s.Replica != replicaOf(0, 1) {
				t.Fatalf("a request is sent to %s without a connection", s.Replica)
			}
			h.ok(s, "ab")
		}
	}
	h.advance(2 * suspectedColdTime)
	if !h.e.limits.limiter.Cold(replicaOf(0, 0)) {
		t.Error("the suspicion ended while the store was lost")
	}
}

// Guards against a cold replica that gets too many requests from nodes that had no connection to
// it when its process ended, while others have met that it did not listen.
func TestNodesAreToldThatAReplicaEnded(t *testing.T) {
	for _, size := range rateSizes {
		c := newColdFleet(t, 1, size)
		c.load("/one/x", 8*time.Second)
		for node := range c.connected[replicaOf(0, 0)] {
			c.step(node, ConnEnded{Replica: replicaOf(0, 0)}) // closed by the node, since it was idle
		}
		delete(c.connected, replicaOf(0, 0))
		c.restartReplica(0, 0, 3*time.Second)
		c.load("/one/x", coldDowntime+coldTime+time.Second)
		c.checkCold()
	}
}

// Guards against a cold replica that gets too many requests from nodes that had no connection to
// it when its process ended and have not read the registration of the new process: nothing
// tells them that it is cold.
func TestColdLimitHoldsForNodesThatKnowNothingOfTheRestart(t *testing.T) {
	c := newColdFleet(t, 1, rateSizes[2])
	c.load("/one/x", 8*time.Second)
	for node := range c.connected[replicaOf(0, 0)] {
		c.step(node, ConnEnded{Replica: replicaOf(0, 0)}) // closed by the node, since it was idle
	}
	delete(c.connected, replicaOf(0, 0))
	c.restartReplica(0, 0, 3*time.Second)
	c.run(coldDowntime + time.Millisecond) // nobody meets that nothing listens
	c.load("/one/x", coldTime+time.Second)
	c.checkCold()
}

// Guards against a replica that is slow after its start without a line in the log.
func TestSlowStartIsLogged(t *testing.T) {
	h := newHarness(t, nil)
	h.table(1, 1)
	h.step(ReplicaRegistered{Registration: registration(0, 1)})
	for range 5 {
		h.request("/one/x")
		for _, s := range h.takeSends() {
			h.advance(5 * time.Millisecond)
			h.ok(s, "ab")
		}
	}
	reg := registration(0, 0)
	reg.ColdFor = 5 * time.Second
	h.step(ReplicaRegistered{Registration: reg})
	for range 60 {
		h.request("/one/x")
		h.advance(5 * time.Millisecond)
		for _, s := range h.takeSends() {
			if s.Replica == reg.Replica {
				h.advance(60 * time.Millisecond)
			}
			h.ok(s, "ab")
		}
	}
	if got := h.e.Counts().Get(count.Connection, "slow_start"); got != 1 {
		t.Errorf("%d slow starts are counted, want 1", got)
	}
}

// Guards against a storm of requests for permits while a whole data centre is cold: the permits
// would expire before the nodes have another request for the same replica.
func TestPermitRequestsForColdReplicasAreFew(t *testing.T) {
	// The budget for messages is 4 KB/s for each node; a request with its grant has some 300
	// bytes with the headers of HTTP/2.
	const messagesPerSecond = 4096 / 300
	c := newColdFleet(t, 2, rateSizes[2])
	messages := 0
	c.onPermitRequest = func() { messages++ }
	c.load("/all/x", 8*time.Second)
	for s := range c.size.shards {
		c.restartReplica(s, 0, time.Second)
	}
	before, requests := messages, len(c.ids)
	c.load("/all/x", coldDowntime+coldTime)
	messages, requests = messages-before, len(c.ids)-requests
	perSecond := float64(messages) / (coldDowntime + coldTime).Seconds() / float64(c.size.nodes)
	t.Logf("%d messages to allocators for %d requests to %d shards, %.1f/s for each node", messages, requests, c.size.shards, perSecond)
	if perSecond > messagesPerSecond {
		t.Errorf("%.1f messages/s for each node, allowed %d", perSecond, messagesPerSecond)
	}
}
