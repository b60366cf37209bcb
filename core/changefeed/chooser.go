package changefeed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds are the time limits that a node applies to its sources, which are the nodes
// that it may follow.
type Bounds struct {
	// SourceTimeout is the time without a message after which a node leaves its source.
	SourceTimeout time.Duration
	// MaxAge is the age of a node's knowledge at which the node calls the store itself.
	MaxAge time.Duration
	// AvoidTime is how long a node avoids a source that it left, or the store after the
	// store did not answer.
	AvoidTime time.Duration
}

// maxSilentSources is the number of consecutive sources that may time out before the
// time in which a node must know a change is over.
const maxSilentSources = 4

// NewBounds derives the bounds from applyTime, the time in which a node must know a
// change, and watchWait, the time that a watch at the store waits for a change.
func NewBounds(applyTime, watchWait time.Duration) Bounds {
	sourceTimeout := applyTime / maxSilentSources
	return Bounds{SourceTimeout: sourceTimeout, MaxAge: watchWait + 2*sourceTimeout, AvoidTime: 2 * sourceTimeout}
}

// Chooser decides whether a node watches the store or follows another node.
type Chooser struct {
	self   Member
	bounds Bounds
	// watches is set if this node is one of those that watch the store; ranked is set
	// if it is one of these or a standby for them.
	watches, ranked bool
	// sources are the other ranked nodes, preferred ones first.
	sources []source
	// unranked are the nodes that are not ranked; nextUnrankedAt is when the next
	// one of them may be asked whether the store answers it.
	unranked       []Member
	nextUnrankedAt time.Time
	current        string
	// avoided holds the sources that this node left, and untrusted those whose reported
	// health was not good enough, each with the time at which the entry expires.
	avoided   map[string]time.Time
	untrusted map[string]time.Time
	// storeAvoidedUntil is the time until which other nodes are preferred to the store
	// because it did not answer; storeAnsweredAt is when it last answered.
	storeAvoidedUntil, storeAnsweredAt time.Time
}

// source is a node that may be followed.
type source struct {
	Member
	// watching is set if it is a regular watcher of the store, not a standby.
	watching bool
	// rankedBefore is set if it precedes this node in the ranking of their data centre.
	rankedBefore bool
}

// NewChooser returns the chooser of a node that knows no other nodes yet.
func NewChooser(self Member, bounds Bounds) *Chooser {
	return &Chooser{
		self: self, bounds: bounds, watches: true,
		avoided: make(map[string]time.Time), untrusted: make(map[string]time.Time),
	}
}

// Bounds returns the time limits that apply to sources.
func (c *Chooser) Bounds() Bounds { return c.bounds }

// SetMembers replaces the list of nodes. This node is included whether it is listed
// or not.
func (c *Chooser) SetMembers(members []Member) {
	all := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Node == c.self.Node })
	all = append(all, c.self)
	rankings := Rankings(all)
	c.sources = c.sources[:0]
	c.watches = rankings == nil || c.self.Address == ""
	c.ranked = c.watches
	for _, r := range rankings {
		c.addSources(r)
	}
	slices.SortFunc(c.sources, c.compareSources)
	c.unranked = slices.DeleteFunc(all, func(m Member) bool {
		return m.Address == "" || m.Node == c.self.Node || c.isSource(m.Node)
	})
}

func (c *Chooser) isSource(node string) bool {
	return slices.ContainsFunc(c.sources, func(s source) bool { return s.Node == node })
}

// addSources adds the ranked nodes of one data centre to the sources.
func (c *Chooser) addSources(r Ranking) {
	own := slices.IndexFunc(r.Nodes, func(m Member) bool { return m.Node == c.self.Node })
	if own >= 0 {
		c.ranked = true
		c.watches = own < r.Watching
	}
	for i, m := range r.Nodes {
		if i != own {
			c.sources = append(c.sources, source{Member: m, watching: i < r.Watching, rankedBefore: i < own})
		}
	}
}

// compareSources orders the sources: those of this data centre first, then those that
// watch the store. Ties are broken by a hash that differs from node to node, which
// spreads the followers over the sources.
func (c *Chooser) compareSources(a, b source) int {
	local := c.self.DataCentre
	switch {
	case (a.DataCentre == local) != (b.DataCentre == local):
		return trueFirst(a.DataCentre == local)
	case a.watching != b.watching:
		return trueFirst(a.watching)
	}
	return cmp.Compare(c.preference(a.Member), c.preference(b.Member))
}

func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

func (c *Chooser) preference(m Member) uint64 {
	return xxhash.Sum64String(c.self.Node + "\x00" + m.Node)
}

// Watches reports whether this node is one of those that watch the store.
func (c *Chooser) Watches() bool { return c.watches }

