package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// overloadSim simulates several nodes that send sharded requests to shards with one replica
// each, as in an outage of the other replicas during a burst of traffic. Callers retry once
// after a refusal.
type overloadSim struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	events   simEvents
	seq      int
	nodes    []*harness
	replicas map[api.ReplicaName]*simReplica
	running  map[simAttemptKey]*simJob
	next     api.RequestID
	pending  map[simRequest]simCallerAttempt
	// Counts by the second of a caller's first attempt: requests offered, answered within the
	// target of the first attempt or of the retry, and refused on the first attempt.
	offered, inTime, inTimeOnRetry, refusedFirst map[int]int
}

type simRequest struct {
	node int
	id   api.RequestID
}

// simCallerAttempt holds when a caller sent its first attempt and when it sent this one.
type simCallerAttempt struct{ first, sent time.Duration }

type simAttemptKey struct {
	node    int
	attempt AttemptID
}

type simJob struct {
	key     simAttemptKey
	send    Send
	started bool
	done    bool
}

type simReplica struct {
	busy  int
	queue []*simJob
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *simEvents) Push(x any) { *h = append(*h, x.(simEvent)) }

// Pop implements heap.Interface.
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	simShards       = 10
	simSlots        = 2
	simQueueLength  = 12
	simServiceTime  = 5 * time.Millisecond
	simNetworkDelay = 500 * time.Microsecond
	simTarget       = 80 * time.Millisecond
	simCapacity     = simSlots * float64(time.Second) / float64(simServiceTime) // requests per second
)

func newOverloadSim(t *testing.T, nodes int) *overloadSim {
	s := &overloadSim{
		t: t, rng: rand.New(rand.NewPCG(5, 6)), replicas: make(map[api.ReplicaName]*simReplica),
		running: make(map[simAttemptKey]*simJob), pending: make(map[simRequest]simCallerAttempt),
		offered: make(map[int]int), inTime: make(map[int]int), inTimeOnRetry: make(map[int]int), refusedFirst: make(map[int]int),
	}
	for n := range nodes {
		h := newHarness(t, func(c *Settings) { c.Seed = uint64(n) })
		h.step(Members{Nodes: nodes})
		h.table(1, simShards)
		h.replicas(simShards, 1)
		s.nodes = append(s.nodes, h)
	}
	for i := range simShards {
		s.replicas[replicaOf(i, 0)] = &simReplica{}
	}
	return s
}

func (s *overloadSim) at(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: d, seq: s.seq, run: run})
}

// run offers load(second), as a multiple of the capacity, for some seconds.
func (s *overloadSim) run(seconds int, load func(second int) float64) {
	var arrive func()
	arrive = func() {
		second := int(s.now / time.Second)
		if second >= seconds {
			return
		}
		s.offered[second]++
		s.sendRequest(s.now, 1)
		gap := s.rng.ExpFloat64() / (load(second) * simCapacity)
		s.at(s.now+time.Duration(gap*float64(time.Second)), arrive)
	}
	s.at(0, arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.fireTimers(e.at)
		s.now = e.at
		e.run()
	}
}

// fireTimers fires the timers of all nodes that are due by the given time.
func (s *overloadSim) fireTimers(until time.Duration) {
	for n, h := range s.nodes {
		for {
			wake := h.e.NextTick()
			if wake.IsZero() || wake.After(start.Add(until)) {
				break
			}
			if wake.After(h.now) {
				h.now = wake
			}
			s.now = max(s.now, h.now.Sub(start))
			h.step(Timer{})
			s.collect(n)
		}
	}
}

func (s *overloadSim) step(n int, ev Event) {
	h := s.nodes[n]
	if at := start.Add(s.now); at.After(h.now) {
		h.now = at
	}
	h.step(ev)
	s.collect(n)
}

// sendRequest sends a request to a random node. first is the time of the caller's first
// attempt, and retries is the number of times that the caller retries after a refusal.
func (s *overloadSim) sendRequest(first time.Duration, retries int) {
	n := s.rng.IntN(len(s.nodes))
	s.next++
	id := s.next
	s.pending[simRequest{n, id}] = simCallerAttempt{first, s.now}
	s.step(n, Arrived{
		Request: id, CallerTimeout: 800 * time.Millisecond,
		Message: &Message{Host: "h", Path: "/all/x", CallerRequest: fmt.Sprint(id), Fingerprint: api.Fingerprint(id)},
	})
	if a, ok := s.nodes[n].answers[id]; ok && a.Outcome == api.NotRun && retries > 0 {
		s.refusedFirst[int(first/time.Second)]++
		s.at(s.now+a.RetryAfter, func() { s.sendRequest(first, retries-1) })
	}
}

