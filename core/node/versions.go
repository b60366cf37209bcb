package node

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/snapshot"
)

// versionProbeInterval is the shortest time between two probes that ask one
// replica for the versions it holds.
const versionProbeInterval = 50 * time.Millisecond

// probeVersions probes replicas that could raise a choice to the wanted coverage
// but are not known to hold its snapshot. Targets report the versions they hold
// with their replies. A replica that is believed to hold no usable version gets
// no requests, so without a probe a wrong belief would last as long as its
// connection.
func (n *Node) probeVersions(now time.Time, service api.ServiceName, choice snapshot.Choice, wanted api.PPM) {
	m := choice.Map
	if m == nil {
		m = n.document.Services[service].NewestMap()
	}
	if m == nil || (choice.Map != nil && choice.Share >= wanted) {
		return
	}
	for i := range m.Shards {
		n.probeShard(now, &m.Shards[i], choice.Snapshot)
	}
}

// probeShard probes the usable replicas of a shard, unless one of them is known to
// hold it at the snapshot.
func (n *Node) probeShard(now time.Time, shard *config.Shard, at api.Snapshot) {
	holds := func(r api.ReplicaName) bool {
		usable, _ := n.replicas.Usable(now, r)
		return usable && n.conns.OpenCount(r) > 0 && n.versions.Holds(r, at, shard.Name)
	}
	if slices.ContainsFunc(shard.Replicas, holds) {
		return
	}
	for _, r := range shard.Replicas {
		usable, _ := n.replicas.Usable(now, r)
		conn, open := n.conns.Pick(now, r)
		if !usable || !open || now.Sub(n.probedAt[r]) < versionProbeInterval {
			continue
		}
		n.probedAt[r] = now
		n.emit(event.Probe{Conn: conn})
	}
}
