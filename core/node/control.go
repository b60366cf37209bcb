package node

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
)

const (
	// pushAllLimit is the largest number of peers at which a new document is pushed
	// to all of them.
	pushAllLimit = 8
	// pushFanout is the number of random peers that a new document is pushed to if
	// there are more. Each receiver pushes once, so that five rounds reach 570 nodes.
	pushFanout = 4
	// refreshInterval is how often the remaining validity of suspicions and
	// convictions is updated for the periodic gossip exchange.
	refreshInterval = 10 * time.Second
)

// changeArrived handles a configuration change from an operator.
func (n *Node) changeArrived(now time.Time, ev event.ChangeArrived) {
	if n.shutdown.refuses(now) {
		n.emit(event.AnswerChange{
			Request: ev.Request, Outcome: event.ChangeRefused,
			Reason: api.ReasonShuttingDown, RetryAfter: defaultRetryAfter,
		})
		return
	}
	n.emit(n.config.Propose(now, ev)...)
}

// storeEvent passes a store event to the package whose operation it belongs to.
func (n *Node) storeEvent(now time.Time, ev event.Event) {
	switch ev := ev.(type) {
	case event.StoreRead:
		if handled, actions := n.config.StoreRead(now, ev); handled {
			n.emit(actions...)
			return
		}
		_, result := n.claims.StoreRead(now, ev)
		n.applyDecisions(now, result)
	case event.StoreWritten:
		if handled, actions := n.config.StoreWritten(now, ev); handled {
			n.emit(actions...)
			return
		}
		_, result := n.claims.StoreWritten(now, ev)
		n.applyDecisions(now, result)
	case event.StoreChanged:
		_, actions := n.config.StoreChanged(now, ev)
		n.emit(actions...)
	case event.StoreWatchEnded:
		_, actions := n.config.StoreWatchEnded(now, ev)
		n.emit(actions...)
	}
}

// adoptDocument reconfigures the packages if the document has changed, and pushes
// the new document to peers.
func (n *Node) adoptDocument(now time.Time) {
	doc := n.config.Document()
	if doc == n.document {
		return
	}
	before := n.document
	if before == nil {
		n.configuredAt = now
	}
	n.document = doc
	n.replicas.Configure(now, doc)
	n.drainNewReplicas(now, before)
	n.concurrency.Configure(doc)
	n.versions.Configure(doc)
	n.claims.Configure(doc.ClaimPartitions, doc.ClaimWindow)
	n.configureServices(now, before, doc)
	n.lastLiveNodes = n.liveNodes(now)
	n.emit(n.conns.Configure(now, doc, n.lastLiveNodes)...)
	n.concurrency.SetNodes(n.lastLiveNodes)
	n.emit(logEvent("config_adopted",
		"generation", strconv.FormatUint(doc.Generation, 10),
		"revision", strconv.FormatUint(doc.Revision, 10)))
	n.pushDocument(now)
}

// drainNewReplicas applies drains that the node learned of before the
// configuration named their replicas. Drains of known replicas were applied on
// receipt and may have been cleared since, so they are not applied again.
func (n *Node) drainNewReplicas(now time.Time, before *config.Document) {
	isNew := func(replica api.ReplicaName) bool { return before == nil || before.Replicas[replica] == nil }
	for _, notice := range n.peers.Draining(now) {
		if isNew(notice.Replica) {
			n.setDraining(now, notice.Replica, notice.Incarnation)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(n.leavingVMs)) {
		for _, replica := range n.document.ReplicasOn(vm) {
			if n.leavingVMs[vm] && isNew(replica) {
				n.drainAndNotify(now, replica)
			}
		}
	}
}

func (n *Node) configureServices(now time.Time, before, doc *config.Document) {
	for _, name := range doc.ServiceNames() {
		n.budget.Configure(name, doc.Services[name].Rule.ExtraLoad)
	}
	n.budget.Retain(now, func(name api.ServiceName) bool { return doc.Services[name] != nil })
	if before == nil {
		return
	}
	for _, name := range before.ServiceNames() {
		if doc.Services[name] == nil {
			n.latencies.Drop(name)
			n.admission.Drop(name)
		}
	}
}

// liveNodes returns the number of live entry nodes, including this one.
func (n *Node) liveNodes(now time.Time) int { return max(1, len(n.peers.Members(now))) }

// updateQuotas adjusts the connection quotas to the number of live nodes.
func (n *Node) updateQuotas(now time.Time) {
	live := n.liveNodes(now)
	if live == n.lastLiveNodes || n.document == nil {
		return
	}
	n.lastLiveNodes = live
	n.emit(n.conns.SetLiveNodes(now, live)...)
	n.concurrency.SetNodes(live)
	n.config.SetMembers(now, n.peers.Members(now))
}

// pushDocument sends peers the position of the adopted document and its newest
// change, which is all that a peer at the previous revision needs.
func (n *Node) pushDocument(now time.Time) {
	newest := n.document.NewestChange()
	if newest == nil {
		return
	}
	change, err := config.EncodeChange(*newest)
	if err != nil {
		panic("cannot encode an adopted change: " + err.Error())
	}
	for _, m := range n.pushTargets(now) {
		message := n.ownMessage()
		message.Changes = [][]byte{change}
		n.sendPeer(m.Name, m.Address, message)
	}
}

// ownMessage returns a message outside the periodic member exchange. It lists
// this node as a member, because an empty list requests a full sync.
func (n *Node) ownMessage() gossip.Message {
	self := n.peers.Self()
	return gossip.Message{From: self, Members: []gossip.Member{self}}
}

// pushTargets returns the peers that a new document is pushed to.
func (n *Node) pushTargets(now time.Time) []gossip.Member {
	var others []gossip.Member
	for _, m := range n.peers.Members(now) {
		if m.Name != n.settings.Name {
			others = append(others, m)
		}
	}
	if len(others) <= pushAllLimit {
		return others
	}
	n.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:pushFanout]
}

