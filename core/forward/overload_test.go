package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// overloadSim offers sharded requests to several nodes over shards of one
// replica each: the pattern of an outage of the other replicas beside a burst
// of callers who return once after a refusal.
type overloadSim struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	events   simEvents
	seq      int
	nodes    []*harness
	replicas map[api.ReplicaName]*simReplica
	running  map[simKey]*simJob
	next     api.RequestID
	asked    map[simRequest]simAsk
	// Counts per second of the callers' first attempt: offered, answered within
	// the target of the first or of the second attempt, refused at first.
	offered, timely, second, refused map[int]int
}

type simRequest struct {
	node int
	id   api.RequestID
}

// simAsk says when a caller began, and when it sent this attempt.
type simAsk struct{ first, sent time.Duration }

type simKey struct {
	node    int
	attempt AttemptID
}

type simJob struct {
	key     simKey
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
	simShards  = 10
	simSlots   = 2
	simQueue   = 12
	simWork    = 5 * time.Millisecond
	simHop     = 500 * time.Microsecond
	simTarget  = 80 * time.Millisecond
	simCeiling = simSlots * float64(time.Second) / float64(simWork) // requests a second
)

func newOverloadSim(t *testing.T, nodes int) *overloadSim {
	s := &overloadSim{
		t: t, rng: rand.New(rand.NewPCG(5, 6)), replicas: make(map[api.ReplicaName]*simReplica),
		running: make(map[simKey]*simJob), asked: make(map[simRequest]simAsk),
		offered: make(map[int]int), timely: make(map[int]int), second: make(map[int]int), refused: make(map[int]int),
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

// run offers load(t), a multiple of the capacity, for some seconds.
func (s *overloadSim) run(seconds int, load func(second int) float64) {
	var arrive func()
	arrive = func() {
		second := int(s.now / time.Second)
		if second >= seconds {
			return
		}
		s.offered[second]++
		s.ask(s.now, 1)
		gap := s.rng.ExpFloat64() / (load(second) * simCeiling)
		s.at(s.now+time.Duration(gap*float64(time.Second)), arrive)
	}
	s.at(0, arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.tick(e.at)
		s.now = e.at
		e.run()
	}
}

// tick fires the timers of the nodes that are due before a time.
func (s *overloadSim) tick(until time.Duration) {
	for n, h := range s.nodes {
		for {
			wake := h.e.Wake()
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

// ask lets a request arrive at a node; first is when its caller began, and
// returns how often the caller comes back after a refusal.
func (s *overloadSim) ask(first time.Duration, returns int) {
	n := s.rng.IntN(len(s.nodes))
	s.next++
	id := s.next
	s.asked[simRequest{n, id}] = simAsk{first, s.now}
	s.step(n, Arrived{
		Request: id, Patience: 800 * time.Millisecond,
		Message: &Message{Host: "h", Path: "/all/x", CallerRequest: fmt.Sprint(id), Fingerprint: api.Fingerprint(id)},
	})
	if a, ok := s.nodes[n].answers[id]; ok && a.Outcome == api.NotRun && returns > 0 {
		s.refused[int(first/time.Second)]++
		s.at(s.now+a.RetryAfter, func() { s.ask(first, returns-1) })
	}
}

// collect carries out what a node asked for.
func (s *overloadSim) collect(n int) {
	h := s.nodes[n]
	for _, c := range h.cancels {
		s.cancel(simKey{n, c})
	}
	h.cancels = nil
	for _, send := range h.take() {
		j := &simJob{key: simKey{n, send.Attempt}, send: send}
		s.running[j.key] = j
		s.at(s.now+simHop, func() { s.reach(j) })
	}
	for id, a := range h.answers {
		key := simRequest{n, id}
		ask, ok := s.asked[key]
		if !ok {
			continue
		}
		delete(s.asked, key)
		if a.Outcome != api.Answered || s.now-ask.sent > simTarget {
			continue
		}
		if ask.sent == ask.first {
			s.timely[int(ask.first/time.Second)]++
		} else {
			s.second[int(ask.first/time.Second)]++
		}
	}
}

func (s *overloadSim) cancel(k simKey) {
	j := s.running[k]
	if j == nil || j.done {
		return
	}
	j.done = true
	delete(s.running, k)
	if j.started {
		s.free(s.replicas[j.send.Replica])
	}
}

func (s *overloadSim) reach(j *simJob) {
	r := s.replicas[j.send.Replica]
	switch {
	case j.done:
	case r.busy < simSlots:
		s.work(r, j)
	case len(r.queue) < simQueue:
		r.queue = append(r.queue, j)
	default:
		s.reply(j, Reply{Kind: ReplyRefused})
	}
}

func (s *overloadSim) work(r *simReplica, j *simJob) {
	r.busy++
	j.started = true
	took := time.Duration((0.5 + s.rng.Float64()) * float64(simWork))
	s.at(s.now+took, func() {
		if j.done {
			return
		}
		s.reply(j, Reply{Kind: ReplyOK, Proof: "p"})
		s.free(r)
	})
}

func (s *overloadSim) free(r *simReplica) {
	r.busy--
	for len(r.queue) > 0 && r.busy < simSlots {
		j := r.queue[0]
		r.queue = r.queue[1:]
		if !j.done {
			s.work(r, j)
		}
	}
}

func (s *overloadSim) reply(j *simJob, reply Reply) {
	j.done = true
	delete(s.running, j.key)
	s.at(s.now+simHop, func() { s.step(j.key.node, Replied{Attempt: j.key.attempt, Reply: reply}) })
}

// Guards against a tier that serves hardly anybody in time when more is asked
// than the replicas that are left can serve, against one that does not recover
// at once afterwards, and against refusals without need.
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
	line := func(from, to int) (offered, timely, refused int) {
		for i := from; i < to; i++ {
			offered += s.offered[i]
			timely += s.timely[i] + s.second[i]
			refused += s.refused[i]
		}
		return offered, timely, refused
	}
	offered, timely, refused := line(0, 3)
	t.Logf("before: %d offered, %d in time, %d refused", offered, timely, refused)
	if refused > 0 || float64(timely) < 0.99*float64(offered) {
		t.Error("requests are refused or late at half of the capacity")
	}
	offered, timely, refused = line(4, 9)
	share := float64(timely) / (5 * simCeiling)
	t.Logf("overload: %d offered, %d in time (%.2f of the capacity), %d refused", offered, timely, share, refused)
	if share < 0.7 {
		t.Errorf("only %.2f of the capacity is served in time", share)
	}
	offered, timely, refused = line(10, 14)
	t.Logf("after: %d offered, %d in time, %d refused", offered, timely, refused)
	if float64(timely) < 0.98*float64(offered) {
		t.Error("the overload lasts longer than its cause")
	}
}

// Guards against refusals where the work itself takes most of the time to the
// target, however little is asked.
func TestLongWorkIsNoOverload(t *testing.T) {
	h := ready(t, 4)
	for range 300 {
		id := h.request("/all/x")
		if a, ok := h.answers[id]; ok {
			t.Fatalf("refused: %+v", a)
		}
		sends := h.take()
		h.advance(60 * time.Millisecond)
		for _, s := range append(sends, h.take()...) {
			h.ok(s, "aa")
		}
		h.advance(40 * time.Millisecond)
		h.take()
	}
}
