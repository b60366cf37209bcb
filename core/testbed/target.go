package testbed

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

const (
	rowsPerShard = 3
	maxQueue     = 12
	// minServiceTime is the shortest time that a target needs for a request. A
	// random time below serviceSpread is added to it.
	minServiceTime = 2 * time.Millisecond
	serviceSpread  = 2 * time.Millisecond
	// stopAfter is how long a draining target accepts requests before it exits.
	stopAfter = 4 * time.Second
)

// ReplyFault is a way to corrupt or delay the replies of a target.
type ReplyFault uint8

// Reply faults.
const (
	ReplyLate ReplyFault = iota + 1
	ReplyDuplicate
	ReplyCrossed // carries the reply of an earlier request
	ReplyTruncated
	ReplyWrongVersion // rows of another version than the request asked for
)

// shardKey identifies a shard of a partition map.
type shardKey struct {
	epoch uint64
	shard api.ShardName
}

// Target is a fake back-end server process.
type Target struct {
	Name             api.ReplicaName
	Draining         bool
	ExtraServiceTime time.Duration // added to the service time
	Shed             bool
	HideDrain        bool // does not report that it is draining
	FalseLoad        bool // reports a false load
	Frozen           bool // answers nothing but keeps its connections open
	ConnLimit        int  // number of connections that it accepts

	sim             *Simulation
	service         api.ServiceName
	vm              api.VMName
	incarnation     api.Incarnation
	up              bool
	coldUntil       time.Time
	slots           int
	running         []*call
	queued          []*call
	conns           []*conn
	newestVersion   uint64
	versions        map[shardKey][]uint64
	shardsRevision  int
	replyFault      ReplyFault
	replyFaultsLeft int // number of replies still to change
	lastSearch      *event.SearchReplied
	lastWork        *event.WorkReplied
}

// conn is a connection between a host and a target.
type conn struct {
	id               api.ConnID
	host             *Host
	life             api.Life
	target           *Target
	open             bool
	ended            bool
	silent           bool
	silentConn       *SilentConn // the trace record; set if silent is
	calls            []*call
	reportedRevision int // the shardsRevision that the host was last sent
}

// call is an attempt from when the host sends it until its reply arrives.
type call struct {
	host      *Host
	life      api.Life
	conn      *conn
	connID    api.ConnID
	attempt   api.AttemptID
	search    *api.SearchRequest
	work      *api.WorkRequest
	cancelled bool
	ended     bool // the host no longer waits for the reply
	execution *Execution
}

func newTarget(sim *Simulation, name api.ReplicaName, r *config.Replica, i int) *Target {
	t := &Target{
		Name: name, sim: sim, service: r.Service, vm: r.VM, slots: r.Slots, ConnLimit: r.Connections,
		incarnation: api.Incarnation(100 * (i + 1)), up: true, newestVersion: 1,
	}
	return t
}

// configureTargets makes each target serve the shards that a document assigns to
// it, in all partition maps that the document contains.
func (sim *Simulation) configureTargets(doc *config.Document) {
	for _, t := range sim.Targets {
		t.setShards(doc)
	}
}

// setShards makes the target serve the newest version of the shards that a document
// assigns to it.
func (t *Target) setShards(doc *config.Document) {
	service := doc.Services[t.service]
	if service == nil {
		return
	}
	next := make(map[shardKey][]uint64)
	for i := range service.Maps {
		m := &service.Maps[i]
		for j := range m.Shards {
			if slices.Contains(m.Shards[j].Replicas, t.Name) {
				next[shardKey{m.Epoch, m.Shards[j].Name}] = []uint64{t.newestVersion}
			}
		}
	}
	t.versions = next
	t.shardsRevision++
}

// Advance moves the target to the next index version. If keepPrevious is set, it
// retains the version before.
func (t *Target) Advance(keepPrevious bool) {
	t.newestVersion++
	for k := range t.versions {
		t.versions[k] = []uint64{t.newestVersion}
		if keepPrevious {
			t.versions[k] = []uint64{t.newestVersion - 1, t.newestVersion}
		}
	}
	t.shardsRevision++
}

