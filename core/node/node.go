// Package node combines the decision packages of core into one entry node. A
// node is a deterministic state machine: the same settings, seed and events
// produce the same actions. It is not safe for concurrent use.
package node

import (
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/confsync"
	"github.com/baobabsail/baobabsail/core/connhealth"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/fanout"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/limit"
	"github.com/baobabsail/baobabsail/core/once"
	"github.com/baobabsail/baobabsail/core/quarantine"
	"github.com/baobabsail/baobabsail/core/retry"
	"github.com/baobabsail/baobabsail/core/snapshot"
	"github.com/baobabsail/baobabsail/core/timerqueue"
)

// Peer is another entry node that the settings name.
type Peer struct {
	Name    api.EntryName
	Address string
}

// Settings describes one node.
type Settings struct {
	Name       api.EntryName
	Life       api.Life
	Address    string // IP:port at which peers reach the node
	DataCentre api.DataCentre
	VM         api.VMName
	Peers      []Peer
	Seed       uint64
	Policy     Policy
}

// Policy says how searches treat slow parts. The zero value is the default of
// the design; other values serve as baselines for measurements.
type Policy struct {
	SlowParts fanout.SlowParts
	// HedgeDelay, if not 0, replaces the delay derived from the latency quantile.
	HedgeDelay time.Duration
	// NoBudget sends retries and hedges without a budget.
	NoBudget bool
}

// Node is the state of one entry node.
type Node struct {
	settings Settings
	counts   *count.Set

	nextAttempt uint64
	nextConn    api.ConnID
	nextOp      api.OpID
	actions     []event.Action

	config      *confsync.Syncer
	peers       *gossip.Exchange
	replicas    *balance.Replicas
	conns       *connhealth.Manager
	admission   *limit.Admission
	concurrency *limit.Concurrency
	budget      *retry.Budget
	latencies   *retry.Delay
	versions    *snapshot.Tracker
	claims      *once.Coordinator
	quarantine  *quarantine.Registry
	rng         *rand.Rand

	document      *config.Document // the document that the other packages are configured with
	lastLiveNodes int              // live nodes at the last update of the quotas
	leavingVMs    map[api.VMName]bool

	searches map[api.RequestID]*search
	works    map[api.RequestID]*work
	// forwards maps each outstanding ForwardWork operation to its work order.
	forwards map[api.OpID]api.RequestID
	// peerPausedUntil is the time until which no work order is forwarded to a peer.
	peerPausedUntil map[api.EntryName]time.Time
	attempts        map[api.AttemptID]*attempt
	timers          timerqueue.Queue[timer]
	// waiting lists, per replica, the requests that wait for a slot at it.
	waiting map[api.ReplicaName][]waitingRequest
	// resumingReplica and resumingRequest are set while resumeWaiting retries the
	// requests that wait for a replica; both are zero otherwise.
	resumingReplica api.ReplicaName
	resumingRequest waitingRequest
	// candidateBuffer backs the slice that candidates last returned.
	candidateBuffer []api.ReplicaName
	busyBuffer      []api.ReplicaName // scratch memory of acquireSlot
	// cancelled holds the attempts that were cancelled during this step.
	cancelled []*attempt
	// awaitingProbation lists, per fingerprint, the requests that wait for the
	// result of a probation run.
	awaitingProbation map[api.Fingerprint][]api.RequestID
	// unresolved lists, per replica, the lost attempts whose cause is not yet known.
	unresolved map[api.ReplicaName][]lostAttempt

	// awaitingCheck lists, per replica, the work orders that wait for a connection
	// check.
	awaitingCheck map[api.ReplicaName][]api.RequestID

	// probedAt is when a replica was last probed for the versions it holds.
	probedAt map[api.ReplicaName]time.Time

	refreshNoticesAt time.Time // when refreshNotices is due next

	configuredAt time.Time // when the first document was adopted
	ready        bool

	started  bool
	shutdown shutdown
}

