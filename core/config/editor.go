package config

import (
	"cmp"
	"slices"

	"github.com/baobabsail/baobabsail/core/api"
)

// editor applies the operations of one change to a copy of a document. It copies a
// service before changing it for the first time, and a list of shards before
// changing it, so that the original document stays unchanged.
type editor struct {
	doc           *Document
	ownedServices map[*Service]bool // services copied or created by this editor
	hasNewMap     map[*Service]bool // services whose newest map was created by this editor
}

func (e *editor) apply(op Op) error {
	switch {
	case op.CreateService != nil:
		return e.createService(op.CreateService)
	case op.AlterService != nil:
		return e.alterService(op.AlterService)
	case op.DropService != nil:
		return e.dropService(op.DropService)
	case op.CreateReplica != nil:
		return e.createReplica(op.CreateReplica)
	case op.AlterReplica != nil:
		return e.alterReplica(op.AlterReplica)
	case op.DropReplica != nil:
		return e.dropReplica(op.DropReplica)
	case op.CreateShard != nil:
		return e.createShard(op.CreateShard)
	case op.AlterShard != nil:
		return e.alterShard(op.AlterShard)
	case op.SplitShard != nil:
		return e.splitShard(op.SplitShard)
	case op.MergeShards != nil:
		return e.mergeShards(op.MergeShards)
	case op.DropShard != nil:
		return e.dropShard(op.DropShard)
	case op.Drain != nil:
		return e.drain(op.Drain)
	}
	return nil // Recover changes only the position, which Apply sets
}

// serviceForUpdate returns the named service for modification. It copies the
// service on first use.
func (e *editor) serviceForUpdate(name api.ServiceName) (*Service, error) {
	s := e.doc.Services[name]
	if s == nil {
		return nil, ErrInvalidOp.New("service %q does not exist", name)
	}
	if e.ownedServices[s] {
		return s, nil
	}
	owned := *s
	owned.Maps = slices.Clone(s.Maps)
	e.ownedServices[&owned] = true
	e.doc.Services[name] = &owned
	return &owned, nil
}

func (e *editor) createService(op *CreateService) error {
	if err := checkName(ErrInvalidOp, "service", string(op.Name)); err != nil {
		return err
	}
	if e.doc.Services[op.Name] != nil {
		return ErrInvalidOp.New("service %q exists already", op.Name)
	}
	if op.Kind != KindSearch && op.Kind != KindWork {
		return ErrInvalidOp.New("service %q: kind is %q, expected %q or %q", op.Name, op.Kind, KindSearch, KindWork)
	}
	s := &Service{Kind: op.Kind, Rule: op.Settings.applyTo(DefaultRule(op.Kind))}
	e.ownedServices[s] = true
	e.doc.Services[op.Name] = s
	return checkRule(op.Name, s.Rule)
}

func (e *editor) alterService(op *AlterService) error {
	s, err := e.serviceForUpdate(op.Name)
	if err != nil {
		return err
	}
	s.Rule = op.Settings.applyTo(s.Rule)
	return checkRule(op.Name, s.Rule)
}

// applyTo returns a copy of the rule with the settings applied.
func (r RuleSettings) applyTo(rule Rule) Rule {
	setIfNotNil(&rule.Deadline, r.Deadline)
	setIfNotNil(&rule.Coverage, r.Coverage)
	setIfNotNil(&rule.EarlyReturn, r.EarlyReturn)
	setIfNotNil(&rule.ExtraLoad, r.ExtraLoad)
	setIfNotNil(&rule.Canary, r.Canary)
	setIfNotNil(&rule.MaxRows, r.MaxRows)
	return rule
}

