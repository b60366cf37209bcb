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

// harness drives one node with a search service and a work service of one replica
// each.
type harness struct {
	t       *testing.T
	n       *Node
	now     time.Time
	conns   map[api.ReplicaName]api.ConnID
	actions []event.Action // of the last step
}

// newHarness returns a node that is configured and connected to both replicas.
func newHarness(t *testing.T) *harness {
	r := newUnconfiguredHarness(t)
	r.connect()
	return r
}

// newUnconfiguredHarness returns a node that has not received any event.
func newUnconfiguredHarness(t *testing.T) *harness {
	return &harness{t: t, n: New(Settings{Name: "e1", Life: 1, Seed: 1}), now: start, conns: map[api.ReplicaName]api.ConnID{}}
}

// connect lets the node read its configuration and open its connections.
func (r *harness) connect() {
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
		for _, a := range r.actions {
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
		t.Fatalf("connections: %v, want one per replica", r.conns)
	}
}

// reopen lets the node connect to a new process of a replica.
func (r *harness) reopen(replica api.ReplicaName, incarnation api.Incarnation) {
	r.t.Helper()
	for end := r.now.Add(2 * time.Second); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
		if open, ok := find[event.OpenConn](r.actions); ok && open.Replica == replica {
			load := r.load(1)
			load.Incarnation = incarnation
			r.step(event.ConnOpened{Conn: open.Conn, Load: load})
			return
		}
		r.step(event.Timer{})
	}
	r.t.Fatalf("no new connection to %s", replica)
}

func (r *harness) load(version uint64) api.TargetLoad {
	return api.TargetLoad{Incarnation: 5, Slots: 2, Held: []api.ShardVersions{{Epoch: 1, Shard: "a", Versions: []uint64{version}}}}
}

func (r *harness) step(ev event.Event) {
	r.actions = append([]event.Action(nil), r.n.Step(r.now, ev)...)
}

func (r *harness) search(id api.RequestID) (event.SendSearch, bool) {
	r.step(event.SearchArrived{Request: id, Search: api.Search{Query: api.Query{Service: "s"}}})
	return find[event.SendSearch](r.actions)
}

// Guards against a node that requests a timer in the past while a shutdown waits
// for the last requests, which makes the driver loop without pause.
func TestShutdownRequestsNoTimerInThePast(t *testing.T) {
	r := newHarness(t)
	if _, ok := r.search(1); !ok {
		t.Fatal("the search was not sent")
	}
	r.step(event.ShutdownStarted{AcceptFor: 100 * time.Millisecond})
	r.now = r.now.Add(150 * time.Millisecond)
	r.step(event.Timer{})
	if _, stopped := find[event.Stopped](r.actions); stopped {
		t.Fatal("stopped while a search was in flight")
	}
	if wake := r.n.NextTick(); !wake.After(r.now) {
		t.Fatalf("the node requests a timer %v in the past", r.now.Sub(wake))
	}
}

// Guards against a node that never learns which versions a replica holds: it
// believes that the replica holds no usable version and so sends it no requests.
func TestReplicaWithoutKnownVersionIsProbed(t *testing.T) {
	r := newHarness(t)
	send, ok := r.search(1)
	if !ok {
		t.Fatal("the search was not sent")
	}
	r.step(event.SearchReplied{Conn: send.Conn, Attempt: send.Request.Attempt, Reply: api.SearchReply{
		Attempt: send.Request.Attempt, Shard: "a", Snapshot: send.Request.Snapshot, Outcome: api.TargetVersionGone,
		Load: api.TargetLoad{Incarnation: 5, Slots: 2}, // the reply that listed the new version was lost
	}})
	r.now = r.now.Add(time.Second)
	r.search(2)
	probe, ok := find[event.Probe](r.actions)
	if !ok || probe.Conn != r.conns["rs"] {
		t.Fatalf("the replica is not probed: %v", r.actions)
	}
	r.step(event.ProbeReplied{Conn: probe.Conn, Load: r.load(2)})
	if send, ok = r.search(3); !ok || send.Request.Snapshot.Version != 2 {
		t.Fatalf("the version from the probe reply is not used: %+v", r.actions)
	}
}

// Guards against sending a work order that another node convicted of crashing
// targets while the work order waited for its claim.
func TestWorkOrderConvictedDuringClaimIsNotSent(t *testing.T) {
	r := newHarness(t)
	work := api.Work{Service: "w", Key: api.IdempotencyKey{6: 0x70, 8: 0x80}, Payload: []byte("p")}
	for i, ms := 0, r.now.UnixMilli(); i < 6; i++ {
		work.Key[i] = byte(ms >> (40 - 8*i))
	}
	r.step(event.WorkArrived{Request: 1, Work: work})
	read, ok := find[event.ReadStore](r.actions)
	if !ok {
		t.Fatalf("the claim is not read from the store: %v", r.actions)
	}
	r.step(event.StoreRead{Op: read.Op, Result: event.ReadAbsent})
	write, ok := find[event.WriteStore](r.actions)
	if !ok {
		t.Fatalf("the claim is not written to the store: %v", r.actions)
	}
	r.step(event.PeerReceived{Message: gossip.Message{
		From: gossip.Member{Name: "e2", Life: 2, Address: "10.0.0.9:1", Heartbeat: 1},
		Notices: []gossip.Notice{{
			Kind: gossip.NoticeConvicted, Fingerprint: quarantine.WorkFingerprint(work), Crashes: 2, Version: 9, TimeToLive: time.Hour,
		}},
	}})
	r.step(event.StoreWritten{Op: write.Op, Result: event.WriteApplied, Revision: 1})
	if _, sent := find[event.SendWork](r.actions); sent {
		t.Fatal("a convicted work order was sent")
	}
	a, ok := find[event.AnswerWork](r.actions)
	if !ok || a.Answer.Outcome != api.NotRun || a.Answer.Reason != api.ReasonQuarantined || a.Answer.RetryAfter == 0 {
		t.Fatalf("answer to the work order: %+v", a)
	}
}

