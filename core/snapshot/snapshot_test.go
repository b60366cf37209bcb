package snapshot

import (
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

// hashMidpoint divides the 32-bit hash range into two halves.
const hashMidpoint = 1 << 31

// document returns a configuration with one service whose shard s was split into
// s-low and s-high in epoch 2.
func document() *config.Document {
	replicas := []api.ReplicaName{"a", "b"}
	return &config.Document{
		Services: map[api.ServiceName]*config.Service{"alarm": {
			Kind: config.KindSearch,
			Maps: []config.PartitionMap{
				{Epoch: 1, Shards: []config.Shard{{Name: "s", Last: 1<<32 - 1, Replicas: replicas}}},
				{Epoch: 2, Shards: []config.Shard{
					{Name: "s-low", Last: hashMidpoint - 1, Replicas: replicas},
					{Name: "s-high", First: hashMidpoint, Last: 1<<32 - 1, Replicas: replicas},
				}},
			},
		}},
		Replicas: map[api.ReplicaName]*config.Replica{"a": {Service: "alarm"}, "b": {Service: "alarm"}},
	}
}

// announced builds the list entry that a replica sends for one shard.
func announced(epoch uint64, shard api.ShardName, versions ...uint64) api.ShardVersions {
	return api.ShardVersions{Epoch: epoch, Shard: shard, Versions: versions}
}

// Guards against a choice that counts a shard in two epochs, prefers a newer
// snapshot with too small a share, or counts unusable replicas.
func TestChoose(t *testing.T) {
	cases := []struct {
		name     string
		a, b     []api.ShardVersions
		wanted   api.PPM
		unusable api.ReplicaName
		want     api.Snapshot
		share    api.PPM
	}{
		{"newest version", []api.ShardVersions{announced(1, "s", 4, 5)}, nil, api.Whole, "", api.Snapshot{Epoch: 1, Version: 5}, api.Whole},
		{"new epoch half ready", []api.ShardVersions{announced(1, "s", 5), announced(2, "s-low", 6)}, nil, api.Whole, "", api.Snapshot{Epoch: 1, Version: 5}, api.Whole},
		{"new epoch ready over two replicas", []api.ShardVersions{announced(1, "s", 5), announced(2, "s-low", 6)}, []api.ShardVersions{announced(2, "s-high", 6)}, api.Whole, "", api.Snapshot{Epoch: 2, Version: 6}, api.Whole},
		{"half is enough", []api.ShardVersions{announced(1, "s", 5), announced(2, "s-low", 6)}, nil, api.Whole / 2, "", api.Snapshot{Epoch: 2, Version: 6}, api.Whole / 2},
		{"replica with newest version unusable", []api.ShardVersions{announced(1, "s", 6)}, []api.ShardVersions{announced(1, "s", 5)}, api.Whole, "a", api.Snapshot{Epoch: 1, Version: 5}, api.Whole},
		{"largest share if none is whole", []api.ShardVersions{announced(2, "s-low", 6, 7)}, []api.ShardVersions{announced(2, "s-high", 6)}, api.Whole, "", api.Snapshot{Epoch: 2, Version: 6}, api.Whole},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker()
			tracker.Configure(document())
			tracker.Observe("a", c.a)
			tracker.Observe("b", c.b)
			usable := func(r api.ReplicaName) bool { return r != c.unusable }
			got, ok := tracker.Choose("alarm", c.wanted, usable)
			if !ok || got.Snapshot != c.want || got.Share != c.share {
				t.Fatalf("chose snapshot %+v with share %d, want %+v with %d", got.Snapshot, got.Share, c.want, c.share)
			}
		})
	}
}

// Guards against a cached choice that is returned again after a replica refused
// the version.
func TestRefusedVersionIsNotChosenAgain(t *testing.T) {
	tracker := NewTracker()
	tracker.Configure(document())
	tracker.Observe("a", []api.ShardVersions{announced(1, "s", 4, 5)})
	usable := func(api.ReplicaName) bool { return true }
	first, _ := tracker.Choose("alarm", api.Whole, usable)
	tracker.RemoveVersion("a", first.Snapshot, "s")
	second, _ := tracker.Choose("alarm", api.Whole, usable)
	if first.Snapshot.Version != 5 || second.Snapshot.Version != 4 {
		t.Fatalf("chose %+v, then %+v; want versions 5, then 4", first.Snapshot, second.Snapshot)
	}
	if tracker.Observe("a", nil) || !tracker.Observe("a", []api.ShardVersions{announced(1, "s", 5)}) {
		t.Fatal("Observe must ignore an empty list and report a different list as a change")
	}
}
