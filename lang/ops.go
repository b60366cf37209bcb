package lang

import (
	"math"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

func (c *converter) op(n *statementNode) config.Op {
	switch {
	case n.Create != nil:
		return c.create(n)
	case n.Alter != nil:
		return c.alter(n.Alter)
	case n.Drop != nil:
		return c.drop(n.Drop)
	case n.Split != nil:
		return config.Op{SplitShard: &config.SplitShard{
			Service: c.service(n.Split.Service),
			Name:    c.shard(n.Split.Name),
			At:      c.hashValue(&n.Split.At),
			Low:     c.part(n.Split.Low),
			High:    c.part(n.Split.High),
		}}
	case n.Merge != nil:
		op := &config.MergeShards{Service: c.service(n.Merge.Service), Into: c.part(n.Merge.Into)}
		for _, name := range n.Merge.Names {
			op.Names = append(op.Names, c.shard(*name))
		}
		return config.Op{MergeShards: op}
	case n.Drain != nil:
		return config.Op{Drain: c.drain(n.Drain, true)}
	case n.Undrain != nil:
		return config.Op{Drain: c.drain(n.Undrain, false)}
	}
	return config.Op{Recover: &config.Recover{}}
}

func (c *converter) create(n *statementNode) config.Op {
	switch {
	case n.Create.Service != nil:
		s := n.Create.Service
		return config.Op{CreateService: &config.CreateService{
			Name:     c.service(s.Name),
			Kind:     config.Kind(strings.ToLower(s.Kind)),
			Settings: c.settings(s.Settings),
		}}
	case n.Create.Replica != nil:
		return config.Op{CreateReplica: c.createReplica(n.Pos, n.Create.Replica)}
	}
	s := n.Create.Shard
	return config.Op{CreateShard: &config.CreateShard{
		Service: c.service(s.Service),
		Shard: config.Shard{
			Name:     c.shard(s.Name),
			First:    c.hashValue(&s.First),
			Last:     c.hashValue(&s.Last),
			Replicas: c.replicas(s.Replicas),
		},
	}}
}

func (c *converter) createReplica(pos lexer.Position, n *createReplicaNode) *config.CreateReplica {
	op := &config.CreateReplica{Name: c.replica(n.Name)}
	r := &op.Replica
	r.Service = c.service(n.Service)
	p := c.replicaAttributes(n.Places)
	if p.address == nil || p.dataCentre == nil || p.vm == nil || p.slots == nil || p.connections == nil {
		c.fail(pos, "create replica", "each of address, data centre, vm, slots and connections")
		return op
	}
	r.Address = *p.address
	r.DataCentre = *p.dataCentre
	r.VM = *p.vm
	r.Slots = *p.slots
	r.Connections = *p.connections
	r.Drained = p.drained
	return op
}

func (c *converter) alter(n *alterNode) config.Op {
	switch {
	case n.Service != nil:
		return config.Op{AlterService: &config.AlterService{Name: c.service(n.Service.Name), Settings: c.settings(n.Service.Settings)}}
	case n.Replica != nil:
		p := c.replicaAttributes(n.Replica.Places)
		if p.drained {
			c.fail(n.Replica.Name.Pos, "drained", "the statement drain replica instead")
		}
		return config.Op{AlterReplica: &config.AlterReplica{
			Name:        c.replica(n.Replica.Name),
			Address:     p.address,
			DataCentre:  p.dataCentre,
			VM:          p.vm,
			Slots:       p.slots,
			Connections: p.connections,
		}}
	}
	return config.Op{AlterShard: &config.AlterShard{
		Service:  c.service(n.Shard.Service),
		Name:     c.shard(n.Shard.Name),
		Replicas: c.replicas(&n.Shard.Replicas),
	}}
}

func (c *converter) drop(n *dropNode) config.Op {
	switch {
	case n.Service != nil:
		return config.Op{DropService: &config.DropService{Name: c.service(*n.Service)}}
	case n.Replica != nil:
		return config.Op{DropReplica: &config.DropReplica{Name: c.replica(*n.Replica)}}
	}
	return config.Op{DropShard: &config.DropShard{Service: c.service(n.Shard.Service), Name: c.shard(n.Shard.Name)}}
}

func (c *converter) drain(n *drainNode, drained bool) *config.Drain {
	if n.VM != nil {
		return &config.Drain{VM: api.VMName(c.name(*n.VM)), Drained: drained}
	}
	return &config.Drain{Replica: c.replica(*n.Replica), Drained: drained}
}

func (c *converter) settings(nodes []*settingNode) config.RuleSettings {
	var out config.RuleSettings
	seen := map[string]bool{}
	for _, n := range nodes {
		switch {
		case n.Deadline != nil:
			c.rejectRepeated(seen, n.Pos, "deadline")
			out.Deadline = ptr(c.duration(n.Deadline))
		case n.Coverage != nil:
			c.rejectRepeated(seen, n.Pos, "coverage")
			out.Coverage = ptr(c.share(n.Coverage))
		case n.Early != nil:
			c.rejectRepeated(seen, n.Pos, "early return")
			out.EarlyReturn = ptr(isOn(n.Early))
		case n.ExtraLoad != nil:
			c.rejectRepeated(seen, n.Pos, "extra load")
			out.ExtraLoad = ptr(c.share(n.ExtraLoad))
		case n.Canary != nil:
			c.rejectRepeated(seen, n.Pos, "canary")
			out.Canary = ptr(isOn(n.Canary))
		case n.MaxRows != nil:
			c.rejectRepeated(seen, n.Pos, "max rows")
			out.MaxRows = ptr(int(c.number(n.MaxRows, 1, config.MaxRowsLimit)))
		}
	}
	return out
}

// replicaAttributes holds the attributes of a replica that a statement sets; the
// pointers to the others are nil.
type replicaAttributes struct {
	address     *string
	dataCentre  *api.DataCentre
	vm          *api.VMName
	slots       *int
	connections *int
	drained     bool
}

func (c *converter) replicaAttributes(nodes []*placeNode) replicaAttributes {
	var out replicaAttributes
	seen := map[string]bool{}
	for _, n := range nodes {
		switch {
		case n.Address != nil:
			c.rejectRepeated(seen, n.Pos, "address")
			out.address = ptr(c.unquote(n.Address.Pos, n.Address.Raw))
		case n.DataCentre != nil:
			c.rejectRepeated(seen, n.Pos, "data centre")
			out.dataCentre = ptr(api.DataCentre(c.name(*n.DataCentre)))
		case n.VM != nil:
			c.rejectRepeated(seen, n.Pos, "vm")
			out.vm = ptr(api.VMName(c.name(*n.VM)))
		case n.Slots != nil:
			c.rejectRepeated(seen, n.Pos, "slots")
			out.slots = ptr(int(c.number(n.Slots, 1, math.MaxInt32)))
		case n.Connections != nil:
			c.rejectRepeated(seen, n.Pos, "connections")
			out.connections = ptr(int(c.number(n.Connections, 1, math.MaxInt32)))
		case n.Drained:
			c.rejectRepeated(seen, n.Pos, "drained")
			out.drained = true
		}
	}
	return out
}

// name converts a name and rejects an empty one.
func (c *converter) name(n textNode) string {
	name := c.text(n)
	if name == "" {
		c.fail(n.Pos, n.Raw, "a name that is not empty")
	}
	return name
}

func (c *converter) shard(n textNode) api.ShardName { return api.ShardName(c.name(n)) }

func (c *converter) replica(n textNode) api.ReplicaName { return api.ReplicaName(c.name(n)) }

// hashValue converts a bound of a shard's range of hash values.
func (c *converter) hashValue(n *numberNode) uint32 { return uint32(c.number(n, 0, math.MaxUint32)) }

// replicas converts a list of replicas; nil and none give an empty list.
func (c *converter) replicas(n *listNode) []api.ReplicaName {
	if n == nil {
		return nil
	}
	var out []api.ReplicaName
	for _, name := range n.Names {
		out = append(out, c.replica(*name))
	}
	return out
}

func (c *converter) part(n partNode) config.ShardSpec {
	return config.ShardSpec{Name: c.shard(n.Name), Replicas: c.replicas(n.Replicas)}
}

func ptr[T any](v T) *T { return &v }
