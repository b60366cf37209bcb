package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// coldPermitTTL is how long after its request a permit for a cold replica is valid. It is
	// counted from the request, so that a response that arrives late does not prolong it.
	coldPermitTTL = 200 * time.Millisecond
	// coldWindow is the span in which all permits that can be used within one second were
	// granted.
	coldWindow = time.Second + coldPermitTTL
	// coldSlackShare is the fraction of the slack of a cold limit that the nodes grant that
	// do not grant its rate.
	coldSlackShare = 0.8
	// coldRateMargin keeps the rate of an allocator just below the bound of a window.
	coldRateMargin = 0.99
	// coldBurstSeconds times the rate of a cold limit, and one permit more, can be granted at
	// once.
	coldBurstSeconds = 0.25
	// unstatedAge is the age of a statement that a replica never made.
	unstatedAge = 24 * time.Hour
	// slackHoldTime is how long a node that lost the store goes on to grant permits from the
	// slack. Each node that may do so has had its rank for longer than that, hence no other
	// node has the same rank in that time.
	slackHoldTime = 10 * time.Second
)

// ColdBounds limit the requests to a cold replica beyond the rate that the configuration of its
// service states: in any second, all nodes together send at most rate x Overage + Slack.
type ColdBounds struct{ Overage, Slack float64 }

// Bound returns the number of requests in any second that the bounds allow for a rate.
func (b ColdBounds) Bound(perSecond float64) float64 { return perSecond*b.Overage + b.Slack }

// slackPermits is the number of permits in a window that nodes grant from the slack.
func (b ColdBounds) slackPermits() int { return int(coldSlackShare * b.Slack) }

// ColdShare is what a node may grant for one cold replica. The zero value grants nothing.
type ColdShare struct {
	// PerSecond is the rate of the grants and Burst the number that can be granted at once.
	PerSecond, Burst float64
	// Window is the largest number of permits in any coldWindow.
	Window int
}

// Share returns what the node with the given rank may grant for a replica that can take
// perSecond requests per second while it is cold.
func (b ColdBounds) Share(perSecond float64, r Rank) ColdShare {
	switch {
	case r.GrantsRate:
		window := int(b.Bound(perSecond)) - b.slackPermits()
		if window < 1 {
			return ColdShare{}
		}
		rate := min(perSecond, coldRateMargin*float64(window)/coldWindow.Seconds())
		return ColdShare{PerSecond: rate, Burst: 1 + coldBurstSeconds*perSecond, Window: window}
	case r.GrantsSlack:
		// The slack belongs to the nodes of the lowest ranks. Half of it belongs to the second
		// one, which is asked while the first one does not respond.
		total := b.slackPermits()
		standby := (total + 1) / 2
		window := 0
		switch {
		case r.Position == 1:
			window = standby
		case r.Position == 0 && total > standby, r.Position > 1 && r.Position <= total-standby:
			window = 1
		}
		return ColdShare{PerSecond: float64(window) / coldWindow.Seconds(), Burst: float64(window), Window: window}
	}
	return ColdShare{}
}

// Rank is the position of this node among the nodes that can be the allocator of a replica,
// and what it may grant because of it.
type Rank struct {
	// Position is the number of nodes before this one, 0 for the allocator.
	Position int
	// GrantsRate is set if no other node grants the rate of the replica at the same time.
	GrantsRate bool
	// GrantsSlack is set if no other node with the same position grants from the slack.
	GrantsSlack bool
}

// Ranks derives the rank of this node from the lists of nodes that it has had.
//
// The lists of the nodes differ for a while after each change. A node may grant the rate of a
// replica only if it was the first one in all its lists for a time that exceeds twice the
// greatest age of a list, and while its list is no older than that. Of two nodes for which this
// holds at the same time, one would have been in the list of the other.
type Ranks struct {
	node string
	// maxAge is the greatest age of a list while the store is not lost.
	maxAge time.Duration
	// lists holds the lists of the last slackHold in the order of their adoption; each was in
	// force until the adoption of the next one.
	lists []nodeList
	// lostAt is when this node lost the store; zero if it has not.
	lostAt time.Time
	// confirmedAt is when the store last confirmed the list of nodes; zero if that is not
	// reported.
	confirmedAt time.Time
}

// nodeList is a list of nodes and when it was adopted.
type nodeList struct {
	at    time.Time
	nodes []string
}

// NewRanks returns the Ranks of a node whose lists of nodes have at most the given age while
// the store is not lost.
func NewRanks(node string, maxAge time.Duration) *Ranks { return &Ranks{node: node, maxAge: maxAge} }

// rateHold and slackHold are how long a node must have had its position before it grants the
// rate, or permits from the slack. Grants of its predecessor are then out of each window that
// its own are in.
func (r *Ranks) rateHold() time.Duration  { return 2*r.maxAge + coldWindow }
func (r *Ranks) slackHold() time.Duration { return slackHoldTime + r.rateHold() }

