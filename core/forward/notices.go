package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// The pattern: a request that crashes replicas comes again at another node within a
// second, and the store, through which notices are kept, may be away or slow.

const (
	// mostTold is the number of nodes up to which each is told directly. Beyond it, a
	// node tells those of its data centre and toldElsewhere of each other one, which pass
	// the notices on: connections within a data centre are open already.
	mostTold      = 16
	toldElsewhere = 2
)

// publish makes notices known to the other nodes, through the store for those that
// start later or are out of reach.
func (e *Engine) publish(notices []gossip.Notice) {
	if len(notices) == 0 {
		return
	}
	e.act(Publish{Notices: notices})
	if len(e.groups.addresses) <= mostTold {
		e.tell(slices.Sorted(maps.Values(e.groups.addresses)), notices, false)
		return
	}
	e.tellDataCentre(notices)
	e.tell(e.passers(), notices, true)
}

// tellDataCentre tells notices to the nodes of this data centre.
func (e *Engine) tellDataCentre(notices []gossip.Notice) {
	var addresses []string
	for _, p := range e.groups.nodes[e.settings.DataCentre] {
		if p.Node != e.settings.Node {
			addresses = append(addresses, p.Address)
		}
	}
	e.tell(addresses, notices, false)
}

// passers draws some nodes of each other data centre.
func (e *Engine) passers() []string {
	var addresses []string
	for _, dc := range slices.Sorted(maps.Keys(e.groups.nodes)) {
		if dc == e.settings.DataCentre {
			continue
		}
		list := e.groups.nodes[dc]
		for _, i := range e.rng.Perm(len(list))[:min(len(list), toldElsewhere)] {
			addresses = append(addresses, list[i].Address)
		}
	}
	return addresses
}

func (e *Engine) tell(addresses []string, notices []gossip.Notice, passOn bool) {
	if len(addresses) > 0 {
		e.counts.Add(count.Peer, "notices_told", uint64(len(addresses)))
		e.act(TellNodes{Addresses: addresses, Notices: notices, PassOn: passOn})
	}
}

// learnNotices takes over what other nodes published.
func (e *Engine) learnNotices(now time.Time, ev NoticesRead) {
	if ev.PassOn {
		e.tellDataCentre(ev.Notices)
	}
	for _, n := range ev.Notices {
		if e.quarantine.Learn(now, n) {
			e.log("notice_learned", "kind", n.Kind, "fingerprint", n.Fingerprint, "crashes", n.Crashes,
				"replica", n.Replica, "version", n.Version)
		}
		// A notice that changes nothing here may still explain a crash.
		e.publish(e.quarantine.Respond(now, n))
	}
}

// notTold handles a node that could not be told; it reads the notices in the store.
func (e *Engine) notTold(ev NotTold) {
	e.counts.Inc(count.Peer, "notices_not_told")
	e.log("notices_not_told", "address", ev.Address, "notices", ev.Notices, "error", ev.Error)
}