// currentLoad returns the load to report on a connection. It includes the served
// shards if they have changed since the last report there.
func (t *Target) currentLoad(c *conn) api.TargetLoad {
	l := api.TargetLoad{
		Incarnation: t.incarnation, Slots: t.slots, Running: len(t.running), Queued: len(t.queued), Draining: t.Draining && !t.HideDrain,
	}
	if t.FalseLoad {
		l.Running, l.Queued = 0, 0
		if t.sim.rng.IntN(2) == 0 {
			l.Running, l.Queued = t.slots, 500
		}
	}
	if c.reportedRevision != t.shardsRevision {
		c.reportedRevision = t.shardsRevision
		for k, v := range t.versions {
			l.Held = append(l.Held, api.ShardVersions{Epoch: k.epoch, Shard: k.shard, Versions: slices.Clone(v)})
		}
		slices.SortFunc(l.Held, func(a, b api.ShardVersions) int {
			return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Shard, b.Shard))
		})
	}
	return l
}

// receive records a request that has arrived and refuses or queues it.
func (t *Target) receive(k *call) {
	sim := t.sim
	k.execution = &Execution{Replica: t.Name, Incarnation: t.incarnation, Host: k.host.index, Life: k.life, Attempt: k.attempt, Received: sim.now}
	if k.search != nil {
		k.execution.Tag, k.execution.Shard, k.execution.Snapshot = tagOf(k.search.Query), k.search.Shard, k.search.Snapshot
	} else {
		k.execution.Tag, k.execution.Work = workTag(k.work.Service, k.work.Key), true
	}
	sim.Trace.Executions = append(sim.Trace.Executions, k.execution)
	switch {
	case t.Shed || len(t.queued) >= maxQueue:
		t.refuse(k, api.TargetShed)
	case k.search != nil && !t.hasVersion(k.search):
		t.refuse(k, t.missingOutcome(k.search))
	default:
		t.queued = append(t.queued, k)
		t.dispatch()
	}
}

// hasVersion reports whether the target serves the shard at the requested snapshot.
func (t *Target) hasVersion(r *api.SearchRequest) bool {
	return slices.Contains(t.versions[shardKey{r.Snapshot.Epoch, r.Shard}], r.Snapshot.Version)
}

// missingOutcome returns why the target does not serve the requested snapshot.
func (t *Target) missingOutcome(r *api.SearchRequest) api.TargetOutcome {
	versions, ok := t.versions[shardKey{r.Snapshot.Epoch, r.Shard}]
	switch {
	case !ok:
		return api.TargetWrongEpoch
	case len(versions) > 0 && versions[0] > r.Snapshot.Version:
		return api.TargetVersionGone
	}
	return api.TargetVersionNotYet
}

// refuse replies to a request without running it.
func (t *Target) refuse(k *call, outcome api.TargetOutcome) {
	if k.search != nil {
		t.replySearch(k, &event.SearchReplied{Reply: api.SearchReply{Shard: k.search.Shard, Snapshot: k.search.Snapshot, Outcome: outcome}})
		return
	}
	t.replyWork(k, &event.WorkReplied{Reply: api.WorkReply{Outcome: outcome}})
}

// dispatch starts queued requests on free slots.
func (t *Target) dispatch() {
	for t.up && !t.Frozen && len(t.running) < t.slots && len(t.queued) > 0 {
		k := t.queued[0]
		t.queued = t.queued[1:]
		deadline := time.Time{}
		if k.search != nil {
			deadline = k.search.Deadline
		} else {
			deadline = k.work.Deadline
		}
		switch {
		case k.cancelled && k.search != nil:
		case !t.sim.now.Before(deadline):
			t.refuse(k, api.TargetExpired)
		default:
			t.start(k)
		}
	}
}

// start runs a request, or crashes the target if the request is marked by CrashOn.
func (t *Target) start(k *call) {
	sim := t.sim
	k.execution.Started = sim.now
	if sim.crashContents[k.execution.Tag] || k.work != nil && sim.crashContents[string(k.work.Payload)] {
		k.execution.Crashed = true
		t.Crash(time.Second)
		return
	}
	t.running = append(t.running, k)
	took := minServiceTime + time.Duration(sim.rng.Int64N(int64(serviceSpread))) + t.ExtraServiceTime
	if sim.now.Before(t.coldUntil) {
		took *= 3
	}
	incarnation := t.incarnation
	sim.After(took, func() {
		if t.incarnation == incarnation && t.up {
			t.finish(k)
		}
	})
}

