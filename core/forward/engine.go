package forward

import (
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/quantile"
	"github.com/baobabsail/baobabsail/core/quarantine"
	"github.com/baobabsail/baobabsail/core/retry"
	"github.com/baobabsail/baobabsail/core/routing"
	"github.com/baobabsail/baobabsail/core/timerqueue"
)

// Settings describe one engine.
type Settings struct {
	// Node is the name of the node, different from all others'.
	Node       string
	DataCentre api.DataCentre
	Seed       uint64
	// BudgetWindow, BudgetShare and BudgetConstant bound the extra attempts of
	// a service over all nodes: in each span of BudgetWindow, BudgetShare of the
	// requests plus BudgetConstant.
	BudgetWindow   time.Duration
	BudgetShare    float64
	BudgetConstant float64
	// FirstStart says that no node of this system has run before, so that no
	// extra attempts of an earlier process count.
	FirstStart bool
	// LapseGrace is how long after the return of the store a registration that
	// disappeared meanwhile may still come back.
	LapseGrace time.Duration
}

const (
	// remoteSurcharge makes a replica in another data centre count as slower:
	// its traffic is paid for, and a closer replica that is a little busier
	// answers as fast.
	remoteSurcharge = 1.5
	// assumedNodes divides what nodes share until the members are known.
	assumedNodes = 16
	// membersHold is how long a node that disappeared from the list still counts:
	// it may only have lost the store.
	membersHold = 30 * time.Second
	// steadyConstant and freshConstant are the parts of BudgetConstant that the
	// nodes spend together, a process that replaces another one the latter for
	// the length of a window. Their sum stays well below 1: after a loss of all nodes,
	// what the former processes sent still counts. The rest covers moments in
	// which the nodes disagree on their number.
	steadyConstant = 0.55
	freshConstant  = 0.25
	// quarantineInterval is how often cases of the quarantine that are over are
	// dropped; they last for an hour.
	quarantineInterval = 10 * time.Second
	// hedgePart is the part of the budget that hedges may use; the rest is kept
	// for attempts that replace failed ones.
	hedgePart = 0.6
)

// Engine runs the requests of one node. It is driven by Step and is not safe
// for concurrent use.
type Engine struct {
	settings Settings
	rng      *rand.Rand
	counts   *count.Set
	table    *routing.Table
	splitter *routing.Splitter
	replicas *balance.Replicas
	registry registry
	delays   *retry.Delay
	// lag is how long after the target time answers are sent that leave then.
	lag     quantile.Estimate
	budgets map[api.ServiceName]*retry.Window
	// accepted is the number of connections that each replica of a service
	// accepts, 0 for any number.
	accepted map[api.ServiceName]int
	// started is the time of the first event.
	started time.Time
	nodes   int
	// nodesAt is when at least that many nodes were listed last.
	nodesAt time.Time

	requests map[api.RequestID]*request
	attempts map[AttemptID]*attempt
	newest   AttemptID
	conns    map[api.ReplicaName]*connections
	// quiet holds the replicas that have an attempt that should have been
	// answered, and have answered nothing since.
	quiet map[api.ReplicaName]bool
	// silent holds the replicas of which an attempt stalled and that have
	// answered nothing since.
	silent map[api.ReplicaName]bool
	// heardAt is when a replica answered last.
	heardAt    map[api.ReplicaName]time.Time
	quarantine *quarantine.Registry
	// quarantineTick is when cases that are over were dropped last.
	quarantineTick time.Time
	// doubts holds the replicas whose process may have ended, ended the losses of known
	// contents at processes that have.
	doubts map[api.ReplicaName]*doubt
	ended  []ended
	// control is the replica that is being checked to see whether this node is cut off,
	// reachedAt is when a replica answered a check last.
	control   api.ReplicaName
	reachedAt time.Time
	// pressures holds the admission of sharded requests, by their first shard.
	pressures map[api.ServiceName]*pressure
	// groups says which nodes run which shards; divided and calls hold the
	// requests and ranges that other nodes run for this one.
	groups     groups
	divided    map[api.RequestID]*divided
	calls      map[CallID]*call
	newestCall CallID
	// accepts is how long nodes take to say that they work on a range, returns how
	// long after it was due the reply at the target time comes.
	accepts, returns quantile.Estimate
	// waiting lists, per service, the parts that wait for room at a replica.
	waiting map[api.ServiceName][]waitingPart
	timers  timerqueue.Queue[timer]

	candidates []api.ReplicaName // scratch memory of dispatch
	out        []Action
}

