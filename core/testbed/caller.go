package testbed

import (
	"fmt"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// Names of the services of Document.
const (
	Readings api.ServiceName = "readings"
	Crews    api.ServiceName = "crews"
)

const (
	searchDeadline = 800 * time.Millisecond
	workDeadline   = 1500 * time.Millisecond
)

// Document returns the configuration of a run: one search service of three
// shards on three replicas, two for each shard, and one work service on two.
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
		panic("the document of a test is not valid: " + config.Message(err))
	}
	return doc
}

// Tag returns a new content identity.
func (w *World) Tag() string {
	w.tags++
	return fmt.Sprintf("q%d", w.tags)
}

// Key returns a new idempotency key.
func (w *World) Key() (k api.IdempotencyKey) {
	w.tags++
	ms := w.now.UnixMilli()
	for i := range 6 {
		k[i] = byte(ms >> (40 - 8*i))
	}
	k[6], k[8], k[14], k[15] = 0x70, 0x80, byte(w.tags>>8), byte(w.tags)
	return k
}

// Crashes makes each target crash that runs a request with the tag or payload.
func (w *World) Crashes(content string) { w.crash[content] = true }

// Pick returns the next host of the load balancer; nil if none is ready.
func (w *World) Pick() *Host {
	for range w.Hosts {
		w.turn++
		h := w.Hosts[w.turn%len(w.Hosts)]
		if (h.up && h.ready && !h.leaving) || w.lagged {
			return h
		}
	}
	return nil
}

// Search sends a search through a host. must names the promise that is broken
// unless it is answered with full coverage; empty expects nothing.
func (w *World) Search(h *Host, tag, must string) *Request {
	q := api.Query{Service: Readings, Conditions: []api.Condition{{Field: "tag", Operator: api.Equal, Value: tag}}, OrderBy: "n", Limit: 7}
	r := w.request(h, tag, must, searchDeadline)
	if r == nil {
		return nil
	}
	r.Query = q
	h.feed(event.SearchArrived{Request: r.local, Caller: "c", Search: api.Search{Query: q}})
	return r
}

// Work sends a work order through a host.
func (w *World) Work(h *Host, key api.IdempotencyKey, payload, must string) *Request {
	r := w.request(h, workTag(Crews, key), must, workDeadline)
	if r == nil {
		return nil
	}
	r.Work, r.Key, r.Payload = true, key, payload
	h.feed(event.WorkArrived{Request: r.local, Caller: "c", Work: api.Work{Service: Crews, Key: key, Payload: []byte(payload)}})
	return r
}

func (w *World) request(h *Host, tag, must string, deadline time.Duration) *Request {
	if h == nil || !h.up {
		return nil // the connection is refused: no request exists
	}
	h.nextID++
	r := &Request{
		ID: len(w.Trace.Requests), Host: h.index, Life: h.life, Tag: tag, Must: must,
		At: w.now, Deadline: w.now.Add(deadline), Excused: h.paused, host: h, local: h.nextID,
	}
	h.requests[r.local] = r
	w.Trace.Requests = append(w.Trace.Requests, r)
	return r
}

// Hangup tells the host that the caller of a request is gone.
func (w *World) Hangup(r *Request) {
	if r == nil || len(r.Answers) > 0 || r.host.life != r.Life {
		return
	}
	r.Gone = true
	r.host.feed(event.CallerGone{Request: r.local})
}

func (h *Host) answer(id api.RequestID, a Answer) {
	a.At = h.w.now
	r := h.requests[id]
	if r == nil {
		h.w.Trace.broke("P3", "node %s answers request %d, which does not exist", h.name, id)
		return
	}
	r.Answers = append(r.Answers, a)
}

// Change sends an operator's change through a host.
func (w *World) Change(h *Host, ops ...config.Op) *Change {
	if h == nil || !h.up {
		return nil
	}
	h.nextID++
	c := &Change{Host: h.index, Life: h.life, At: w.now, Excused: h.paused}
	h.changes[h.nextID] = c
	w.Trace.Changes = append(w.Trace.Changes, c)
	h.feed(event.ChangeArrived{Request: h.nextID, Ops: ops, Text: "change", Who: "op", Why: "test"})
	return c
}

func (h *Host) answerChange(a event.AnswerChange) {
	c := h.changes[a.Request]
	if c == nil || c.Outcome != 0 {
		h.w.Trace.broke("P8", "node %s answers change %d again", h.name, a.Request)
		return
	}
	c.Answered, c.Outcome, c.Reason, c.ID, c.Revision, c.RetryAfter = h.w.now, a.Outcome, a.Reason, a.ID, a.Revision, a.RetryAfter
}

// Leaving lets the VM list name a VM as leaving, or not. One host sees it after
// half a second, the others read a copy that lags by far more.
func (w *World) Leaving(vm api.VMName, leaving bool) {
	list := []event.VM{{Name: vm, Leaving: leaving}}
	first := w.Hosts[int(vm[len(vm)-1])%len(w.Hosts)] // the same for each list of a VM
	for _, h := range w.Hosts {
		lag := 500 * time.Millisecond
		if h != first {
			lag = 10 * time.Second
		}
		w.After(lag, func() {
			h.vms[vm] = leaving
			h.feed(event.VMListRead{VMs: list})
		})
	}
}
