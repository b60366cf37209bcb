// Package connhealth manages the connections to targets. It decides how many to keep,
// when to open, probe, replace and close them, and whether a connection ended because
// the target's process crashed.
package connhealth

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/limit"
	"github.com/baobabsail/baobabsail/core/quantile"
	"github.com/baobabsail/baobabsail/core/retry"
)

// Details of counters of the kind count.Connection.
const (
	DetailOpened    api.Reason = "opened"
	DetailReset     api.Reason = "reset"
	DetailClosed    api.Reason = "closed"
	DetailRefused   api.Reason = "refused"
	DetailTimedOut  api.Reason = "timed_out"
	DetailLimited   api.Reason = "limited"
	DetailProbed    api.Reason = "probed"
	DetailSilent    api.Reason = "silent"
	DetailCrash     api.Reason = "crash"
	DetailReconnect api.Reason = "reconnect"
)

// Settings configures a Manager. Zero values are replaced by those of Defaults.
type Settings struct {
	// MinSilence and MaxSilence bound the time without a response after which a
	// connection with an outstanding request is probed. Within these bounds it is
	// SilenceFactor times the 0.99 quantile of the replica's latency.
	MinSilence    time.Duration
	MaxSilence    time.Duration
	SilenceFactor int
	// ProbeTimeout is how long a probe may take before the connection is considered
	// broken and is replaced.
	ProbeTimeout time.Duration
	// ReplicaReconnects and NodeReconnects limit the reconnects within any second, to
	// one replica and to all replicas.
	ReplicaReconnects int
	NodeReconnects    int
	// FailedBackoff applies after a refused, timed-out or silent connection,
	// LimitedBackoff after the target rejected a connection because its connection
	// limit was reached.
	FailedBackoff  retry.Backoff
	LimitedBackoff retry.Backoff
	// OpenSpread is the time per new replica over which first connections are spread.
	OpenSpread time.Duration
}

// Defaults returns the default settings: a silent connection is detected within
// 1 s + 0.5 s; a node makes at most 2 reconnects per second to a replica and 20 in
// total.
func Defaults() Settings {
	return Settings{
		MinSilence:        500 * time.Millisecond,
		MaxSilence:        time.Second,
		SilenceFactor:     4,
		ProbeTimeout:      500 * time.Millisecond,
		ReplicaReconnects: 2,
		NodeReconnects:    20,
		FailedBackoff:     retry.Backoff{Base: 200 * time.Millisecond, Cap: 5 * time.Second},
		LimitedBackoff:    retry.Backoff{Base: 2 * time.Second, Cap: 10 * time.Second},
		OpenSpread:        2 * time.Millisecond,
	}
}

const (
	// reconnectJitter is the range of the random delay of the first reconnect after
	// a connection ended.
	reconnectJitter = 20 * time.Millisecond
	// maxOpenSpread bounds the total time over which first connections are spread.
	maxOpenSpread = time.Second
	// freshFor is how long after a response a connection counts as fresh.
	freshFor = time.Second
	// probeGrace is how long a connection probed by ProbeNow may take to reply before
	// a replacement is opened.
	probeGrace = 50 * time.Millisecond
	// unansweredRetention is how long an attempt that ended without an answer still
	// counts as a possible cause of a crash. The driver reports the end of the
	// attempt before that of the connection, and a cancelled request may still be
	// running on the target.
	unansweredRetention = time.Second
	// maxUnanswered bounds the unanswered attempts kept per connection.
	maxUnanswered = 64
	// crashDecisionTimeout bounds how long a reset stays pending, that is, not yet known
	// to be a crash or a network failure. After it the reset is dropped.
	crashDecisionTimeout = 30 * time.Second
	// retireTimeout bounds how long a retiring connection is kept open for its attempts
	// in flight.
	retireTimeout = 30 * time.Second
	// tailQuantile is the latency quantile that SilenceFactor multiplies.
	tailQuantile = 0.99
	// openTimeWeight is the weight of a new sample in the smoothed opening time.
	openTimeWeight = 0.25
)

// never is later than any real time; it means that nothing is scheduled.
var never = time.Unix(1<<40, 0)