// timer wakes a request, an attempt that goes on for long, a registration that may be
// removed, the parts that wait for a service, or the check of a replica; the other
// fields are zero.
type timer struct {
	request api.RequestID
	attempt AttemptID
	replica api.ReplicaName
	service api.ServiceName
	check   api.ReplicaName
}

// New returns an engine without configuration.
func New(s Settings) *Engine {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	counts := count.NewSet()
	e := &Engine{
		settings:   s,
		rng:        rng,
		counts:     counts,
		splitter:   routing.NewSplitter(),
		replicas:   balance.New(rng, s.DataCentre),
		registry:   newRegistry(),
		delays:     retry.NewDelay(hedgeQuantile, 0),
		budgets:    make(map[api.ServiceName]*retry.Window),
		accepted:   make(map[api.ServiceName]int),
		nodes:      assumedNodes,
		requests:   make(map[api.RequestID]*request),
		attempts:   make(map[AttemptID]*attempt),
		conns:      make(map[api.ReplicaName]*connections),
		quiet:      make(map[api.ReplicaName]bool),
		silent:     make(map[api.ReplicaName]bool),
		heardAt:    make(map[api.ReplicaName]time.Time),
		quarantine: quarantine.New(counts),
		pressures:  make(map[api.ServiceName]*pressure),
		doubts:     make(map[api.ReplicaName]*doubt),
		waiting:    make(map[api.ServiceName][]waitingPart),
		groups:     groups{node: s.Node, load: balance.New(rng, s.DataCentre)},
		divided:    make(map[api.RequestID]*divided),
		calls:      make(map[CallID]*call),
	}
	e.replicas.SetRemoteSurcharge(remoteSurcharge)
	return e
}

// Step feeds one event to the engine and returns what the driver has to do, in
// order. The slice is valid until the next call of Step.
func (e *Engine) Step(now time.Time, ev Event) []Action {
	clear(e.out)
	e.out = e.out[:0]
	if e.started.IsZero() {
		e.started = now
	}
	switch ev := ev.(type) {
	case Timer:
	case Arrived:
		e.arrived(now, ev)
	case CallerGone:
		e.callerGone(now, ev.Request)
	case AnswerSent:
		e.lag.Add(now, ev.Late)
	case Replied:
		e.replied(now, &ev)
	case Lost:
		e.lost(now, ev)
	case ReplicaChecked:
		e.replicaChecked(now, ev)
	case ConnOpened:
		e.connOpened(ev)
	case ConnEnded:
		e.connEnded(ev.Replica)
	case TableRead:
		e.adopt(now, ev.Table)
	case ReplicaSeen:
		e.replicaSeen(now, ev.Registration)
	case ReplicaGone:
		e.replicaGone(now, ev.Replica)
	case ReplicasGone:
		e.replicasGone(now, ev.Count)
	case RegistryRead:
		e.registryRead(now, ev.Registrations, ev.Restored)
	case StoreLost:
		e.registry.storeLost = true
	case StoreBack:
		e.storeBack(now)
	case BudgetChanged:
		e.settings.BudgetShare, e.settings.BudgetConstant = ev.Share, ev.Constant
	case NoticesRead:
		e.learnNotices(now, ev)
	case NotTold:
		e.notTold(ev)
	case Members:
		e.members(now, ev.Nodes)
		e.adoptPeers(now, ev.Peers)
	case Cleared:
		e.cleared(now, ev.Request)
	case CallAccepted:
		e.callAccepted(now, ev.Call)
	case CallReplied:
		e.callReplied(now, &ev)
	case CallLost:
		e.callLost(now, ev)
	case CallUnheard:
		e.callUnheard(now, ev.Call)
	}
	if now.Sub(e.quarantineTick) >= quarantineInterval {
		e.quarantineTick = now
		e.quarantine.Tick(now)
	}
	e.runTimers(now)
	return e.out
}

