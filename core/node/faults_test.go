package node

import (
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/quarantine"
)

// rig drives one node with a search service and a work service, on one replica
// each, until it is connected to both.
type rig struct {
	t     *testing.T
	n     *Node
	now   time.Time
	conns map[api.ReplicaName]api.ConnID
	acts  []event.Action // of the newest step
}

func newRig(t *testing.T) *rig {
	r := bareRig(t)
	r.connect()
	return r
}

// bareRig returns a node that has just been created.
func bareRig(t *testing.T) *rig {
	return &rig{t: t, n: New(Settings{Name: "e1", Life: 1, Seed: 1}), now: start, conns: map[api.ReplicaName]api.ConnID{}}
}

// connect lets the node read its configuration and open its connections.
func (r *rig) connect() {
	t := r.t
	t.Helper()
	replica := func(service api.ServiceName, address string) *config.Replica {
		return &config.Replica{Service: service, Address: address, DataCentre: "dc", VM: "vm", Slots: 2, Connections: 8}
	}
	doc := config.Empty(start)
	ops := []config.Op{
		{CreateService: &config.CreateService{Name: "s", Kind: config.KindSearch}},
		{CreateService: &config.CreateService{Name: "w", Kind: config.KindWork}},
		{CreateReplica: &config.CreateReplica{Name: "rs", Replica: *replica("s", "10.0.0.1:1")}},
		{CreateReplica: &config.CreateReplica{Name: "rw", Replica: *replica("w", "10.0.0.2:1")}},
		{CreateShard: &config.CreateShard{Service: "s", Shard: config.Shard{Name: "a", Last: 1<<32 - 1, Replicas: []api.ReplicaName{"rs"}}}},
	}
	doc, err := config.Apply(doc, config.Change{ID: "c", Who: "o", Why: "t", When: start, Text: "t", Ops: ops})
	if err != nil {
		t.Fatal(err)
	}
	value, err := config.Encode(doc)
	if err != nil {
		t.Fatal(err)
	}
	for end := start.Add(2 * time.Second); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
		r.step(event.Timer{})
		for _, a := range r.acts {
			switch a := a.(type) {
			case event.ReadStore:
				r.step(event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: value, Revision: 1})
			case event.OpenConn:
				r.conns[a.Replica] = a.Conn
				r.step(event.ConnOpened{Conn: a.Conn, Load: r.load(1)})
			}
		}
	}
	if len(r.conns) != 2 {
		t.Fatalf("connected to %v", r.conns)
	}
}

// reopen lets the node connect to a new process of a replica.
func (r *rig) reopen(replica api.ReplicaName, incarnation api.Incarnation) {
	r.t.Helper()
	for end := r.now.Add(2 * time.Second); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
		if open, ok := find[event.OpenConn](r.acts); ok && open.Replica == replica {
			load := r.load(1)
			load.Incarnation = incarnation
			r.step(event.ConnOpened{Conn: open.Conn, Load: load})
			return
		}
		r.step(event.Timer{})
	}
	r.t.Fatalf("no new connection to %s", replica)
}

func (r *rig) load(version uint64) api.TargetLoad {
	return api.TargetLoad{Incarnation: 5, Slots: 2, Held: []api.ShardVersions{{Epoch: 1, Shard: "a", Versions: []uint64{version}}}}
}

func (r *rig) step(ev event.Event) {
	r.acts = append([]event.Action(nil), r.n.Step(r.now, ev)...)
}

func (r *rig) search(id api.RequestID) (event.SendSearch, bool) {
	r.step(event.SearchArrived{Request: id, Search: api.Search{Query: api.Query{Service: "s"}}})
	return find[event.SendSearch](r.acts)
}

// Guards against a node that asks for a timer in the past, and so keeps a core
// busy, while it waits for the last requests of a shutdown.
func TestShutdownWaitsWithoutSpinning(t *testing.T) {
	r := newRig(t)
	if _, ok := r.search(1); !ok {
		t.Fatal("nothing sent")
	}
	r.step(event.ShutdownStarted{AcceptFor: 100 * time.Millisecond})
	r.now = r.now.Add(150 * time.Millisecond)
	r.step(event.Timer{})
	if _, stopped := find[event.Stopped](r.acts); stopped {
		t.Fatal("stopped with a search in flight")
	}
	if wake := r.n.Wake(); !wake.After(r.now) {
		t.Fatalf("the node asks for a timer %v ago", r.now.Sub(wake))
	}
}

