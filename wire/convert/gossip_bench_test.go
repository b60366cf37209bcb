package convert

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/baobabsail/baobabsail/core/api"
	counters "github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/wire/peerpb"
)

// BenchmarkGossip measures the cost of the periodic gossip exchange by the size of
// the group. One operation is one second of one node in a group whose members all
// know each other, and includes the encoding and decoding of each message.
func BenchmarkGossip(b *testing.B) {
	for _, members := range []int{8, 64, 570} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			before := liveHeapBytes()
			g := newGossipGroup(members)
			for range 60 * time.Second / gossip.Interval {
				g.round(b)
			}
			held := liveHeapBytes() - before
			g.bytes, g.messages = 0, 0
			rounds := 0
			b.ResetTimer()
			for done := 0; done < b.N; done += members { // one round simulates half a second of every node
				g.round(b)
				g.round(b)
				rounds += 2
			}
			b.StopTimer()
			nodeSeconds := float64(rounds) / 2 * float64(members)
			b.ReportMetric(float64(g.bytes)/nodeSeconds, "sent-B/s")
			b.ReportMetric(float64(g.messages)/nodeSeconds, "messages/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/nodeSeconds, "ns/node-s")
			b.ReportMetric(float64(held)/float64(members), "held-B/node")
			runtime.KeepAlive(g)
		})
	}
}

// gossipGroup is a simulated group of nodes that counts the messages and bytes sent.
type gossipGroup struct {
	now             time.Time
	nodes           []*gossip.Exchange
	byName          map[api.EntryName]*gossip.Exchange
	bytes, messages int
}

func newGossipGroup(members int) *gossipGroup {
	g := &gossipGroup{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC), byName: make(map[api.EntryName]*gossip.Exchange)}
	var seeds []gossip.Seed
	for i := range members {
		name := api.EntryName(fmt.Sprintf("entry-%03d", i))
		self := gossip.Member{
			Name: name, Life: api.Life(1_000_000_007 * uint64(i+1)), Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
			DataCentre: api.DataCentre(fmt.Sprintf("dc-%d", i%9)),
		}
		x := gossip.New(self, seeds, rand.New(rand.NewPCG(uint64(i), 1)), counters.NewSet())
		if len(seeds) < 3 {
			seeds = append(seeds, gossip.Seed{Name: name, Address: self.Address})
		}
		g.nodes = append(g.nodes, x)
		g.byName[name] = x
	}
	return g
}

// round advances the clock by one gossip interval and runs the exchange of every node.
func (g *gossipGroup) round(b *testing.B) {
	g.now = g.now.Add(gossip.Interval)
	for _, x := range g.nodes {
		g.deliver(b, x.Tick(g.now))
	}
}

// deliver encodes, decodes and delivers messages and the replies that they cause.
func (g *gossipGroup) deliver(b *testing.B, sends []gossip.Send) {
	for _, s := range sends {
		encoded, err := proto.Marshal(MessageToProto(s.Message))
		if err != nil {
			b.Fatal(err)
		}
		g.bytes += len(encoded)
		g.messages++
		decoded := new(peerpb.Message)
		if err := proto.Unmarshal(encoded, decoded); err != nil {
			b.Fatal(err)
		}
		m, err := MessageFromProto(decoded)
		if err != nil {
			b.Fatal(err)
		}
		g.deliver(b, g.byName[s.Peer].Receive(g.now, m).Sends)
	}
}

// liveHeapBytes returns the size of the heap after a garbage collection.
func liveHeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
