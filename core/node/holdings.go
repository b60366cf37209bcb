package node

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/snapshot"
)

// askInterval is the shortest time between two questions to one replica about
// the versions that it holds.
const askInterval = 50 * time.Millisecond

// askHoldings probes the replicas that could complete a choice with too small a
// share, if they are not known to hold it. Targets announce what they hold with
// their answers, and a replica that is believed to hold nothing useful gets no
// request that it could answer, so that the belief would stay wrong for as long
// as its connection lasts.
func (n *Node) askHoldings(now time.Time, service api.ServiceName, choice snapshot.Choice, wanted api.PPM) {
	m := choice.Map
	if m == nil {
		m = n.document.Services[service].Newest()
	}
	if m == nil || (choice.Map != nil && choice.Share >= wanted) {
		return
	}
	for i := range m.Shards {
		n.askShard(now, &m.Shards[i], choice.Snapshot)
	}
}

func (n *Node) askShard(now time.Time, shard *config.Shard, at api.Snapshot) {
	holds := func(r api.ReplicaName) bool {
		usable, _ := n.replicas.Usable(now, r)
		return usable && n.conns.Open(r) > 0 && n.holdings.Holds(r, at, shard.Name)
	}
	if slices.ContainsFunc(shard.Replicas, holds) {
		return
	}
	for _, r := range shard.Replicas {
		usable, _ := n.replicas.Usable(now, r)
		conn, open := n.conns.Pick(now, r)
		if !usable || !open || now.Sub(n.askedAt[r]) < askInterval {
			continue
		}
		n.askedAt[r] = now
		n.act(event.Probe{Conn: conn})
	}
}
