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
	// serviceTime is the shortest time that a target needs for a request, and
	// serviceSpread the random addition.
	serviceTime   = 2 * time.Millisecond
	serviceSpread = 2 * time.Millisecond
	// stopAfter is how long a draining target accepts requests before it exits.
	stopAfter = 4 * time.Second
)

// ReplyFault changes replies on their way to a node.
type ReplyFault uint8

// Faults of replies.
const (
	ReplyLate ReplyFault = iota + 1
	ReplyDuplicate
	ReplyCrossed // carries the reply of an earlier request
	ReplyTruncated
	ReplyWrongVersion // rows of another version than asked for
)

type heldKey struct {
	epoch uint64
	shard api.ShardName
}

// Target is a fake back-end server process.
type Target struct {
	Name     api.ReplicaName
	Draining bool
	Slow     time.Duration // added to the service time
	Shed     bool
	Mute     bool // does not say that it drains
	Lie      bool // reports a load that is not true
	Frozen   bool // answers nothing, keeps its connections
	Limit    int  // connections accepted

	w           *World
	service     api.ServiceName
	vm          api.VMName
	incarnation api.Incarnation
	up          bool
	coldUntil   time.Time
	slots       int
	running     []*call
	queued      []*call
	conns       []*conn
	newest      uint64
	held        map[heldKey][]uint64
	heldVersion int
	fault       ReplyFault
	faults      int // replies that the fault still changes
	last        *event.SearchReplied
	lastWork    *event.WorkReplied
}

// conn is a connection between a host and a target.
type conn struct {
	id      api.ConnID
	host    *Host
	life    api.Life
	target  *Target
	open    bool
	ended   bool
	silent  bool
	silence *Silence // set if silent
	calls   []*call
	told    int // the heldVersion that the host was told
}

// call is a request on its way to a target, at it, or on its way back.
type call struct {
	host      *Host
	life      api.Life
	conn      *conn
	connID    api.ConnID
	attempt   api.AttemptID
	search    *api.SearchRequest
	work      *api.WorkRequest
	cancelled bool
	ended     bool // the driver no longer waits
	run       *Run
}

func newTarget(w *World, name api.ReplicaName, r *config.Replica, i int) *Target {
	t := &Target{
		Name: name, w: w, service: r.Service, vm: r.VM, slots: r.Slots, Limit: r.Connections,
		incarnation: api.Incarnation(100 * (i + 1)), up: true, newest: 1,
	}
	return t
}

// configureTargets lets each target serve the shards that a document gives it.
// Shards of earlier maps stay for a while.
func (w *World) configureTargets(doc *config.Document) {
	for _, t := range w.Targets {
		t.hold(doc)
	}
}

func (t *Target) hold(doc *config.Document) {
	service := doc.Services[t.service]
	if service == nil {
		return
	}
	next := make(map[heldKey][]uint64)
	for i := range service.Maps {
		m := &service.Maps[i]
		for j := range m.Shards {
			if slices.Contains(m.Shards[j].Replicas, t.Name) {
				next[heldKey{m.Epoch, m.Shards[j].Name}] = []uint64{t.newest}
			}
		}
	}
	t.held = next
	t.heldVersion++
}

// Advance gives the target the next index version; keep retains the one before.
func (t *Target) Advance(keep bool) {
	t.newest++
	for k := range t.held {
		t.held[k] = []uint64{t.newest}
		if keep {
			t.held[k] = []uint64{t.newest - 1, t.newest}
		}
	}
	t.heldVersion++
}

func (t *Target) load(c *conn) api.TargetLoad {
	l := api.TargetLoad{
		Incarnation: t.incarnation, Slots: t.slots, Running: len(t.running), Queued: len(t.queued), Draining: t.Draining && !t.Mute,
	}
	if t.Lie {
		l.Running, l.Queued = 0, 0
		if t.w.rng.IntN(2) == 0 {
			l.Running, l.Queued = t.slots, 500
		}
	}
	if c.told != t.heldVersion {
		c.told = t.heldVersion
		for k, v := range t.held {
			l.Held = append(l.Held, api.ShardVersions{Epoch: k.epoch, Shard: k.shard, Versions: slices.Clone(v)})
		}
		slices.SortFunc(l.Held, func(a, b api.ShardVersions) int {
			return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Shard, b.Shard))
		})
	}
	return l
}

// receive takes a request off the network.
func (t *Target) receive(k *call) {
	w := t.w
	k.run = &Run{Replica: t.Name, Incarnation: t.incarnation, Host: k.host.index, Life: k.life, Attempt: k.attempt, Received: w.now}
	if k.search != nil {
		k.run.Tag, k.run.Shard, k.run.Snapshot = tagOf(k.search.Query), k.search.Shard, k.search.Snapshot
	} else {
		k.run.Tag, k.run.Work = workTag(k.work.Service, k.work.Key), true
	}
	w.Trace.Runs = append(w.Trace.Runs, k.run)
	switch {
	case t.Shed || len(t.queued) >= maxQueue:
		t.refuse(k, api.TargetShed)
	case k.search != nil && !t.holds(k.search):
		t.refuse(k, t.whyNotHeld(k.search))
	default:
		t.queued = append(t.queued, k)
		t.dispatch()
	}
}

