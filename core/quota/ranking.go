package quota

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Node is a node that accepts calls from other nodes.
type Node struct {
	Name string
	// Cores is the number of processor cores of the node; 0 if unknown.
	Cores float64
}

// Role is the part that a node has for an account by its own list of nodes.
type Role uint8

const (
	// None means that the node grants nothing.
	None Role = iota
	// First is the role of the allocator.
	First
	// Second is the role of the standby.
	Second
)

// Ranking chooses the allocator and the standby of each account from the list of nodes, by
// rendezvous hashing: a change of the list moves only the accounts of the nodes that changed.
type Ranking struct {
	self  string
	nodes []weightedNode // sorted by name
	pairs map[string]*pair
	// changedAt is when the list last changed.
	changedAt time.Time
}

// weightedNode is a node with its weight in the rendezvous hashing.
type weightedNode struct {
	name   string
	weight float64
}

// scored is a node with its score for an account; the lowest score wins.
type scored struct {
	node  string
	score float64
}

// pair holds the allocator and the standby of one account.
type pair struct {
	first, second scored
	// since is when this node got its present role.
	since time.Time
}

// NewRanking returns a Ranking of no nodes, for the node with the given name.
func NewRanking(self string) *Ranking {
	return &Ranking{self: self, pairs: make(map[string]*pair)}
}

// Len returns the number of nodes.
func (r *Ranking) Len() int { return len(r.nodes) }

// SetNodes replaces the list of nodes. It reports whether the list has changed.
func (r *Ranking) SetNodes(now time.Time, nodes []Node) bool {
	weighted := weigh(nodes)
	if slices.Equal(weighted, r.nodes) {
		return false
	}
	removed := difference(r.nodes, weighted)
	added := difference(weighted, r.nodes)
	gone := make(map[string]bool, len(removed))
	for _, n := range removed {
		gone[n.name] = true
	}
	r.nodes, r.changedAt = weighted, now
	for account, p := range r.pairs {
		before := p.role(r.self)
		if gone[p.first.node] || gone[p.second.node] || p.second.node == "" {
			*p = pair{since: p.since}
			p.insert(account, weighted)
		} else {
			p.insert(account, added)
		}
		if p.role(r.self) != before {
			p.since = now
		}
	}
	return true
}

// weigh sorts the nodes by name and computes their weights, the squares of their cores: an
// admission is on the path of a request, and a node with a fifth of a core takes several times
// as long to respond. A node whose cores are unknown counts like the smallest one.
func weigh(nodes []Node) []weightedNode {
	smallest := math.Inf(1)
	for _, n := range nodes {
		if n.Cores > 0 && n.Cores < smallest {
			smallest = n.Cores
		}
	}
	if math.IsInf(smallest, 1) {
		smallest = 1
	}
	out := make([]weightedNode, 0, len(nodes))
	for _, n := range nodes {
		cores := n.Cores
		if !(cores > 0) || math.IsInf(cores, 1) {
			cores = smallest
		}
		out = append(out, weightedNode{name: n.Name, weight: cores * cores})
	}
	slices.SortFunc(out, func(a, b weightedNode) int { return strings.Compare(a.name, b.name) })
	return out
}

// difference returns the nodes of a that are not in b with the same weight. Both are sorted.
func difference(a, b []weightedNode) []weightedNode {
	var out []weightedNode
	for _, n := range a {
		i, found := slices.BinarySearchFunc(b, n, func(x, y weightedNode) int { return strings.Compare(x.name, y.name) })
		if !found || b[i] != n {
			out = append(out, n)
		}
	}
	return out
}

// insert compares the given nodes with the present allocator and standby of an account, and
// replaces these by nodes with lower scores.
func (p *pair) insert(account string, nodes []weightedNode) {
	for _, n := range nodes {
		s := scored{node: n.name, score: score(n, account)}
		switch {
		case p.first.node == "" || s.less(p.first):
			p.first, p.second = s, p.first
		case p.second.node == "" || s.less(p.second):
			p.second = s
		}
	}
}

// less orders nodes by score, and by name if the scores are equal.
func (s scored) less(t scored) bool {
	return s.score < t.score || s.score == t.score && s.node < t.node
}

// score returns the score of a node for an account. It is exponentially distributed with the
// weight as its rate, so that a node is first in proportion to its weight.
func score(n weightedNode, account string) float64 {
	h := xxhash.Sum64String(n.name + "/" + account)
	uniform := (float64(h>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / n.weight
}

// role returns the role of a node for the account.
func (p *pair) role(node string) Role {
	switch node {
	case p.first.node:
		return First
	case p.second.node:
		return Second
	}
	return None
}

// pairOf returns the nodes of an account. For an account that was not ranked before, this node
// has held its role at least since the list last changed.
func (r *Ranking) pairOf(account string) *pair {
	p := r.pairs[account]
	if p == nil {
		p = &pair{since: r.changedAt}
		p.insert(account, r.nodes)
		r.pairs[account] = p
	}
	return p
}

// Of returns the allocator and the standby of an account; they are empty if there are too few
// nodes.
func (r *Ranking) Of(account string) (first, second string) {
	p := r.pairOf(account)
	return p.first.node, p.second.node
}

// RoleOf returns the role of this node for an account and since when it has had it.
func (r *Ranking) RoleOf(account string) (Role, time.Time) {
	p := r.pairOf(account)
	return p.role(r.self), p.since
}

// Retain ranks the given accounts and forgets all others.
func (r *Ranking) Retain(accounts map[string]Quota) {
	for account := range r.pairs {
		if _, ok := accounts[account]; !ok {
			delete(r.pairs, account)
		}
	}
	for account := range accounts {
		r.pairOf(account)
	}
}
