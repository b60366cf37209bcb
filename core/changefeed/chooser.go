package changefeed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds are the times by which a node judges its sources.
type Bounds struct {
	// Silence is the time without a message after which a source is left.
	Silence time.Duration
	// Age is the age of the node's knowledge from which it calls the store itself.
	Age time.Duration
	// Avoid is how long a source that was left, or the store after it did not answer,
	// is not asked again.
	Avoid time.Duration
}

// silencesPerBound is the number of silent sources in a row that a node may meet
// before the time in which it must know a change is over.
const silencesPerBound = 4

// NewBounds returns the bounds that follow from the time in which a change must be
// known, and from how long a watch at the store waits without a change.
func NewBounds(known, watchWait time.Duration) Bounds {
	silence := known / silencesPerBound
	return Bounds{Silence: silence, Age: watchWait + 2*silence, Avoid: 2 * silence}
}

// Chooser decides whether a node watches the store or follows another node.
type Chooser struct {
	self   Member
	bounds Bounds
	// watches says that this node is one of those that watch the store, ranked that it
	// is one of these or stands in for those before it.
	watches, ranked bool
	// sources are the other nodes that are ranked, the preferred ones first.
	sources []source
	// others are the nodes that are not ranked; nextOther is when the next one of them
	// may be asked whether the store answers it.
	others    []Member
	nextOther time.Time
	current   string
	// avoided holds the nodes that were left, and failing those that know too little,
	// and until when that counts.
	avoided map[string]time.Time
	failing map[string]time.Time
	// storeAvoided is until when other nodes go before the store, which has not
	// answered; storeAnswered is when it last has.
	storeAvoided, storeAnswered time.Time
}

// source is a node that may be followed.
type source struct {
	Member
	// watching is set if it watches the store, and not in place of others.
	watching bool
	// before is set if this node stands in for it.
	before bool
}

// NewChooser returns the chooser of a node that knows no other ones.
func NewChooser(self Member, bounds Bounds) *Chooser {
	return &Chooser{
		self: self, bounds: bounds, watches: true,
		avoided: make(map[string]time.Time), failing: make(map[string]time.Time),
	}
}

// Bounds returns the times by which sources are judged.
func (c *Chooser) Bounds() Bounds { return c.bounds }

// SetMembers takes over the list of nodes. This node counts, whether it is listed
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
	c.others = slices.DeleteFunc(all, func(m Member) bool {
		return m.Address == "" || m.Node == c.self.Node || c.isSource(m.Node)
	})
}

func (c *Chooser) isSource(node string) bool {
	return slices.ContainsFunc(c.sources, func(s source) bool { return s.Node == node })
}

// addSources takes over the ranking of one data centre.
func (c *Chooser) addSources(r Ranking) {
	own := slices.IndexFunc(r.Nodes, func(m Member) bool { return m.Node == c.self.Node })
	if own >= 0 {
		c.ranked = true
		c.watches = own < r.Watching
	}
	for i, m := range r.Nodes {
		if i != own {
			c.sources = append(c.sources, source{Member: m, watching: i < r.Watching, before: i < own})
		}
	}
}

// compareSources orders the sources: those of this data centre first, then those that
// watch the store, and equals by a hash that differs between nodes, which spreads the
// followers.
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

// Impaired reports whether this node would call the store, which does not answer it.
func (c *Chooser) Impaired(now time.Time) bool { return c.ranked && now.Before(c.storeAvoided) }

// Followed reports whether others may depend on what this node reads from the store.
func (c *Chooser) Followed() bool { return c.ranked && len(c.sources) > 0 }

// Next returns the node to follow; false if this node is to call the store. age is
// that of what this node knows.
func (c *Chooser) Next(now time.Time, age time.Duration) (Member, bool) {
	usable := func(s source) bool { return c.asked(now, s) && !now.Before(c.failing[s.Node]) }
	storeAvoided := now.Before(c.storeAvoided)
	if c.ranked && !storeAvoided {
		return c.pick(func(s source) bool { return s.before && !c.watches && usable(s) })
	}
	if m, ok := c.pick(usable); ok {
		return m, true
	}
	if !storeAvoided && (age >= c.bounds.Age || now.Sub(c.storeAnswered) < c.bounds.Avoid) {
		return Member{}, false
	}
	if m, ok := c.pickOther(now, age); ok {
		return m, true
	}
	return c.pick(func(s source) bool { return c.asked(now, s) })
}

// pickOther returns a node that is not ranked: the store may answer it, although it
// answers none of those that are. They are asked one after the other, once what this
// node knows is too old.
func (c *Chooser) pickOther(now time.Time, age time.Duration) (Member, bool) {
	var best *Member
	for i := range c.others {
		m := &c.others[i]
		switch {
		case now.Before(c.avoided[m.Node]) || now.Before(c.failing[m.Node]):
		case m.Node == c.current:
			return *m, true
		case best == nil || c.preference(*m) < c.preference(*best):
			best = m
		}
	}
	if best == nil || age < c.bounds.Age || now.Before(c.nextOther) {
		return Member{}, false
	}
	c.nextOther = now.Add(c.bounds.Silence)
	c.current = best.Node
	return *best, true
}

// pick returns the source that is followed already, or else the first one, of those
// that may be followed.
func (c *Chooser) pick(may func(source) bool) (Member, bool) {
	i := slices.IndexFunc(c.sources, func(s source) bool { return s.Node == c.current && may(s) })
	if i < 0 {
		i = slices.IndexFunc(c.sources, may)
	}
	if i < 0 {
		return Member{}, false
	}
	c.current = c.sources[i].Node
	return c.sources[i].Member, true
}

func (c *Chooser) asked(now time.Time, s source) bool { return !now.Before(c.avoided[s.Node]) }

// Heard takes in what a source says of its knowledge, and reports whether that is
// trusted.
func (c *Chooser) Heard(now time.Time, source string, h Health) bool {
	trusted := c.trusted(h) && (h.Direct || c.isSource(source))
	if !trusted {
		note(c.failing, now, source, c.bounds.Avoid)
	}
	return trusted
}

// Follows reports whether a source is still the one to follow.
func (c *Chooser) Follows(now time.Time, source string, age time.Duration) bool {
	next, ok := c.Next(now, age)
	return ok && next.Node == source
}

// trusted reports whether what a source says of its knowledge is good enough. Nodes
// that are ranked trust only what the store answers: they could else confirm each other.
func (c *Chooser) trusted(h Health) bool {
	return !h.Failing && h.Age < c.bounds.Age && (h.Direct || !c.ranked)
}

// SourceLeft notes that a source has ended or fallen silent.
func (c *Chooser) SourceLeft(now time.Time, node string) { note(c.avoided, now, node, c.bounds.Avoid) }

// note sets the time of a node and forgets those that are over.
func note(times map[string]time.Time, now time.Time, node string, d time.Duration) {
	for name, until := range times {
		if !now.Before(until) {
			delete(times, name)
		}
	}
	times[node] = now.Add(d)
}

// StoreFailed notes that the store does not answer this node.
func (c *Chooser) StoreFailed(now time.Time) { c.storeAvoided = now.Add(c.bounds.Avoid) }

// StoreAnswered notes that the store answers this node.
func (c *Chooser) StoreAnswered(now time.Time) { c.storeAvoided, c.storeAnswered = time.Time{}, now }
