package ratelimit

import "math"

// Several nodes grant permits for one replica for as long as they disagree on its allocator: a
// connection may be silent, or a node slow, for some of them only. Each node therefore grants no
// more than the share of its place in the order of the nodes, and a part of successorShare for each
// node that relies on it. The shares of all places and the successors, whoever they are, stay
// within one and a half times the limit together with those of isolated nodes.
const (
	// fullShare is granted by the first node of the order, the allocator.
	fullShare = 1
	// standbyShare is granted by the second one, to nodes that wait in vain for the first. Each
	// further node that may stand in grants placeRatio of what the one before it does.
	standbyShare = 0.1
	placeRatio   = 0.25
	// successorShare is divided among the nodes that take all those before them for gone, by the
	// nodes that rely on each of them. A node relies on one other at a time.
	successorShare = 0.43
	// isolatedShare is divided among all nodes. Each grants its part to itself while neither the
	// first nor the second node responds.
	isolatedShare = 0.1
)

// Place is the place of a node in the order of the nodes for one replica, as far as it knows.
type Place struct {
	// Position is the number of nodes before it, without those whose processes have ended.
	Position int
	// Ended is the number of nodes before it whose processes have ended.
	Ended int
	// Live is the number of those that may grant permits; the others do not respond, and may only
	// be cut off from this one.
	Live int
	// Askers is the fraction of the nodes, without the allocator, that rely on this one for permits.
	Askers float64
}

// Share returns the part of a limit that the node grants.
func (p Place) Share() float64 {
	if p.Position == 0 {
		return fullShare
	}
	share := 0.0
	if p.Live <= 1 {
		share = standbyShare * math.Pow(placeRatio, float64(p.Position-1))
	}
	if p.Live == 0 {
		share += successorShare * min(p.Askers, 1)
	}
	return share
}

// IsolatedShare returns the part of a limit that one of n nodes grants to itself while no
// allocator responds in time.
func IsolatedShare(n int) float64 { return isolatedShare / float64(max(n, 1)) }
