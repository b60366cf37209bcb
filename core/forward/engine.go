package forward

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/baseline"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/locality"
	"github.com/baobabsail/baobabsail/core/quantile"
	"github.com/baobabsail/baobabsail/core/quarantine"
	"github.com/baobabsail/baobabsail/core/quota"
	"github.com/baobabsail/baobabsail/core/ratelimit"
	"github.com/baobabsail/baobabsail/core/retry"
	"github.com/baobabsail/baobabsail/core/routing"
	"github.com/baobabsail/baobabsail/core/timerqueue"
)

// Settings configures an Engine.
type Settings struct {
	// Node is the name of this node, unique among all nodes.
	Node       string
	DataCentre api.DataCentre
	// Regions holds the region of each data centre, for requests with home regions.
	Regions map[api.DataCentre]api.Region
	Seed    uint64
	// BudgetWindow, BudgetShare and BudgetConstant limit the extra attempts (retries and
	// hedges) for a service, summed over all nodes: within any span of BudgetWindow, at
	// most BudgetShare times the number of requests plus BudgetConstant.
	BudgetWindow   time.Duration
	BudgetShare    float64
	BudgetConstant float64
	// Quota bounds what all nodes together admit of an account with a quota.
	Quota quota.Bounds
	// RevokeAfter is the age of what this node knows of the store's contents above which it
	// refuses requests that carry a key, since the key may have been removed; 0 means never.
	RevokeAfter time.Duration
	// FirstStart is set if no node of this system has run before, so that no extra
	// attempts of an earlier process count against the budget.
	FirstStart bool
	// LapseGrace is how long after the store returns a registration that disappeared
	// during the outage may take to reappear.
	LapseGrace time.Duration
	// EvacuationHold is how long an evacuation that is missing after the store was restored
	// from an older copy stays in force, unless it is written again.
	EvacuationHold time.Duration
	// ColdBounds limits the requests that all nodes together send to a cold replica.
	ColdBounds ratelimit.ColdBounds
	// ListAge is the greatest age of the list of nodes with which this node may grant the rate
	// of a cold replica.
	ListAge time.Duration
}

const (
	// remoteSurcharge makes a replica in another data centre count as slower: traffic
	// between data centres costs money, and a local replica that is slightly busier
	// answers as fast.
	remoteSurcharge = 1.5
	// initialNodeCount is the number of nodes by which shared limits are divided until
	// the first list of members is read.
	initialNodeCount = 16
	// memberHoldTime is how long a node that disappeared from the list of members still
	// counts: it may only have lost its connection to the store.
	memberHoldTime = 30 * time.Second
	// cleanupInterval is how often expired quarantine entries and unused buckets of rate
	// limits are dropped; the former last for an hour, the latter for a minute.
	cleanupInterval = 10 * time.Second
)

