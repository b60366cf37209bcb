package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/routing"
)

// localityLoad describes nodes, callers and replicas in several data centres. The defaults are
// those of deployment B in docs/hard-load.md.
type localityLoad struct {
	nodes, dataCentres, shards int
	// replicas is the number of replicas of each shard.
	replicas     int
	dataCentreOf func(shard, replica int) int
	seconds      int
	// searches and checks are the requests per second of the two sharded routes.
	searches, checks float64
	// callerDataCentre returns where the next caller is.
	callerDataCentre func(now time.Duration, rng *rand.Rand) int
	// slowdown multiplies the work of a replica.
	slowdown func(now time.Duration, shard, replica int) float64
	seed     uint64
}

func plateArchive(seed uint64) localityLoad {
	return localityLoad{
		nodes: 35, dataCentres: 3, shards: 90, replicas: 3, dataCentreOf: func(_, replica int) int { return replica }, seconds: 30,
		searches: 31.7, checks: 10.6, seed: seed,
		callerDataCentre: func(_ time.Duration, rng *rand.Rand) int { return rng.IntN(3) },
		slowdown:         func(time.Duration, int, int) float64 { return 1 },
	}
}

const (
	localitySlots       = 2
	localityAccepted    = 66
	localityPause       = 200 * time.Millisecond
	localityPausePeriod = 4500 * time.Millisecond
	localityLocalDelay  = 200 * time.Microsecond
	localityRemoteDelay = 900 * time.Microsecond
	searchWork          = 20 * time.Millisecond
	checkWork           = 6700 * time.Microsecond
	searchTarget        = 200 * time.Millisecond
	checkTarget         = 60 * time.Millisecond
	// localityWarmUp is left out of the counts: the nodes know no latencies yet.
	localityWarmUp = 5 * time.Second
)

// localitySim simulates the engines of all nodes, the calls between them, and replicas with two
// slots that pause regularly.
type localitySim struct {
	t        *testing.T
	load     localityLoad
	rng      *rand.Rand
	now      time.Duration
	events   simEvents
	seq      int
	engines  []*Engine
	replicas map[api.ReplicaName]*localityReplica
	next     uint64
	ranges   map[simRequest]localityCall
	calls    map[string]simRequest
	callers  map[simRequest]*localityCaller
	done     map[simAttemptKey]bool
	result   localityResult
}

type localityCall struct {
	from int
	call CallID
}

type localityCaller struct {
	path string
	sent time.Duration
}

// localityReplica is a replica with its speed, the phase of its pauses and the times at which its
// slots are free.
type localityReplica struct {
	shard, index, dataCentre int
	speed                    float64
	phase                    time.Duration
	free                     [localitySlots]time.Duration
}

// localityResult holds what the load measured after the warm-up.
type localityResult struct {
	// attempts counts attempts by purpose and by whether they left the node's data centre.
	attempts map[string]int
	// causes classifies first attempts at remote replicas by the state of the local replica.
	causes map[string]int
	// remoteIn and totalIn count the attempts in each second, for the course over time.
	remoteIn, totalIn map[int]int
	latencies         map[string][]time.Duration
	utility           map[string]float64
	coverage          map[string]float64
	requests          map[string]int
}

func localityDC(i int) api.DataCentre { return api.DataCentre(fmt.Sprintf("dc-%c", 'a'+i)) }

