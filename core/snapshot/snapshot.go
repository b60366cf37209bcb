// Package snapshot chooses the partition map epoch and index version that a
// search runs at, from what replicas announce, and counts coverage over the
// chosen partition map.
package snapshot

import (
	"slices"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

// shardKey names a shard of one partition map.
type shardKey struct {
	epoch uint64
	shard api.ShardName
}

// holdings are the index versions that one replica announced, by shard.
type holdings map[shardKey][]uint64

// Choice is the snapshot chosen for a search.
type Choice struct {
	Snapshot api.Snapshot
	Map      *config.PartitionMap
	// Share is the part of the hash range that usable replicas hold at the
	// snapshot.
	Share api.PPM
}

// Tracker remembers which replica holds which versions and caches one choice
// per service until something changes.
type Tracker struct {
	document *config.Document
	held     map[api.ReplicaName]holdings
	cache    map[cacheKey]Choice
}

type cacheKey struct {
	service api.ServiceName
	wanted  api.PPM
}

// NewTracker returns a tracker that knows no replica.
func NewTracker() *Tracker {
	return &Tracker{
		held:  make(map[api.ReplicaName]holdings),
		cache: make(map[cacheKey]Choice),
	}
}

// Configure adopts a document and forgets replicas that it no longer names.
func (t *Tracker) Configure(doc *config.Document) {
	t.document = doc
	for name := range t.held {
		if _, ok := doc.Replicas[name]; !ok {
			delete(t.held, name)
		}
	}
	t.Invalidate()
}

// Observe records the complete list of what a replica holds and reports
// whether it differs from the list before. An empty list says nothing, because
// targets leave it out when nothing changed.
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

// Forget drops what is known of a replica, after a restart of its process.
func (t *Tracker) Forget(replica api.ReplicaName) {
	delete(t.held, replica)
	t.Invalidate()
}

// NotHeld records that a replica refused one version of one shard, so that the
// next choice does not count on it.
func (t *Tracker) NotHeld(replica api.ReplicaName, s api.Snapshot, shard api.ShardName) {
	key := shardKey{epoch: s.Epoch, shard: shard}
	versions := t.held[replica][key]
	i := slices.Index(versions, s.Version)
	if i < 0 {
		return
	}
	t.held[replica][key] = slices.Delete(versions, i, i+1)
	t.Invalidate()
}

// Holds reports whether a replica announced the snapshot of the shard.
func (t *Tracker) Holds(replica api.ReplicaName, s api.Snapshot, shard api.ShardName) bool {
	versions := t.held[replica][shardKey{epoch: s.Epoch, shard: shard}]
	return slices.Contains(versions, s.Version)
}

// Held lists what a replica announced, ordered by epoch and shard.
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

// Invalidate drops the cached choices; called when the usability of a replica
// changes.
func (t *Tracker) Invalidate() { clear(t.cache) }

// Choose returns the newest snapshot whose share reaches the wanted one, or
// else the snapshot with the largest share, the newest among equals. It
// returns false if no usable replica holds anything.
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

// candidates returns a choice for each version held of the map, newest first.
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

// Share returns the covered part of the hash range of a partition map.
// covered reports whether the shard with the given index is covered.
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