// Guards against a replica that stays drained because a late VM list reported its
// VM as leaving when the new process was already running.
func TestReplicaOfReturnedVMIsUsedAgain(t *testing.T) {
	r := newHarness(t)
	for i, leaving := range []bool{true, true, false} {
		r.step(event.VMListRead{VMs: []event.VM{{Name: "vm", Leaving: leaving}}})
		if _, sent := r.search(api.RequestID(i + 1)); sent == leaving {
			t.Fatalf("VM list %d: leaving %v, search sent %v", i, leaving, sent)
		}
	}
}

// Guards against refusing a convicted search although a peer clears the conviction
// moments later, and against holding the search until its deadline if no peer
// clears it.
func TestSearchWaitsForConvictionToBeCleared(t *testing.T) {
	for _, cleared := range []bool{true, false} {
		r := newHarness(t)
		notice := gossip.Notice{
			Kind: gossip.NoticeConvicted, Fingerprint: quarantine.Fingerprint(api.Query{Service: "s"}), Crashes: 2,
			Version: 9, TimeToLive: time.Hour,
		}
		receive := func(n gossip.Notice) {
			r.step(event.PeerReceived{Message: gossip.Message{
				From:    gossip.Member{Name: "e2", Life: 2, Address: "10.0.0.9:1", Heartbeat: n.Version},
				Notices: []gossip.Notice{n},
			}})
		}
		receive(notice)
		if _, sent := r.search(1); sent {
			t.Fatal("a convicted search was sent")
		}
		if a, answered := find[event.AnswerSearch](r.actions); answered {
			t.Fatalf("refused immediately: %+v", a)
		}
		if cleared {
			notice.Kind, notice.Version = gossip.NoticeCleared, 10
			receive(notice)
			if _, sent := find[event.SendSearch](r.actions); !sent {
				t.Error("the search was not sent after its conviction was cleared")
			}
			continue
		}
		var a event.AnswerSearch
		answered := false
		for end := r.now.Add(300 * time.Millisecond); !answered && r.now.Before(end); {
			r.now = r.now.Add(10 * time.Millisecond)
			r.step(event.Timer{})
			a, answered = find[event.AnswerSearch](r.actions)
		}
		if !answered || a.Answer.Outcome != api.NotRun || a.Answer.Reason != api.ReasonQuarantined {
			t.Errorf("answered %v: %+v", answered, a.Answer)
		}
	}
}

// Guards against losing a drain notice that arrives before the configuration: the
// first message of a peer brings both.
func TestDrainReceivedBeforeConfigurationApplies(t *testing.T) {
	r := newUnconfiguredHarness(t)
	r.step(event.PeerReceived{Message: gossip.Message{
		From:    gossip.Member{Name: "e2", Life: 2, Address: "10.0.0.9:1", Heartbeat: 1},
		Notices: []gossip.Notice{{Kind: gossip.NoticeDraining, Replica: "rs", Incarnation: 5, Version: 1, TimeToLive: time.Minute}},
	}})
	r.connect()
	if send, sent := r.search(1); sent {
		t.Fatalf("sent to a draining replica: %+v", send)
	}
}

// Guards against using the replicas of a leaving VM after a start, when the VM list
// is read before the configuration names the replicas on that VM.
func TestLeavingVMReadBeforeConfigurationIsDrained(t *testing.T) {
	r := newUnconfiguredHarness(t)
	r.step(event.VMListRead{VMs: []event.VM{{Name: "vm", Leaving: true}}})
	r.connect()
	if send, sent := r.search(1); sent {
		t.Fatalf("sent to a draining replica: %+v", send)
	}
}

// Guards against applying a drain to a process that has ended: a node without a
// connection reads that the VM is leaving, but knows only the previous process of
// the replica. The drain must apply to the process that it connects to next.
func TestDrainWithoutConnectionAppliesToNextProcess(t *testing.T) {
	r := newHarness(t)
	r.step(event.ConnEnded{Conn: r.conns["rs"], End: event.ConnRefused})
	r.step(event.VMListRead{VMs: []event.VM{{Name: "vm", Leaving: true}}})
	drainNotices := func(actions []event.Action) (out []api.Incarnation) {
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
		t.Fatalf("sent to the draining process: %+v", send)
	}
	r.step(event.PeerReceived{Message: gossip.Message{From: gossip.Member{Name: "e2", Life: 2, Address: "10.0.0.9:1", Heartbeat: 1}}})
	var incarnations []api.Incarnation
	for end := r.now.Add(time.Second); r.now.Before(end); r.now = r.now.Add(10 * time.Millisecond) {
		r.step(event.Timer{})
		incarnations = append(incarnations, drainNotices(r.actions)...)
	}
	if !slices.Contains(incarnations, 6) {
		t.Errorf("drain notices name incarnations %v, want 6 among them", incarnations)
	}
}

// Guards against ignoring a peer's drain notice that names no incarnation. It
// applies to the process that the node is connected to.
func TestDrainNoticeWithoutIncarnationApplies(t *testing.T) {
	r := newHarness(t)
	r.step(event.PeerReceived{Message: gossip.Message{
		From:    gossip.Member{Name: "e2", Life: 2, Address: "10.0.0.9:1", Heartbeat: 1},
		Notices: []gossip.Notice{{Kind: gossip.NoticeDraining, Replica: "rs", Version: 1, TimeToLive: time.Second}},
	}})
	if send, sent := r.search(1); sent {
		t.Fatalf("sent to a draining replica: %+v", send)
	}
}
