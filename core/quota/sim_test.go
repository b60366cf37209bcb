package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

var start = time.Unix(1_000_000, 0)

// message is a request or a response on its way between two nodes, or a scheduled action.
type message struct {
	at  time.Time
	seq int
	run func()
}

type messageQueue []message

func (q messageQueue) Len() int { return len(q) }
func (q messageQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q messageQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *messageQueue) Push(v any)   { *q = append(*q, v.(message)) }
func (q *messageQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

// simulation runs many nodes with a store that lists them, and records each admission.
type simulation struct {
	now    time.Time
	rng    *rand.Rand
	bounds Bounds
	queue  messageQueue
	seq    int
	nodes  []*simNode
	// listed maps the names in the store's list to when they were added.
	listed map[string]time.Time
	quotas map[string]Quota
	// latency is the time of a message; duplicates and delays are the shares of messages that
	// arrive twice or late.
	latency            func() time.Duration
	duplicates, delays float64
	// admitted holds the admissions of each account, verdicts counts decisions, and messages counts requests and responses between
	// nodes.
	admitted  map[string][]run
	verdicts  map[Verdict]int
	grants    []granted
	messages  int
	latencies []time.Duration
	lastID    api.RequestID
}

// simNode is a node of a simulation.
type simNode struct {
	name  string
	cores float64
	// life counts the processes of the node.
	life int
	// down, frozen and cut describe faults; a frozen node handles its messages later.
	down, cut   bool
	frozenUntil time.Time
	// clock is the difference of the node's clock.
	clock     time.Duration
	ranking   *Ranking
	requester *Requester
	allocator *Allocator
	quotas    map[string]Quota
	arrivals  map[api.RequestID]time.Time
	readAt    time.Time
	neverRead bool
}

func newSimulation(seed uint64, bounds Bounds, nodes int) *simulation {
	s := &simulation{
		now: start, rng: rand.New(rand.NewPCG(seed, 1)), bounds: bounds, listed: make(map[string]time.Time),
		quotas: make(map[string]Quota), admitted: make(map[string][]run), verdicts: make(map[Verdict]int),
	}
	s.latency = func() time.Duration { return time.Duration(1+s.rng.Float64()) * time.Millisecond }
	for range nodes {
		n := s.addNode()
		s.listed[n.name] = start.Add(-time.Hour)
	}
	for _, n := range s.nodes {
		s.boot(n)
	}
	return s
}

func (s *simulation) addNode() *simNode {
	n := &simNode{name: fmt.Sprint("n", len(s.nodes)), cores: []float64{0.8, 0.192, 0.192, 0}[s.rng.IntN(4)]}
	n.clock = time.Duration(s.rng.Int64N(int64(time.Hour)))
	s.nodes = append(s.nodes, n)
	return n
}

// boot starts a process.
func (s *simulation) boot(n *simNode) {
	n.life++
	n.down, n.neverRead, n.readAt = false, true, time.Time{}
	n.ranking = NewRanking(n.name)
	n.requester = NewRequester(n.ranking)
	n.allocator = NewAllocator(s.bounds, n.ranking, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	n.arrivals = make(map[api.RequestID]time.Time)
	n.quotas = nil
	s.readStore(n)
}

// local returns the time of a node's clock.
func (s *simulation) local(n *simNode) time.Time { return s.now.Add(n.clock) }

// readStore lets a node read the list and the configuration, as it does every second while it
// is connected.
func (s *simulation) readStore(n *simNode) {
	if n.down || n.cut || s.now.Before(n.frozenUntil) {
		return
	}
	now := s.local(n)
	if n.neverRead {
		since, known := s.listed[n.name]
		// As membership does: an entry that was written long ago is that of a former process.
		n.allocator.Settle(now, known && s.now.Sub(since) > HoldTime+5*time.Second, false)
		n.neverRead = false
	}
	if _, ok := s.listed[n.name]; !ok {
		s.listed[n.name] = s.now
	}
	var list []Node
	for _, m := range s.nodes {
		if _, ok := s.listed[m.name]; ok {
			list = append(list, Node{Name: m.name, Cores: m.cores})
		}
	}
	n.ranking.SetNodes(now, list)
	n.quotas = make(map[string]Quota, len(s.quotas))
	for account, q := range s.quotas {
		n.quotas[account] = q
	}
	n.allocator.SetQuotas(n.quotas)
	n.allocator.Confirm(now, now)
	n.readAt = s.now
}

func (s *simulation) schedule(after time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, message{at: s.now.Add(after), seq: s.seq, run: run})
}

// advance runs what is due in the given time.
func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		m := heap.Pop(&s.queue).(message)
		s.now = m.at
		m.run()
	}
	s.now = end
}

