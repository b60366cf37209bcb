package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// BenchmarkQuery measures the cost of a sharded request in the engine: arrival,
// attempts, replies and the merged answer. Each reply holds ten records.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{10, 100, 620} {
		b.Run(fmt.Sprint(shards, " shards"), func(b *testing.B) {
			h := newBenchHarness()
			h.step(Members{Nodes: 1})
			h.table(1, shards)
			h.replicas(shards, 2)
			body := make([]byte, 20)
			message := &Message{Host: "h", Path: "/all/x", CallerRequest: "id", Fingerprint: 7}
			id := api.RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				h.now = h.now.Add(10 * time.Millisecond)
				h.step(Arrived{Request: id, CallerTimeout: time.Second, Message: message})
				for _, s := range h.takeSends() {
					h.step(Replied{Attempt: s.Attempt, Reply: Reply{Kind: ReplyOK, Proof: "p", Body: body}})
				}
				delete(h.answers, id)
			}
		})
	}
}

// BenchmarkReplica measures the cost of registering replicas.
func BenchmarkReplica(b *testing.B) {
	for _, replicas := range []int{100, 625, 2500} {
		b.Run(fmt.Sprint(replicas, " replicas"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				h := newBenchHarness()
				h.table(1, replicas/4)
				h.replicas(replicas/4, 4)
			}
		})
	}
}

func newBenchHarness() *harness {
	e := New(Settings{DataCentre: "dc-a", Seed: 1, BudgetWindow: 10 * time.Second, BudgetShare: 0.2, FirstStart: true})
	return &harness{t: &testing.T{}, e: e, now: start, answers: make(map[api.RequestID]Answer)}
}
