package telemetry

import (
	"sync"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// Counts holds the counters of the packages around the node: requests and
// messages that are refused or lost before they reach the node. It is safe for
// concurrent use, unlike the node's own counters, which only the driver's
// goroutine accesses.
type Counts struct {
	mu  sync.Mutex
	set *count.Set
}

// NewCounts returns an empty set of counters.
func NewCounts() *Counts { return &Counts{set: count.NewSet()} }

// Inc adds one to a counter. It does nothing on a nil receiver.
func (c *Counts) Inc(kind count.Kind, detail api.Reason) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set.Inc(kind, detail)
}

// Get returns the total of a counter.
func (c *Counts) Get(kind count.Kind, detail api.Reason) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.Get(kind, detail)
}

// Totals returns all counters that are not zero.
func (c *Counts) Totals() []count.Total {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.Totals()
}
