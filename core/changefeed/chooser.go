package changefeed

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds are the time limits by which a node chooses between the store and its sources. A
// source is a node that this node follows or may follow, ranked or not (see Rankings).
type Bounds struct {
	// SourceTimeout is the time without a message after which a node leaves its source.
	SourceTimeout time.Duration
	// MaxAge is the age from which data counts as outdated; the age is the time since the
	// store last confirmed the data, see Health.Age. A source with outdated data is not
	// trusted, and a node with outdated data reads the store itself, whatever sources it
	// could still try.
	MaxAge time.Duration
	// ReadTimeout is the timeout of such a read. From MaxAge on, two of them fit into the
	// time in which the node must know a change.
	ReadTimeout time.Duration
	// AvoidTime is how long a node avoids a source that it left or does not trust, or the
	// store after the store did not answer.
	AvoidTime time.Duration
}

const (
	// sourceTimeouts is the number of source timeouts that fit into the time in which a
	// node must know a change.
	sourceTimeouts = 4
	// MessagesPerTimeout is how many messages a source sends within SourceTimeout.
	MessagesPerTimeout = 3
	// readsWhenOutdated is how many reads of the store fit into the time that is left when
	// data becomes outdated.
	readsWhenOutdated = 2
)

// NewBounds derives the bounds from applyTime, the time in which a node must know a
// change, and watchWait, the longest time that one watch call to the store waits for a
// change. Data becomes outdated after one such wait, one message interval and one silent
// source; the rest of applyTime is reserved for reading the store.
func NewBounds(applyTime, watchWait time.Duration) Bounds {
	sourceTimeout := applyTime / sourceTimeouts
	maxAge := watchWait + sourceTimeout/MessagesPerTimeout + sourceTimeout
	return Bounds{
		SourceTimeout: sourceTimeout, MaxAge: maxAge, ReadTimeout: (applyTime - maxAge) / readsWhenOutdated,
		AvoidTime: 2 * sourceTimeout,
	}
}

// Chooser decides whether a node reads the store itself or follows another node. Reading
// the store means to watch it for changes or, if necessary, to list its keys. Some nodes
// are designated to watch the store (see Rankings); any other node may also have to read
// it while it finds no usable source.
type Chooser struct {
	self   Member
	bounds Bounds
	// watches is set if this node is designated to watch the store; ranked is set if it is
	// designated or a standby for the designated nodes.
	watches, ranked bool
	// rankedPeers are the other ranked nodes of all data centres, preferred ones first.
	rankedPeers []rankedPeer
	// unrankedPeers are the other nodes that have an address but are not ranked;
	// nextUnrankedAt is the earliest time at which the next one of them may be tried.
	unrankedPeers  []Member
	nextUnrankedAt time.Time
	// current is the name of the source that was chosen last.
	current string
	// avoided holds the sources that this node left, and untrusted those whose reported
	// health was not good enough (see ReportHealth), each with the time at which the entry
	// expires.
	avoided   map[string]time.Time
	untrusted map[string]time.Time
	// storeAvoidedUntil is the time until which other nodes are preferred to the store
	// because it did not answer; storeAnsweredAt is when it last answered.
	storeAvoidedUntil, storeAnsweredAt time.Time
	// answersOthersAt is when another node last reported that the store answers it.
	answersOthersAt time.Time
}

// rankedPeer is a ranked node other than this one.
type rankedPeer struct {
	Member
	// watching is set if it is designated to watch the store, not a standby.
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

// Bounds returns the time limits of the chooser.
func (c *Chooser) Bounds() Bounds { return c.bounds }

// SetMembers replaces the list of nodes. This node is included whether it is listed
// or not.
func (c *Chooser) SetMembers(members []Member) {
	all := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Node == c.self.Node })
	all = append(all, c.self)
	rankings := Rankings(all)
	c.rankedPeers = c.rankedPeers[:0]
	// Without rankings there are so few nodes that each one watches the store. A node
	// without an address is in no ranking, and it is designated to watch as well.
	c.watches = rankings == nil || c.self.Address == ""
	c.ranked = c.watches
	for _, r := range rankings {
		c.addRankedPeers(r)
	}
	slices.SortFunc(c.rankedPeers, c.compareRankedPeers)
	c.unrankedPeers = slices.DeleteFunc(all, func(m Member) bool {
		return m.Address == "" || m.Node == c.self.Node || c.isRankedPeer(m.Node)
	})
}

