package routing

import (
	"slices"
	"sort"
	"strings"
)

// prefixIndex finds the longest prefix of a path among the prefixes of one host in logarithmic
// time, whatever their nesting.
type prefixIndex []prefixEntry

// prefixEntry is one prefix. Entries are sorted by prefix.
type prefixEntry struct {
	prefix string
	route  *Route
	// parent is the index of the longest other prefix that this one starts with, or -1, and
	// depth is the number of such prefixes. jump is the index of a more distant one, chosen so
	// that a walk over jumps and parents takes logarithmic time in the depth (a skew-binary
	// jump pointer), or -1.
	parent, jump, depth int
}

// newPrefixIndex indexes the routes of one host. Of routes with the same prefix, the first is
// used.
func newPrefixIndex(routes []*Route) prefixIndex {
	x := make(prefixIndex, 0, len(routes))
	for _, r := range routes {
		x = append(x, prefixEntry{prefix: r.Prefix, route: r})
	}
	slices.SortStableFunc(x, func(a, b prefixEntry) int { return strings.Compare(a.prefix, b.prefix) })
	x = slices.CompactFunc(x, func(a, b prefixEntry) bool { return a.prefix == b.prefix })
	for i := range x {
		x.link(i)
	}
	return x
}

// link sets the parent, depth and jump of an entry. Those before it must have been linked.
func (x prefixIndex) link(i int) {
	e := &x[i]
	e.parent, e.jump, e.depth = i-1, -1, 0
	for e.parent >= 0 && !strings.HasPrefix(e.prefix, x[e.parent].prefix) {
		e.parent = x[e.parent].parent
	}
	if e.parent < 0 {
		return
	}
	p := x[e.parent]
	e.depth, e.jump = p.depth+1, e.parent
	if p.jump >= 0 && x[p.jump].jump >= 0 && p.depth-x[p.jump].depth == x[p.jump].depth-x[x[p.jump].jump].depth {
		e.jump = x[p.jump].jump
	}
}

// find returns the route with the longest prefix of a path, or nil, and the number of entries
// that it looked at.
func (x prefixIndex) find(path string) (route *Route, steps int) {
	// Every prefix of the path is one of the last entry that is not greater than the path.
	i := sort.Search(len(x), func(i int) bool {
		steps++
		return x[i].prefix > path
	}) - 1
	if i < 0 {
		return nil, steps
	}
	common := commonLength(x[i].prefix, path)
	for i >= 0 && len(x[i].prefix) > common {
		steps++
		if j := x[i].jump; j >= 0 && len(x[j].prefix) > common {
			i = j
		} else {
			i = x[i].parent
		}
	}
	if i < 0 {
		return nil, steps
	}
	return x[i].route, steps
}

// commonLength returns the length of the longest common prefix of two strings.
func commonLength(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}