// arrive lets a request reach a node.
func (s *simulation) arrive(n *simNode, account string, timeout time.Duration) {
	q, ok := n.quotas[account]
	if !ok || n.down || s.now.Before(n.frozenUntil) {
		return
	}
	s.lastID++
	n.arrivals[s.lastID] = s.now
	n.requester.Add(s.local(n), account, q, Waiting{Request: s.lastID, Deadline: s.local(n).Add(timeout)})
	s.settle(n, account)
}

// settle carries out what the requester of a node decided.
func (s *simulation) settle(n *simNode, account string) {
	for n.requester.Pending() {
		decisions, asks := n.requester.Take()
		for _, d := range decisions {
			s.verdicts[d.Verdict]++
			if d.Verdict == Admitted {
				s.admitted[account] = append(s.admitted[account], run{sent: n.arrivals[d.Request], ran: s.now})
				s.latencies = append(s.latencies, s.now.Sub(n.arrivals[d.Request]))
			}
			delete(n.arrivals, d.Request)
		}
		for _, a := range asks {
			if a.Node == n.name {
				n.requester.Answered(s.local(n), a.ID, s.allocate(n, a.Request))
				continue
			}
			s.send(n, a)
		}
	}
	if next := n.requester.Next(account); !next.IsZero() {
		life := n.life
		s.schedule(max(next.Sub(s.local(n)), 0), func() { s.tick(n, life, account) })
	}
}

func (s *simulation) tick(n *simNode, life int, account string) {
	if n.down || n.life != life {
		return
	}
	if s.now.Before(n.frozenUntil) {
		s.schedule(n.frozenUntil.Sub(s.now), func() { s.tick(n, life, account) })
		return
	}
	n.requester.Tick(s.local(n), account)
	if n.requester.Pending() {
		s.settle(n, account)
	}
}

// transit returns how long a message takes, for each of its copies.
func (s *simulation) transit() []time.Duration {
	times := []time.Duration{s.latency()}
	if s.rng.Float64() < s.delays {
		times[0] += time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	}
	if s.rng.Float64() < s.duplicates {
		times = append(times, times[0]+time.Duration(s.rng.Int64N(int64(3*time.Second))))
	}
	return times
}

// deliver runs a step at a node, later if it is frozen, or not at all if it is down or was
// restarted. It does not run across a cut.
func (s *simulation) deliver(from, to *simNode, life int, run func()) {
	for _, d := range s.transit() {
		var step func()
		step = func() {
			switch {
			case to.down || life != 0 && to.life != life || from.cut != to.cut:
			case s.now.Before(to.frozenUntil):
				s.schedule(to.frozenUntil.Sub(s.now), step)
			default:
				run()
			}
		}
		s.schedule(d, step)
	}
}

func (s *simulation) send(n *simNode, a Ask) {
	i := slices.IndexFunc(s.nodes, func(m *simNode) bool { return m.name == a.Node })
	to, life := s.nodes[i], n.life
	s.messages++
	s.deliver(n, to, 0, func() {
		g := s.allocate(to, a.Request)
		s.messages++
		s.deliver(to, n, life, func() {
			n.requester.Answered(s.local(n), a.ID, g)
			s.settle(n, a.Account)
		})
	})
}

// run is a request that was sent by its caller and run by a replica.
type run struct {
	sent, ran time.Time
}

// granted is a grant of a node.
type granted struct {
	at      time.Time
	account string
	// by names the node, its process and its rights.
	by string
	n  int
}

// allocate lets a node handle a request.
func (s *simulation) allocate(n *simNode, r Request) Grant {
	g := n.allocator.Allocate(s.local(n), r)
	have, _ := n.allocator.rightsFor(s.local(n), r.Account)
	if g.Admitted > 0 {
		s.grants = append(s.grants, granted{s.now, r.Account, fmt.Sprintf("%s.%d rights %d", n.name, n.life, have), g.Admitted})
	}
	return g
}

// grantedBy sums up for an error message who granted how much in a window.
func (s *simulation) grantedBy(account string, from, to time.Time) map[string]int {
	sums := make(map[string]int)
	for _, g := range s.grants {
		if g.account == account && !g.at.Before(from) && !g.at.After(to) {
			sums[g.by] += g.n
		}
	}
	return sums
}

// largestExcess returns by how much the requests that are both sent and run in any sliding
// window exceed the bound, and when; a negative number is the distance from the bound. limit
// names the bound of a window. The requests are in the order in which they were run.
func largestExcess(runs []run, window time.Duration, limit func(from, to time.Time) float64) (worst float64, at time.Time) {
	worst = -1e18
	first := 0
	for i, r := range runs {
		from := r.ran.Add(-window)
		for runs[first].ran.Before(from) {
			first++
		}
		n := 0
		for _, q := range runs[first : i+1] {
			if !q.sent.Before(from) {
				n++
			}
		}
		if e := float64(n) - limit(from, r.ran); e > worst {
			worst, at = e, r.ran
		}
	}
	return worst, at
}