func newLocalitySim(t *testing.T, load localityLoad) *localitySim {
	s := &localitySim{
		t: t, load: load, rng: rand.New(rand.NewPCG(load.seed, 11)), replicas: map[api.ReplicaName]*localityReplica{},
		ranges: map[simRequest]localityCall{}, calls: map[string]simRequest{}, callers: map[simRequest]*localityCaller{}, done: map[simAttemptKey]bool{},
		result: localityResult{
			attempts: map[string]int{}, causes: map[string]int{}, remoteIn: map[int]int{}, totalIn: map[int]int{}, latencies: map[string][]time.Duration{},
			utility: map[string]float64{}, coverage: map[string]float64{}, requests: map[string]int{},
		},
	}
	var peers []Peer
	for n := range load.nodes {
		peers = append(peers, Peer{Node: nodeName(n), DataCentre: localityDC(n % load.dataCentres), Address: nodeName(n) + ":1"})
	}
	speeds := []float64{0.8, 1, 1.3}
	for shard := range load.shards {
		s.rng.Shuffle(3, func(i, j int) { speeds[i], speeds[j] = speeds[j], speeds[i] })
		for i := range load.replicas {
			s.replicas[replicaOf(shard, i)] = &localityReplica{
				shard: shard, index: i, dataCentre: load.dataCentreOf(shard, i), speed: speeds[i%3],
				phase: time.Duration(s.rng.Int64N(int64(localityPausePeriod))),
			}
		}
	}
	for n := range load.nodes {
		e := New(Settings{
			Node: nodeName(n), DataCentre: peers[n].DataCentre, Seed: load.seed*1000 + uint64(n), BudgetWindow: 10 * time.Second,
			BudgetShare: 0.2, BudgetConstant: 40, FirstStart: true, LapseGrace: 2 * time.Second,
		})
		s.engines = append(s.engines, e)
		s.step(n, TableRead{Table: s.table()})
		for shard := range load.shards {
			for i := range load.replicas {
				reg := registration(shard, i)
				reg.DataCentre = localityDC(load.dataCentreOf(shard, i))
				s.step(n, ReplicaRegistered{Registration: reg})
			}
		}
		s.step(n, Members{Nodes: load.nodes, Peers: peers})
	}
	return s
}

func (s *localitySim) table() *routing.Table {
	var names []api.ServiceName
	var services []routing.Service
	for i := range s.load.shards {
		names = append(names, shard(i))
		services = append(services, routing.Service{Name: shard(i), MaxConnections: localityAccepted})
	}
	merge := routing.Merge{RecordBytes: 16, Records: 10}
	return routing.NewTable(1, []routing.Route{
		{
			Name: "search", Host: "h", Prefix: "/search/", Shards: names, MinCoverage: 0.95, Idempotent: true, Priority: 1,
			Timeout: 800 * time.Millisecond, TargetLatency: searchTarget, MaxAttempts: 2, Merge: merge,
		},
		{
			Name: "check", Host: "h", Prefix: "/check/", Shards: names, MinCoverage: 0.85, Idempotent: true,
			Timeout: 300 * time.Millisecond, TargetLatency: checkTarget, MaxAttempts: 2, Merge: merge,
		},
	}, services, routing.Limits{})
}

func (s *localitySim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + d, seq: s.seq, run: run})
}

func (s *localitySim) step(n int, ev Event) {
	for _, a := range slices.Clone(s.engines[n].Step(start.Add(s.now), ev)) {
		s.execute(n, a)
	}
}

func (s *localitySim) delay(from, to int) time.Duration {
	if from == to {
		return localityLocalDelay
	}
	return localityRemoteDelay
}

func (s *localitySim) execute(n int, a Action) {
	switch a := a.(type) {
	case Send:
		s.send(n, a)
	case Cancel:
		s.done[simAttemptKey{n, a.Attempt}] = true
	case CallPeer:
		s.call(n, a)
	case AllowExtraAttempts:
		if c, ok := s.calls[callKey(n, a.Call)]; ok {
			s.after(s.nodeDelay(n, c.node), func() { s.step(c.node, ExtraAttemptsAllowed{Request: c.id}) })
		}
	case CancelCall:
		if c, ok := s.calls[callKey(n, a.Call)]; ok {
			delete(s.calls, callKey(n, a.Call))
			s.after(s.nodeDelay(n, c.node), func() { s.step(c.node, CallerGone{Request: c.id}) })
		}
	case WithdrawCall:
		s.after(0, func() { s.step(n, CallUnanswered{Call: a.Call}) })
	case Answer:
		s.answer(n, a)
	}
}

func (s *localitySim) nodeDelay(a, b int) time.Duration {
	return s.delay(a%s.load.dataCentres, b%s.load.dataCentres)
}

