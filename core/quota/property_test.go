package quota

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed and number of checks; -rapid.seed and -rapid.checks on the command
// line override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "20")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.shrinktime", "2s")
	os.Exit(m.Run())
}

// eventsPerCheck times the number of checks is the number of random events.
const eventsPerCheck = 5000

// quotaChange is a quota of an account and when it was replaced at the last node.
type quotaChange struct {
	quota   Quota
	setAt   time.Time
	endedAt time.Time // zero while a running node knows no newer one
}

// chaos drives a simulation with random events.
type chaos struct {
	*simulation
	history map[string][]quotaChange
	version uint64
}

// setQuota gives an account a random quota in the store.
func (c *chaos) setQuota(account string) {
	c.version++
	q := Quota{Version: c.version, PerSecond: []float64{0.5, 2, 8, 30}[c.rng.IntN(4)], Burst: []float64{0, 1, 5, 40}[c.rng.IntN(4)]}
	c.quotas[account] = q
	c.history[account] = append(c.history[account], quotaChange{quota: q, setAt: c.now})
}

// observe records which quotas no running node uses any more.
func (c *chaos) observe() {
	for account, changes := range c.history {
		least := changes[len(changes)-1].quota.Version
		for _, n := range c.nodes {
			if !n.down && !n.neverRead {
				least = min(least, n.quotas[account].Version)
			}
		}
		for i := range changes {
			if ch := &changes[i]; ch.endedAt.IsZero() && ch.quota.Version < least {
				ch.endedAt = c.now
			}
		}
	}
}

// limit returns the bound of a window: that of the largest quota that some node knew in it.
func (c *chaos) limit(account string) func(from, to time.Time) float64 {
	return func(from, to time.Time) float64 {
		most := 0.0
		for _, ch := range c.history[account] {
			if !ch.setAt.After(to) && (ch.endedAt.IsZero() || !ch.endedAt.Before(from)) {
				most = max(most, c.bounds.Limit(ch.quota))
			}
		}
		return most
	}
}

// expire removes the entries of nodes that have not reached the store for 40 s, the least time
// after which a lease of 60 s ends that is renewed every 20 s.
func (c *chaos) expire() {
	for _, n := range c.nodes {
		if _, ok := c.listed[n.name]; ok && !n.readAt.IsZero() && c.now.Sub(n.readAt) > 40*time.Second {
			delete(c.listed, n.name)
		}
	}
}

// poll lets each node read the store about once a second.
func (c *chaos) poll(n *simNode) {
	c.readStore(n)
	c.schedule(500*time.Millisecond+time.Duration(c.rng.Int64N(int64(time.Second))), func() { c.poll(n) })
}

func (c *chaos) anyNode() *simNode { return c.nodes[c.rng.IntN(len(c.nodes))] }

var chaosAccounts = []string{"a", "b", "c", "d", "e", "f"}

// demand keeps sending requests of an account to random nodes.
func (c *chaos) demand(account string) {
	n := c.anyNode()
	for range 1 + c.rng.IntN(6) {
		c.arrive(n, account, time.Second)
	}
	c.schedule(time.Duration(c.rng.Int64N(int64(120*time.Millisecond))), func() { c.demand(account) })
}

// event runs one random event.
func (c *chaos) event() {
	account := chaosAccounts[c.rng.IntN(len(chaosAccounts))]
	switch k := c.rng.IntN(1000); {
	case k < 500:
		c.arrive(c.anyNode(), account, time.Duration(c.rng.Int64N(int64(3*time.Second))))
	case k < 620: // a burst at one node
		n := c.anyNode()
		for range 1 + c.rng.IntN(30) {
			c.arrive(n, account, time.Second)
		}
	case k < 700: // all nodes at once
		for _, n := range c.nodes {
			c.arrive(n, account, time.Second)
		}
	case k < 960:
		c.advance(time.Duration(c.rng.Int64N(int64(80 * time.Millisecond))))
	case k < 972:
		c.advance(time.Duration(c.rng.Int64N(int64(6 * time.Second))))
	case k < 975: // 40 % of the nodes lose the others and the store
		for _, n := range c.nodes {
			n.cut = c.rng.Float64() < 0.4
		}
	case k < 977:
		for _, n := range c.nodes {
			n.cut = false
		}
	case k < 982:
		c.anyNode().frozenUntil = c.now.Add(time.Duration(c.rng.Int64N(int64(20 * time.Second))))
	case k < 984: // half of the nodes are killed
		for _, n := range c.nodes {
			n.down = n.down || c.rng.IntN(2) == 0
		}
	case k < 990:
		for _, n := range c.nodes {
			if n.down {
				c.boot(n)
			}
		}
	case k < 993:
		if len(c.nodes) < 30 {
			n := c.addNode()
			c.boot(n)
			c.poll(n)
		}
	case k < 996: // a node leaves
		n := c.anyNode()
		n.allocator.Stop()
		n.down = true
		if !n.cut {
			delete(c.listed, n.name)
		}
	case k >= 999:
		c.setQuota(account)
	}
	c.expire()
	c.observe()
}

// Guards against any course of events in which the nodes together admit more requests of an
// account in a window than its quota and the tolerance allow: lists that differ, partitions,
// frozen and killed nodes, new nodes, changed quotas, late and duplicated messages, and clocks
// that differ.
func TestRandomEventsNeverExceedTheQuota(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		bounds := []Bounds{deploymentBounds, {Window: 5 * time.Second, Overage: 0.1}, DefaultBounds, {Window: 2 * time.Second, Slack: 8}}[seed%4]
		c := &chaos{simulation: newSimulation(seed, bounds, 5+int(seed%11)), history: make(map[string][]quotaChange)}
		c.duplicates, c.delays = 0.1, 0.05
		for _, account := range chaosAccounts {
			c.setQuota(account)
			c.demand(account)
		}
		for _, n := range c.nodes {
			c.poll(n)
		}
		for range eventsPerCheck {
			c.event()
		}
		for _, account := range slices.Sorted(maps.Keys(c.admitted)) {
			runs := c.admitted[account]
			total += len(runs)
			if worst, at := largestExcess(runs, bounds.Window, c.limit(account)); worst > 1e-9 {
				t.Fatalf("seed %d %+v account %s: %.2f too many in the window before %v; quota %+v, granted by %v",
					seed, bounds, account, worst, at.Sub(start), c.quotas[account], c.grantedBy(account, at.Add(-bounds.Window), at))
			}
		}
	})
	if total < eventsPerCheck {
		t.Errorf("%d requests were admitted, the bound was not tried", total)
	}
}