// InFlight is an attempt that may have been running when its connection ended.
type InFlight struct {
	Attempt     api.AttemptID
	Fingerprint api.Fingerprint
}

// Crash reports that a target's process ended while attempts were in flight.
type Crash struct {
	Replica api.ReplicaName
	// Incarnation identifies the process that ended.
	Incarnation api.Incarnation
	// InFlight holds the attempts that may have caused the crash: for each
	// connection, first those that ended recently without an answer, then those in flight.
	InFlight []InFlight
}

// replica is the connection state of one replica.
type replica struct {
	name    api.ReplicaName
	address string
	limit   int
	quota   int
	// conns holds the connections that count against the quota.
	conns   []*conn
	latency quantile.Estimator
	// openTime is the smoothed time to open a connection.
	openTime time.Duration
	// failures counts consecutive connections that failed or were silent.
	failures int
	// nextOpen is the earliest time for the next connection.
	nextOpen time.Time
	// openedBefore is set after the first connection was opened; later ones count as
	// reconnects.
	openedBefore bool
	// reconnectWindow limits the reconnects to this replica.
	reconnectWindow rateWindow
	// crashCheckWindow allows one more reconnect per second, beyond reconnectWindow, to
	// find out whether a pending reset was a crash. If earlier reconnects to a
	// restarting target delayed this one, another node could run the same request in
	// the meantime.
	crashCheckWindow rateWindow
	// pendingReset is a reset that is not yet known to be a crash or a network
	// failure; nil if there is none.
	pendingReset *pendingReset
}

// pendingReset holds the crash to report if a reset turns out to be one.
type pendingReset struct {
	crash Crash
	since time.Time
}

// Manager manages the connections of one node to the targets.
type Manager struct {
	settings Settings
	newConn  func() api.ConnID
	rng      *rand.Rand
	counts   *count.Set

	replicas map[api.ReplicaName]*replica
	// sortedReplicas holds the replicas sorted by name, so that the order of actions
	// does not depend on map iteration.
	sortedReplicas []*replica
	conns          map[api.ConnID]*conn
	// retiring holds the connections in the state retiring.
	retiring []*conn
	// due is a reusable buffer for the replicas that need a connection.
	due []*replica
	// reconnectWindow limits the reconnects of the node to all replicas.
	reconnectWindow rateWindow
	nextTick        time.Time
	actions         []event.Action
	crashes         []Crash
}

// New returns a Manager without connections. newConn returns a new connection ID.
func New(settings Settings, newConn func() api.ConnID, rng *rand.Rand, counts *count.Set) *Manager {
	settings = settings.withDefaults()
	return &Manager{
		settings:        settings,
		newConn:         newConn,
		rng:             rng,
		counts:          counts,
		replicas:        make(map[api.ReplicaName]*replica),
		conns:           make(map[api.ConnID]*conn),
		reconnectWindow: newWindow(settings.NodeReconnects),
		nextTick:        never,
	}
}

func (s Settings) withDefaults() Settings {
	d := Defaults()
	s.MinSilence = cmp.Or(s.MinSilence, d.MinSilence)
	s.MaxSilence = cmp.Or(s.MaxSilence, d.MaxSilence)
	s.SilenceFactor = cmp.Or(s.SilenceFactor, d.SilenceFactor)
	s.ProbeTimeout = cmp.Or(s.ProbeTimeout, d.ProbeTimeout)
	s.ReplicaReconnects = cmp.Or(s.ReplicaReconnects, d.ReplicaReconnects)
	s.NodeReconnects = cmp.Or(s.NodeReconnects, d.NodeReconnects)
	s.FailedBackoff = cmp.Or(s.FailedBackoff, d.FailedBackoff)
	s.LimitedBackoff = cmp.Or(s.LimitedBackoff, d.LimitedBackoff)
	s.OpenSpread = cmp.Or(s.OpenSpread, d.OpenSpread)
	return s
}

