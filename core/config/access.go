package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Limits and default values of a document.
const (
	// DefaultClaimPartitions is the value of Document.ClaimPartitions in a new
	// document.
	DefaultClaimPartitions = 64
	// DefaultClaimWindow is the value of Document.ClaimWindow in a new document.
	DefaultClaimWindow = 24 * time.Hour
	// MaxEncodedBytes is the maximum size of an encoded document or change. It
	// equals the store's limit for a value.
	MaxEncodedBytes = 1 << 20
	// MaxHistory is the maximum number of changes in the history.
	MaxHistory = 256
	// MaxHistoryBytes is the maximum size of the history encoded as JSON. It also
	// limits the size of a single change, because the newest change must always
	// fit in the history: if the response to a write is lost, the proposer finds
	// out whether the write succeeded by looking up the change ID in the history.
	MaxHistoryBytes = 128 << 10
	// MaxExtraLoad is the maximum value of Rule.ExtraLoad (section 7.9 of
	// docs/design.md).
	MaxExtraLoad api.PPM = 100_000
	// MaxDeadline is the maximum value of Rule.Deadline.
	MaxDeadline = time.Hour
	// MaxRowsLimit is the maximum value of Rule.MaxRows.
	MaxRowsLimit = 1_000_000
	// maxMaps is the maximum number of partition maps kept for each service: the
	// newest one, and the previous one for queries that are still running at its
	// epoch.
	maxMaps = 2
)

// Empty returns the document that the first change is applied to when the store
// is new. It takes a time for symmetry with Apply, whose change has one, and
// ignores it, because an empty document contains no time.
func Empty(_ time.Time) *Document {
	return &Document{
		Generation:      1,
		ClaimPartitions: DefaultClaimPartitions,
		ClaimWindow:     DefaultClaimWindow,
		Services:        map[api.ServiceName]*Service{},
		Replicas:        map[api.ReplicaName]*Replica{},
	}
}

// DefaultRule returns the rule of a new service of the given kind. Work services
// have no canary, because each work order is sent to one target only.
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

// Position identifies a version of the document by its generation and revision.
type Position struct {
	Generation uint64
	Revision   uint64
}

// Compare orders positions by generation, then by revision. It returns -1, 0 or +1
// as cmp.Compare does.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Generation, q.Generation), cmp.Compare(p.Revision, q.Revision))
}

// Position returns the position of the document, or the zero Position if d is nil.
func (d *Document) Position() Position {
	if d == nil {
		return Position{}
	}
	return Position{Generation: d.Generation, Revision: d.Revision}
}

// Position returns the position of the document that results from the change.
func (c Change) Position() Position {
	return Position{Generation: c.Generation, Revision: c.Revision}
}

// NewestChange returns the newest change in the history, or nil if the history is empty.
func (d *Document) NewestChange() *Change {
	if d == nil || len(d.History) == 0 {
		return nil
	}
	return &d.History[len(d.History)-1]
}

// FindChange returns the change with the given ID, or nil if it is not in the
// history, for example because it was dropped as one of the oldest.
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

// ChangeAt returns the change that resulted in position p, or nil if it is not in
// the history.
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

// ChangesAfter returns the changes that were made after position p, oldest first.
// It returns false if p is neither the document's position nor in the history.
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

// ServiceNames returns the names of all services in ascending order.
func (d *Document) ServiceNames() []api.ServiceName { return sortedKeys(d.Services) }

// ReplicaNames returns the names of all replicas in ascending order.
func (d *Document) ReplicaNames() []api.ReplicaName { return sortedKeys(d.Replicas) }

// ReplicasOf returns the names of the replicas of a service in ascending order.
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

// ReplicasOn returns the names of the replicas on a VM in ascending order.
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

// NewestMap returns the newest partition map, or nil if the service has none.
func (s *Service) NewestMap() *PartitionMap {
	if s == nil || len(s.Maps) == 0 {
		return nil
	}
	return &s.Maps[len(s.Maps)-1]
}

// MapAtEpoch returns the partition map of the given epoch, or nil if it is not kept.
func (s *Service) MapAtEpoch(epoch uint64) *PartitionMap {
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

// Shard returns the shard with the given name, or nil if the map has none.
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