// Engine runs the requests of one node. It is driven by Step and is not safe
// for concurrent use.
type Engine struct {
	settings Settings
	// source is the source of rng.
	source   *rand.PCG
	rng      *rand.Rand
	counts   *count.Set
	table    *routing.Table
	splitter *routing.Splitter
	replicas *balance.Replicas
	registry registry
	// evacuations holds the data centres whose replicas get no requests.
	evacuations evacuations
	delays      *retry.Delay
	// sendDelay estimates how long after the target time an answer that is due then reaches
	// the caller's connection.
	sendDelay quantile.Estimator
	budgets   map[api.ServiceName]*retry.Window
	// maxConnections is the maximum number of connections that each replica of a service
	// accepts; 0 means no limit.
	maxConnections map[api.ServiceName]int
	// started is the time of the first event.
	started   time.Time
	nodeCount int
	// nodeCountAt is when the list of members last held at least that many nodes.
	nodeCountAt time.Time

	requests    map[api.RequestID]*request
	attempts    map[AttemptID]*attempt
	lastAttempt AttemptID
	conns       map[api.ReplicaName]*connections
	// overdueReplicas holds the replicas with an overdue attempt, one whose hedge delay has
	// passed, that have not answered anything since.
	overdueReplicas map[api.ReplicaName]bool
	// overdueSince is when the first overdue attempt was sent to each replica in
	// overdueReplicas; it may hold others.
	overdueSince map[api.ReplicaName]time.Time
	// stalledReplicas holds the replicas with a stalled attempt that have not answered anything
	// since.
	stalledReplicas map[api.ReplicaName]bool
	// lastReplyAt is when each replica last answered.
	lastReplyAt map[api.ReplicaName]time.Time
	quarantine  *quarantine.Registry
	// cleanedUpAt is when expired quarantine entries, unused buckets and unused budgets were last
	// dropped.
	cleanedUpAt time.Time
	// possibleCrashes holds the replicas whose process may have ended. pendingAttributions
	// holds the lost attempts at processes that have ended, for requests whose content was
	// answered before.
	possibleCrashes     map[api.ReplicaName]*possibleCrash
	pendingAttributions []pendingAttribution
	// controlReplica is the replica that is being checked to find out whether this node is
	// disconnected from all replicas. lastCheckAnsweredAt is when a replica last responded to
	// a liveness check.
	controlReplica      api.ReplicaName
	lastCheckAnsweredAt time.Time
	limits              rateLimits
	// admissions holds the admission control state of sharded requests, keyed by the
	// first shard of the route.
	admissions map[api.ServiceName]*admissionControl
	// groups records which nodes run which shards. divided and calls hold the requests
	// and the ranges of shards that other nodes run for this one.
	groups   nodeGroups
	divided  map[api.RequestID]*dividedRequest
	calls    map[CallID]*call
	lastCall CallID
	// callAcceptDelay estimates how long nodes take to confirm that they work on a range.
	// callReplyDelay estimates how long after it is due the reply at the target time arrives.
	callAcceptDelay, callReplyDelay quantile.Estimator
	// waiting lists, per service, the parts that wait for a replica with capacity.
	waiting map[api.ServiceName][]waitingPart
	// confirmedAt is the time up to which this node knows the store's contents.
	confirmedAt   time.Time
	accountCounts accountCounts
	// fairness holds the use of replicas by accounts, by the first shard of a route or the
	// service.
	fairness map[api.ServiceName]*fairShares
	// quotas keeps the requests of client accounts within their quotas.
	quotas   quotas
	shutdown shutdown
	timers   timerqueue.Queue[timer]

	// latencies holds the latency of each replica as core/locality uses it.
	latencies map[api.ReplicaName]*locality.Latency
	// routeLatencies estimates the latency of answered attempts, by routeLatencyKey.
	routeLatencies map[api.ServiceName]*quantile.Estimator

	candidates []api.ReplicaName // scratch buffer for choosing replicas and nodes
	// local and remote are scratch buffers for the candidates inside and outside the data centre.
	local, remote []api.ReplicaName
	actions       []Action
}

// timer identifies what is due: a request, an attempt that may have stalled, the removal of
// a replica's registration, the waiting parts of a service, the liveness check of a replica,
// the end of a held evacuation, the end of the time in which a replica is cold, the requests of
// an account that wait to be admitted, or the last answers of a shutdown. Only the field of that
// item is set.
type timer struct {
	request       api.RequestID
	attempt       AttemptID
	registration  api.ReplicaName
	service       api.ServiceName
	livenessCheck api.ReplicaName
	dataCentre    api.DataCentre
	coldReplica   api.ReplicaName
	account       string
	shutdown      bool
}

// New returns an Engine that has no configuration yet.
func New(s Settings) *Engine {
	if s.ListAge == 0 {
		s.ListAge = defaultListAge
	}
	source := rand.NewPCG(s.Seed, 1)
	rng := rand.New(source)
	counts := count.NewSet()
	e := &Engine{
		settings:        s,
		source:          source,
		rng:             rng,
		counts:          counts,
		splitter:        routing.NewSplitter(rand.New(rand.NewPCG(s.Seed, 5))),
		replicas:        balance.New(rng, s.DataCentre),
		registry:        newRegistry(),
		evacuations:     newEvacuations(),
		delays:          retry.NewDelay(hedgeQuantile, 0),
		budgets:         make(map[api.ServiceName]*retry.Window),
		maxConnections:  make(map[api.ServiceName]int),
		nodeCount:       initialNodeCount,
		requests:        make(map[api.RequestID]*request),
		attempts:        make(map[AttemptID]*attempt),
		conns:           make(map[api.ReplicaName]*connections),
		overdueReplicas: make(map[api.ReplicaName]bool),
		overdueSince:    make(map[api.ReplicaName]time.Time),
		stalledReplicas: make(map[api.ReplicaName]bool),
		lastReplyAt:     make(map[api.ReplicaName]time.Time),
		quarantine:      quarantine.New(counts),
		limits:          newRateLimits(s.Node, s.ListAge),
		quotas:          newQuotas(s),
		accountCounts:   newAccountCounts(),
		fairness:        make(map[api.ServiceName]*fairShares),
		admissions:      make(map[api.ServiceName]*admissionControl),
		possibleCrashes: make(map[api.ReplicaName]*possibleCrash),
		waiting:         make(map[api.ServiceName][]waitingPart),
		groups:          nodeGroups{node: s.Node, balancer: balance.New(rng, s.DataCentre)},
		divided:         make(map[api.RequestID]*dividedRequest),
		calls:           make(map[CallID]*call),
		latencies:       make(map[api.ReplicaName]*locality.Latency),
		routeLatencies:  make(map[api.ServiceName]*quantile.Estimator),
	}
	e.replicas.SetRemoteSurcharge(remoteSurcharge)
	return e
}

