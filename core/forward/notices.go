package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// This file exchanges quarantine notices with the other nodes. They are sent directly as
// well as through the store, because a request that crashes replicas may arrive at another
// node within a second, and the store may be unavailable or slow.

const (
	// maxDirectRecipients is the number of nodes up to which a node sends notices to each
	// other node directly. With more nodes, it sends them to the nodes of its own data
	// centre and to relaysPerDataCentre nodes of each other data centre, which pass them
	// on: connections within a data centre are already open.
	maxDirectRecipients = 16
	relaysPerDataCentre = 2
)

// publish sends notices to the other nodes and also writes them to the store, for nodes that
// start later or cannot be reached.
func (e *Engine) publish(notices []gossip.Notice) {
	if len(notices) == 0 {
		return
	}
	e.emit(Publish{Notices: notices})
	e.sendDirectly(notices)
}

// sendDirectly sends notices to the other nodes, not through the store.
func (e *Engine) sendDirectly(notices []gossip.Notice) {
	if len(e.groups.addresses) <= maxDirectRecipients {
		e.sendNotices(slices.Sorted(maps.Values(e.groups.addresses)), notices, false)
		return
	}
	e.sendToDataCentre(notices)
	e.sendNotices(e.relayAddresses(), notices, true)
}

// sendToDataCentre sends notices to the other nodes of this data centre.
func (e *Engine) sendToDataCentre(notices []gossip.Notice) {
	var addresses []string
	for _, p := range e.groups.nodes[e.settings.DataCentre] {
		if p.Node != e.settings.Node {
			addresses = append(addresses, p.Address)
		}
	}
	e.sendNotices(addresses, notices, false)
}

// relayAddresses returns the addresses of relaysPerDataCentre randomly chosen nodes of each
// other data centre.
func (e *Engine) relayAddresses() []string {
	var addresses []string
	for _, dc := range slices.Sorted(maps.Keys(e.groups.nodes)) {
		if dc == e.settings.DataCentre {
			continue
		}
		list := e.groups.nodes[dc]
		for _, i := range e.rng.Perm(len(list))[:min(len(list), relaysPerDataCentre)] {
			addresses = append(addresses, list[i].Address)
		}
	}
	return addresses
}

func (e *Engine) sendNotices(addresses []string, notices []gossip.Notice, passOn bool) {
	if len(addresses) > 0 {
		e.counts.Add(count.Peer, "notices_told", uint64(len(addresses)))
		e.emit(SendNotices{Addresses: addresses, Notices: notices, PassOn: passOn})
	}
}

// learnNotices applies notices that other nodes published.
func (e *Engine) learnNotices(now time.Time, ev NoticesRead) {
	if ev.PassOn {
		e.sendToDataCentre(ev.Notices)
	}
	for _, n := range ev.Notices {
		if n.Kind == gossip.NoticeReplicaEnded {
			e.learnReplicaEnded(now, n)
			continue
		}
		if e.quarantine.Learn(now, n) {
			e.log("notice_learned", "kind", n.Kind, "fingerprint", n.Fingerprint, "crashes", n.Crashes,
				"replica", n.Replica, "version", n.Version)
		}
		// A notice that changes nothing here may still explain a crash.
		e.publish(e.quarantine.Respond(now, n))
	}
}

// noticesUndelivered handles a node that could not be reached. That node reads the notices
// from the store.
func (e *Engine) noticesUndelivered(ev NoticesUndelivered) {
	e.counts.Inc(count.Peer, "notices_not_told")
	e.log("notices_not_told", "address", ev.Address, "notices", ev.Notices, "error", ev.Error)
}
