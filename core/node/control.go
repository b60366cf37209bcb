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
	// pushAll is the number of peers up to which news goes to each of them.
	pushAll = 8
	// pushSome is the number of random peers that news goes to otherwise. Each
	// receiver pushes once, so that five rounds reach 570 nodes.
	pushSome = 4
	// refreshInterval is how often the remaining validity of suspicions and
	// convictions is brought up to date for the periodic exchange.
	refreshInterval = 10 * time.Second
)

// changeArrived handles an operator's change.
func (n *Node) changeArrived(now time.Time, ev event.ChangeArrived) {
	if n.shutdown.refuses(now) {
		n.act(event.AnswerChange{
			Request: ev.Request, Outcome: event.ChangeRefused,
			Reason: api.ReasonShuttingDown, RetryAfter: comeBackAfter,
		})
		return
	}
	n.act(n.config.Propose(now, ev)...)
}

// storeEvent hands a store event to the package that asked for it.
func (n *Node) storeEvent(now time.Time, ev event.Event) {
	switch ev := ev.(type) {
	case event.StoreRead:
		if handled, actions := n.config.StoreRead(now, ev); handled {
			n.act(actions...)
			return
		}
		_, result := n.claims.StoreRead(now, ev)
		n.decide(now, result)
	case event.StoreWritten:
		if handled, actions := n.config.StoreWritten(now, ev); handled {
			n.act(actions...)
			return
		}
		_, result := n.claims.StoreWritten(now, ev)
		n.decide(now, result)
	case event.StoreChanged:
		_, actions := n.config.StoreChanged(now, ev)
		n.act(actions...)
	case event.StoreWatchEnded:
		_, actions := n.config.StoreWatchEnded(now, ev)
		n.act(actions...)
	}
}

// adopt configures the packages if the document has changed, and pushes the
// news to peers.
func (n *Node) adopt(now time.Time) {
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
	n.concurrent.Configure(doc)
	n.holdings.Configure(doc)
	n.claims.Configure(doc.ClaimPartitions, doc.ClaimWindow)
	n.configureServices(before, doc)
	n.liveLast = n.liveNodes(now)
	n.act(n.conns.Configure(now, doc, n.liveLast)...)
	n.concurrent.SetNodes(n.liveLast)
	n.act(logEvent("config_adopted",
		"generation", strconv.FormatUint(doc.Generation, 10),
		"revision", strconv.FormatUint(doc.Revision, 10)))
	n.pushDocument(now)
}

// drainNewReplicas applies the drains that were heard of replicas before the
// configuration named them. Those of known replicas were applied when they were
// heard, and may have been taken back since.
func (n *Node) drainNewReplicas(now time.Time, before *config.Document) {
	isNew := func(replica api.ReplicaName) bool { return before == nil || before.Replicas[replica] == nil }
	for _, notice := range n.peers.Draining(now) {
		if isNew(notice.Replica) {
			n.drain(now, notice.Replica, notice.Incarnation)
		}
	}
	for _, vm := range slices.Sorted(maps.Keys(n.vmsGone)) {
		for _, replica := range n.document.ReplicasOn(vm) {
			if n.vmsGone[vm] && isNew(replica) {
				n.draining(now, replica)
			}
		}
	}
}

func (n *Node) configureServices(before, doc *config.Document) {
	for _, name := range doc.ServiceNames() {
		n.budget.Configure(name, doc.Services[name].Rule.ExtraLoad)
	}
	if before == nil {
		return
	}
	for _, name := range before.ServiceNames() {
		if doc.Services[name] == nil {
			n.budget.Drop(name)
			n.delay.Drop(name)
			n.admission.Drop(name)
		}
	}
}

// liveNodes returns the number of live entry nodes, this one included.
func (n *Node) liveNodes(now time.Time) int { return max(1, len(n.peers.Members(now))) }

// updateQuotas adapts the connection quotas to the number of live nodes.
func (n *Node) updateQuotas(now time.Time) {
	live := n.liveNodes(now)
	if live == n.liveLast || n.document == nil {
		return
	}
	n.liveLast = live
	n.act(n.conns.SetLiveNodes(now, live)...)
	n.concurrent.SetNodes(live)
	n.config.SetMembers(now, n.peers.Members(now))
}

