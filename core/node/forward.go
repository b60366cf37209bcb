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
	// forwardWait is how long the owner of a claim partition may take before the
	// node asks for the claim itself. A frozen owner then costs one second, not
	// the whole deadline.
	forwardWait = time.Second
	// peerPause is how long nothing is passed on to a peer that did not answer.
	peerPause = 2 * time.Second
)

// forwardState says how the passing on of a work order stands.
type forwardState uint8

const (
	// notForwarded means that no peer has got the work order.
	notForwarded forwardState = iota
	// forwardOpen means that the owner's answer is awaited.
	forwardOpen
	// forwardLost means that the owner may have got the work order, and that no
	// answer will come.
	forwardLost
)

// owner returns the peer that work orders of a claim partition are passed on
// to, by rendezvous hashing over the live nodes; false if it is this node or
// cannot be reached. Ownership only saves store calls: the claim alone decides
// who may send, so that two nodes with different views do no harm.
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

// forwardWork passes a work order on to the owner of its claim partition. It
// returns false if this node is to handle it.
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
	w.state, w.forward = workForwarded, forwardOpen
	w.forwardedTo, w.forwardAddress = owner.Name, owner.Address
	w.localAt = now.Add(min(forwardWait, w.deadline.Sub(now)/2))
	n.timers.Set(w.localAt, timer{request: w.id()})
	n.counts.Inc(count.Peer, "work_forwarded")
	n.act(event.ForwardWork{
		Op: op, Peer: owner.Name, Address: owner.Address,
		Caller: w.arrived.Caller, Work: w.arrived.Work, Deadline: w.deadline,
	})
	return true
}

// workForwarded handles the end of a passing on.
func (n *Node) workForwarded(now time.Time, ev event.WorkForwarded) {
	w := n.works[n.forwards[ev.Op]]
	delete(n.forwards, ev.Op)
	if w == nil || w.forward != forwardOpen {
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

// forwardAnswered takes the owner's answer, unless this node has asked for the
// claim meanwhile and got it.
func (n *Node) forwardAnswered(now time.Time, w *work, answer api.WorkAnswer) {
	w.forward = notForwarded
	if answer.Outcome == api.NotRun && ownerCannot(answer.Reason) {
		n.pausePeer(now, w.forwardedTo, "work_forward_refused")
		n.handleLocally(now, w)
		return
	}
	switch w.state {
	case workForwarded, workWaiting:
		n.endWork(now, w, answer)
	case workClaiming:
		n.endWork(now, w, answer)
		n.decide(now, n.claims.Cancel(now, w.id()))
	}
}

// ownerCannot reports whether a refusal is about the owner itself, so that this
// node may do better.
func ownerCannot(reason api.Reason) bool {
	switch reason {
	case api.ReasonShuttingDown, api.ReasonNoConfiguration, api.ReasonUnknownService, api.ReasonNoConnection:
		return true
	}
	return false
}

// handleLocally asks for the claim at this node after the owner did not answer.
// That is safe whatever the owner does: only one of the two gets the claim.
func (n *Node) handleLocally(now time.Time, w *work) {
	switch {
	case w.state != workForwarded:
	case !w.triedLocally:
		w.triedLocally = true
		n.admitWork(now, w)
	case w.forward != forwardOpen:
		n.endWork(now, w, w.localAnswer)
	}
}

// keepWaiting reports whether a work order that this node was refused goes on
// waiting for its owner, which holds the claim and may be running it. A message
// to the owner shows whether it still responds.
func (n *Node) keepWaiting(w *work, answer api.WorkAnswer) bool {
	if w.forward != forwardOpen {
		return false
	}
	w.state = workForwarded
	w.localAnswer = answer
	n.sendPeer(w.forwardedTo, w.forwardAddress, n.ownMessage())
	return true
}

// peerFailed handles a message that a peer did not take. Work orders that were
// passed on to it are handled here, or answered if this was tried before.
func (n *Node) peerFailed(now time.Time, peer api.EntryName) {
	n.peers.Failed(peer)
	n.pausePeer(now, peer, "paused")
	for _, id := range slices.Sorted(maps.Keys(n.works)) {
		w := n.works[id]
		switch {
		case w == nil || w.forward != forwardOpen || w.forwardedTo != peer || w.state != workForwarded:
		case w.triedLocally:
			n.endWork(now, w, w.localAnswer)
		default:
			n.handleLocally(now, w)
		}
	}
}

func (n *Node) pausePeer(now time.Time, peer api.EntryName, detail api.Reason) {
	n.peerPausedUntil[peer] = now.Add(peerPause)
	n.counts.Inc(count.Peer, detail)
}

// unknownIfForwarded turns "not run" into "unknown" for a work order that a peer may have
// run.
func (w *work) unknownIfForwarded(answer api.WorkAnswer) api.WorkAnswer {
	if w.forward != notForwarded && answer.Outcome == api.NotRun {
		answer.Outcome = api.Unknown
	}
	return answer
}