// New returns a node that has not started; the first Step starts it.
func New(settings Settings) *Node {
	n := &Node{
		settings:          settings,
		counts:            count.NewSet(),
		rng:               rand.New(rand.NewPCG(settings.Seed, uint64(settings.Life))),
		budget:            retry.NewBudget(),
		latencies:         retry.NewDelay(0, 0),
		versions:          snapshot.NewTracker(),
		concurrency:       limit.NewConcurrency(),
		leavingVMs:        make(map[api.VMName]bool),
		searches:          make(map[api.RequestID]*search),
		works:             make(map[api.RequestID]*work),
		forwards:          make(map[api.OpID]api.RequestID),
		peerPausedUntil:   make(map[api.EntryName]time.Time),
		attempts:          make(map[api.AttemptID]*attempt),
		waiting:           make(map[api.ReplicaName][]waitingRequest),
		awaitingProbation: make(map[api.Fingerprint][]api.RequestID),
		unresolved:        make(map[api.ReplicaName][]lostAttempt),
		awaitingCheck:     make(map[api.ReplicaName][]api.RequestID),
		probedAt:          make(map[api.ReplicaName]time.Time),
	}
	n.replicas = balance.New(n.rng, settings.DataCentre)
	n.admission = limit.NewAdmission(n.rng)
	n.conns = connhealth.New(connhealth.Settings{}, n.newConn, n.rng, n.counts)
	n.claims = once.New(settings.Life, n.newOp, n.counts)
	n.quarantine = quarantine.New(n.counts)
	n.config = confsync.New(confsync.Settings{
		Life: settings.Life, Name: settings.Name, DataCentre: settings.DataCentre, HasPeers: len(settings.Peers) > 0,
	}, n.newOp, n.rng, n.counts)
	seeds := make([]gossip.Seed, 0, len(settings.Peers))
	for _, p := range settings.Peers {
		seeds = append(seeds, gossip.Seed{Name: p.Name, Address: p.Address})
	}
	self := gossip.Member{
		Name: settings.Name, Life: settings.Life, Address: settings.Address, DataCentre: settings.DataCentre,
	}
	n.peers = gossip.New(self, seeds, n.rng, n.counts)
	return n
}

func (n *Node) newConn() api.ConnID {
	n.nextConn++
	return n.nextConn
}

func (n *Node) newOp() api.OpID {
	n.nextOp++
	return n.nextOp
}

func (n *Node) newAttempt() api.AttemptID {
	n.nextAttempt++
	return api.AttemptID{Life: n.settings.Life, Seq: n.nextAttempt}
}

// emit appends to the actions that the current Step returns.
func (n *Node) emit(actions ...event.Action) { n.actions = append(n.actions, actions...) }

// Step feeds one event to the node and returns the actions that the driver has
// to carry out, in order. The slice is valid until the next call of Step.
func (n *Node) Step(now time.Time, ev event.Event) []event.Action {
	clear(n.actions)
	n.actions = n.actions[:0]
	if !n.started {
		n.started = true
		n.emit(n.config.Start(now)...)
		n.sendGossip(n.peers.Tick(now))
	}
	n.handle(now, ev)
	n.adoptDocument(now)
	n.releaseCancelled(now)
	n.finishShutdown(now)
	return n.actions
}

func (n *Node) handle(now time.Time, ev event.Event) {
	switch ev := ev.(type) {
	case event.Timer:
		n.tick(now)
	case event.SearchArrived:
		n.searchArrived(now, ev)
	case event.WorkArrived:
		n.workArrived(now, ev)
	case event.CallerGone:
		n.callerGone(now, ev.Request)
	case event.ChangeArrived:
		n.changeArrived(now, ev)
	case event.SearchReplied:
		n.searchReplied(now, &ev)
	case event.WorkReplied:
		n.workReplied(now, &ev)
	case event.AttemptFailed:
		n.attemptFailed(now, ev)
	case event.WorkForwarded:
		n.workForwarded(now, ev)
	case event.PartReplied:
		n.counts.Inc(count.Discarded, "part_reply")
	case event.ConnOpened, event.ConnEnded, event.ProbeReplied:
		n.connEvent(now, ev)
	case event.PeerReceived:
		n.peerReceived(now, ev.Message)
	case event.PeerFailed:
		n.peerFailed(now, ev.Peer)
	case event.StoreRead, event.StoreWritten, event.StoreChanged, event.StoreWatchEnded:
		n.storeEvent(now, ev)
	case event.VMListRead:
		n.vmListRead(now, ev.VMs)
	case event.ShutdownStarted:
		n.shutdownStarted(now, ev)
	}
}

// tick runs everything that is due at now.
func (n *Node) tick(now time.Time) {
	n.emit(n.config.Tick(now)...)
	n.sendGossip(n.peers.Tick(now))
	actions, crashes := n.conns.Tick(now)
	n.emit(actions...)
	n.crashed(now, crashes)
	n.applyDecisions(now, n.claims.Tick(now))
	for _, fp := range n.quarantine.Tick(now) {
		n.retryProbation(now, fp)
	}
	n.refreshNotices(now)
	n.resolveOverdueLosses(now)
	n.runTimers(now)
	n.updateQuotas(now)
}

// NextTick returns the time of the next Timer event that the node needs, or the zero
// time if it needs none.
func (n *Node) NextTick() time.Time {
	var wake time.Time
	for _, at := range [...]time.Time{
		n.config.NextTick(), n.peers.NextTick(), n.conns.NextTick(), n.claims.NextTick(), n.quarantine.NextTick(),
		n.timers.Next(), n.unresolvedWake(), n.shutdown.wake(),
	} {
		if !at.IsZero() && (wake.IsZero() || at.Before(wake)) {
			wake = at
		}
	}
	return wake
}

// Counts returns the node's counters.
func (n *Node) Counts() *count.Set { return n.counts }

// Document returns the adopted configuration, or nil if there is none yet. The
// caller must not modify it.
func (n *Node) Document() *config.Document { return n.document }
