package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// fatal is the fingerprint of a request that crashes each replica.
const fatal api.Fingerprint = 666

// cluster is a set of nodes that share replicas, some of which are down after a crash.
// Published notices reach the other nodes when exchangeNotices is called.
type cluster struct {
	t         *testing.T
	nodes     []*harness
	downUntil map[api.ReplicaName]time.Time
	now       time.Time
	// crashes counts the attempts of the fatal request that reached a replica.
	crashes  int
	requests int
}

func newCluster(t *testing.T, nodes int) *cluster {
	g := &cluster{t: t, downUntil: make(map[api.ReplicaName]time.Time), now: start}
	for range nodes {
		h := ready(t, 4)
		g.nodes = append(g.nodes, h)
	}
	return g
}

// serveRequest runs one request at a node until it ends and reports whether it was
// answered.
func (g *cluster) serveRequest(node int, path string, fingerprint api.Fingerprint) bool {
	h := g.nodes[node]
	g.requests++
	id := api.RequestID(1000 + g.requests)
	h.step(Arrived{
		Request: id, CallerTimeout: 500 * time.Millisecond,
		Message: &Message{Host: "h", Path: path, CallerRequest: fmt.Sprint("id-", id), Fingerprint: fingerprint},
	})
	for range 200 {
		g.handleSends(h, fingerprint)
		if a, ok := h.answers[id]; ok {
			return a.Outcome == api.Answered
		}
		g.advance(5 * time.Millisecond)
	}
	g.t.Fatalf("request %d has no answer", id)
	return false
}

// handleSends lets the replicas handle the attempts that a node sent.
func (g *cluster) handleSends(h *harness, fingerprint api.Fingerprint) {
	for sends := h.takeSends(); len(sends) > 0; sends = h.takeSends() {
		for _, s := range sends {
			switch {
			case g.now.Before(g.downUntil[s.Replica]):
				h.step(Lost{Attempt: s.Attempt, Loss: LostRefused})
			case fingerprint == fatal:
				g.crashes++
				g.downUntil[s.Replica] = g.now.Add(3 * time.Second)
				h.step(Lost{Attempt: s.Attempt, Loss: LostBroken})
			default:
				h.ok(s, "aa")
			}
		}
	}
}

func (g *cluster) advance(d time.Duration) {
	g.now = g.now.Add(d)
	for _, h := range g.nodes {
		h.advance(g.now.Sub(h.now))
	}
}

// exchangeNotices delivers the notices that each node published to the others.
func (g *cluster) exchangeNotices() {
	for from, h := range g.nodes {
		notices := h.published
		h.published = nil
		for to, other := range g.nodes {
			if to != from && len(notices) > 0 {
				other.step(NoticesRead{Notices: notices})
			}
		}
	}
}

// Guards against a request that keeps crashing replicas because it arrives at another
// node each time and each node sees only some of the crashes. Innocent requests must
// still be served.
func TestRequestThatCrashesReplicasIsRefusedByAllNodes(t *testing.T) {
	g := newCluster(t, 4)
	late := 0 // arrivals more than four seconds after the third crash
	var third time.Time
	for i := range 60 {
		before := g.crashes
		g.serveRequest(i%4, "/one/fatal", fatal)
		if g.crashes >= 3 && third.IsZero() {
			third = g.now
		}
		if !third.IsZero() && g.now.Sub(third) > 4*time.Second {
			late += g.crashes - before
		}
		g.advance(700 * time.Millisecond)
		g.exchangeNotices()
		served := 0
		for n := range g.nodes {
			for k := range 3 {
				if g.serveRequest(n, "/all/x", api.Fingerprint(10_000+100*i+10*n+k)) {
					served++
				}
			}
		}
		if served < 6 {
			t.Errorf("round %d: only %d of 12 innocent requests are served", i, served)
		}
		g.advance(300 * time.Millisecond)
	}
	if late > 3 {
		t.Errorf("%d arrivals of the fatal request more than 4s after its third crash, %d crashes in all", late, g.crashes)
	}
	t.Logf("%d crashes in all", g.crashes)
}

// Guards against a sharded request that crashes both replicas of every shard before it is
// suspected: two lost parts are retried at once, the others only after some part is answered.
func TestLostPartsWaitForAnAnswer(t *testing.T) {
	h := ready(t, 8)
	fatalRequest := h.request("/all/x")
	sent := 0
	for sends := h.takeSends(); len(sends) > 0; sends = h.takeSends() {
		sent += len(sends)
		for _, s := range sends {
			h.step(Lost{Attempt: s.Attempt, Loss: LostBroken})
		}
	}
	if sent != 8+maxRetriesBeforeAnswer {
		t.Errorf("%d attempts of a request that crashes all replicas", sent)
	}
	h.answer(fatalRequest)

	h = ready(t, 8)
	innocent := h.request("/all/y")
	for _, s := range h.takeSends() { // all connections were cut
		h.step(Lost{Attempt: s.Attempt, Loss: LostBroken})
	}
	for sends := h.takeSends(); len(sends) > 0; sends = h.takeSends() {
		for _, s := range sends {
			h.ok(s, "aa")
		}
	}
	if a := h.answer(innocent); a.Outcome != api.Answered || a.Merged.Missing != 0 {
		t.Errorf("answer %+v", a)
	}
}
