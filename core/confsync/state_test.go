package confsync

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// Guards against sequences of lost answers, late writes, outages, restarts and
// restores that make a node adopt an older document, lose an accepted change,
// apply a change twice or give an operator a wrong answer.
func TestFaultsInAnyOrder(t *testing.T) {
	// Skip of a rapid.T skips one action that is impossible in the current state,
	// and rapid draws another. The test itself is never skipped.
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(3)
		var backup []byte
		regressed := func() bool {
			for _, s := range sim.nodes {
				if s.doc.Position().Compare(sim.storedDocument().Position()) > 0 {
					return true
				}
			}
			return false
		}
		node := func(t *rapid.T) int { return rapid.IntRange(0, 2).Draw(t, "node") }
		index := func(t *rapid.T, n int) int {
			if n == 0 {
				t.Skip("nothing is pending")
			}
			return rapid.IntRange(0, n-1).Draw(t, "index")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if sim.oracle.violation != nil {
					t.Fatal(sim.oracle.violation)
				}
			},
			"execute":  func(t *rapid.T) { sim.execute(index(t, len(sim.requests))) },
			"deliver":  func(t *rapid.T) { sim.deliver(index(t, len(sim.events))) },
			"deliver2": func(t *rapid.T) { sim.deliver(index(t, len(sim.events))) },
			"settle":   func(t *rapid.T) { sim.settle() },
			"lose":     func(t *rapid.T) { removeAt(&sim.events, index(t, len(sim.events))) },
			"outage": func(t *rapid.T) {
				for len(sim.requests) > 0 {
					sim.failRequest(0, rapid.SampledFrom([]event.WriteResult{event.WriteNotSent, event.WriteUnknown}).Draw(t, "result"))
				}
			},
			"unknown": func(t *rapid.T) {
				i := index(t, len(sim.requests))
				a, ok := sim.requests[i].action.(event.WriteStore)
				if !ok {
					t.Skip("not a write")
				}
				sim.unresolvedWrites = append(sim.unresolvedWrites, a)
				sim.failRequest(i, event.WriteUnknown)
			},
			"late": func(t *rapid.T) {
				sim.compareAndSwap(removeAt(&sim.unresolvedWrites, index(t, len(sim.unresolvedWrites))))
			},
			"advance": func(t *rapid.T) { sim.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"propose": func(t *rapid.T) {
				var expected *uint64
				i := node(t)
				if rapid.Bool().Draw(t, "expected") {
					r := sim.nodes[i].Position().Revision
					expected = &r
				}
				sim.propose(i, expected, sim.newServiceOp())
			},
			"same name": func(t *rapid.T) { sim.propose(node(t), nil, createService("fixed")) },
			"recover":   func(t *rapid.T) { sim.propose(node(t), nil, recoverOp) },
			"gossip":    func(t *rapid.T) { sim.gossip(node(t), node(t)) },
			"backup":    func(t *rapid.T) { backup = sim.value },
			"restore": func(t *rapid.T) {
				if backup == nil || regressed() {
					t.Skip("no backup, or the store is already restored")
				}
				// A node that knows nothing newer than the backup cannot detect the
				// restore, so every node first learns the newest document.
				sim.gossipAll()
				for _, s := range sim.nodes {
					if s.doc.Position() != sim.storedDocument().Position() {
						t.Skip("the store's newest document is not known to every node")
					}
				}
				sim.setValue(backup)
			},
			"restart": func(t *rapid.T) {
				if regressed() {
					t.Skip("a new node cannot detect that the store was restored")
				}
				i := node(t)
				if len(sim.nodes[i].proposals) > 0 {
					t.Skip("a restart would break the connection of a waiting operator")
				}
				sim.restart(i)
			},
		})
		for len(sim.unresolvedWrites) > 0 {
			sim.compareAndSwap(removeAt(&sim.unresolvedWrites, 0))
		}
		sim.run(20 * time.Second)
		sim.gossipAll()
		if sim.nodes[0].Alarm() != api.ReasonNone {
			sim.propose(0, nil, recoverOp)
		}
		sim.propose(1, nil, createService("last"))
		sim.run(20 * time.Second)
		var docs []*config.Document
		for i, s := range sim.nodes {
			docs = append(docs, s.Document())
			if s.Alarm() != api.ReasonNone {
				t.Fatalf("node %d still has alarm %s", i, s.Alarm())
			}
		}
		sim.oracle.end(sim.storedDocument(), docs)
		if sim.oracle.violation != nil {
			t.Fatal(sim.oracle.violation)
		}
	})
}