// pushDocument tells peers that a newer document is in force, with the newest
// change, which is all that a peer with the revision before needs.
func (n *Node) pushDocument(now time.Time) {
	head := n.document.Head()
	if head == nil {
		return
	}
	change, err := config.EncodeChange(*head)
	if err != nil {
		panic("an adopted change cannot be encoded: " + err.Error())
	}
	for _, m := range n.pushTargets(now) {
		message := n.ownMessage()
		message.Changes = [][]byte{change}
		n.sendPeer(m.Name, m.Address, message)
	}
}

// ownMessage returns a message that is not part of the member exchange. It lists
// this node as a member, because an empty list asks the receiver for all members.
func (n *Node) ownMessage() gossip.Message {
	self := n.peers.Self()
	return gossip.Message{From: self, Members: []gossip.Member{self}}
}

// pushTargets returns the peers that news is pushed to.
func (n *Node) pushTargets(now time.Time) []gossip.Member {
	var others []gossip.Member
	for _, m := range n.peers.Members(now) {
		if m.Name != n.settings.Name {
			others = append(others, m)
		}
	}
	if len(others) <= pushAll {
		return others
	}
	n.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:pushSome]
}

// send hands gossip messages to the driver.
func (n *Node) send(sends []gossip.Send) {
	for _, s := range sends {
		n.sendPeer(s.Peer, s.Address, s.Message)
	}
}

func (n *Node) sendPeer(name api.EntryName, address string, m gossip.Message) {
	at := n.config.Position()
	m.Generation, m.Revision = at.Generation, at.Revision
	n.counts.Inc(count.Peer, "sent")
	n.act(event.SendPeer{Peer: name, Address: address, Message: m})
}

// publish pushes notices of this node to its peers.
func (n *Node) publish(now time.Time, notices []gossip.Notice) {
	if len(notices) > 0 {
		n.send(n.peers.Publish(now, notices...))
	}
}

// refreshNotices repeats what the quarantine holds with its present validity.
func (n *Node) refreshNotices(now time.Time) {
	if now.Before(n.refreshAt) {
		return
	}
	n.refreshAt = now.Add(refreshInterval)
	n.peers.Refresh(now, n.quarantine.Active(now)...)
}

// peerReceived handles a message of another entry node.
func (n *Node) peerReceived(now time.Time, m gossip.Message) {
	n.counts.Inc(count.Peer, "received")
	got := n.peers.Receive(now, m)
	n.send(got.Sends)
	for _, notice := range got.Fresh {
		n.learnNotice(now, notice)
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

// learnNotice acts on a notice of a peer.
func (n *Node) learnNotice(now time.Time, notice gossip.Notice) {
	if notice.Kind == gossip.NoticeDraining {
		if n.drain(now, notice.Replica, notice.Incarnation) {
			n.holdings.Invalidate()
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

// vmListRead drains the replicas of VMs that have begun to leave. Only the
// change counts: the list lags, and may still call a VM leaving when its target
// has returned.
func (n *Node) vmListRead(now time.Time, vms []event.VM) {
	list := make([]gossip.VM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, gossip.VM{Name: vm.Name, Leaving: vm.Leaving})
		if vm.Leaving && !n.vmsGone[vm.Name] && n.document != nil {
			for _, replica := range n.document.ReplicasOn(vm.Name) {
				n.draining(now, replica)
			}
		}
		if !vm.Leaving && n.vmsGone[vm.Name] && n.document != nil {
			n.returned(now, vm.Name)
		}
		n.vmsGone[vm.Name] = vm.Leaving
	}
	n.peers.SetVMs(now, list)
}

// returned takes back the drain of a VM that the list no longer calls leaving:
// the list may have been late, and its drain have hit the process that had
// already taken the place of the leaving one. A target that drains says so
// itself with its next answer.
func (n *Node) returned(now time.Time, vm api.VMName) {
	for _, replica := range n.document.ReplicasOn(vm) {
		n.replicas.ClearDraining(replica)
		n.resume(now, replica)
	}
	n.holdings.Invalidate()
}