// Configure applies the replicas of a configuration document and the number of live
// nodes, including this one. Connections that are no longer needed are closed once
// their attempts have ended.
func (m *Manager) Configure(now time.Time, doc *config.Document, liveNodes int) []event.Action {
	for _, r := range m.sortedReplicas {
		c, ok := doc.Replicas[r.name]
		if !ok || c.Address != r.address {
			m.retireAll(now, r)
			delete(m.replicas, r.name)
		}
	}
	m.sortedReplicas = m.sortedReplicas[:0]
	var added []*replica
	for name, c := range doc.Replicas {
		r, ok := m.replicas[name]
		if !ok {
			r = &replica{name: name, address: c.Address, reconnectWindow: newWindow(m.settings.ReplicaReconnects), crashCheckWindow: newWindow(1)}
			m.replicas[name] = r
			added = append(added, r)
		}
		r.limit = c.Connections
		m.sortedReplicas = append(m.sortedReplicas, r)
	}
	byName := func(a, b *replica) int { return cmp.Compare(a.name, b.name) }
	slices.SortFunc(m.sortedReplicas, byName)
	slices.SortFunc(added, byName)
	spread := min(time.Duration(len(added))*m.settings.OpenSpread, maxOpenSpread)
	for _, r := range added {
		r.nextOpen = now.Add(m.jitter(spread))
	}
	m.setQuotas(now, liveNodes)
	m.tick(now)
	actions, _ := m.takeOutput()
	return actions
}

// SetLiveNodes adjusts the connection quotas to the number of live nodes, including
// this one.
func (m *Manager) SetLiveNodes(now time.Time, liveNodes int) []event.Action {
	m.setQuotas(now, liveNodes)
	m.tick(now)
	actions, _ := m.takeOutput()
	return actions
}

func (m *Manager) setQuotas(now time.Time, liveNodes int) {
	for _, r := range m.sortedReplicas {
		r.quota = limit.Quota(r.limit, liveNodes)
		for len(r.conns) > r.quota {
			m.retire(now, r.conns[len(r.conns)-1])
		}
	}
}

// Pick returns the connection to a replica for a new attempt. It returns false if no
// connection is open or the probe of each one timed out. A connection with an
// outstanding probe is used only if there is no other.
func (m *Manager) Pick(now time.Time, name api.ReplicaName) (api.ConnID, bool) {
	r, ok := m.replicas[name]
	if !ok {
		return 0, false
	}
	var best *conn
	for _, c := range r.conns {
		if c.state != open || c.probeTimedOut(now, m.settings.ProbeTimeout) {
			continue
		}
		if best == nil || c.preferredTo(best) {
			best = c
		}
	}
	if best == nil {
		return 0, false
	}
	return best.id, true
}

// OpenCount returns the number of open connections to a replica.
func (m *Manager) OpenCount(name api.ReplicaName) int {
	n := 0
	if r, ok := m.replicas[name]; ok {
		for _, c := range r.conns {
			if c.state == open {
				n++
			}
		}
	}
	return n
}

// ResetPending reports whether a connection to a replica was reset and it is not yet
// known whether the target crashed.
func (m *Manager) ResetPending(name api.ReplicaName) bool {
	r, ok := m.replicas[name]
	return ok && r.pendingReset != nil
}

// Distance returns the smoothed time to open a connection to a replica, as a measure
// of the network distance; 0 if none has been opened.
func (m *Manager) Distance(name api.ReplicaName) time.Duration {
	if r, ok := m.replicas[name]; ok {
		return r.openTime
	}
	return 0
}

// Replica returns the name of the replica that a connection belongs to.
func (m *Manager) Replica(id api.ConnID) (api.ReplicaName, bool) {
	if c, ok := m.conns[id]; ok {
		return c.replica.name, true
	}
	return "", false
}

// NextTick returns the time at which Tick should be called next. It may be earlier than
// the next action is due.
func (m *Manager) NextTick() time.Time { return m.nextTick }

// scheduleTick makes NextTick return at, unless it already returns an earlier time.
func (m *Manager) scheduleTick(at time.Time) {
	if at.Before(m.nextTick) {
		m.nextTick = at
	}
}

// takeOutput returns and clears the actions and crashes collected since the last call.
func (m *Manager) takeOutput() ([]event.Action, []Crash) {
	actions, crashes := m.actions, m.crashes
	m.actions, m.crashes = nil, nil
	return actions, crashes
}

func (m *Manager) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(d)))
}

func (m *Manager) inc(detail api.Reason) { m.counts.Inc(count.Connection, detail) }
