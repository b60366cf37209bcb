package ratelimit

import "math"

// Several nodes grant permits for one replica for as long as they disagree on its allocator: a
// connection may be silent, or a node slow, for some of them only. Each node therefore grants no
// more than the share of its place in the order of the nodes. The shares of all places together,
// one successor and the isolated nodes stay within one and a half times the limit, whichever node
// is asked.
const (
	// fullShare is granted by the first node of the order, the allocator.
	fullShare = 1
	// standbyShare is granted by the second one, to nodes that wait in vain for the first. Each
	// further node that may stand in grants half of what the one before it does.
	standbyShare = 0.15
	// successorShare is granted in place of nodes that do not respond, by a node that most of the
	// others ask, and half of it by one that a third of them asks. So few nodes can grant it at the
	// same time that the sum stays the same.
	successorShare = 0.4
	mostAskers     = 1.0 / 2
	manyAskers     = 1.0 / 3
	// isolatedShare is divided among all nodes. Each grants its part to itself while neither the
	// first nor the second node responds.
	isolatedShare = 0.1
)

// Place is the place of a node in the order of the nodes for one replica, as far as it knows.
type Place struct {
	// Position is the number of nodes before it, without those whose processes have ended.
	Position int
	// Live is the number of those that may grant permits; the others do not respond, and may only
	// be cut off from this one.
	Live int
	// Askers is the fraction of the other nodes that ask this one for permits.
	Askers float64
}

// Share returns the part of a limit that the node grants.
func (p Place) Share() float64 {
	switch {
	case p.Position == 0:
		return fullShare
	case p.Live == 0 && p.Askers >= mostAskers:
		return successorShare
	case p.Live == 0 && p.Askers >= manyAskers:
		return successorShare / 2
	case p.Live <= 1:
		return standbyShare * math.Pow(0.5, float64(p.Position-1))
	}
	return 0
}

// IsolatedShare returns the part of a limit that one of n nodes grants to itself while no
// allocator responds in time.
func IsolatedShare(n int) float64 { return isolatedShare / float64(max(n, 1)) }
