package ratelimit

// Several nodes grant permits for one replica for as long as they disagree on its allocator: a
// connection may be silent, or a node slow, for some of them only. Each node therefore grants no
// more than the share of its place in the order of the nodes, so that the sum stays within one and
// a half times the limit, whichever node is asked.
const (
	// fullShare is granted by the first node of the order, the allocator.
	fullShare = 1
	// standbyShare is granted by the second one, to nodes that wait in vain for the first.
	standbyShare = 0.2
	// successorShare is granted in place of nodes that seem gone and may only be cut off from
	// this one.
	successorShare = 0.5
	// isolatedShare is divided among all nodes. Each grants its part to itself while neither the
	// first nor the second node responds.
	isolatedShare = 0.2
)

// Place is the place of a node in the order of the nodes for one replica, as far as it knows.
type Place struct {
	// Before is the number of nodes before it that may grant permits.
	Before int
	// Doubtful is set if a node before it seems gone but may only be cut off from this one. Alone is
	// set if no other node has responded of late, so that this one may be the one that is cut off.
	Doubtful, Alone bool
}

// Share returns the part of a limit that the node, one of n, grants.
func (p Place) Share(n int) float64 {
	switch {
	case p.Before == 0 && !p.Doubtful:
		return fullShare
	case p.Before == 0 && !p.Alone:
		return successorShare
	case p.Before == 0:
		return successorShare / float64(max(n-1, 1)) // all nodes but the allocator may be alone
	case p.Before == 1:
		return standbyShare
	}
	return 0
}

// IsolatedShare returns the part of a limit that one of n nodes grants to itself while no
// allocator responds in time.
func IsolatedShare(n int) float64 { return isolatedShare / float64(max(n, 1)) }
