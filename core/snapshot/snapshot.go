// Package snapshot chooses the partition map epoch and index version that a
// search reads, based on the versions that replicas announce, and computes
// coverage over the chosen partition map.
package snapshot

import (
	"slices"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

// shardKey identifies a shard of one partition map.
type shardKey struct {
	epoch uint64
	shard api.ShardName
}

// holdings maps each shard to the index versions that one replica announced.
type holdings map[shardKey][]uint64

// Choice is the snapshot chosen for a search.
type Choice struct {
	Snapshot api.Snapshot
	Map      *config.PartitionMap
	// Share is the fraction of the hash range for which usable replicas hold the
	// snapshot.
	Share api.PPM
}

// Tracker records which replica holds which versions. It caches the choice for
// each service and wanted share until the holdings, the configuration or the
// usability of a replica change.
type Tracker struct {
	document *config.Document
	held     map[api.ReplicaName]holdings
	cache    map[cacheKey]Choice
}

type cacheKey struct {
	service api.ServiceName
	wanted  api.PPM
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		held:  make(map[api.ReplicaName]holdings),
		cache: make(map[cacheKey]Choice),
	}
}

// Configure adopts a configuration document and removes replicas that it no
// longer contains.
func (t *Tracker) Configure(doc *config.Document) {
	t.document = doc
	for name := range t.held {
		if _, ok := doc.Replicas[name]; !ok {
			delete(t.held, name)
		}
	}
	t.Invalidate()
}

// Observe records the complete list of versions that a replica holds and reports
// whether it differs from the previous list. An empty list is ignored, because
// targets omit the list when it has not changed.
func (t *Tracker) Observe(replica api.ReplicaName, held []api.ShardVersions) bool {
	if len(held) == 0 {
		return false
	}
	next := make(holdings, len(held))
	for _, h := range held {
		next[shardKey{epoch: h.Epoch, shard: h.Shard}] = slices.Clone(h.Versions)
	}
	if sameHoldings(t.held[replica], next) {
		return false
	}
	t.held[replica] = next
	t.Invalidate()
	return true
}

// Forget removes the holdings of a replica after a restart of its process.
func (t *Tracker) Forget(replica api.ReplicaName) {
	delete(t.held, replica)
	t.Invalidate()
}

// RemoveVersion removes one version of one shard from the holdings of a replica that
// refused it, so that the next choice does not rely on it.
func (t *Tracker) RemoveVersion(replica api.ReplicaName, s api.Snapshot, shard api.ShardName) {
	key := shardKey{epoch: s.Epoch, shard: shard}
	versions := t.held[replica][key]
	i := slices.Index(versions, s.Version)
	if i < 0 {
		return
	}
	t.held[replica][key] = slices.Delete(versions, i, i+1)
	t.Invalidate()
}

// Holds reports whether a replica announced that it holds the snapshot for the
// shard.
func (t *Tracker) Holds(replica api.ReplicaName, s api.Snapshot, shard api.ShardName) bool {
	versions := t.held[replica][shardKey{epoch: s.Epoch, shard: shard}]
	return slices.Contains(versions, s.Version)
}

// Held returns the versions that a replica announced, ordered by epoch and shard.
func (t *Tracker) Held(replica api.ReplicaName) []api.ShardVersions {
	out := make([]api.ShardVersions, 0, len(t.held[replica]))
	for k, v := range t.held[replica] {
		out = append(out, api.ShardVersions{Epoch: k.epoch, Shard: k.shard, Versions: slices.Clone(v)})
	}
	slices.SortFunc(out, func(a, b api.ShardVersions) int {
		if a.Epoch != b.Epoch {
			return int(a.Epoch) - int(b.Epoch)
		}
		if a.Shard < b.Shard {
			return -1
		}
		return 1
	})
	return out
}

// Invalidate clears the cached choices. The caller uses it when the usability of
// a replica changes.
func (t *Tracker) Invalidate() { clear(t.cache) }

// Choose returns the newest snapshot whose share is at least wanted. If there is
// none, it returns the snapshot with the largest share, and the newest of those
// with equal shares. It returns false if no usable replica holds any version.
func (t *Tracker) Choose(service api.ServiceName, wanted api.PPM, usable func(api.ReplicaName) bool) (Choice, bool) {
	key := cacheKey{service: service, wanted: wanted}
	if c, ok := t.cache[key]; ok {
		return c, c.Map != nil
	}
	choice := t.choose(service, wanted, usable)
	t.cache[key] = choice
	return choice, choice.Map != nil
}

func (t *Tracker) choose(service api.ServiceName, wanted api.PPM, usable func(api.ReplicaName) bool) Choice {
	var best Choice
	if t.document == nil || t.document.Services[service] == nil {
		return best
	}
	maps := t.document.Services[service].Maps
	for i := len(maps) - 1; i >= 0; i-- {
		for _, c := range t.candidates(&maps[i], usable) {
			if c.Share >= wanted {
				return c
			}
			if c.Share > best.Share {
				best = c
			}
		}
	}
	return best
}

// candidates returns one choice for each index version that usable replicas hold
// in the partition map, newest first.
func (t *Tracker) candidates(m *config.PartitionMap, usable func(api.ReplicaName) bool) []Choice {
	widths := make(map[uint64]uint64)
	var total uint64
	for i := range m.Shards {
		shard := &m.Shards[i]
		total += shard.Width()
		for _, v := range t.versionsOf(m.Epoch, shard, usable) {
			widths[v] += shard.Width()
		}
	}
	out := make([]Choice, 0, len(widths))
	for version, width := range widths {
		out = append(out, Choice{
			Snapshot: api.Snapshot{Epoch: m.Epoch, Version: version},
			Map:      m,
			Share:    api.Share(width, total),
		})
	}
	slices.SortFunc(out, func(a, b Choice) int {
		if a.Snapshot.Version > b.Snapshot.Version {
			return -1
		}
		return 1
	})
	return out
}

// versionsOf returns the distinct versions that usable replicas hold of a shard.
func (t *Tracker) versionsOf(epoch uint64, shard *config.Shard, usable func(api.ReplicaName) bool) []uint64 {
	var out []uint64
	key := shardKey{epoch: epoch, shard: shard.Name}
	for _, replica := range shard.Replicas {
		versions := t.held[replica][key]
		if len(versions) == 0 || !usable(replica) {
			continue
		}
		for _, v := range versions {
			if !slices.Contains(out, v) {
				out = append(out, v)
			}
		}
	}
	return out
}

func sameHoldings(a, b holdings) bool {
	if len(a) != len(b) {
		return false
	}
	for k, v := range a {
		if !slices.Equal(v, b[k]) {
			return false
		}
	}
	return true
}

// Share returns the fraction of the hash range of a partition map that belongs to
// covered shards. covered reports whether the shard at index i is covered.
func Share(shards []config.Shard, covered func(i int) bool) api.PPM {
	var part, total uint64
	for i := range shards {
		total += shards[i].Width()
		if covered(i) {
			part += shards[i].Width()
		}
	}
	return api.Share(part, total)
}
