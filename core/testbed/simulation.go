// Package testbed runs several nodes in one process as a deterministic simulation.
// It exchanges event.Event and event.Action with the nodes, in virtual time, and
// has fakes of everything around them: targets, the store, peer links, the VM list,
// callers and operators. The same seed and the same faults give the same run. A
// Trace records what callers, operators, targets and the store saw, and Check
// returns the promises that it breaks.
package testbed

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// Start is the virtual time at which every run begins.
var Start = time.UnixMilli(1_800_000_000_000).UTC()

const (
	// minHopDelay is the shortest one-way delay between two processes. A random
	// delay below hopSpread is added to it.
	minHopDelay = 400 * time.Microsecond
	hopSpread   = 300 * time.Microsecond
	// openTimeout is how long a driver waits for a connection to open.
	openTimeout = time.Second
	// balancerLag is how long the load balancer takes to notice that a host is ready.
	balancerLag = 500 * time.Millisecond
	// maxImmediateTimers is the number of consecutive timers without delay above
	// which a node is considered to be in a busy loop.
	maxImmediateTimers = 200
)

// Simulation is the state of one run: the virtual clock, the event queue, the nodes
// and the fakes around them.
type Simulation struct {
	Trace   Trace
	Hosts   []*Host
	Targets []*Target
	Store   *Store
	// StepCount is the number of executed events.
	StepCount int
	// Hashing makes Hash include each action. It is slow.
	Hashing bool
	// Show, if set, is called with a line for each event and action.
	Show func(line string)

	now             time.Time
	rng             *rand.Rand
	queue           queue
	seq             uint64
	hash            *xxhash.Digest
	bootCount       uint64
	pickCount       int // picks of the load balancer so far; it picks hosts in turn
	crashContents   map[string]bool
	uniqueCount     int
	balancerLagging bool // the load balancer still sends to hosts that are down
}

// item is a scheduled event.
type item struct {
	at  time.Time
	seq uint64
	fn  func()
}

// queue is a heap of scheduled events, ordered by time and then by the order of
// scheduling.
type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(item)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	it := (*q)[last]
	(*q)[last] = item{}
	*q = (*q)[:last]
	return it
}

// New returns a simulation with the given number of hosts, which it boots, and with
// the targets of the document.
func New(seed uint64, hosts int, doc *config.Document) *Simulation {
	sim := &Simulation{
		now: Start, rng: rand.New(rand.NewPCG(seed, 1)), hash: xxhash.New(),
		crashContents: make(map[string]bool),
	}
	sim.Store = newStore(sim, doc)
	for i, name := range doc.ReplicaNames() {
		sim.Targets = append(sim.Targets, newTarget(sim, name, doc.Replicas[name], i))
	}
	sim.configureTargets(doc)
	for i := range hosts {
		h := &Host{sim: sim, leavingVMs: make(map[api.VMName]bool), index: i, name: api.EntryName(fmt.Sprintf("e%d", i)), address: fmt.Sprintf("10.0.0.%d:7000", i+1)}
		sim.Hosts = append(sim.Hosts, h)
	}
	for _, h := range sim.Hosts {
		h.Boot()
	}
	return sim
}

// Now returns the virtual time.
func (sim *Simulation) Now() time.Time { return sim.now }

// Hash returns a hash of the actions of the run so far, if Hashing is set.
func (sim *Simulation) Hash() uint64 { return sim.hash.Sum64() }

// After schedules f after a delay.
func (sim *Simulation) After(d time.Duration, f func()) {
	sim.seq++
	heap.Push(&sim.queue, item{at: sim.now.Add(d), seq: sim.seq, fn: f})
}

// Step executes the next event.
func (sim *Simulation) Step() {
	it := heap.Pop(&sim.queue).(item)
	sim.now = it.at
	sim.StepCount++
	it.fn()
}

// RunUntil executes the events up to and including a time and sets the clock to it.
func (sim *Simulation) RunUntil(t time.Time) {
	for len(sim.queue) > 0 && !sim.queue[0].at.After(t) {
		sim.Step()
	}
	sim.now = t
}

// hopDelay returns a random one-way delay between two processes.
func (sim *Simulation) hopDelay() time.Duration {
	return minHopDelay + time.Duration(sim.rng.Int64N(int64(hopSpread)))
}

// showLine passes an event or action of a host to Show.
func (sim *Simulation) showLine(h *Host, what string, x any) {
	if sim.Show == nil {
		return
	}
	text, _ := json.Marshal(x)
	sim.Show(fmt.Sprintf("%9.3f %s %s %s", sim.now.Sub(Start).Seconds()*1000, h.name, what, strings.TrimPrefix(fmt.Sprintf("%T ", x), "event.")+string(text)))
}

// recordAction shows an action of a host and adds it to the hash.
func (sim *Simulation) recordAction(h *Host, a event.Action) {
	sim.showLine(h, "->", a)
	if sim.Hashing {
		text, err := json.Marshal(a) // follows pointers, unlike %v
		if err != nil {
			panic("cannot encode an action: " + err.Error())
		}
		_, _ = fmt.Fprintf(sim.hash, "%d %d %T %s\n", sim.now.UnixNano(), h.index, a, text)
	}
}