func (t *Target) holds(r *api.SearchRequest) bool {
	return slices.Contains(t.held[heldKey{r.Snapshot.Epoch, r.Shard}], r.Snapshot.Version)
}

func (t *Target) whyNotHeld(r *api.SearchRequest) api.TargetOutcome {
	versions, ok := t.held[heldKey{r.Snapshot.Epoch, r.Shard}]
	switch {
	case !ok:
		return api.TargetWrongEpoch
	case len(versions) > 0 && versions[0] > r.Snapshot.Version:
		return api.TargetVersionGone
	}
	return api.TargetVersionNotYet
}

func (t *Target) refuse(k *call, outcome api.TargetOutcome) {
	if k.search != nil {
		t.reply(k, &event.SearchReplied{Reply: api.SearchReply{Shard: k.search.Shard, Snapshot: k.search.Snapshot, Outcome: outcome}})
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
		case !t.w.now.Before(deadline):
			t.refuse(k, api.TargetExpired)
		default:
			t.start(k)
		}
	}
}

func (t *Target) start(k *call) {
	w := t.w
	k.run.Started = w.now
	if w.crash[k.run.Tag] || k.work != nil && w.crash[string(k.work.Payload)] {
		k.run.Crashed = true
		t.Crash(time.Second)
		return
	}
	t.running = append(t.running, k)
	took := serviceTime + time.Duration(w.rng.Int64N(int64(serviceSpread))) + t.Slow
	if w.now.Before(t.coldUntil) {
		took *= 3
	}
	incarnation := t.incarnation
	w.After(took, func() {
		if t.incarnation == incarnation && t.up {
			t.finish(k)
		}
	})
}

func (t *Target) finish(k *call) {
	if t.Frozen {
		t.w.After(50*time.Millisecond, func() {
			if slices.Contains(t.running, k) {
				t.finish(k)
			}
		})
		return
	}
	t.running = slices.DeleteFunc(t.running, func(o *call) bool { return o == k })
	if k.search != nil {
		rows, more := answerRows(k.search.Query, []api.ShardName{k.search.Shard}, k.search.Snapshot)
		t.reply(k, &event.SearchReplied{Reply: api.SearchReply{
			Shard: k.search.Shard, Snapshot: k.search.Snapshot, Outcome: api.TargetOK, RowCount: len(rows), Rows: rows, LimitReached: more,
		}})
	} else {
		t.replyWork(k, &event.WorkReplied{Reply: api.WorkReply{Outcome: api.TargetOK, Result: []byte("done " + k.run.Tag)}})
	}
	t.dispatch()
}

// reply sends a search reply back, changed by the fault that is armed.
func (t *Target) reply(k *call, ev *event.SearchReplied) {
	ev.Conn, ev.Attempt, ev.Reply.Attempt = k.conn.id, k.attempt, k.attempt
	fault := t.armed()
	own := *ev
	own.Reply.Rows = slices.Clone(ev.Reply.Rows)
	switch fault {
	case ReplyCrossed:
		if t.last != nil {
			ev.Reply = t.last.Reply
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
	t.last = &own
	ev.Reply.Load = t.load(k.conn)
	t.deliver(k, fault, *ev)
}

func (t *Target) replyWork(k *call, ev *event.WorkReplied) {
	ev.Conn, ev.Attempt, ev.Reply.Attempt = k.conn.id, k.attempt, k.attempt
	fault := t.armed()
	own := *ev
	if fault == ReplyCrossed && t.lastWork != nil {
		ev.Reply = t.lastWork.Reply
	}
	t.lastWork = &own
	ev.Reply.Load = t.load(k.conn)
	t.deliver(k, fault, *ev)
}

// Arm changes the next n replies of the target, for half a second at most.
func (t *Target) Arm(f ReplyFault, n int) {
	t.fault, t.faults = f, n
	t.w.After(500*time.Millisecond, func() { t.faults = 0 })
}

func (t *Target) armed() ReplyFault {
	if t.faults == 0 {
		return 0
	}
	t.faults--
	return t.fault
}

func (t *Target) deliver(k *call, fault ReplyFault, ev event.Event) {
	w, c := t.w, k.conn
	delays := []time.Duration{w.hop()}
	switch fault {
	case ReplyLate:
		delays[0] += 900 * time.Millisecond
	case ReplyDuplicate:
		delays = append(delays, 3*w.hop())
	}
	for i, d := range delays {
		w.After(d, func() {
			if c.ended || c.silent || k.host.life != k.life || (i == 0 && k.ended && fault == 0) {
				return
			}
			k.ended = true
			delete(k.host.calls, k.attempt)
			k.host.feed(ev)
		})
	}
}

// ---- content of the fake index ----
