package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/pace"
)

// These tests compare the pace of a replica that starts or recovers with a fixed ramp. The model
// has a few replicas with slots and a queue each, and nodes that choose among them.

const (
	modelSlots = 2
	// modelRate is the number of requests per second from all nodes: about half of what the
	// three replicas can take.
	modelRate    = 150.0
	modelWork    = 20 * time.Millisecond
	modelGoal    = 80 * time.Millisecond
	modelTimeout = 400 * time.Millisecond
	// returnAt is when the replicas of a case start. Requests that arrive from then on until
	// modelEnd are measured.
	returnAt = 30 * time.Second
	modelEnd = 48 * time.Second
	// fullShare is the fraction of the usual share from which a replica counts as fully used.
	fullShare  = 0.8
	modelSeeds = 12
)

// fixedRamp is a share that grows with time only, from 0.1 in 10 s.
var fixedRamp = pace.Settings{Duration: 10 * time.Second, InitialShare: 0.1, Increase: 1, Decrease: 1}

// startCase is a way in which replicas start. slow returns how many times as slow as usual a
// replica is at a time after its start; 0 if it fails all requests.
type startCase struct {
	name      string
	replicas  int
	returning int
	slow      func(since time.Duration) float64
}

func slowFor(factor float64, d time.Duration) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if since < d {
			return factor
		}
		return 1
	}
}

var startCases = []startCase{
	{"fast", 3, 1, slowFor(1, 0)},
	{"1.6 times for 3 s", 3, 1, slowFor(1.6, 3*time.Second)},
	{"5 times for 10 s", 3, 1, slowFor(5, 10*time.Second)},
	{"flaps", 3, 1, func(since time.Duration) float64 {
		if since%(2*time.Second) < time.Second {
			return 1
		}
		return 0
	}},
	{"data centre returns", 6, 3, slowFor(1.6, 3*time.Second)},
}

type modelServer struct {
	// free holds the times at which the slots become free.
	free [modelSlots]time.Time
}

