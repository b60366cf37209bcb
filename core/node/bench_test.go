package node

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// benchEnv carries out the actions of one node at once: the store holds the
// document, each connection opens, and each target replies without rows.
type benchEnv struct {
	node     *Node
	now      time.Time
	document []byte
	held     map[api.ReplicaName][]api.ShardVersions
	replica  map[api.ConnID]api.ReplicaName
	events   []event.Event
	answer   *api.SearchAnswer
	sent     int
}

const benchService = "s"

// benchDocument returns a document with one service and two replicas per shard.
func benchDocument(tb testing.TB, shards, replicas int) *config.Document {
	tb.Helper()
	doc := config.Empty(start)
	service := &config.Service{Kind: config.KindSearch, Rule: config.DefaultRule(config.KindSearch)}
	m := config.PartitionMap{Epoch: 1}
	for i := range replicas {
		doc.Replicas[benchReplica(i)] = &config.Replica{
			Service: benchService, Address: fmt.Sprintf("127.0.0.1:%d", 1+i), DataCentre: "dc-a",
			VM: api.VMName(benchReplica(i)), Slots: 4, Connections: 45,
		}
	}
	for i := range shards {
		at := func(k int) uint64 { return uint64(k) * (math.MaxUint32 + 1) / uint64(shards) }
		m.Shards = append(m.Shards, config.Shard{
			Name: api.ShardName(fmt.Sprintf("s%04d", i)), First: uint32(at(i)), Last: uint32(at(i+1) - 1),
			Replicas: []api.ReplicaName{benchReplica(i % replicas), benchReplica((i + 1) % replicas)},
		})
	}
	service.Maps = []config.PartitionMap{m}
	doc.Services[benchService] = service
	doc.Revision = 1
	doc.History = []config.Change{{
		ID: "0123456789abcdef0123456789abcdef", Revision: 1, Generation: doc.Generation, Who: "bench", Why: "bench",
		When: start, Digest: config.Digest(doc),
	}}
	return doc
}

func benchReplica(i int) api.ReplicaName { return api.ReplicaName(fmt.Sprintf("r%05d", i)) }

func newBenchEnv(tb testing.TB, doc *config.Document) *benchEnv {
	tb.Helper()
	encoded, err := config.Encode(doc)
	if err != nil {
		tb.Fatal(err)
	}
	w := &benchEnv{
		node: New(Settings{Name: "e1", Life: 1, DataCentre: "dc-a", VM: "vm-1", Seed: 1}), now: start, document: encoded,
		held: make(map[api.ReplicaName][]api.ShardVersions), replica: make(map[api.ConnID]api.ReplicaName),
	}
	for _, m := range doc.Services[benchService].Maps {
		for _, s := range m.Shards {
			for _, r := range s.Replicas {
				w.held[r] = append(w.held[r], api.ShardVersions{Epoch: m.Epoch, Shard: s.Name, Versions: []uint64{1, 2}})
			}
		}
	}
	return w
}

// run delivers an event and all events that follow from it.
func (w *benchEnv) run(ev event.Event) {
	w.events = append(w.events, ev)
	for len(w.events) > 0 {
		next := w.events[0]
		w.events = w.events[1:]
		for _, a := range w.node.Step(w.now, next) {
			w.perform(a)
		}
	}
}

func (w *benchEnv) perform(a event.Action) {
	switch a := a.(type) {
	case event.ReadStore:
		w.events = append(w.events, event.StoreRead{Op: a.Op, Result: event.ReadFound, Value: w.document, Revision: 1})
	case event.OpenConn:
		w.replica[a.Conn] = a.Replica
		w.events = append(w.events, event.ConnOpened{Conn: a.Conn, Load: w.load(a.Replica, true)})
	case event.SendSearch:
		w.sent++
		w.events = append(w.events, event.SearchReplied{Conn: a.Conn, Attempt: a.Request.Attempt, Reply: api.SearchReply{
			Attempt: a.Request.Attempt, Shard: a.Request.Shard, Snapshot: a.Request.Snapshot, Outcome: api.TargetOK,
			Load: w.load(w.replica[a.Conn], false),
		}})
	case event.AnswerSearch:
		w.answer = &a.Answer
	}
}

func (w *benchEnv) load(r api.ReplicaName, held bool) api.TargetLoad {
	l := api.TargetLoad{Incarnation: 1, Slots: 4}
	if held {
		l.Held = w.held[r]
	}
	return l
}

// advance moves the clock forward by d and delivers timer events, so that the node
// opens its connections.
func (w *benchEnv) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(5 * time.Millisecond)
		w.run(event.Timer{})
	}
}

func (w *benchEnv) search(tb testing.TB, i int) {
	w.answer = nil
	w.now = w.now.Add(10 * time.Millisecond)
	w.run(event.SearchArrived{Request: api.RequestID(i + 1), Search: api.Search{Query: api.Query{
		Service: benchService, Conditions: []api.Condition{{Field: "state", Operator: api.Equal, Value: "alarm"}}, Limit: 50,
	}}})
	for w.answer == nil { // some parts wait for a slot
		w.now = w.now.Add(time.Millisecond)
		w.run(event.Timer{})
	}
	if w.answer.Outcome != api.Answered || w.answer.Coverage.Share != api.Whole {
		tb.Fatalf("search %d: answer %+v", i, w.answer)
	}
}