func (s *localitySim) call(n int, a CallPeer) {
	var to int
	if _, err := fmt.Sscanf(a.Node, "n%d", &to); err != nil {
		s.t.Fatal(err)
	}
	s.next++
	id := api.RequestID(s.next)
	s.ranges[simRequest{to, id}] = localityCall{n, a.Call}
	s.calls[callKey(n, a.Call)] = simRequest{to, id}
	d := s.nodeDelay(n, to)
	s.after(d, func() {
		s.step(to, Arrived{Request: id, Message: a.Message, CallerTimeout: a.Remaining, Target: a.Target, Subset: &a.Subset})
	})
	s.after(2*d, func() { s.step(n, CallAccepted{Call: a.Call}) })
}

func (s *localitySim) answer(n int, a Answer) {
	key := simRequest{n, a.Request}
	if c, ok := s.ranges[key]; ok {
		ev := CallReplied{Call: c.call, Last: !a.More, Reason: a.Reason}
		if a.Merged != nil {
			ev.Merged = *a.Merged
		}
		if !a.More {
			delete(s.ranges, key)
			delete(s.calls, callKey(c.from, c.call))
		}
		s.after(s.nodeDelay(n, c.from), func() { s.step(c.from, ev) })
		return
	}
	c := s.callers[key]
	delete(s.callers, key)
	if c == nil || c.sent < localityWarmUp {
		return
	}
	r := &s.result
	r.requests[c.path]++
	covered := 0.0
	if a.Merged != nil {
		covered = float64(s.load.shards-a.Merged.Missing) / float64(s.load.shards)
	}
	latency := s.now - c.sent
	utility := covered * covered
	if target := map[string]time.Duration{"/search/": searchTarget, "/check/": checkTarget}[c.path]; latency > target {
		utility /= 20
	}
	r.coverage[c.path] += covered
	r.utility[c.path] += utility
	r.latencies[c.path] = append(r.latencies[c.path], latency)
}

// record counts an attempt by its purpose and the data centres of node and replica.
func (s *localitySim) record(n int, a Send) {
	e := s.engines[n]
	at := e.attempts[a.Attempt]
	if s.now < localityWarmUp || at == nil {
		return
	}
	p := &at.request.parts[at.part]
	why := "first"
	switch {
	case len(p.inFlight) > 1:
		why = "hedge"
	case len(p.tried) > 1:
		why = "retry"
	}
	second := int(s.now / time.Second)
	s.result.totalIn[second]++
	if s.replicas[a.Replica].dataCentre == n%s.load.dataCentres {
		s.result.attempts[why+"_local"]++
		return
	}
	s.result.remoteIn[second]++
	s.result.attempts[why+"_remote"]++
	if why == "first" {
		s.result.causes[s.cause(e, at.service, a.Replica, n%s.load.dataCentres)]++
	}
}

// cause says why a first attempt went to a remote replica.
func (s *localitySim) cause(e *Engine, service api.ServiceName, remote api.ReplicaName, dataCentre int) string {
	now := start.Add(s.now)
	for _, name := range e.registry.byService[service] {
		switch {
		case s.replicas[name].dataCentre != dataCentre:
		case e.overdueReplicas[name]:
			return "local overdue"
		case e.connections(name).used >= e.quota(service, localitySlots):
			return "local full"
		case e.replicas.ExpectedLatency(now, remote) < 5*time.Millisecond:
			return "remote near prior"
		case e.replicas.InFlight(name) >= localitySlots:
			return "local slots busy"
		case e.replicas.InFlight(name) > 0:
			return "local slot free, one busy"
		case e.replicas.Suspect(name):
			return "local suspect"
		case e.stalledReplicas[name]:
			return "local stalled"
		default:
			return "local idle"
		}
	}
	return "no local replica"
}

func (s *localitySim) send(n int, a Send) {
	s.record(n, a)
	r := s.replicas[a.Replica]
	key := simAttemptKey{n, a.Attempt}
	d := s.delay(n%s.load.dataCentres, r.dataCentre)
	work := searchWork
	if a.Message.Path == "/check/" {
		work = checkWork
	}
	s.after(d, func() {
		if s.done[key] {
			return
		}
		slot := 0
		if r.free[1] < r.free[0] {
			slot = 1
		}
		scale := (0.5 + s.rng.Float64()) * r.speed * s.load.slowdown(s.now, r.shard, r.index)
		end := r.finish(max(s.now, r.free[slot]), time.Duration(scale*float64(work)))
		r.free[slot] = end
		s.after(end-s.now+d, func() {
			if !s.done[key] {
				s.step(n, Replied{Attempt: a.Attempt, Reply: Reply{Kind: ReplyOK, Proof: "p"}})
			}
			delete(s.done, key)
		})
	})
}