// Guards against a node that never learns which versions a replica holds,
// because it believes that the replica holds none that it could be asked for.
func TestReplicaWithoutKnownVersionIsAsked(t *testing.T) {
	r := newRig(t)
	send, ok := r.search(1)
	if !ok {
		t.Fatal("nothing sent")
	}
	r.step(event.SearchReplied{Conn: send.Conn, Attempt: send.Request.Attempt, Reply: api.SearchReply{
		Attempt: send.Request.Attempt, Shard: "a", Snapshot: send.Request.Snapshot, Outcome: api.TargetVersionGone,
		Load: api.TargetLoad{Incarnation: 5, Slots: 2}, // the answer that named the new version was lost
	}})
	r.now = r.now.Add(time.Second)
	r.search(2)
	probe, ok := find[event.Probe](r.acts)
	if !ok || probe.Conn != r.conns["rs"] {
		t.Fatalf("the replica is not asked: %v", r.acts)
	}
	r.step(event.ProbeReplied{Conn: probe.Conn, Load: r.load(2)})
	if send, ok = r.search(3); !ok || send.Request.Snapshot.Version != 2 {
		t.Fatalf("the version learned is not used: %+v", r.acts)
	}
}

// Guards against a work order that is sent although another node found out,
// while it waited for its claim, that it crashes targets.
func TestConvictedWorkOrderIsNotSentAfterItsClaim(t *testing.T) {
	r := newRig(t)
	work := api.Work{Service: "w", Key: api.IdempotencyKey{6: 0x70, 8: 0x80}, Payload: []byte("p")}
	for i, ms := 0, r.now.UnixMilli(); i < 6; i++ {
		work.Key[i] = byte(ms >> (40 - 8*i))
	}
	r.step(event.WorkArrived{Request: 1, Work: work})
	read, ok := find[event.ReadStore](r.acts)
	if !ok {
		t.Fatalf("no read: %v", r.acts)
	}
	r.step(event.StoreRead{Op: read.Op, Result: event.ReadAbsent})
	write, ok := find[event.WriteStore](r.acts)
	if !ok {
		t.Fatalf("no claim: %v", r.acts)
	}
	r.step(event.PeerReceived{Message: gossip.Message{
		From: gossip.Member{Name: "e2", Life: 2, Address: "10.0.0.9:1", Heartbeat: 1},
		Notices: []gossip.Notice{{
			Kind: gossip.NoticeConvicted, Fingerprint: quarantine.WorkFingerprint(work), Crashes: 2, Version: 9, TimeToLive: time.Hour,
		}},
	}})
	r.step(event.StoreWritten{Op: write.Op, Result: event.WriteApplied, Revision: 1})
	if _, sent := find[event.SendWork](r.acts); sent {
		t.Fatal("a convicted work order is sent")
	}
	a, ok := find[event.AnswerWork](r.acts)
	if !ok || a.Answer.Outcome != api.NotRun || a.Answer.Reason != api.ReasonQuarantined || a.Answer.RetryAfter == 0 {
		t.Fatalf("answer %+v", a)
	}
}

// Guards against a replica that stays out of use because a late VM list called
// its VM leaving when its new process was already there.
func TestReplicaOfReturnedVMIsUsedAgain(t *testing.T) {
	r := newRig(t)
	for i, leaving := range []bool{true, true, false} {
		r.step(event.VMListRead{VMs: []event.VM{{Name: "vm", Leaving: leaving}}})
		if _, sent := r.search(api.RequestID(i + 1)); sent == leaving {
			t.Fatalf("list %d: leaving %v, sent %v", i, leaving, sent)
		}
	}
}

