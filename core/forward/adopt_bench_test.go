package forward

import (
	"fmt"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/routing"
)

// BenchmarkAdoptTable measures how long the engine is busy with a new configuration, in which it
// handles no requests. All routes are over the same 90 shards, and groups of nodes run them.
func BenchmarkAdoptTable(b *testing.B) {
	for _, n := range []int{10, 100, 1_500, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var shards []api.ServiceName
			var services []routing.Service
			for i := range 90 {
				shards = append(shards, shard(i))
				services = append(services, routing.Service{Name: shard(i), MaxConnections: localityAccepted})
			}
			routes := make([]routing.Route, n)
			for i := range routes {
				routes[i] = routing.Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Shards: append([]api.ServiceName(nil), shards...)}
			}
			e := New(Settings{Node: nodeName(0), DataCentre: "dc-a", Seed: 1})
			var peers []Peer
			for i := range 35 {
				peers = append(peers, Peer{Node: nodeName(i), DataCentre: "dc-a", Address: "a:1"})
			}
			e.Step(start, Members{Nodes: 35, Peers: peers})
			version := uint64(0)
			for b.Loop() {
				version++
				e.Step(start, TableRead{Table: &routing.Table{Version: version, Routes: routes, Services: map[api.ServiceName]routing.Service{shard(0): services[0]}}})
			}
		})
	}
}
