package snapshot

import (
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

const half = 1 << 31

// document has one service whose shard s was split into s-low and s-high.
func document() *config.Document {
	replicas := []api.ReplicaName{"a", "b"}
	return &config.Document{
		Services: map[api.ServiceName]*config.Service{"alarm": {
			Kind: config.KindSearch,
			Maps: []config.PartitionMap{
				{Epoch: 1, Shards: []config.Shard{{Name: "s", Last: 1<<32 - 1, Replicas: replicas}}},
				{Epoch: 2, Shards: []config.Shard{
					{Name: "s-low", Last: half - 1, Replicas: replicas},
					{Name: "s-high", First: half, Last: 1<<32 - 1, Replicas: replicas},
				}},
			},
		}},
		Replicas: map[api.ReplicaName]*config.Replica{"a": {Service: "alarm"}, "b": {Service: "alarm"}},
	}
}

func holds(epoch uint64, shard api.ShardName, versions ...uint64) api.ShardVersions {
	return api.ShardVersions{Epoch: epoch, Shard: shard, Versions: versions}
}

// Guards against a choice that counts one shard under two epochs, prefers a new
// snapshot with holes, or counts replicas that cannot be used.
func TestChoose(t *testing.T) {
	cases := []struct {
		name   string
		a, b   []api.ShardVersions
		wanted api.PPM
		down   api.ReplicaName
		want   api.Snapshot
		share  api.PPM
	}{
		{"newest version", []api.ShardVersions{holds(1, "s", 4, 5)}, nil, api.Whole, "", api.Snapshot{Epoch: 1, Version: 5}, api.Whole},
		{"new epoch half ready", []api.ShardVersions{holds(1, "s", 5), holds(2, "s-low", 6)}, nil, api.Whole, "", api.Snapshot{Epoch: 1, Version: 5}, api.Whole},
		{"new epoch ready over two replicas", []api.ShardVersions{holds(1, "s", 5), holds(2, "s-low", 6)}, []api.ShardVersions{holds(2, "s-high", 6)}, api.Whole, "", api.Snapshot{Epoch: 2, Version: 6}, api.Whole},
		{"half is enough", []api.ShardVersions{holds(1, "s", 5), holds(2, "s-low", 6)}, nil, api.Whole / 2, "", api.Snapshot{Epoch: 2, Version: 6}, api.Whole / 2},
		{"holder cannot be used", []api.ShardVersions{holds(1, "s", 6)}, []api.ShardVersions{holds(1, "s", 5)}, api.Whole, "a", api.Snapshot{Epoch: 1, Version: 5}, api.Whole},
		{"largest share if none is whole", []api.ShardVersions{holds(2, "s-low", 6, 7)}, []api.ShardVersions{holds(2, "s-high", 6)}, api.Whole, "", api.Snapshot{Epoch: 2, Version: 6}, api.Whole},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			tracker.Configure(document())
			tracker.Observe("a", c.a)
			tracker.Observe("b", c.b)
			usable := func(r api.ReplicaName) bool { return r != c.down }
			got, ok := tracker.Choose("alarm", c.wanted, usable)
			if !ok || got.Snapshot != c.want || got.Share != c.share {
				t.Fatalf("got %+v %d, want %+v %d", got.Snapshot, got.Share, c.want, c.share)
			}
		})
	}
}

// Guards against a cached choice that outlives a refusal.
func TestRefusedVersionIsNotChosenAgain(t *testing.T) {
	tracker := NewTracker()
	tracker.Configure(document())
	tracker.Observe("a", []api.ShardVersions{holds(1, "s", 4, 5)})
	usable := func(api.ReplicaName) bool { return true }
	first, _ := tracker.Choose("alarm", api.Whole, usable)
	tracker.NotHeld("a", first.Snapshot, "s")
	second, _ := tracker.Choose("alarm", api.Whole, usable)
	if first.Snapshot.Version != 5 || second.Snapshot.Version != 4 {
		t.Fatalf("chose %+v, then %+v", first.Snapshot, second.Snapshot)
	}
	if tracker.Observe("a", nil) || !tracker.Observe("a", []api.ShardVersions{holds(1, "s", 5)}) {
		t.Fatal("an empty list is no news, another list is")
	}
}
