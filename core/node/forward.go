package node

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/once"
)

const (
	// forwardTimeout is how long the owner of a claim partition may take before the
	// node requests the claim itself. It limits the cost of a frozen owner to one
	// second instead of the whole deadline.
	forwardTimeout = time.Second
	// peerPause is how long no work order is forwarded to a peer after a failure.
	peerPause = 2 * time.Second
)

// forwardState is the state of forwarding a work order to its owner.
type forwardState uint8

const (
	// notForwarded means that no peer has received the work order.
	notForwarded forwardState = iota
	// forwardPending means that the owner's answer is outstanding.
	forwardPending
	// forwardLost means that the owner may have received the work order, but no answer
	// will come.
	forwardLost
)

// owner returns the peer that work orders of a claim partition are forwarded to,
// by rendezvous hashing over the live nodes. It returns false if that is this node
// or if no node is available. Ownership only saves store calls: the claim alone
// decides which node may send, so nodes with different views of the live nodes do
// no harm.
func (n *Node) owner(now time.Time, partition int) (gossip.Member, bool) {
	var best gossip.Member
	var bestScore uint64
	for _, m := range n.peers.Members(now) {
		if m.Leaving || now.Before(n.peerPausedUntil[m.Name]) {
			continue
		}
		if score := ownerScore(partition, m.Name); score >= bestScore {
			best, bestScore = m, score
		}
	}
	return best, best.Name != "" && best.Name != n.settings.Name
}

func ownerScore(partition int, name api.EntryName) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(partition))
	_, _ = d.WriteString(string(name)) // It never fails.
	return d.Sum64()
}

// forwardWork forwards a work order to the owner of its claim partition. It returns
// false if this node is to handle the work order.
func (n *Node) forwardWork(now time.Time, w *work) bool {
	if w.arrived.Forwarded || n.document.ClaimPartitions == 0 {
		return false
	}
	partition := once.Partition(w.arrived.Caller, w.arrived.Work.Service, w.arrived.Work.Key, n.document.ClaimPartitions)
	owner, ok := n.owner(now, partition)
	if !ok {
		return false
	}
	op := n.newOp()
	n.forwards[op] = w.id()
	w.state, w.forward = workForwarded, forwardPending
	w.forwardedTo, w.forwardAddress = owner.Name, owner.Address
	w.localClaimAt = now.Add(min(forwardTimeout, w.deadline.Sub(now)/2))
	n.timers.Add(w.localClaimAt, timer{request: w.id()})
	n.counts.Inc(count.Peer, "work_forwarded")
	n.emit(event.ForwardWork{
		Op: op, Peer: owner.Name, Address: owner.Address,
		Caller: w.arrived.Caller, Work: w.arrived.Work, Deadline: w.deadline,
	})
	return true
}

// workForwarded handles the result of a ForwardWork action.
func (n *Node) workForwarded(now time.Time, ev event.WorkForwarded) {
	w := n.works[n.forwards[ev.Op]]
	delete(n.forwards, ev.Op)
	if w == nil || w.forward != forwardPending {
		return
	}
	switch ev.Result {
	case event.ForwardAnswered:
		n.forwardAnswered(now, w, ev.Answer)
	case event.ForwardNotSent:
		n.pausePeer(now, w.forwardedTo, "work_forward_not_sent")
		w.forward = notForwarded
		n.handleLocally(now, w)
	case event.ForwardLost:
		n.pausePeer(now, w.forwardedTo, "work_forward_lost")
		w.forward = forwardLost
		n.handleLocally(now, w)
	}
}

// forwardAnswered handles the owner's answer. The answer is ignored if this node
// has requested the claim itself in the meantime and got it.
func (n *Node) forwardAnswered(now time.Time, w *work, answer api.WorkAnswer) {
	w.forward = notForwarded
	if answer.Outcome == api.NotRun && ownerUnavailable(answer.Reason) {
		n.pausePeer(now, w.forwardedTo, "work_forward_refused")
		n.handleLocally(now, w)
		return
	}
	switch w.state {
	case workForwarded, workAwaitingProbation:
		n.endWork(now, w, answer)
	case workClaiming:
		n.endWork(now, w, answer)
		n.applyDecisions(now, n.claims.Cancel(now, w.id()))
	}
}

// ownerUnavailable reports whether a refusal concerns only the owner itself, so
// that this node may be able to run the work order.
func ownerUnavailable(reason api.Reason) bool {
	switch reason {
	case api.ReasonShuttingDown, api.ReasonNoConfiguration, api.ReasonUnknownService, api.ReasonNoConnection:
		return true
	}
	return false
}

// handleLocally requests the claim at this node because the owner did not answer.
// If this node was refused before and no answer is outstanding, it ends the work
// order with that refusal. Requesting the claim is safe whatever the owner does,
// because only one of the two nodes gets it.
func (n *Node) handleLocally(now time.Time, w *work) {
	switch {
	case w.state != workForwarded:
	case !w.triedLocally:
		w.triedLocally = true
		n.admitWork(now, w)
	case w.forward != forwardPending:
		n.endWork(now, w, w.localRefusal)
	}
}

// waitForOwner reports whether a work order that this node was refused still waits
// for its owner, which holds the claim and may be running it. It sends the owner a
// message, whose failure shows that the owner no longer responds.
func (n *Node) waitForOwner(w *work, answer api.WorkAnswer) bool {
	if w.forward != forwardPending {
		return false
	}
	w.state = workForwarded
	w.localRefusal = answer
	n.sendPeer(w.forwardedTo, w.forwardAddress, n.ownMessage())
	return true
}

// peerFailed handles a message that could not be delivered to a peer. Work orders
// forwarded to that peer are handled here, or answered if that was tried before.
func (n *Node) peerFailed(now time.Time, peer api.EntryName) {
	n.peers.DeliveryFailed(peer)
	n.pausePeer(now, peer, "paused")
	for _, id := range slices.Sorted(maps.Keys(n.works)) {
		w := n.works[id]
		switch {
		case w == nil || w.forward != forwardPending || w.forwardedTo != peer || w.state != workForwarded:
		case w.triedLocally:
			n.endWork(now, w, w.localRefusal)
		default:
			n.handleLocally(now, w)
		}
	}
}

// pausePeer stops forwarding to a peer for peerPause.
func (n *Node) pausePeer(now time.Time, peer api.EntryName, detail api.Reason) {
	n.peerPausedUntil[peer] = now.Add(peerPause)
	n.counts.Inc(count.Peer, detail)
}

// unknownIfForwarded changes the outcome "not run" to "unknown" for a work order
// that a peer may have run.
func (w *work) unknownIfForwarded(answer api.WorkAnswer) api.WorkAnswer {
	if w.forward != notForwarded && answer.Outcome == api.NotRun {
		answer.Outcome = api.Unknown
	}
	return answer
}