// finish returns when work that starts at a time ends, given the pauses of the replica.
func (r *localityReplica) finish(from, work time.Duration) time.Duration {
	for {
		at := (from + r.phase) % localityPausePeriod
		if at < localityPause {
			from += localityPause - at
			continue
		}
		if left := localityPausePeriod - at; work > left {
			work -= left
			from += left
			continue
		}
		return from + work
	}
}

func (s *localitySim) arrive(path string, rate float64) {
	if s.now >= time.Duration(s.load.seconds)*time.Second {
		return
	}
	dc := s.load.callerDataCentre(s.now, s.rng)
	members := (s.load.nodes - dc + s.load.dataCentres - 1) / s.load.dataCentres
	n := dc + s.load.dataCentres*s.rng.IntN(members)
	s.next++
	id := api.RequestID(s.next)
	s.callers[simRequest{n, id}] = &localityCaller{path: path, sent: s.now}
	s.step(n, Arrived{
		Request: id, CallerTimeout: 800 * time.Millisecond, Transit: 2 * time.Millisecond,
		Message: &Message{Host: "h", Path: path, CallerRequest: fmt.Sprint("id-", s.next), Fingerprint: api.Fingerprint(s.next)},
	})
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(path, rate) })
}

func (s *localitySim) run() localityResult {
	s.arrive("/search/", s.load.searches)
	s.arrive("/check/", s.load.checks)
	end := time.Duration(s.load.seconds+1) * time.Second
	for s.now < end {
		at, timer := end, -1
		if len(s.events) > 0 {
			at = s.events[0].at
		}
		for i, e := range s.engines {
			if wake := e.NextTick(); !wake.IsZero() && wake.Sub(start) < at {
				at, timer = wake.Sub(start), i
			}
		}
		s.now = max(s.now, at)
		switch {
		case timer >= 0:
			s.step(timer, Timer{})
		case len(s.events) > 0:
			heap.Pop(&s.events).(simEvent).run()
		}
	}
	for path := range s.result.latencies {
		slices.Sort(s.result.latencies[path])
	}
	return s.result
}

// quantile returns a quantile of the latencies of a route.
func (r *localityResult) quantile(path string, q float64) time.Duration {
	l := r.latencies[path]
	if len(l) == 0 {
		return 0
	}
	return l[min(int(q*float64(len(l))), len(l)-1)]
}

// remoteShare returns the share of all attempts that left the data centre.
func (r *localityResult) remoteShare() float64 {
	remote := r.attempts["first_remote"] + r.attempts["hedge_remote"] + r.attempts["retry_remote"]
	return float64(remote) / float64(max(remote+r.attempts["first_local"]+r.attempts["hedge_local"]+r.attempts["retry_local"], 1))
}

// remoteShareIn returns the share in the seconds from the first up to the last, excluded.
func (r *localityResult) remoteShareIn(from, to int) float64 {
	remote, total := 0, 0
	for second := from; second < to; second++ {
		remote += r.remoteIn[second]
		total += r.totalIn[second]
	}
	return float64(remote) / float64(max(total, 1))
}

func (r *localityResult) meanCoverage(path string) float64 {
	return r.coverage[path] / float64(max(r.requests[path], 1))
}

func (r *localityResult) meanUtility() float64 {
	sum, n := 0.0, 0
	for path, u := range r.utility {
		sum += u
		n += r.requests[path]
	}
	return sum / float64(max(n, 1))
}

func (r *localityResult) log(t *testing.T, label string) {
	t.Helper()
	t.Logf("%s: remote %.3f, attempts %v, causes %v", label, r.remoteShare(), r.attempts, r.causes)
	for _, path := range []string{"/search/", "/check/"} {
		n := float64(max(r.requests[path], 1))
		t.Logf("%s %s: %d requests, utility %.4f, coverage %.4f, p50 %v p95 %v p99 %v", label, path, r.requests[path],
			r.utility[path]/n, r.coverage[path]/n, r.quantile(path, 0.5), r.quantile(path, 0.95), r.quantile(path, 0.99))
	}
}
