// Package node composes the decision packages into one entry node. A node is
// a deterministic state machine: the same settings, seed and events produce
// the same actions. It is not safe for concurrent use.
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

// Peer is another entry node named in the settings.
type Peer struct {
	Name    api.EntryName
	Address string
}

// Settings describe one node.
type Settings struct {
	Name       api.EntryName
	Life       api.Life
	Address    string // where peers reach the node: IP:port
	DataCentre api.DataCentre
	VM         api.VMName
	Peers      []Peer
	Seed       uint64
	Policy     Policy
}

// Policy says how searches treat slow parts. The zero value is the design's;
// the others serve as baselines for measurements.
type Policy struct {
	SlowParts fanout.SlowParts
	// HedgeDelay replaces the delay from the latency quantile if not 0.
	HedgeDelay time.Duration
	// NoBudget sends retries and hedges without a bound.
	NoBudget bool
}

// Node is one entry node.
type Node struct {
	settings Settings
	counts   *count.Set

	nextAttempt uint64
	nextConn    api.ConnID
	nextOp      api.OpID
	out         []event.Action

	config     *confsync.Syncer
	peers      *gossip.Exchange
	replicas   *balance.Replicas
	conns      *connhealth.Manager
	admission  *limit.Admission
	concurrent *limit.Concurrency
	budget     *retry.Budget
	delay      *retry.Delay
	holdings   *snapshot.Tracker
	claims     *once.Coordinator
	quarantine *quarantine.Registry
	rng        *rand.Rand

	document *config.Document // the one the other packages are configured with
	liveLast int              // live nodes at the last change of quotas
	vmsGone  map[api.VMName]bool

	searches map[api.RequestID]*search
	works    map[api.RequestID]*work
	// forwards names the work order of each outstanding ForwardWork.
	forwards map[api.OpID]api.RequestID
	// peerPausedUntil says how long nothing is passed on to a peer.
	peerPausedUntil map[api.EntryName]time.Time
	attempts        map[api.AttemptID]*attempt
	timers          timerqueue.Queue[timer]
	// waiting lists, per replica, the parts that wait for room at it.
	waiting map[api.ReplicaName][]waitingPart
	// resuming is set while the parts that wait for one replica are tried.
	resuming     api.ReplicaName
	resumingPart waitingPart
	// candidateBuffer is what candidates returned last.
	candidateBuffer []api.ReplicaName
	busyBuffer      []api.ReplicaName // scratch memory of place
	// cancelled holds the attempts given up during this step.
	cancelled []*attempt
	// onProbation lists, per fingerprint, the requests that wait for the result
	// of a probation run.
	onProbation map[api.Fingerprint][]api.RequestID
	// unresolved lists, per replica, lost attempts whose cause is not yet known.
	unresolved map[api.ReplicaName][]lostAttempt

	// checking lists, per replica, the work orders that wait for a sign of life.
	checking map[api.ReplicaName][]api.RequestID

	// askedAt is when a replica was last asked which versions it holds.
	askedAt map[api.ReplicaName]time.Time

	refreshAt time.Time // when the notices of the quarantine are refreshed next

	configuredAt time.Time // when the first document was adopted
	ready        bool

	started  bool
	shutdown shutdown
}

// New returns a node that has not started; the first Step starts it.
func New(settings Settings) *Node {
	n := &Node{
		settings:        settings,
		counts:          count.NewSet(),
		rng:             rand.New(rand.NewPCG(settings.Seed, uint64(settings.Life))),
		budget:          retry.NewBudget(),
		delay:           retry.NewDelay(0, 0),
		holdings:        snapshot.NewTracker(),
		concurrent:      limit.NewConcurrency(),
		vmsGone:         make(map[api.VMName]bool),
		searches:        make(map[api.RequestID]*search),
		works:           make(map[api.RequestID]*work),
		forwards:        make(map[api.OpID]api.RequestID),
		peerPausedUntil: make(map[api.EntryName]time.Time),
		attempts:        make(map[api.AttemptID]*attempt),
		waiting:         make(map[api.ReplicaName][]waitingPart),
		onProbation:     make(map[api.Fingerprint][]api.RequestID),
		unresolved:      make(map[api.ReplicaName][]lostAttempt),
		checking:        make(map[api.ReplicaName][]api.RequestID),
		askedAt:         make(map[api.ReplicaName]time.Time),
	}
	n.replicas = balance.New(n.rng, settings.DataCentre)
	n.admission = limit.NewAdmission(n.rng)
	n.conns = connhealth.New(connhealth.Settings{}, n.newConn, n.rng, n.counts)
	n.claims = once.New(settings.Life, n.newOp, n.counts)
	n.quarantine = quarantine.New(n.counts)
	n.config = confsync.New(confsync.Settings{
		Life: settings.Life, Name: settings.Name, DataCentre: settings.DataCentre, Peers: len(settings.Peers) > 0,
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

func (n *Node) act(actions ...event.Action) { n.out = append(n.out, actions...) }

// Step feeds one event to the node and returns what the driver has to do, in
// order. The slice is valid until the next call of Step.
func (n *Node) Step(now time.Time, ev event.Event) []event.Action {
	clear(n.out)
	n.out = n.out[:0]
	if !n.started {
		n.started = true
		n.act(n.config.Start(now)...)
		n.send(n.peers.Tick(now))
	}
	n.handle(now, ev)
	n.adopt(now)
	n.settleCancelled(now)
	n.finishShutdown(now)
	return n.out
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

// tick does everything that is due.
func (n *Node) tick(now time.Time) {
	n.act(n.config.Tick(now)...)
	n.send(n.peers.Tick(now))
	actions, crashes := n.conns.Tick(now)
	n.act(actions...)
	n.crashed(now, crashes)
	n.decide(now, n.claims.Tick(now))
	for _, fp := range n.quarantine.Tick(now) {
		n.retryProbation(now, fp)
	}
	n.refreshNotices(now)
	n.resolveOverdue(now)
	n.runTimers(now)
	n.updateQuotas(now)
}

// Wake returns the time at which the node wants a Timer event; the zero time
// if it wants none.
func (n *Node) Wake() time.Time {
	var wake time.Time
	for _, at := range [...]time.Time{
		n.config.Wake(), n.peers.Wake(), n.conns.Wake(), n.claims.Wake(), n.quarantine.Wake(),
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

// Document returns the adopted configuration, or nil if there is none yet. It
// must not be changed.
func (n *Node) Document() *config.Document { return n.document }