// Guards against a search that is refused for a crash which a peer explains
// within moments, and against one that is held back to its deadline when no
// explanation comes.
func TestSearchWaitsWhileAConvictionMayBeExplained(t *testing.T) {
	for _, explained := range []bool{true, false} {
		r := newRig(t)
		notice := gossip.Notice{
			Kind: gossip.NoticeConvicted, Fingerprint: quarantine.Fingerprint(api.Query{Service: "s"}), Crashes: 2,
			Version: 9, TimeToLive: time.Hour,
		}
		tell := func(n gossip.Notice) {
			r.step(event.PeerReceived{Message: gossip.Message{
				From:    gossip.Member{Name: "e2", Life: 2, Address: "10.0.0.9:1", Heartbeat: n.Version},
				Notices: []gossip.Notice{n},
			}})
		}
		tell(notice)
		if _, sent := r.search(1); sent {
			t.Fatal("a convicted search is sent")
		}
		if a, answered := find[event.AnswerSearch](r.acts); answered {
			t.Fatalf("refused at once: %+v", a)
		}
		if explained {
			notice.Kind, notice.Version = gossip.NoticeCleared, 10
			tell(notice)
			if _, sent := find[event.SendSearch](r.acts); !sent {
				t.Error("a search whose conviction is taken back is not sent")
			}
			continue
		}
		var a event.AnswerSearch
		answered := false
		for end := r.now.Add(300 * time.Millisecond); !answered && r.now.Before(end); {
			r.now = r.now.Add(10 * time.Millisecond)
			r.step(event.Timer{})
			a, answered = find[event.AnswerSearch](r.acts)
		}
		if !answered || a.Answer.Outcome != api.NotRun || a.Answer.Reason != api.ReasonQuarantined {
			t.Errorf("answered %v: %+v", answered, a.Answer)
		}
	}
}

// Guards against a drain that a node forgets because it hears of it before it
// has a configuration, as the first message of a peer brings both.
func TestDrainHeardBeforeTheConfigurationCounts(t *testing.T) {
	r := bareRig(t)
	r.step(event.PeerReceived{Message: gossip.Message{
		From:    gossip.Member{Name: "e2", Life: 2, Address: "10.0.0.9:1", Heartbeat: 1},
		Notices: []gossip.Notice{{Kind: gossip.NoticeDraining, Replica: "rs", Incarnation: 5, Version: 1, TimeToLive: time.Minute}},
	}})
	r.connect()
	if send, sent := r.search(1); sent {
		t.Fatalf("sent to a draining replica: %+v", send)
	}
}

// Guards against a node that starts while a VM leaves, and reads the VM list
// before the configuration tells it what runs there.
func TestLeavingVMReadBeforeTheConfigurationCounts(t *testing.T) {
	r := bareRig(t)
	r.step(event.VMListRead{VMs: []event.VM{{Name: "vm", Leaving: true}}})
	r.connect()
	if send, sent := r.search(1); sent {
		t.Fatalf("sent to a draining replica: %+v", send)
	}
}

// Guards against a drain that is held against a process which is gone already:
// a node without a connection reads that the VM leaves, but knows only the
// process before the one that runs there.
func TestDrainOfAnUnknownProcessHitsTheOneThatRuns(t *testing.T) {
	r := newRig(t)
	r.step(event.ConnEnded{Conn: r.conns["rs"], End: event.ConnRefused})
	r.step(event.VMListRead{VMs: []event.VM{{Name: "vm", Leaving: true}}})
	told := func(actions []event.Action) (out []api.Incarnation) {
		for _, a := range actions {
			send, ok := a.(event.SendPeer)
			if !ok {
				continue
			}
			for _, n := range send.Message.Notices {
				if n.Kind == gossip.NoticeDraining && n.Replica == "rs" {
					out = append(out, n.Incarnation)
				}
			}
		}
		return out
	}
	r.reopen("rs", 6)
	if send, sent := r.search(1); sent {
		t.Fatalf("sent to the process that drains: %+v", send)
	}
	r.step(event.PeerReceived{Message: gossip.Message{From: gossip.Member{Name: "e2", Life: 2, Address: "10.0.0.9:1", Heartbeat: 1}}})
	var incarnations []api.Incarnation
	for end := r.now.Add(time.Second); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
		r.step(event.Timer{})
		incarnations = append(incarnations, told(r.acts)...)
	}
	if !slices.Contains(incarnations, 6) {
		t.Errorf("told the peer of the drain of %v", incarnations)
	}
}

// Guards against a node that ignores a peer's notice of a drain because it names
// no incarnation: the process that the node is connected to is meant.
func TestDrainToldWithoutAnIncarnationCounts(t *testing.T) {
	r := newRig(t)
	r.step(event.PeerReceived{Message: gossip.Message{
		From:    gossip.Member{Name: "e2", Life: 2, Address: "10.0.0.9:1", Heartbeat: 1},
		Notices: []gossip.Notice{{Kind: gossip.NoticeDraining, Replica: "rs", Version: 1, TimeToLive: time.Second}},
	}})
	if send, sent := r.search(1); sent {
		t.Fatalf("sent to a draining replica: %+v", send)
	}
}
