package testbed

import (
	"fmt"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// Names of the services in the configuration that Document returns.
const (
	Readings api.ServiceName = "readings"
	Crews    api.ServiceName = "crews"
)

const (
	searchDeadline = 800 * time.Millisecond
	workDeadline   = 1500 * time.Millisecond
)

// Document returns the configuration of a run: a search service with three
// shards on three replicas, two replicas per shard, and a work service with two
// replicas.
func Document() *config.Document {
	sd, wd := searchDeadline, workDeadline
	ops := []config.Op{
		{CreateService: &config.CreateService{Name: Readings, Kind: config.KindSearch, Settings: config.RuleSettings{Deadline: &sd}}},
		{CreateService: &config.CreateService{Name: Crews, Kind: config.KindWork, Settings: config.RuleSettings{Deadline: &wd}}},
	}
	replica := func(service api.ServiceName, name api.ReplicaName, n int) config.Op {
		return config.Op{CreateReplica: &config.CreateReplica{Name: name, Replica: config.Replica{
			Service: service, Address: fmt.Sprintf("10.0.1.%d:9000", n), DataCentre: api.DataCentre(fmt.Sprintf("dc%d", n%2+1)),
			VM: api.VMName("vm-" + string(name)), Slots: 2, Connections: 12,
		}}}
	}
	for i, name := range []api.ReplicaName{"r1", "r2", "r3"} {
		ops = append(ops, replica(Readings, name, i+1))
	}
	for i, name := range []api.ReplicaName{"w1", "w2"} {
		ops = append(ops, replica(Crews, name, i+11))
	}
	const third = 1 << 32 / 3
	for i, reps := range [][]api.ReplicaName{{"r1", "r2"}, {"r2", "r3"}, {"r1", "r3"}} {
		first, last := uint32(i*third), uint32((i+1)*third-1)
		if i == 2 {
			last = 1<<32 - 1
		}
		ops = append(ops, config.Op{CreateShard: &config.CreateShard{Service: Readings, Shard: config.Shard{
			Name: api.ShardName(string(rune('a' + i))), First: first, Last: last, Replicas: reps,
		}}})
	}
	doc, err := config.Apply(config.Empty(Start), config.Change{ID: "first", Who: "op", Why: "test", When: Start, Text: "first", Ops: ops})
	if err != nil {
		panic("invalid test document: " + config.Message(err))
	}
	return doc
}

// NewTag returns a unique tag. A query with its own tag differs from all others.
func (sim *Simulation) NewTag() string {
	sim.uniqueCount++
	return fmt.Sprintf("q%d", sim.uniqueCount)
}

// NewKey returns a unique idempotency key with the current virtual time.
func (sim *Simulation) NewKey() (k api.IdempotencyKey) {
	sim.uniqueCount++
	ms := sim.now.UnixMilli()
	for i := range 6 {
		k[i] = byte(ms >> (40 - 8*i))
	}
	k[6], k[8], k[14], k[15] = 0x70, 0x80, byte(sim.uniqueCount>>8), byte(sim.uniqueCount)
	return k
}

// CrashOn makes every target crash that runs a request whose tag or payload is
// content.
func (sim *Simulation) CrashOn(content string) { sim.crashContents[content] = true }

// PickHost returns the host to which the load balancer sends the next request,
// or nil if none is ready.
func (sim *Simulation) PickHost() *Host {
	for range sim.Hosts {
		sim.pickCount++
		h := sim.Hosts[sim.pickCount%len(sim.Hosts)]
		if (h.up && h.ready && !h.shuttingDown) || sim.balancerLagging {
			return h
		}
	}
	return nil
}

// Search sends a search through a host. requireFull names the promise that is
// broken unless the answer has full coverage; if it is empty, any answer will do.
func (sim *Simulation) Search(h *Host, tag, requireFull string) *Request {
	q := api.Query{Service: Readings, Conditions: []api.Condition{{Field: "tag", Operator: api.Equal, Value: tag}}, OrderBy: "n", Limit: 7}
	r := sim.request(h, tag, requireFull, searchDeadline)
	if r == nil {
		return nil
	}
	r.Query = q
	h.feed(event.SearchArrived{Request: r.local, Caller: "c", Search: api.Search{Query: q}})
	return r
}

// Work sends a work order through a host. requireFull names the promise that is
// broken unless the work order is answered; if it is empty, any answer will do.
func (sim *Simulation) Work(h *Host, key api.IdempotencyKey, payload, requireFull string) *Request {
	r := sim.request(h, workTag(Crews, key), requireFull, workDeadline)
	if r == nil {
		return nil
	}
	r.Work, r.Key, r.Payload = true, key, payload
	h.feed(event.WorkArrived{Request: r.local, Caller: "c", Work: api.Work{Service: Crews, Key: key, Payload: []byte(payload)}})
	return r
}

func (sim *Simulation) request(h *Host, tag, requireFull string, deadline time.Duration) *Request {
	if h == nil || !h.up {
		return nil // the connection is refused, so that no request exists
	}
	h.nextID++
	r := &Request{
		ID: len(sim.Trace.Requests), Host: h.index, Life: h.life, Tag: tag, RequireFull: requireFull,
		At: sim.now, Deadline: sim.now.Add(deadline), Exempt: h.paused, host: h, local: h.nextID,
	}
	h.requests[r.local] = r
	sim.Trace.Requests = append(sim.Trace.Requests, r)
	return r
}

// HangUp tells the host that the caller of an unanswered request has disconnected.
func (sim *Simulation) HangUp(r *Request) {
	if r == nil || len(r.Answers) > 0 || r.host.life != r.Life {
		return
	}
	r.CallerGone = true
	r.host.feed(event.CallerGone{Request: r.local})
}

func (h *Host) recordAnswer(id api.RequestID, a Answer) {
	a.At = h.sim.now
	r := h.requests[id]
	if r == nil {
		h.sim.Trace.recordViolation("P3", "node %s answers unknown request %d", h.name, id)
		return
	}
	r.Answers = append(r.Answers, a)
}

// Change sends an operator's configuration change through a host.
func (sim *Simulation) Change(h *Host, ops ...config.Op) *Change {
	if h == nil || !h.up {
		return nil
	}
	h.nextID++
	c := &Change{Host: h.index, Life: h.life, At: sim.now, Exempt: h.paused}
	h.changes[h.nextID] = c
	sim.Trace.Changes = append(sim.Trace.Changes, c)
	h.feed(event.ChangeArrived{Request: h.nextID, Ops: ops, Text: "change", Who: "op", Why: "test"})
	return c
}

func (h *Host) recordChangeAnswer(a event.AnswerChange) {
	c := h.changes[a.Request]
	if c == nil || c.Outcome != 0 {
		h.sim.Trace.recordViolation("P8", "node %s answers change %d again", h.name, a.Request)
		return
	}
	c.AnsweredAt, c.Outcome, c.Reason, c.ID, c.Revision, c.RetryAfter = h.sim.now, a.Outcome, a.Reason, a.ID, a.Revision, a.RetryAfter
}

// SetVMLeaving sets whether the VM list marks a VM as leaving. One host reads the
// new list after 0.5 s, the others after 10 s, because they read a stale copy.
func (sim *Simulation) SetVMLeaving(vm api.VMName, leaving bool) {
	list := []event.VM{{Name: vm, Leaving: leaving}}
	first := sim.Hosts[int(vm[len(vm)-1])%len(sim.Hosts)] // the same host for each list with this VM
	for _, h := range sim.Hosts {
		lag := 500 * time.Millisecond
		if h != first {
			lag = 10 * time.Second
		}
		sim.After(lag, func() {
			h.leavingVMs[vm] = leaving
			h.feed(event.VMListRead{VMs: list})
		})
	}
}
