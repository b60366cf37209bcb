// Package testbed drives several nodes in one process through the interface of
// event.Event and event.Action, with virtual time and fakes of everything
// around them: targets, the store, peer links, the VM list, callers and
// operators. The same seed and the same faults give the same run. A Trace
// records what callers, targets and the store saw; Check judges it.
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

// Start is the virtual time at which each run begins.
var Start = time.UnixMilli(1_800_000_000_000).UTC()

const (
	// hop is the shortest one-way delay between two processes; hopSpread is the
	// random addition.
	hop       = 400 * time.Microsecond
	hopSpread = 300 * time.Microsecond
	// openTimeout is how long a driver waits for a connection to open.
	openTimeout = time.Second
	// balancerLag is how late the load balancer notices that a host is ready.
	balancerLag = 500 * time.Millisecond
	// spinLimit is the number of timers at one instant that counts as a busy loop.
	spinLimit = 200
)

// World is one run.
type World struct {
	Trace   Trace
	Hosts   []*Host
	Targets []*Target
	Store   *Store
	// Position counts the events executed.
	Position int
	// Hashing adds each action to Hash; it is slow.
	Hashing bool
	// Show, if set, takes a line for each event and action.
	Show func(line string)

	now    time.Time
	rng    *rand.Rand
	queue  queue
	seq    uint64
	hash   *xxhash.Digest
	lives  uint64
	turn   int // next host of the load balancer
	crash  map[string]bool
	tags   int
	lagged bool // the balancer still sends to hosts that are gone
}

type item struct {
	at  time.Time
	seq uint64
	run func()
}

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

// New returns a world of some hosts over the given document, with the targets
// that the document names.
func New(seed uint64, hosts int, doc *config.Document) *World {
	w := &World{
		now: Start, rng: rand.New(rand.NewPCG(seed, 1)), hash: xxhash.New(),
		crash: make(map[string]bool),
	}
	w.Store = newStore(w, doc)
	for i, name := range doc.ReplicaNames() {
		w.Targets = append(w.Targets, newTarget(w, name, doc.Replicas[name], i))
	}
	w.configureTargets(doc)
	for i := range hosts {
		h := &Host{w: w, vms: make(map[api.VMName]bool), index: i, name: api.EntryName(fmt.Sprintf("e%d", i)), address: fmt.Sprintf("10.0.0.%d:7000", i+1)}
		w.Hosts = append(w.Hosts, h)
	}
	for _, h := range w.Hosts {
		h.Boot()
	}
	return w
}

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// Hash identifies the actions of the run so far.
func (w *World) Hash() uint64 { return w.hash.Sum64() }

// After runs f after a delay.
func (w *World) After(d time.Duration, f func()) {
	w.seq++
	heap.Push(&w.queue, item{at: w.now.Add(d), seq: w.seq, run: f})
}

// Step executes the next event.
func (w *World) Step() {
	it := heap.Pop(&w.queue).(item)
	w.now = it.at
	w.Position++
	it.run()
}

// RunUntil executes the events up to a time and moves the clock to it.
func (w *World) RunUntil(t time.Time) {
	for len(w.queue) > 0 && !w.queue[0].at.After(t) {
		w.Step()
	}
	w.now = t
}

func (w *World) hop() time.Duration { return hop + time.Duration(w.rng.Int64N(int64(hopSpread))) }

func (w *World) show(h *Host, what string, x any) {
	if w.Show == nil {
		return
	}
	text, _ := json.Marshal(x)
	w.Show(fmt.Sprintf("%9.3f %s %s %s", w.now.Sub(Start).Seconds()*1000, h.name, what, strings.TrimPrefix(fmt.Sprintf("%T ", x), "event.")+string(text)))
}

func (w *World) record(h *Host, a event.Action) {
	w.show(h, "->", a)
	if w.Hashing {
		text, err := json.Marshal(a) // follows pointers, unlike %v
		if err != nil {
			panic("an action cannot be encoded: " + err.Error())
		}
		_, _ = fmt.Fprintf(w.hash, "%d %d %T %s\n", w.now.UnixNano(), h.index, a, text)
	}
}