// Wake returns the time at which the engine wants a Timer event; the zero time
// if it wants none.
func (e *Engine) Wake() time.Time { return e.timers.Next() }

// Counts returns the engine's counters.
func (e *Engine) Counts() *count.Set { return e.counts }

// Table returns the configuration in force, or nil. It must not be changed.
func (e *Engine) Table() *routing.Table { return e.table }

// InFlight returns the number of requests that wait for their answer.
func (e *Engine) InFlight() int { return len(e.requests) + len(e.divided) }

// Ready reports whether requests can be served: there is a configuration, and
// at least one replica is registered.
func (e *Engine) Ready() bool { return e.table != nil && len(e.registry.entries) > 0 }

func (e *Engine) act(a Action) { e.out = append(e.out, a) }

func (e *Engine) log(name string, fields ...any) { e.act(Log{Event: name, Fields: fields}) }

func (e *Engine) runTimers(now time.Time) {
	for {
		t, ok := e.timers.Due(now)
		if !ok {
			return
		}
		switch {
		case t.replica != "":
			e.removalDue(now, t.replica)
		case t.check != "":
			e.checkDue(now, t.check)
		case t.service != "":
			e.resume(now, t.service)
		case t.attempt != 0:
			e.stalled(now, t.attempt)
		default:
			if r := e.requests[t.request]; r != nil {
				r.wakeAt = time.Time{}
				e.progress(now, r)
			} else if d := e.divided[t.request]; d != nil {
				d.request.wakeAt = time.Time{}
				e.progressDivided(now, d)
			}
		}
	}
}

// adopt takes over a newer configuration; an older one is ignored.
func (e *Engine) adopt(now time.Time, t *routing.Table) {
	if e.table != nil && t.Version <= e.table.Version {
		e.counts.Inc(count.Config, "not_newer")
		return
	}
	e.table = t
	e.counts.Inc(count.Config, "adopted")
	e.log("config_adopted", "version", t.Version, "routes", len(t.Routes), "services", len(t.Services),
		"idle_timeout_ms", t.Limits.IdleTimeout.Milliseconds())
	e.dropPressures()
	e.adoptLimits(t)
	e.regroup()
	for name := range e.budgets {
		if _, ok := t.Services[name]; !ok {
			delete(e.budgets, name)
		}
	}
	e.resumeAll(now)
}

func (e *Engine) members(now time.Time, nodes int) {
	if nodes >= e.nodes {
		e.nodesAt = now
	}
	unknown := e.nodesAt.IsZero()
	if nodes == e.nodes || nodes < e.nodes && !unknown && now.Sub(e.nodesAt) < membersHold {
		return
	}
	e.log("members_changed", "nodes", nodes, "before", e.nodes)
	e.nodes, e.nodesAt = nodes, now
	e.resumeAll(now)
}

// budgetConstant is this node's part of the extra attempts of a service that do
// not depend on the traffic.
func (e *Engine) budgetConstant(now time.Time, service api.ServiceName) float64 {
	part := steadyConstant
	if !e.settings.FirstStart && now.Sub(e.started) < e.settings.BudgetWindow {
		part = freshConstant
	}
	return part * e.settings.BudgetConstant * e.constantPart(service)
}

func (e *Engine) budget(now time.Time, service api.ServiceName) *retry.Window {
	b := e.budgets[service]
	if b == nil {
		b = retry.NewWindow(e.settings.BudgetWindow)
		e.budgets[service] = b
	}
	b.SetBound(e.settings.BudgetShare, e.budgetConstant(now, service))
	return b
}