// BenchmarkQuery measures the processor time and the allocations of a whole search
// in core, without sockets and without rows.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{10, 100, 620} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			w := newBenchEnv(b, benchDocument(b, shards, max(2, shards)))
			w.run(event.Timer{})
			w.advance(3 * time.Second)
			for i := range 200 { // until canaries are no longer sent and the admission limit has grown
				w.search(b, i)
			}
			w.sent = 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				w.search(b, 1000+i)
			}
			b.StopTimer()
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(w.sent), "ns/request")
		})
	}
}

// BenchmarkAdopt measures how long a started node takes to adopt a document and how
// much memory it then holds, by the number of replicas. The memory includes the
// records of the connections that the node requests.
func BenchmarkAdopt(b *testing.B) {
	for _, replicas := range []int{100, 625, 2500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			doc := benchDocument(b, max(1, replicas/4), replicas)
			encoded, err := config.Encode(doc)
			if err != nil {
				b.Fatal(err)
			}
			nodes := make([]*Node, 0, b.N)
			before := heapInUse()
			b.ResetTimer()
			for range b.N {
				nodes = append(nodes, adoptOnce(b, encoded))
			}
			b.StopTimer()
			b.ReportMetric(float64(heapInUse()-before)/float64(b.N), "held-B/op")
			b.ReportMetric(float64(len(encoded)), "document-B")
			runtime.KeepAlive(nodes)
		})
	}
}

// adoptOnce starts a node and delivers a document at its first store read.
func adoptOnce(b *testing.B, encoded []byte) *Node {
	n := New(Settings{Name: "e1", Life: 1, DataCentre: "dc-a", VM: "vm-1", Seed: 1})
	read, ok := find[event.ReadStore](n.Step(start, event.Timer{}))
	now := start
	for range 100 {
		if ok {
			n.Step(now, event.StoreRead{Op: read.Op, Result: event.ReadFound, Value: encoded, Revision: 1})
			break
		}
		now = n.NextTick()
		read, ok = find[event.ReadStore](n.Step(now, event.Timer{}))
	}
	if n.Document() == nil {
		b.Fatal("the document was not adopted")
	}
	return n
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkChange measures one configuration change that a peer sends to a node
// with the given number of replicas.
func BenchmarkChange(b *testing.B) {
	for _, replicas := range []int{100, 625, 2500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			doc := benchDocument(b, max(1, replicas/4), replicas)
			encoded, err := config.Encode(doc)
			if err != nil {
				b.Fatal(err)
			}
			n := adoptOnce(b, encoded)
			messages, bytes := benchChanges(b, doc, b.N)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				n.Step(start.Add(time.Duration(i)*time.Second), event.PeerReceived{Message: messages[i]})
			}
			b.StopTimer()
			if got := n.Document().Revision; got != uint64(b.N)+1 {
				b.Fatalf("revision %d after %d changes", got, b.N)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "change-B/op")
		})
	}
}

// benchChanges returns n messages that each carry one drain or undrain, and the
// total size of the encoded changes.
func benchChanges(b *testing.B, doc *config.Document, n int) (out []gossip.Message, bytes int) {
	for i := range n {
		change := config.Change{
			ID: config.ChangeID(fmt.Sprintf("%032x", i+2)), Generation: doc.Generation, Revision: doc.Revision + 1,
			Who: "operator-1", Why: "CHG-1042: replace the VM", When: start, Text: "drain replica r00001",
			Ops: []config.Op{{Drain: &config.Drain{Replica: benchReplica(1), Drained: i%2 == 0}}},
		}
		next, err := config.Apply(doc, change)
		if err != nil {
			b.Fatal(err)
		}
		doc = next
		encoded, err := config.EncodeChange(*doc.NewestChange())
		if err != nil {
			b.Fatal(err)
		}
		bytes += len(encoded)
		out = append(out, gossip.Message{
			From:       gossip.Member{Name: "e2", Life: 2, Address: "127.0.0.1:9", DataCentre: "dc-a", Heartbeat: uint64(i + 1)},
			Generation: doc.Generation, Revision: doc.Revision, Changes: [][]byte{encoded},
		})
	}
	return out, bytes
}

// BenchmarkIdle measures one second of a node without requests: all of its own
// timers, with a connection to each replica.
func BenchmarkIdle(b *testing.B) {
	for _, replicas := range []int{100, 625, 2500} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			w := newBenchEnv(b, benchDocument(b, max(1, replicas/4), replicas))
			w.run(event.Timer{})
			w.advance(10 * time.Second)
			steps := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for end := w.now.Add(time.Second); w.now.Before(end); steps++ {
					w.now = earliest(w.node.NextTick(), end)
					w.run(event.Timer{})
				}
			}
			b.StopTimer()
			b.ReportMetric(float64(steps)/float64(b.N), "steps/s")
		})
	}
}