// finish replies to a running request, as soon as the target is not frozen.
func (t *Target) finish(k *call) {
	if t.Frozen {
		t.sim.After(50*time.Millisecond, func() {
			if slices.Contains(t.running, k) {
				t.finish(k)
			}
		})
		return
	}
	t.running = slices.DeleteFunc(t.running, func(o *call) bool { return o == k })
	if k.search != nil {
		rows, more := answerRows(k.search.Query, []api.ShardName{k.search.Shard}, k.search.Snapshot)
		t.replySearch(k, &event.SearchReplied{Reply: api.SearchReply{
			Shard: k.search.Shard, Snapshot: k.search.Snapshot, Outcome: api.TargetOK, RowCount: len(rows), Rows: rows, LimitReached: more,
		}})
	} else {
		t.replyWork(k, &event.WorkReplied{Reply: api.WorkReply{Outcome: api.TargetOK, Result: []byte("done " + k.execution.Tag)}})
	}
	t.dispatch()
}

// replySearch sends the reply to a search, changed by the armed reply fault if
// there is one.
func (t *Target) replySearch(k *call, ev *event.SearchReplied) {
	ev.Conn, ev.Attempt, ev.Reply.Attempt = k.conn.id, k.attempt, k.attempt
	fault := t.nextReplyFault()
	own := *ev
	own.Reply.Rows = slices.Clone(ev.Reply.Rows)
	switch fault {
	case ReplyCrossed:
		if t.lastSearch != nil {
			ev.Reply = t.lastSearch.Reply
		}
	case ReplyTruncated:
		if n := len(ev.Reply.Rows); n > 0 {
			ev.Reply.Rows = ev.Reply.Rows[:n-1]
		}
	case ReplyWrongVersion:
		ev.Reply.Snapshot.Version++
		ev.Reply.Rows, _ = answerRows(k.search.Query, []api.ShardName{ev.Reply.Shard}, ev.Reply.Snapshot)
		ev.Reply.RowCount = len(ev.Reply.Rows)
	}
	t.lastSearch = &own
	ev.Reply.Load = t.currentLoad(k.conn)
	t.deliver(k, fault, *ev)
}

// replyWork sends the reply to a work order, changed by the armed reply fault if
// there is one.
func (t *Target) replyWork(k *call, ev *event.WorkReplied) {
	ev.Conn, ev.Attempt, ev.Reply.Attempt = k.conn.id, k.attempt, k.attempt
	fault := t.nextReplyFault()
	own := *ev
	if fault == ReplyCrossed && t.lastWork != nil {
		ev.Reply = t.lastWork.Reply
	}
	t.lastWork = &own
	ev.Reply.Load = t.currentLoad(k.conn)
	t.deliver(k, fault, *ev)
}

// ArmReplyFault makes the target apply a fault to its next n replies, for at most
// half a second.
func (t *Target) ArmReplyFault(f ReplyFault, n int) {
	t.replyFault, t.replyFaultsLeft = f, n
	t.sim.After(500*time.Millisecond, func() { t.replyFaultsLeft = 0 })
}

// nextReplyFault returns the fault to apply to the next reply, 0 for none.
func (t *Target) nextReplyFault() ReplyFault {
	if t.replyFaultsLeft == 0 {
		return 0
	}
	t.replyFaultsLeft--
	return t.replyFault
}

// deliver feeds a reply to the host after a delay, twice for ReplyDuplicate.
func (t *Target) deliver(k *call, fault ReplyFault, ev event.Event) {
	sim, c := t.sim, k.conn
	delays := []time.Duration{sim.hopDelay()}
	switch fault {
	case ReplyLate:
		delays[0] += 900 * time.Millisecond
	case ReplyDuplicate:
		delays = append(delays, 3*sim.hopDelay())
	}
	for i, d := range delays {
		sim.After(d, func() {
			if c.ended || c.silent || k.host.life != k.life || (i == 0 && k.ended && fault == 0) {
				return
			}
			k.ended = true
			delete(k.host.calls, k.attempt)
			k.host.feed(ev)
		})
	}
}
