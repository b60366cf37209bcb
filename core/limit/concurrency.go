package limit

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

const (
	// leastConcurrency is the lowest limit of a node on one replica. Below 1, a
	// node has one attempt in flight and pauses between attempts.
	leastConcurrency = 0.1
	// allPerSlot bounds the limits of all live nodes on a replica together, per slot
	// of the replica; a node may always use each slot once. With 4 for each of 8
	// nodes, bursts of wide searches filled the queues of the targets at 0.4 of the
	// capacity, and 2 % of the answers lacked a shard that had been shed.
	allPerSlot = 4
	// longestPause bounds the pause of a limit below 1.
	longestPause = 200 * time.Millisecond
)

// gate is the state of one replica.
type gate struct {
	limit    adaptive
	slots    int
	inFlight int
	// openAt is the end of the pause of a limit below 1.
	openAt time.Time
}

// Concurrency bounds a node's attempts in flight on each replica. Several nodes
// share the slots of a replica and none sees their sum, so the limit follows
// shed answers and, less strongly, the queue that the replica reports. It does
// not follow latency: with two slots and eight nodes, one attempt per node is
// a queue already, and limits lowered for it left slots idle.
type Concurrency struct {
	gates map[api.ReplicaName]*gate
	nodes int // live nodes, this one included
	make  func(first float64) adaptive
}

// NewConcurrency returns a Concurrency without replicas.
func NewConcurrency() *Concurrency {
	return &Concurrency{
		gates: make(map[api.ReplicaName]*gate),
		nodes: 1,
		make: func(first float64) adaptive {
			return &aimd{limit: first, least: leastConcurrency, ignoreDelay: true, settled: true}
		},
	}
}

// Configure adopts the replicas of a document and keeps the limits of known ones.
func (c *Concurrency) Configure(doc *config.Document) {
	for name := range c.gates {
		if _, ok := doc.Replicas[name]; !ok {
			delete(c.gates, name)
		}
	}
	for name, r := range doc.Replicas {
		slots := max(r.Slots, 1)
		g, ok := c.gates[name]
		if !ok {
			g = &gate{limit: c.make(float64(slots))}
			c.gates[name] = g
		}
		g.slots = slots
		g.limit.bound(c.most(slots))
	}
}

// SetNodes adopts the number of live nodes that share the replicas.
func (c *Concurrency) SetNodes(live int) {
	c.nodes = max(live, 1)
	for _, g := range c.gates {
		g.limit.bound(c.most(g.slots))
	}
}

// most returns the largest limit of this node on a replica.
func (c *Concurrency) most(slots int) float64 {
	return max(1, float64(allPerSlot)/float64(c.nodes)) * float64(slots)
}

// Acquire takes a place for an attempt on a replica. If it returns false, a
// place is free when an attempt ends, or after the returned time if that is
// not 0.
func (c *Concurrency) Acquire(now time.Time, name api.ReplicaName) (bool, time.Duration) {
	g, ok := c.gates[name]
	if !ok {
		return false, 0
	}
	if wait := g.openAt.Sub(now); wait > 0 && g.inFlight == 0 {
		return false, wait
	}
	if g.inFlight >= max(int(g.limit.value()), 1) {
		return false, 0
	}
	g.inFlight++
	return true, 0
}

// Release returns the place of an attempt that was answered. load is what the
// answer reported.
func (c *Concurrency) Release(now time.Time, name api.ReplicaName, outcome api.TargetOutcome, latency time.Duration, load api.TargetLoad) {
	g, ok := c.gates[name]
	if !ok {
		return
	}
	busy := 2*float64(g.inFlight) >= g.limit.value()
	g.inFlight = max(g.inFlight-1, 0)
	// A queue of twice the slots means that a further attempt would only wait.
	full := load.Queued > 2*g.slots
	g.limit.observe(now, latency, outcome == api.TargetShed, busy && !full)
	if g.limit.value() < 1 {
		g.openAt = now.Add(g.pause())
	}
}

// Abandon returns the place of an attempt that ended without an answer.
func (c *Concurrency) Abandon(name api.ReplicaName) {
	if g, ok := c.gates[name]; ok {
		g.inFlight = max(g.inFlight-1, 0)
	}
}

// Limit returns the limit of the node on a replica.
func (c *Concurrency) Limit(name api.ReplicaName) float64 {
	if g, ok := c.gates[name]; ok {
		return g.limit.value()
	}
	return 0
}

// pause makes one attempt at a time, with pauses, amount to a limit below 1.
func (g *gate) pause() time.Duration {
	took := max(g.limit.smoothed(), minPause)
	d := time.Duration(float64(took) * (1/g.limit.value() - 1))
	return min(d, longestPause)
}