// Step processes one event and returns the actions that the driver has to carry out, in
// order. The slice is valid until the next call of Step.
func (e *Engine) Step(now time.Time, ev Event) []Action {
	clear(e.actions)
	e.actions = e.actions[:0]
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
		e.sendDelay.Add(now, ev.Late)
	case Replied:
		e.replied(now, &ev)
	case StatusReported:
		e.statusReported(now, ev)
	case Lost:
		e.lost(now, ev)
	case ReplicaChecked:
		e.replicaChecked(now, ev)
	case ConnOpened:
		e.connOpened(ev)
	case ConnEnded:
		e.connEnded(now, ev)
	case TableRead:
		e.adoptTable(now, ev.Table)
	case ReplicaRegistered:
		e.replicaRegistered(now, ev.Registration)
	case ReplicaUnregistered:
		e.replicaUnregistered(now, ev.Replica)
	case ReplicasUnregistered:
		e.replicasUnregistered(now, ev.Count)
	case RegistryRead:
		// Evacuations first: no waiting part is sent to a replica that this list adds.
		e.evacuationsRead(now, ev.Evacuations, ev.Restored)
		e.registryRead(now, ev.Registrations, ev.Restored)
	case DataCentreEvacuated:
		e.evacuate(now, ev.Evacuation)
	case DataCentreRestored:
		e.evacuationRemoved(now, ev)
	case StoreLost:
		e.registry.storeLost = true
		e.limits.ranks.StoreLost(now)
	case StoreBack:
		e.storeBack(now)
	case BudgetChanged:
		e.settings.BudgetShare, e.settings.BudgetConstant = ev.Share, ev.Constant
	case NoticesRead:
		e.learnNotices(now, ev)
	case NoticesUndelivered:
		e.noticesUndelivered(ev)
	case Members:
		e.membersChanged(now, ev.Nodes)
		e.rankAllocators(now, ev)
		e.adoptPeers(now, ev.Peers)
		e.limits.ranks.SetNodes(now, e.allocators())
	case ExtraAttemptsAllowed:
		e.extraAttemptsAllowed(now, ev.Request)
	case CallAccepted:
		e.callAccepted(now, ev.Call)
	case CallReplied:
		e.callReplied(now, &ev)
	case CallLost:
		e.callLost(now, ev)
	case CallUnanswered:
		e.callNotAccepted(now, ev.Call)
	case PermitsRequested:
		e.permitsRequested(now, ev)
	case PermitsGranted:
		e.permitsGranted(now, ev)
	case NodeConnReplaced:
		e.counts.Inc(count.Connection, "node_replaced")
		e.log("node_connection_replaced", "address", ev.Address)
	case PermitsDelayed:
		e.permitsDelayed(now, ev)
	case PermitsFailed:
		e.permitsFailed(now, ev)
	case AdmissionRequested:
		e.admissionRequested(now, ev)
	case AdmissionAnswered:
		e.admissionAnswered(now, ev)
	case AdmissionFailed:
		e.admissionFailed(now, ev)
	case StoreConfirmed:
		e.storeConfirmed(now, ev)
	case AccountSettingsChanged:
		e.settings.Quota, e.settings.RevokeAfter = ev.Quota, ev.RevokeAfter
		e.quotas.allocator.SetBounds(ev.Quota)
	case Stopping:
		e.stop(now, ev)
	}
	if now.Sub(e.cleanedUpAt) >= cleanupInterval {
		e.cleanedUpAt = now
		e.quarantine.Tick(now)
		e.limits.allocator.Tick(now)
		e.limits.askers.Tick(now)
		e.limits.reliance.Tick(now)
		e.quotas.allocator.Tick(now)
		e.dropUnusedBudgets(now)
		for pool, f := range e.fairness {
			if f.tick(now); len(f.accounts) == 0 {
				delete(e.fairness, pool)
			}
		}
	}
	e.runTimers(now)
	return e.actions
}