// SetNodes records a new list of the nodes that accept calls, this one included.
// The list must be sorted.
func (r *Ranks) SetNodes(now time.Time, nodes []string) {
	if n := len(r.lists); n > 0 && slices.Equal(r.lists[n-1].nodes, nodes) {
		return
	}
	r.lists = append(r.lists, nodeList{at: now, nodes: nodes})
	for len(r.lists) > 1 && now.Sub(r.lists[1].at) >= r.slackHold() {
		r.lists = r.lists[1:]
	}
}

// StoreLost records that the list of nodes is no longer kept up to date.
func (r *Ranks) StoreLost(now time.Time) {
	if r.lostAt.IsZero() {
		r.lostAt = now
	}
}

// StoreBack records that the list of nodes is kept up to date again. The lists of the time
// before count no more: other nodes may have come and gone.
func (r *Ranks) StoreBack(now time.Time) {
	if r.lostAt.IsZero() {
		return
	}
	r.lostAt = time.Time{}
	r.forgetLists(now)
}

// Confirmed records that the store confirmed the list of nodes at a time in the past. A list that
// was older than maxAge in between has the same effect as a loss of the store.
func (r *Ranks) Confirmed(now, at time.Time) {
	if !r.confirmedAt.IsZero() && at.Sub(r.confirmedAt) > r.maxAge {
		r.forgetLists(now)
	}
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// forgetLists drops all lists but the last one, which counts from now on.
func (r *Ranks) forgetLists(now time.Time) {
	if n := len(r.lists); n > 0 {
		r.lists = []nodeList{{at: now, nodes: r.lists[n-1].nodes}}
	}
}

// Of returns the rank of this node for a replica.
func (r *Ranks) Of(now time.Time, replica api.ReplicaName) Rank {
	if len(r.lists) == 0 {
		return Rank{Position: math.MaxInt}
	}
	current, listed := r.position(r.lists[len(r.lists)-1], replica)
	rank := Rank{Position: current}
	if !listed {
		return rank
	}
	held := now.Sub(r.heldSince(replica, current))
	outdated := r.outdatedFor(now)
	rank.GrantsRate = current == 0 && outdated <= 0 && held >= r.rateHold()
	rank.GrantsSlack = held >= r.slackHold() && outdated < slackHoldTime
	return rank
}

// outdatedFor returns for how long the list of nodes may have been older than maxAge; at most 0
// if it is not.
func (r *Ranks) outdatedFor(now time.Time) time.Duration {
	var d time.Duration
	if !r.lostAt.IsZero() {
		d = max(now.Sub(r.lostAt), 1)
	}
	if !r.confirmedAt.IsZero() {
		d = max(d, now.Sub(r.confirmedAt)-r.maxAge)
	}
	return d
}

// heldSince returns since when all lists give this node a position, which is that of the last
// one.
func (r *Ranks) heldSince(replica api.ReplicaName, position int) time.Time {
	i := len(r.lists) - 1
	for i > 0 {
		if p, listed := r.position(r.lists[i-1], replica); !listed || p != position {
			break
		}
		i--
	}
	return r.lists[i].at
}

// position returns how many nodes of a list have a lower hash for a replica than this one, and
// whether this one is in the list.
func (r *Ranks) position(l nodeList, replica api.ReplicaName) (position int, listed bool) {
	own := AllocatorHash(r.node, replica)
	for _, node := range l.nodes {
		if node == r.node {
			listed = true
		} else if AllocatorHash(node, replica) < own {
			position++
		}
	}
	return position, listed
}

// AllocatorHash orders the nodes by which of them is asked first for permits for a replica; the
// one with the lowest value is its allocator.
func AllocatorHash(node string, replica api.ReplicaName) uint64 {
	return xxhash.Sum64String(node + "/" + string(replica))
}

// coldBucket is the state of an allocator for a cold replica.
type coldBucket struct {
	tokens    float64
	updatedAt time.Time
	// grants holds the times of the permits of the last coldWindow.
	grants []time.Time
}

// available returns how many of the wanted permits can be granted, and how long to wait if
// there are none.
func (b *coldBucket) available(now time.Time, wanted int, s ColdShare) (int, time.Duration) {
	b.tokens = min(b.tokens+s.PerSecond*now.Sub(b.updatedAt).Seconds(), s.Burst)
	b.updatedAt = now
	for len(b.grants) > 0 && now.Sub(b.grants[0]) > coldWindow {
		b.grants = b.grants[1:]
	}
	if s.Window == 0 || s.PerSecond <= 0 {
		return 0, maxRetryAfter
	}
	permits := min(wanted, int(b.tokens), s.Window-len(b.grants))
	if permits > 0 {
		return permits, 0
	}
	wait := time.Duration((1 - b.tokens) / s.PerSecond * float64(time.Second))
	if i := len(b.grants) - s.Window; i >= 0 {
		wait = max(wait, b.grants[i].Add(coldWindow).Sub(now))
	}
	return 0, min(max(wait+retryMargin, minRetryAfter), maxRetryAfter)
}

// take records granted permits.
func (b *coldBucket) take(now time.Time, permits int) {
	b.tokens -= float64(permits)
	for range permits {
		b.grants = append(b.grants, now)
	}
}
