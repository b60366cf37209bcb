package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Limits and defaults of a document.
const (
	// DefaultClaimPartitions is the number of claim records of a new document.
	DefaultClaimPartitions = 64
	// DefaultClaimWindow is how long a new document keeps claims.
	DefaultClaimWindow = 24 * time.Hour
	// MaxEncoded is the largest encoding in bytes: the store's limit for a value.
	MaxEncoded = 1 << 20
	// MaxHistory is the largest number of changes in the history.
	MaxHistory = 256
	// MaxHistoryBytes bounds the JSON form of the history. It also bounds one
	// change, because the newest change must stay in the history: the outcome of
	// a write whose response was lost is found by looking for its ID.
	MaxHistoryBytes = 128 << 10
	// MaxExtraLoad is the largest share of retries and hedges (section 7.9).
	MaxExtraLoad api.PPM = 100_000
	// MaxDeadline is the longest deadline of a rule.
	MaxDeadline = time.Hour
	// MaxRowsLimit is the largest value of Rule.MaxRows.
	MaxRowsLimit = 1_000_000
	// keptMaps is the number of partition maps kept for each service, so that
	// queries in flight finish at the previous epoch.
	keptMaps = 2
)

// Empty returns the document that the first change of a new store applies to.
// The time is accepted for symmetry with Apply; an empty document holds none.
func Empty(_ time.Time) *Document {
	return &Document{
		Generation:      1,
		ClaimPartitions: DefaultClaimPartitions,
		ClaimWindow:     DefaultClaimWindow,
		Services:        map[api.ServiceName]*Service{},
		Replicas:        map[api.ReplicaName]*Replica{},
	}
}

// DefaultRule returns the rule of a new service. Work orders have no canary
// (section 7.7).
func DefaultRule(kind Kind) Rule {
	rule := Rule{
		Deadline:  2 * time.Second,
		Coverage:  api.Whole,
		ExtraLoad: 50_000,
		Canary:    true,
		MaxRows:   1000,
	}
	if kind == KindWork {
		rule.Deadline = 10 * time.Second
		rule.Canary = false
	}
	return rule
}

// Position is a place in the sequence of documents.
type Position struct {
	Generation uint64
	Revision   uint64
}

// Compare orders positions by generation, then revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Generation, q.Generation), cmp.Compare(p.Revision, q.Revision))
}

// Position returns the document's place; the zero position for nil.
func (d *Document) Position() Position {
	if d == nil {
		return Position{}
	}
	return Position{Generation: d.Generation, Revision: d.Revision}
}

// Position returns the place of the document that the change led to.
func (c Change) Position() Position {
	return Position{Generation: c.Generation, Revision: c.Revision}
}

// Head returns the newest change, or nil if the document has none.
func (d *Document) Head() *Change {
	if d == nil || len(d.History) == 0 {
		return nil
	}
	return &d.History[len(d.History)-1]
}

// FindChange returns the change with the ID if the history still holds it.
func (d *Document) FindChange(id ChangeID) *Change {
	if d == nil {
		return nil
	}
	for i := len(d.History) - 1; i >= 0; i-- {
		if d.History[i].ID == id {
			return &d.History[i]
		}
	}
	return nil
}

// ChangeAt returns the change that led to a position if the history holds it.
func (d *Document) ChangeAt(p Position) *Change {
	if d == nil {
		return nil
	}
	for i := len(d.History) - 1; i >= 0; i-- {
		if d.History[i].Position() == p {
			return &d.History[i]
		}
	}
	return nil
}

// ChangesAfter returns the changes that lead from a position to the document.
// It reports false if the history does not connect the two.
func (d *Document) ChangesAfter(p Position) ([]Change, bool) {
	if d.Position() == p {
		return nil, true
	}
	for i := range d.History {
		if d.History[i].Position() == p {
			return d.History[i+1:], true
		}
	}
	return nil, false
}

// ServiceNames returns all services in ascending order.
func (d *Document) ServiceNames() []api.ServiceName { return sortedKeys(d.Services) }

// ReplicaNames returns all replicas in ascending order.
func (d *Document) ReplicaNames() []api.ReplicaName { return sortedKeys(d.Replicas) }

// ReplicasOf returns the replicas of a service in ascending order.
func (d *Document) ReplicasOf(service api.ServiceName) []api.ReplicaName {
	var out []api.ReplicaName
	for name, r := range d.Replicas {
		if r.Service == service {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// ReplicasOn returns the replicas on a VM in ascending order.
func (d *Document) ReplicasOn(vm api.VMName) []api.ReplicaName {
	var out []api.ReplicaName
	for name, r := range d.Replicas {
		if r.VM == vm {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Newest returns the newest partition map, or nil if the service has none.
func (s *Service) Newest() *PartitionMap {
	if s == nil || len(s.Maps) == 0 {
		return nil
	}
	return &s.Maps[len(s.Maps)-1]
}

// Map returns the partition map of an epoch, or nil if it is not kept.
func (s *Service) Map(epoch uint64) *PartitionMap {
	if s == nil {
		return nil
	}
	for i := range s.Maps {
		if s.Maps[i].Epoch == epoch {
			return &s.Maps[i]
		}
	}
	return nil
}

// Shard returns the named shard of the map, or nil.
func (m *PartitionMap) Shard(name api.ShardName) *Shard {
	if m == nil {
		return nil
	}
	for i := range m.Shards {
		if m.Shards[i].Name == name {
			return &m.Shards[i]
		}
	}
	return nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