type modelResult struct {
	goodput float64
	// p99 holds the 0.99 quantile of the latency in milliseconds with each seed.
	p99 []float64
	// fullTime is how long after the start the replicas first get fullShare of their usual
	// share for a second.
	fullTime time.Duration
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// difference returns the mean of b-a over pairs of values, and its standard error.
func difference(a, b []float64) (average, standardError float64) {
	d := make([]float64, len(a))
	for i := range a {
		d[i] = b[i] - a[i]
	}
	average = mean(d)
	squares := 0.0
	for _, v := range d {
		squares += (v - average) * (v - average)
	}
	return average, math.Sqrt(squares / float64(len(d)-1) / float64(len(d)))
}

// pendingAnswer is an attempt whose outcome the node learns at a time.
type pendingAnswer struct {
	at      time.Time
	node    int
	replica api.ReplicaName
	failed  bool
	latency time.Duration
}

// runModel runs one case with several seeds.
func runModel(c startCase, nodes int, settings pace.Settings) modelResult {
	var result modelResult
	good, requests := 0, 0
	const bins = int((modelEnd - returnAt) / (500 * time.Millisecond))
	var toReturning, all [bins]float64
	for seed := range uint64(modelSeeds) {
		var latencies []time.Duration
		rng := rand.New(rand.NewPCG(seed, 1))
		work := rand.New(rand.NewPCG(seed, 2))
		servers := make(map[api.ReplicaName]*modelServer)
		candidates := names(c.replicas)
		var balancers []*Replicas
		for i := range nodes {
			r := New(rand.New(rand.NewPCG(seed, uint64(10+i))), "")
			r.rampSettings = settings
			for _, name := range candidates[c.returning:] {
				r.Set(start, name, Spec{Address: string(name), Slots: modelSlots})
			}
			balancers = append(balancers, r)
		}
		for _, name := range candidates {
			servers[name] = &modelServer{}
		}
		var pending []pendingAnswer
		returned := false
		for now := start; now.Sub(start) < modelEnd; {
			now = now.Add(time.Duration(rng.ExpFloat64() / modelRate * float64(time.Second)))
			since := now.Sub(start) - returnAt
			if since >= 0 && !returned {
				returned = true
				for _, r := range balancers {
					for _, name := range candidates[:c.returning] {
						r.Set(now, name, Spec{Address: string(name), Slots: modelSlots, ColdFor: settings.Duration})
					}
				}
			}
			pending = deliver(balancers, pending, now)
			node := rng.IntN(nodes)
			took := float64(modelWork) * (0.5 + work.ExpFloat64()/2)
			latency, tried := time.Duration(0), []api.ReplicaName(nil)
			for latency < modelTimeout {
				name, ok := balancers[node].Pick(now, candidates, tried)
				if !ok {
					latency = modelTimeout
					break
				}
				balancers[node].Sent(now, name)
				tried = append(tried, name)
				i := slices.Index(candidates, name)
				factor := 1.0
				if i < c.returning {
					factor = c.slow(since)
				}
				if b := int(since / (500 * time.Millisecond)); since >= 0 && b < bins {
					all[b]++
					if i < c.returning {
						toReturning[b]++
					}
				}
				if factor == 0 {
					latency += 2 * time.Millisecond
					pending = append(pending, pendingAnswer{at: now.Add(latency), node: node, replica: name, failed: true})
					continue
				}
				own := servers[name].run(now.Add(latency), time.Duration(took*factor))
				pending = append(pending, pendingAnswer{at: now.Add(latency + own), node: node, replica: name, latency: own})
				latency += own
				break
			}
			if since >= 0 {
				requests++
				latencies = append(latencies, latency)
				if latency <= modelGoal {
					good++
				}
			}
		}
		slices.Sort(latencies)
		result.p99 = append(result.p99, milliseconds(latencies[len(latencies)*99/100]))
	}
	result.goodput, result.fullTime = float64(good)/float64(requests), modelEnd-returnAt
	usual := float64(c.returning) / float64(c.replicas)
	for b := range bins - 1 {
		if (toReturning[b]+toReturning[b+1])/(all[b]+all[b+1]) >= fullShare*usual {
			result.fullTime = time.Duration(b) * 500 * time.Millisecond
			break
		}
	}
	return result
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// run returns how long a request takes on a server that runs modelSlots at a time.
func (s *modelServer) run(now time.Time, work time.Duration) time.Duration {
	first := 0
	for i := range s.free {
		if s.free[i].Before(s.free[first]) {
			first = i
		}
	}
	begin := now
	if s.free[first].After(now) {
		begin = s.free[first]
	}
	s.free[first] = begin.Add(work)
	return s.free[first].Sub(now)
}

// deliver reports the outcomes that are due and returns the others.
func deliver(balancers []*Replicas, pending []pendingAnswer, now time.Time) []pendingAnswer {
	slices.SortStableFunc(pending, func(a, b pendingAnswer) int { return a.at.Compare(b.at) })
	i := 0
	for ; i < len(pending) && !pending[i].at.After(now); i++ {
		p := pending[i]
		if p.failed {
			balancers[p.node].Lost(p.at, p.replica)
			continue
		}
		balancers[p.node].Done(p.at, p.replica, api.TargetOK, p.latency, api.TargetLoad{})
	}
	return slices.Clone(pending[i:])
}

// noise is the number of standard errors, over the seeds, by which the mean of the 0.99 quantile
// may be above that of the fixed ramp.
const noise = 2

// comparePaces runs a case with a fixed ramp and with the pace that follows the answers.
func comparePaces(t *testing.T, c startCase, nodes int) (fixed, adaptive modelResult) {
	fixed, adaptive = runModel(c, nodes, fixedRamp), runModel(c, nodes, pace.Default())
	worse, standardError := difference(fixed.p99, adaptive.p99)
	t.Logf("| %s | %d | %.4f | %.4f | %.1f | %.1f | %+.1f ± %.1f | %.1f | %.1f |", c.name, nodes, fixed.goodput, adaptive.goodput,
		mean(fixed.p99), mean(adaptive.p99), worse, standardError, fixed.fullTime.Seconds(), adaptive.fullTime.Seconds())
	if worse > noise*standardError {
		t.Errorf("p99 is %.1f ms worse than with the fixed ramp, standard error %.1f ms", worse, standardError)
	}
	return fixed, adaptive
}

// Guards against a pace of started and recovered replicas that makes more requests late than a
// fixed ramp does.
func TestPaceOfStartedReplicas(t *testing.T) {
	for _, c := range startCases {
		for _, nodes := range []int{6, 71, 300} {
			t.Run(fmt.Sprintf("%s, %d nodes", c.name, nodes), func(t *testing.T) { comparePaces(t, c, nodes) })
		}
	}
}

func checkFastStarter(t *testing.T, nodes int) {
	t.Helper()
	if fixed, adaptive := comparePaces(t, startCases[0], nodes); adaptive.fullTime >= fixed.fullTime {
		t.Errorf("%d nodes: full use after %v, with the fixed ramp after %v", nodes, adaptive.fullTime, fixed.fullTime)
	}
}

// Guards against a fast replica that is left idle for as long as with a fixed ramp.
func TestFastStarterIsSoonFullyUsed(t *testing.T) {
	checkFastStarter(t, 6)
	checkFastStarter(t, 71)
}

// Guards against the same where each node sends the replica a request every 6 s.
func TestFastStarterIsSoonFullyUsedBy300Nodes(t *testing.T) { checkFastStarter(t, 300) }