// sendGossip emits gossip messages.
func (n *Node) sendGossip(sends []gossip.Send) {
	for _, s := range sends {
		n.sendPeer(s.Peer, s.Address, s.Message)
	}
}

func (n *Node) sendPeer(name api.EntryName, address string, m gossip.Message) {
	at := n.config.Position()
	m.Generation, m.Revision = at.Generation, at.Revision
	n.counts.Inc(count.Peer, "sent")
	n.emit(event.SendPeer{Peer: name, Address: address, Message: m})
}

// publish sends notices that originate at this node to its peers.
func (n *Node) publish(now time.Time, notices []gossip.Notice) {
	if len(notices) > 0 {
		n.sendGossip(n.peers.Publish(now, notices...))
	}
}

// refreshNotices updates the notices that gossip repeats to the suspicions and
// convictions that the quarantine holds, with their remaining validity.
func (n *Node) refreshNotices(now time.Time) {
	if now.Before(n.refreshNoticesAt) {
		return
	}
	n.refreshNoticesAt = now.Add(refreshInterval)
	n.peers.Refresh(now, n.quarantine.Active(now)...)
}

// peerReceived handles a message from another entry node.
func (n *Node) peerReceived(now time.Time, m gossip.Message) {
	n.counts.Inc(count.Peer, "received")
	got := n.peers.Receive(now, m)
	n.sendGossip(got.Sends)
	for _, notice := range got.NewNotices {
		n.applyNotice(now, notice)
	}
	if got.MembersChanged {
		n.config.SetMembers(now, n.peers.Members(now))
		n.updateQuotas(now)
	}
	reply := n.config.Receive(now, m)
	if reply.Want == nil && len(reply.Changes) == 0 && len(reply.Document) == 0 {
		return
	}
	message := n.ownMessage()
	message.Changes, message.Document, message.WantAfter = reply.Changes, reply.Document, reply.Want
	n.sendPeer(m.From.Name, m.From.Address, message)
}

// applyNotice applies a notice from a peer.
func (n *Node) applyNotice(now time.Time, notice gossip.Notice) {
	if notice.Kind == gossip.NoticeDraining {
		if n.setDraining(now, notice.Replica, notice.Incarnation) {
			n.versions.Invalidate()
		}
		return
	}
	changed := n.quarantine.Learn(now, notice)
	response := n.quarantine.Respond(now, notice)
	n.publish(now, response)
	for _, r := range response {
		if r.Kind == gossip.NoticeCleared {
			n.retryProbation(now, r.Fingerprint)
		}
	}
	if notice.Kind == gossip.NoticeSuspect || notice.Kind == gossip.NoticeConvicted {
		n.markStale(notice.Fingerprint)
	}
	if changed {
		n.retryProbation(now, notice.Fingerprint)
	}
}

// vmListRead drains the replicas of VMs that the list newly reports as leaving.
// Only the transition counts: the list lags and may still report a VM as leaving
// after its target has returned.
func (n *Node) vmListRead(now time.Time, vms []event.VM) {
	list := make([]gossip.VM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, gossip.VM{Name: vm.Name, Leaving: vm.Leaving})
		if vm.Leaving && !n.leavingVMs[vm.Name] && n.document != nil {
			for _, replica := range n.document.ReplicasOn(vm.Name) {
				n.drainAndNotify(now, replica)
			}
		}
		if !vm.Leaving && n.leavingVMs[vm.Name] && n.document != nil {
			n.clearVMDrain(now, vm.Name)
		}
		n.leavingVMs[vm.Name] = vm.Leaving
	}
	n.peers.SetVMs(now, list)
}

// clearVMDrain clears the drain of the replicas on a VM that the list no longer
// reports as leaving. The list may have been late, so that the drain was applied
// to the process that had already replaced the leaving one. A target that does
// drain reports it with its next reply.
func (n *Node) clearVMDrain(now time.Time, vm api.VMName) {
	for _, replica := range n.document.ReplicasOn(vm) {
		n.replicas.ClearDraining(replica)
		n.resumeWaiting(now, replica)
	}
	n.versions.Invalidate()
}
