package limit

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

const (
	// minConcurrency is the lowest limit of a node on one replica. Below 1, a node has
	// one attempt in flight at a time and pauses between attempts.
	minConcurrency = 0.1
	// attemptsPerSlot bounds the sum of the limits of all live nodes on a replica, per
	// slot of the replica; each node may have at least one attempt per slot. With 4
	// attempts per slot for each of 8 nodes, bursts of wide searches filled the queues
	// of the targets at 0.4 of the capacity, and 2 % of the answers lacked a shard
	// because it had been shed.
	attemptsPerSlot = 4
	// maxPause bounds the pause between attempts at a limit below 1.
	maxPause = 200 * time.Millisecond
)

// replicaLimiter limits the attempts in flight on one replica.
type replicaLimiter struct {
	limit    adaptiveLimit
	slots    int
	inFlight int
	// pausedUntil is the end of the pause after an attempt at a limit below 1.
	pausedUntil time.Time
}

// Concurrency bounds a node's attempts in flight on each replica. Several nodes
// share the slots of a replica and none knows the total, so the limit falls when the
// replica sheds, and does not grow while the replica reports a long queue. It ignores
// latency: with two slots and eight nodes, one attempt per node already forms a queue,
// and limits lowered because of that latency left slots idle.
type Concurrency struct {
	limiters map[api.ReplicaName]*replicaLimiter
	nodes    int // live nodes, this one included
	newLimit func(first float64) adaptiveLimit
}

// NewConcurrency returns a Concurrency without replicas.
func NewConcurrency() *Concurrency {
	return &Concurrency{
		limiters: make(map[api.ReplicaName]*replicaLimiter),
		nodes:    1,
		newLimit: func(first float64) adaptiveLimit {
			return &aimd{limit: first, minimum: minConcurrency, ignoreDelay: true, slowStartDone: true}
		},
	}
}

// Configure sets the replicas to those of a document. Known replicas keep their limits.
func (c *Concurrency) Configure(doc *config.Document) {
	for name := range c.limiters {
		if _, ok := doc.Replicas[name]; !ok {
			delete(c.limiters, name)
		}
	}
	for name, r := range doc.Replicas {
		slots := max(r.Slots, 1)
		rl, ok := c.limiters[name]
		if !ok {
			rl = &replicaLimiter{limit: c.newLimit(float64(slots))}
			c.limiters[name] = rl
		}
		rl.slots = slots
		rl.limit.setMaximum(c.maxPerNode(slots))
	}
}

// SetNodes sets the number of live nodes that share the replicas.
func (c *Concurrency) SetNodes(live int) {
	c.nodes = max(live, 1)
	for _, rl := range c.limiters {
		rl.limit.setMaximum(c.maxPerNode(rl.slots))
	}
}

// maxPerNode returns the largest limit of this node on a replica.
func (c *Concurrency) maxPerNode(slots int) float64 {
	return max(1, float64(attemptsPerSlot)/float64(c.nodes)) * float64(slots)
}

// Acquire reserves capacity for an attempt on a replica. If it returns false, the
// caller may try again when an attempt ends, or after the returned time if that is
// not 0.
func (c *Concurrency) Acquire(now time.Time, name api.ReplicaName) (bool, time.Duration) {
	rl, ok := c.limiters[name]
	if !ok {
		return false, 0
	}
	if wait := rl.pausedUntil.Sub(now); wait > 0 && rl.inFlight == 0 {
		return false, wait
	}
	if rl.inFlight >= max(int(rl.limit.value()), 1) {
		return false, 0
	}
	rl.inFlight++
	return true, 0
}

// Release frees the capacity of an attempt that was answered, and adapts the limit.
// load is the load that the answer reported.
func (c *Concurrency) Release(now time.Time, name api.ReplicaName, outcome api.TargetOutcome, latency time.Duration, load api.TargetLoad) {
	rl, ok := c.limiters[name]
	if !ok {
		return
	}
	busy := 2*float64(rl.inFlight) >= rl.limit.value()
	rl.inFlight = max(rl.inFlight-1, 0)
	// With more than two queued requests per slot, further attempts would only wait.
	full := load.Queued > 2*rl.slots
	rl.limit.observe(now, latency, outcome == api.TargetShed, busy && !full)
	if rl.limit.value() < 1 {
		rl.pausedUntil = now.Add(rl.pause())
	}
}

// Abandon frees the capacity of an attempt that ended without an answer.
func (c *Concurrency) Abandon(name api.ReplicaName) {
	if rl, ok := c.limiters[name]; ok {
		rl.inFlight = max(rl.inFlight-1, 0)
	}
}

// Limit returns this node's limit on a replica; 0 if the replica is unknown.
func (c *Concurrency) Limit(name api.ReplicaName) float64 {
	if rl, ok := c.limiters[name]; ok {
		return rl.limit.value()
	}
	return 0
}

// pause returns the time to wait after an attempt so that on average the attempts in
// flight equal a limit below 1.
func (rl *replicaLimiter) pause() time.Duration {
	took := max(rl.limit.smoothed(), minRoundTrip)
	d := time.Duration(float64(took) * (1/rl.limit.value() - 1))
	return min(d, maxPause)
}