// Impaired reports whether this node is ranked but avoids the store because the store
// did not answer it.
func (c *Chooser) Impaired(now time.Time) bool { return c.ranked && now.Before(c.storeAvoidedUntil) }

// MayHaveFollowers reports whether other nodes may depend on what this node reads from the
// store.
func (c *Chooser) MayHaveFollowers() bool { return c.ranked && len(c.sources) > 0 }

// Next returns the node to follow, or false if this node must call the store itself.
// age is the age of this node's knowledge.
func (c *Chooser) Next(now time.Time, age time.Duration) (Member, bool) {
	usable := func(s source) bool { return c.available(now, s) && !now.Before(c.untrusted[s.Node]) }
	storeAvoided := now.Before(c.storeAvoidedUntil)
	if c.ranked && !storeAvoided {
		return c.pick(func(s source) bool { return s.rankedBefore && !c.watches && usable(s) })
	}
	if m, ok := c.pick(usable); ok {
		return m, true
	}
	if !storeAvoided && (age >= c.bounds.MaxAge || now.Sub(c.storeAnsweredAt) < c.bounds.AvoidTime) {
		return Member{}, false
	}
	if m, ok := c.pickUnranked(now, age); ok {
		return m, true
	}
	return c.pick(func(s source) bool { return c.available(now, s) })
}

// pickUnranked returns an unranked node: the store may answer it even if it answers no
// ranked one. Once this node's knowledge is too old, unranked nodes are tried one after
// the other.
func (c *Chooser) pickUnranked(now time.Time, age time.Duration) (Member, bool) {
	var best *Member
	for i := range c.unranked {
		m := &c.unranked[i]
		switch {
		case now.Before(c.avoided[m.Node]) || now.Before(c.untrusted[m.Node]):
		case m.Node == c.current:
			return *m, true
		case best == nil || c.preference(*m) < c.preference(*best):
			best = m
		}
	}
	if best == nil || age < c.bounds.MaxAge || now.Before(c.nextUnrankedAt) {
		return Member{}, false
	}
	c.nextUnrankedAt = now.Add(c.bounds.SourceTimeout)
	c.current = best.Node
	return *best, true
}

// pick returns the current source if it is allowed, or else the first allowed one.
func (c *Chooser) pick(allowed func(source) bool) (Member, bool) {
	i := slices.IndexFunc(c.sources, func(s source) bool { return s.Node == c.current && allowed(s) })
	if i < 0 {
		i = slices.IndexFunc(c.sources, allowed)
	}
	if i < 0 {
		return Member{}, false
	}
	c.current = c.sources[i].Node
	return c.sources[i].Member, true
}

func (c *Chooser) available(now time.Time, s source) bool { return !now.Before(c.avoided[s.Node]) }

// ReportHealth evaluates the health that a source reports and returns whether the source
// is trusted. An untrusted source is followed only as a last resort for
// Bounds.AvoidTime. An unranked source is trusted only if the store itself answers it.
func (c *Chooser) ReportHealth(now time.Time, source string, h Health) bool {
	trusted := c.trusted(h) && (h.Direct || c.isSource(source))
	if !trusted {
		markUntil(c.untrusted, now, source, c.bounds.AvoidTime)
	}
	return trusted
}

// Follows reports whether a source is still the one to follow.
func (c *Chooser) Follows(now time.Time, source string, age time.Duration) bool {
	next, ok := c.Next(now, age)
	return ok && next.Node == source
}

// trusted reports whether the health of a source is good enough. Ranked nodes trust only
// sources that the store answers: otherwise they could keep confirming each other while
// none of them reads the store.
func (c *Chooser) trusted(h Health) bool {
	return !h.Failing && h.Age < c.bounds.MaxAge && (h.Direct || !c.ranked)
}

// SourceLost records that following a node ended, for example because it sent nothing
// for too long. The node is avoided for Bounds.AvoidTime.
func (c *Chooser) SourceLost(now time.Time, node string) {
	markUntil(c.avoided, now, node, c.bounds.AvoidTime)
}

// markUntil sets the expiry time of a node's entry and removes expired entries.
func markUntil(times map[string]time.Time, now time.Time, node string, d time.Duration) {
	for name, until := range times {
		if !now.Before(until) {
			delete(times, name)
		}
	}
	times[node] = now.Add(d)
}

// StoreFailed records that the store does not answer this node.
func (c *Chooser) StoreFailed(now time.Time) { c.storeAvoidedUntil = now.Add(c.bounds.AvoidTime) }

// StoreAnswered records that the store answers this node.
func (c *Chooser) StoreAnswered(now time.Time) {
	c.storeAvoidedUntil, c.storeAnsweredAt = time.Time{}, now
}