func setIfNotNil[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func (e *editor) dropService(op *DropService) error {
	s := e.doc.Services[op.Name]
	if s == nil {
		return ErrInvalidOp.New("service %q does not exist", op.Name)
	}
	if m := s.NewestMap(); m != nil && len(m.Shards) > 0 {
		return ErrInvalidOp.New("service %q still has %d shards, drop them first", op.Name, len(m.Shards))
	}
	if reps := e.doc.ReplicasOf(op.Name); len(reps) > 0 {
		return ErrInvalidOp.New("service %q still has %d replicas (first %q), drop them first", op.Name, len(reps), reps[0])
	}
	delete(e.doc.Services, op.Name)
	return nil
}

func (e *editor) createReplica(op *CreateReplica) error {
	if e.doc.Replicas[op.Name] != nil {
		return ErrInvalidOp.New("replica %q exists already", op.Name)
	}
	r := op.Replica
	e.doc.Replicas[op.Name] = &r
	return validateReplica(e.doc, op.Name)
}

func (e *editor) alterReplica(op *AlterReplica) error {
	old := e.doc.Replicas[op.Name]
	if old == nil {
		return ErrInvalidOp.New("replica %q does not exist", op.Name)
	}
	r := *old
	setIfNotNil(&r.Address, op.Address)
	setIfNotNil(&r.DataCentre, op.DataCentre)
	setIfNotNil(&r.VM, op.VM)
	setIfNotNil(&r.Slots, op.Slots)
	setIfNotNil(&r.Connections, op.Connections)
	e.doc.Replicas[op.Name] = &r
	return validateReplica(e.doc, op.Name)
}

// dropReplica removes a replica, also from the previous partition map, so that every
// replica listed in a kept map exists.
func (e *editor) dropReplica(op *DropReplica) error {
	r := e.doc.Replicas[op.Name]
	if r == nil {
		return ErrInvalidOp.New("replica %q does not exist", op.Name)
	}
	s, err := e.serviceForUpdate(r.Service)
	if err != nil {
		return err
	}
	if m := s.NewestMap(); m != nil {
		for i := range m.Shards {
			if slices.Contains(m.Shards[i].Replicas, op.Name) {
				return ErrInvalidOp.New("replica %q still serves shard %q of service %q, alter the shard first", op.Name, m.Shards[i].Name, r.Service)
			}
		}
	}
	for i := range s.Maps {
		s.Maps[i].Shards = withoutReplica(s.Maps[i].Shards, op.Name)
	}
	delete(e.doc.Replicas, op.Name)
	return nil
}

func withoutReplica(shards []Shard, name api.ReplicaName) []Shard {
	out := slices.Clone(shards)
	for i := range out {
		out[i].Replicas = slices.DeleteFunc(slices.Clone(out[i].Replicas), func(r api.ReplicaName) bool { return r == name })
	}
	return out
}

func (e *editor) drain(op *Drain) error {
	names := []api.ReplicaName{op.Replica}
	switch {
	case (op.Replica == "") == (op.VM == ""):
		return ErrInvalidOp.New("expected either a replica or a VM")
	case op.VM != "":
		names = e.doc.ReplicasOn(op.VM)
		if len(names) == 0 {
			return ErrInvalidOp.New("VM %q has no replicas", op.VM)
		}
	case e.doc.Replicas[op.Replica] == nil:
		return ErrInvalidOp.New("replica %q does not exist", op.Replica)
	}
	for _, name := range names {
		r := *e.doc.Replicas[name]
		r.Drained = op.Drained
		e.doc.Replicas[name] = &r
	}
	return nil
}

// searchServiceForUpdate is like serviceForUpdate but fails if the service is not a
// search service.
func (e *editor) searchServiceForUpdate(name api.ServiceName) (*Service, error) {
	s, err := e.serviceForUpdate(name)
	if err != nil {
		return nil, err
	}
	if s.Kind != KindSearch {
		return nil, ErrInvalidOp.New("service %q is a %s service, only search services have shards", name, s.Kind)
	}
	return s, nil
}

// mapForUpdate returns a search service and its new partition map for modification.
// The first call for a service creates the map as a copy of the newest one at the
// next epoch, so that all operations of a change share one new epoch.
func (e *editor) mapForUpdate(name api.ServiceName) (*Service, *PartitionMap, error) {
	s, err := e.searchServiceForUpdate(name)
	if err != nil {
		return nil, nil, err
	}
	if e.hasNewMap[s] {
		return s, s.NewestMap(), nil
	}
	next := PartitionMap{Epoch: 1}
	if m := s.NewestMap(); m != nil {
		next = PartitionMap{Epoch: m.Epoch + 1, Shards: slices.Clone(m.Shards)}
	}
	s.Maps = append(s.Maps, next)
	if len(s.Maps) > maxMaps {
		s.Maps = slices.Clone(s.Maps[len(s.Maps)-maxMaps:])
	}
	e.hasNewMap[s] = true
	return s, s.NewestMap(), nil
}

// addShard adds a shard to map m of service s. It fails if a kept map already has a
// shard of that name.
func (e *editor) addShard(service api.ServiceName, s *Service, m *PartitionMap, sh Shard) error {
	if err := checkName(ErrInvalidOp, "shard", string(sh.Name)); err != nil {
		return err
	}
	for i := range s.Maps {
		if s.Maps[i].Shard(sh.Name) != nil {
			return ErrInvalidOp.New("shard name %q is in use at epoch %d of service %q, expected a new name", sh.Name, s.Maps[i].Epoch, service)
		}
	}
	if sh.Last < sh.First {
		return ErrInvalidOp.New("shard %q ends at %d before it starts at %d", sh.Name, sh.Last, sh.First)
	}
	sh.Replicas = sortedReplicas(sh.Replicas)
	if err := checkShardReplicas(e.doc, service, &sh); err != nil {
		return err
	}
	m.Shards = append(m.Shards, sh)
	slices.SortStableFunc(m.Shards, compareShards)
	return nil
}

// compareShards orders shards by hash range, then by name.
func compareShards(a, b Shard) int {
	return cmp.Or(cmp.Compare(a.First, b.First), cmp.Compare(a.Last, b.Last), cmp.Compare(a.Name, b.Name))
}

func sortedReplicas(in []api.ReplicaName) []api.ReplicaName {
	out := append([]api.ReplicaName{}, in...)
	slices.Sort(out)
	return out
}

// removeShard removes the named shard from the map and returns it.
func removeShard(service api.ServiceName, m *PartitionMap, name api.ShardName) (Shard, error) {
	i := slices.IndexFunc(m.Shards, func(s Shard) bool { return s.Name == name })
	if i < 0 {
		return Shard{}, ErrInvalidOp.New("service %q has no shard %q", service, name)
	}
	sh := m.Shards[i]
	m.Shards = slices.Delete(m.Shards, i, i+1)
	return sh, nil
}

func (e *editor) createShard(op *CreateShard) error {
	s, m, err := e.mapForUpdate(op.Service)
	if err != nil {
		return err
	}
	return e.addShard(op.Service, s, m, op.Shard)
}

// alterShard replaces the replicas of a shard in every kept map that has it. It does
// not start a new epoch: the hash ranges stay the same, so the targets that serve
// the shard do not have to learn a new epoch number.
func (e *editor) alterShard(op *AlterShard) error {
	s, err := e.searchServiceForUpdate(op.Service)
	if err != nil {
		return err
	}
	if m := s.NewestMap(); m == nil || m.Shard(op.Name) == nil {
		return ErrInvalidOp.New("service %q has no shard %q", op.Service, op.Name)
	}
	for i := range s.Maps {
		m := &s.Maps[i]
		if m.Shard(op.Name) == nil {
			continue
		}
		m.Shards = slices.Clone(m.Shards)
		sh := m.Shard(op.Name)
		sh.Replicas = sortedReplicas(op.Replicas)
		if err := checkShardReplicas(e.doc, op.Service, sh); err != nil {
			return err
		}
	}
	return nil
}

func (e *editor) splitShard(op *SplitShard) error {
	s, m, err := e.mapForUpdate(op.Service)
	if err != nil {
		return err
	}
	old, err := removeShard(op.Service, m, op.Name)
	if err != nil {
		return err
	}
	if op.At <= old.First || op.At > old.Last {
		return ErrInvalidOp.New("shard %q covers %d to %d, it cannot be split at %d", op.Name, old.First, old.Last, op.At)
	}
	low := Shard{Name: op.Low.Name, First: old.First, Last: op.At - 1, Replicas: op.Low.Replicas}
	if err := e.addShard(op.Service, s, m, low); err != nil {
		return err
	}
	high := Shard{Name: op.High.Name, First: op.At, Last: old.Last, Replicas: op.High.Replicas}
	return e.addShard(op.Service, s, m, high)
}

func (e *editor) mergeShards(op *MergeShards) error {
	s, m, err := e.mapForUpdate(op.Service)
	if err != nil {
		return err
	}
	if len(op.Names) < 2 {
		return ErrInvalidOp.New("expected at least two shards to merge")
	}
	var old []Shard
	for _, name := range op.Names {
		sh, err := removeShard(op.Service, m, name)
		if err != nil {
			return err
		}
		old = append(old, sh)
	}
	slices.SortFunc(old, compareShards)
	for i := 1; i < len(old); i++ {
		if uint64(old[i].First) != uint64(old[i-1].Last)+1 {
			return ErrInvalidOp.New("shards %q and %q are not adjacent", old[i-1].Name, old[i].Name)
		}
	}
	into := Shard{Name: op.Into.Name, First: old[0].First, Last: old[len(old)-1].Last, Replicas: op.Into.Replicas}
	return e.addShard(op.Service, s, m, into)
}

func (e *editor) dropShard(op *DropShard) error {
	_, m, err := e.mapForUpdate(op.Service)
	if err != nil {
		return err
	}
	_, err = removeShard(op.Service, m, op.Name)
	return err
}