// isRankedPeer reports whether a node is one of the other ranked nodes.
func (c *Chooser) isRankedPeer(node string) bool {
	return slices.ContainsFunc(c.rankedPeers, func(p rankedPeer) bool { return p.Node == node })
}

// addRankedPeers adds the other ranked nodes of one data centre. If this node is in the
// ranking, it also sets this node's own role.
func (c *Chooser) addRankedPeers(r Ranking) {
	own := slices.IndexFunc(r.Nodes, func(m Member) bool { return m.Node == c.self.Node })
	if own >= 0 {
		c.ranked = true
		c.watches = own < r.Watching
	}
	for i, m := range r.Nodes {
		if i != own {
			c.rankedPeers = append(c.rankedPeers, rankedPeer{Member: m, watching: i < r.Watching, rankedBefore: i < own})
		}
	}
}

// compareRankedPeers orders the ranked nodes: those of this data centre first, then those
// designated to watch the store. Ties are broken by preferenceHash.
func (c *Chooser) compareRankedPeers(a, b rankedPeer) int {
	local := c.self.DataCentre
	switch {
	case (a.DataCentre == local) != (b.DataCentre == local):
		return trueFirst(a.DataCentre == local)
	case a.watching != b.watching:
		return trueFirst(a.watching)
	}
	return cmp.Compare(c.preferenceHash(a.Member), c.preferenceHash(b.Member))
}

func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// preferenceHash returns a hash by which this node chooses between equal nodes: the node with
// the lowest hash is preferred. The hash includes this node's name, so that followers are
// spread over the sources.
func (c *Chooser) preferenceHash(m Member) uint64 {
	return xxhash.Sum64String(c.self.Node + "\x00" + m.Node)
}

// Watches reports whether this node is designated to watch the store. A node that is not
// may still read the store while Next finds no source.
func (c *Chooser) Watches() bool { return c.watches }

// AvoidsStore reports whether other nodes are preferred to the store because the store did
// not answer this node.
func (c *Chooser) AvoidsStore(now time.Time) bool { return now.Before(c.storeAvoidedUntil) }

// Impaired reports whether this node is ranked but avoids the store.
func (c *Chooser) Impaired(now time.Time) bool { return c.ranked && c.AvoidsStore(now) }

// MayHaveFollowers reports whether other nodes may depend on what this node reads from the
// store. If any other node is ranked, nodes follow each other; an unranked one is followed
// by nodes that the store does not answer.
func (c *Chooser) MayHaveFollowers() bool { return len(c.rankedPeers) > 0 }

// Next returns the source to follow, or false if this node must read the store itself.
// age is the time since the store last confirmed this node's data, see Health.Age. A
// source is usable if it is neither avoided nor untrusted. Next decides in this order:
//
//  1. A node whose data is outdated reads the store, unless it avoids the store. How many
//     sources are left does not matter: trying each of them takes time.
//  2. A ranked node that does not avoid the store reads the store. A standby does so only
//     if no usable node is ranked before it in its data centre; else it follows such a node.
//  3. Any other node follows a usable ranked node.
//  4. If there is none, an unranked node that does not avoid the store reads it if the
//     store answered it less than Bounds.AvoidTime ago.
//  5. Otherwise the node follows a usable unranked node, see pickUnranked.
//  6. As a last resort it follows a ranked node that is untrusted but not avoided. If
//     there is none, it reads the store, even if it avoids the store.
//
// Next prefers the source that it chose last, and records its choice.
func (c *Chooser) Next(now time.Time, age time.Duration) (Member, bool) {
	usable := func(p rankedPeer) bool { return c.available(now, p) && !now.Before(c.untrusted[p.Node]) }
	storeAvoided := c.AvoidsStore(now)
	// 1. The store, for a node with outdated data.
	if c.Outdated(age) && !storeAvoided {
		return Member{}, false
	}
	// 2. The store, or for a standby a usable node ranked before it.
	if c.ranked && !storeAvoided {
		return c.pickRanked(func(p rankedPeer) bool { return p.rankedBefore && !c.watches && usable(p) })
	}
	// 3. A usable ranked node.
	if m, ok := c.pickRanked(usable); ok {
		return m, true
	}
	// 4. The store, for an unranked node.
	if !storeAvoided && now.Sub(c.storeAnsweredAt) < c.bounds.AvoidTime {
		return Member{}, false
	}
	// 5. A usable unranked node.
	if m, ok := c.pickUnranked(now, age); ok {
		return m, true
	}
	// 6. An untrusted ranked node, or else the store.
	return c.pickRanked(func(p rankedPeer) bool { return c.available(now, p) })
}