// NextTick returns the time at which the engine needs a Timer event, or the zero time if it
// needs none.
func (e *Engine) NextTick() time.Time { return e.timers.Next() }

// Counts returns the engine's counters.
func (e *Engine) Counts() *count.Set { return e.counts }

// Table returns the current configuration, or nil if there is none. Callers must not
// modify it.
func (e *Engine) Table() *routing.Table { return e.table }

// InFlight returns the number of requests that have not been answered yet.
func (e *Engine) InFlight() int { return len(e.requests) + len(e.divided) + len(e.quotas.waiting) }

// Ready reports whether requests can be served: there is a configuration, and
// at least one replica is registered.
func (e *Engine) Ready() bool { return e.table != nil && len(e.registry.entries) > 0 }

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

func (e *Engine) log(name string, fields ...any) { e.emit(Log{Event: name, Fields: fields}) }

func (e *Engine) runTimers(now time.Time) {
	for {
		t, ok := e.timers.PopDue(now)
		if !ok {
			return
		}
		switch {
		case t.registration != "":
			e.registrationRemovalDue(now, t.registration)
		case t.livenessCheck != "":
			e.livenessCheckDue(now, t.livenessCheck)
		case t.dataCentre != "":
			e.evacuationHoldDue(now, t.dataCentre)
		case t.coldReplica != "":
			e.coldEndDue(now, t.coldReplica)
		case t.account != "":
			e.admissionsDue(now, t.account)
		case t.shutdown:
			e.endOpenRequests(now)
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

// adoptTable switches to a newer configuration. A configuration that is not newer is
// ignored.
func (e *Engine) adoptTable(now time.Time, t *routing.Table) {
	if e.table != nil && t.Version <= e.table.Version {
		e.counts.Inc(count.Config, "not_newer")
		return
	}
	e.table = t
	e.counts.Inc(count.Config, "adopted")
	e.log("config_adopted", "version", t.Version, "routes", len(t.Routes), "services", len(t.Services),
		"idle_timeout_ms", t.Limits.IdleTimeout.Milliseconds())
	e.dropUnusedAdmissionControls()
	e.dropRemovedRoutes()
	e.resetPriorities()
	e.adoptLimits(t)
	e.applyColdLimits(now)
	e.adoptQuotas()
	e.regroup()
	for name := range e.routeLatencies {
		if _, ok := t.Services[name]; !ok {
			delete(e.routeLatencies, name)
		}
	}
	e.resumeAll(now)
}

// dropRemovedRoutes removes the state of routes that the configuration no longer contains.
func (e *Engine) dropRemovedRoutes() {
	names := e.table.RouteNames()
	e.splitter.Retain(func(route string) bool { return names[route] })
	e.delays.Retain(func(route api.ServiceName) bool { return names[string(route)] })
	for _, c := range e.admissions {
		maps.DeleteFunc(c.credits, func(route string, _ float64) bool { return !names[route] })
		maps.DeleteFunc(c.baselines, func(route string, _ *baseline.Trend) bool { return !names[route] })
	}
}

// resetPriorities forgets which priorities of routes and accounts were seen: a new configuration may
// have others. Those in use are seen again with the next requests.
func (e *Engine) resetPriorities() {
	for _, f := range e.fairness {
		f.topPriority = math.MaxInt
	}
	for _, c := range e.admissions {
		c.topPriority = math.MaxInt
	}
}

func (e *Engine) membersChanged(now time.Time, nodes int) {
	if nodes >= e.nodeCount {
		e.nodeCountAt = now
	}
	unknown := e.nodeCountAt.IsZero()
	if nodes == e.nodeCount || nodes < e.nodeCount && !unknown && now.Sub(e.nodeCountAt) < memberHoldTime {
		return
	}
	e.log("members_changed", "nodes", nodes, "before", e.nodeCount)
	e.nodeCount, e.nodeCountAt = nodes, now
	e.resumeAll(now)
}