// collect carries out the cancellations, sends and answers of a node.
func (s *overloadSim) collect(n int) {
	h := s.nodes[n]
	for _, c := range h.cancels {
		s.cancel(simAttemptKey{n, c})
	}
	h.cancels = nil
	for _, send := range h.takeSends() {
		j := &simJob{key: simAttemptKey{n, send.Attempt}, send: send}
		s.running[j.key] = j
		s.at(s.now+simNetworkDelay, func() { s.reachReplica(j) })
	}
	for id, a := range h.answers {
		key := simRequest{n, id}
		attempt, ok := s.pending[key]
		if !ok {
			continue
		}
		delete(s.pending, key)
		if a.Outcome != api.Answered || s.now-attempt.sent > simTarget {
			continue
		}
		if attempt.sent == attempt.first {
			s.inTime[int(attempt.first/time.Second)]++
		} else {
			s.inTimeOnRetry[int(attempt.first/time.Second)]++
		}
	}
}

func (s *overloadSim) cancel(k simAttemptKey) {
	j := s.running[k]
	if j == nil || j.done {
		return
	}
	j.done = true
	delete(s.running, k)
	if j.started {
		s.release(s.replicas[j.send.Replica])
	}
}

func (s *overloadSim) reachReplica(j *simJob) {
	r := s.replicas[j.send.Replica]
	switch {
	case j.done:
	case r.busy < simSlots:
		s.serve(r, j)
	case len(r.queue) < simQueueLength:
		r.queue = append(r.queue, j)
	default:
		s.reply(j, Reply{Kind: ReplyRefused})
	}
}

func (s *overloadSim) serve(r *simReplica, j *simJob) {
	r.busy++
	j.started = true
	took := time.Duration((0.5 + s.rng.Float64()) * float64(simServiceTime))
	s.at(s.now+took, func() {
		if j.done {
			return
		}
		s.reply(j, Reply{Kind: ReplyOK, Proof: "p"})
		s.release(r)
	})
}

func (s *overloadSim) release(r *simReplica) {
	r.busy--
	for len(r.queue) > 0 && r.busy < simSlots {
		j := r.queue[0]
		r.queue = r.queue[1:]
		if !j.done {
			s.serve(r, j)
		}
	}
}

func (s *overloadSim) reply(j *simJob, reply Reply) {
	j.done = true
	delete(s.running, j.key)
	s.at(s.now+simNetworkDelay, func() { s.step(j.key.node, Replied{Attempt: j.key.attempt, Reply: reply}) })
}

// Guards against a tier that answers almost no request in time when the load exceeds the
// capacity of the remaining replicas, that does not recover as soon as the overload ends, or
// that refuses requests without need.
func TestOverloadIsRefusedEarly(t *testing.T) {
	s := newOverloadSim(t, 8)
	s.run(14, func(second int) float64 {
		switch {
		case second < 3:
			return 0.5
		case second < 9:
			return 1.4
		}
		return 0.5
	})
	sum := func(from, to int) (offered, inTime, refused int) {
		for i := from; i < to; i++ {
			offered += s.offered[i]
			inTime += s.inTime[i] + s.inTimeOnRetry[i]
			refused += s.refusedFirst[i]
		}
		return offered, inTime, refused
	}
	offered, inTime, refused := sum(0, 3)
	t.Logf("before: %d offered, %d in time, %d refused", offered, inTime, refused)
	if refused > 0 || float64(inTime) < 0.99*float64(offered) {
		t.Error("requests are refused or late at half of the capacity")
	}
	offered, inTime, refused = sum(4, 9)
	share := float64(inTime) / (5 * simCapacity)
	t.Logf("overload: %d offered, %d in time (%.2f of the capacity), %d refused", offered, inTime, share, refused)
	if share < 0.7 {
		t.Errorf("only %.2f of the capacity is served in time", share)
	}
	offered, inTime, refused = sum(10, 14)
	t.Logf("after: %d offered, %d in time, %d refused", offered, inTime, refused)
	if float64(inTime) < 0.98*float64(offered) {
		t.Error("requests are still late or refused after the load has dropped")
	}
}

// Guards against refusals under light load when the work itself takes most of the time to the
// target.
func TestLongWorkIsNoOverload(t *testing.T) {
	h := ready(t, 4)
	for range 300 {
		id := h.request("/all/x")
		if a, ok := h.answers[id]; ok {
			t.Fatalf("refused: %+v", a)
		}
		sends := h.takeSends()
		h.advance(60 * time.Millisecond)
		for _, s := range append(sends, h.takeSends()...) {
			h.ok(s, "aa")
		}
		h.advance(40 * time.Millisecond)
		h.takeSends()
	}
}