// Outdated reports whether data of the given age is outdated.
func (c *Chooser) Outdated(age time.Duration) bool { return age >= c.bounds.MaxAge }

// StoreDue returns the time until this node reads the store itself unless its data is
// confirmed before. age is the present age of its data.
func (c *Chooser) StoreDue(now time.Time, age time.Duration) time.Duration {
	return max(c.bounds.MaxAge-age, c.storeAvoidedUntil.Sub(now))
}

// pickUnranked returns an unranked node: the store may answer it even if it answers no
// ranked one. It keeps the current one while that is usable. Otherwise, once this node's
// data is outdated, it tries another one, at most one per Bounds.SourceTimeout.
func (c *Chooser) pickUnranked(now time.Time, age time.Duration) (Member, bool) {
	var best *Member
	for i := range c.unrankedPeers {
		m := &c.unrankedPeers[i]
		switch {
		case now.Before(c.avoided[m.Node]) || now.Before(c.untrusted[m.Node]):
		case m.Node == c.current:
			return *m, true
		case best == nil || c.preferenceHash(*m) < c.preferenceHash(*best):
			best = m
		}
	}
	if best == nil || !c.Outdated(age) || now.Before(c.nextUnrankedAt) {
		return Member{}, false
	}
	c.nextUnrankedAt = now.Add(c.bounds.SourceTimeout)
	c.current = best.Node
	return *best, true
}

// pickRanked returns the current source if it is ranked and allowed, or else the first
// allowed ranked node, which becomes the current source.
func (c *Chooser) pickRanked(allowed func(rankedPeer) bool) (Member, bool) {
	i := slices.IndexFunc(c.rankedPeers, func(p rankedPeer) bool { return p.Node == c.current && allowed(p) })
	if i < 0 {
		i = slices.IndexFunc(c.rankedPeers, allowed)
	}
	if i < 0 {
		return Member{}, false
	}
	c.current = c.rankedPeers[i].Node
	return c.rankedPeers[i].Member, true
}

// available reports whether a ranked node is not avoided. It may be untrusted.
func (c *Chooser) available(now time.Time, p rankedPeer) bool { return !now.Before(c.avoided[p.Node]) }

// ReportHealth evaluates the health h that another node, a source of this one, reported
// about itself, and returns whether the source is trusted. A ranked source that is not
// trusted is followed only as a last resort for Bounds.AvoidTime; an unranked one is not
// followed at all in that time. An unranked source is trusted only if the store itself
// answers it. advanced is set if the message of the source brought changes: a source with
// outdated data that reads a backlog is answered, and one that only claims so may not be.
func (c *Chooser) ReportHealth(now time.Time, source string, h Health, advanced bool) bool {
	if h.Direct && !h.Failing && (advanced || !c.Outdated(h.Age)) {
		c.answersOthersAt = now
	}
	trusted := c.trusted(h) && (h.Direct || c.isRankedPeer(source))
	if !trusted {
		markUntil(c.untrusted, now, source, c.bounds.AvoidTime)
	}
	return trusted
}

// Follows reports whether a source is still the one to follow. It calls Next, so it may
// change the current source and the time at which the next unranked node may be tried.
func (c *Chooser) Follows(now time.Time, source string, age time.Duration) bool {
	next, ok := c.Next(now, age)
	return ok && next.Node == source
}

// trusted reports whether the health h of a source is good enough. Ranked nodes trust only
// sources that the store answers: otherwise they could keep confirming each other while
// none of them reads the store.
func (c *Chooser) trusted(h Health) bool {
	return !h.Failing && !c.Outdated(h.Age) && (h.Direct || !c.ranked)
}

// StoreLost reports whether the store is to be taken for lost by a node that it does not answer
// and that has no trusted source. h is what the last source reported, and age that of this
// node's own data. The store is not lost while it answers another node, whose data may be
// outdated because it reads a long backlog, or while this node's data is confirmed by other
// means.
func (c *Chooser) StoreLost(now time.Time, h Health, age time.Duration) bool {
	if now.Sub(c.answersOthersAt) < c.bounds.SourceTimeout {
		return false
	}
	return h.Failing || c.Outdated(age)
}

// SourceLost records that this node stopped following a source, for example because the
// source sent nothing for too long. The source is avoided for Bounds.AvoidTime.
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
