// Package connhealth owns the connections to targets: how many to hold, when to
// open, probe, replace and close them, and whether the end of one was a crash
// of the target's process.
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

// Details of the counters of kind count.Connection.
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

// Settings are the bounds of a Manager. Zero values take those of Defaults.
type Settings struct {
	// SilenceLeast and SilenceMost bound the time without an answer after which
	// a connection with a request outstanding is probed; between them it is
	// SilenceFactor times the replica's 0.99 latency.
	SilenceLeast  time.Duration
	SilenceMost   time.Duration
	SilenceFactor int
	// ProbeWait is how long a probe may take before the connection counts as silent.
	ProbeWait time.Duration
	// ReplicaReconnects and NodeReconnects are the most reconnects within any second.
	ReplicaReconnects int
	NodeReconnects    int
	// Failed is the backoff after a refused, timed out or silent connection,
	// Limited the one after a target's connection limit was reached.
	Failed  retry.Backoff
	Limited retry.Backoff
	// OpenSpread is the time per replica over which first connections are spread.
	OpenSpread time.Duration
}

// Defaults returns the settings of the design: detection of a silent connection
// within 1 s + 0.5 s, at most 2 reconnects per second to a replica and 20 in all.
func Defaults() Settings {
	return Settings{
		SilenceLeast:      500 * time.Millisecond,
		SilenceMost:       time.Second,
		SilenceFactor:     4,
		ProbeWait:         500 * time.Millisecond,
		ReplicaReconnects: 2,
		NodeReconnects:    20,
		Failed:            retry.Backoff{Base: 200 * time.Millisecond, Cap: 5 * time.Second},
		Limited:           retry.Backoff{Base: 2 * time.Second, Cap: 10 * time.Second},
		OpenSpread:        2 * time.Millisecond,
	}
}

const (
	// firstJitter spreads the first reconnect after a reset.
	firstJitter = 20 * time.Millisecond
	// openSpreadMost bounds the time over which first connections are spread.
	openSpreadMost = time.Second
	// freshFor is how long a sign of life vouches for a connection.
	freshFor = time.Second
	// checkGrace is how long a checked connection may take to answer before a
	// replacement is opened.
	checkGrace = 50 * time.Millisecond
	// rememberUnanswered is how long an attempt that ended without an answer is
	// still suspected of a crash: the driver reports it before the connection's
	// end, and a cancelled request may still be running.
	rememberUnanswered = time.Second
	// unansweredMost bounds the attempts remembered per connection.
	unansweredMost = 64
	// crashWait bounds the time that a reset waits to be told from a network cut.
	crashWait = 30 * time.Second
	// retireWait bounds the time that a connection no longer wanted is kept for
	// the attempts on it.
	retireWait = 30 * time.Second
	// highQuantile is the latency quantile that SilenceFactor multiplies.
	highQuantile = 0.99
	// distanceWeight is the weight of a new opening time in the smoothed one.
	distanceWeight = 0.25
)

// never is later than any time that matters.
var never = time.Unix(1<<40, 0)

// InFlight is an attempt that was on a connection when it ended.
type InFlight struct {
	Attempt     api.AttemptID
	Fingerprint api.Fingerprint
}

// Crash says that a target's process ended with attempts in flight.
type Crash struct {
	Replica api.ReplicaName
	// Incarnation is that of the process that ended.
	Incarnation api.Incarnation
	// InFlight holds the attempts that may have caused it, in the order of sending.
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
	latency quantile.Estimate
	// distance is the smoothed time to open a connection.
	distance time.Duration
	// failures counts connections in a row that failed or were silent.
	failures int
	// nextOpen is the earliest time for the next connection.
	nextOpen time.Time
	// reconnects tells a reconnect from the first connection.
	reconnects bool
	recent     window
	// checks bounds the reconnects that tell a crash from a cut, one in any
	// second beside those of recent. If earlier reconnects to a restarting target
	// delayed this one, another node could run the same request meanwhile.
	checks window
	// pending is a reset that is not yet known to be a crash or a cut.
	pending *pendingReset
}

type pendingReset struct {
	crash Crash
	since time.Time
}

// Manager owns the connections of one node.
type Manager struct {
	settings Settings
	newConn  func() api.ConnID
	rng      *rand.Rand
	counts   *count.Set

	replicas map[api.ReplicaName]*replica
	// order holds the replicas by name, so that no map order reaches an action.
	order []*replica
	conns map[api.ConnID]*conn
	// retiring holds connections that are closed once their attempts have ended.
	retiring []*conn
	// due is a buffer for the replicas that want a connection.
	due     []*replica
	recent  window
	wake    time.Time
	actions []event.Action
	crashes []Crash
}

// New returns a Manager without connections. newConn assigns identities.
func New(settings Settings, newConn func() api.ConnID, rng *rand.Rand, counts *count.Set) *Manager {
	settings = settings.withDefaults()
	return &Manager{
		settings: settings,
		newConn:  newConn,
		rng:      rng,
		counts:   counts,
		replicas: make(map[api.ReplicaName]*replica),
		conns:    make(map[api.ConnID]*conn),
		recent:   newWindow(settings.NodeReconnects),
		wake:     never,
	}
}

func (s Settings) withDefaults() Settings {
	d := Defaults()
	s.SilenceLeast = cmp.Or(s.SilenceLeast, d.SilenceLeast)
	s.SilenceMost = cmp.Or(s.SilenceMost, d.SilenceMost)
	s.SilenceFactor = cmp.Or(s.SilenceFactor, d.SilenceFactor)
	s.ProbeWait = cmp.Or(s.ProbeWait, d.ProbeWait)
	s.ReplicaReconnects = cmp.Or(s.ReplicaReconnects, d.ReplicaReconnects)
	s.NodeReconnects = cmp.Or(s.NodeReconnects, d.NodeReconnects)
	s.Failed = cmp.Or(s.Failed, d.Failed)
	s.Limited = cmp.Or(s.Limited, d.Limited)
	s.OpenSpread = cmp.Or(s.OpenSpread, d.OpenSpread)
	return s
}

// Configure adopts the replicas of a document and the number of live nodes,
// this one included. Connections that are no longer wanted are closed when
// their attempts have ended.
func (m *Manager) Configure(now time.Time, doc *config.Document, liveNodes int) []event.Action {
	for _, r := range m.order {
		c, ok := doc.Replicas[r.name]
		if !ok || c.Address != r.address {
			m.retireAll(now, r)
			delete(m.replicas, r.name)
		}
	}
	m.order = m.order[:0]
	var added []*replica
	for name, c := range doc.Replicas {
		r, ok := m.replicas[name]
		if !ok {
			r = &replica{name: name, address: c.Address, recent: newWindow(m.settings.ReplicaReconnects), checks: newWindow(1)}
			m.replicas[name] = r
			added = append(added, r)
		}
		r.limit = c.Connections
		m.order = append(m.order, r)
	}
	byName := func(a, b *replica) int { return cmp.Compare(a.name, b.name) }
	slices.SortFunc(m.order, byName)
	slices.SortFunc(added, byName)
	spread := min(time.Duration(len(added))*m.settings.OpenSpread, openSpreadMost)
	for _, r := range added {
		r.nextOpen = now.Add(m.jitter(spread))
	}
	m.setQuotas(now, liveNodes)
	m.tick(now)
	actions, _ := m.take()
	return actions
}

// SetLiveNodes adapts the quotas to the number of live nodes, this one included.
func (m *Manager) SetLiveNodes(now time.Time, liveNodes int) []event.Action {
	m.setQuotas(now, liveNodes)
	m.tick(now)
	actions, _ := m.take()
	return actions
}

func (m *Manager) setQuotas(now time.Time, liveNodes int) {
	for _, r := range m.order {
		r.quota = limit.Quota(r.limit, liveNodes)
		for len(r.conns) > r.quota {
			m.retire(now, r.conns[len(r.conns)-1])
		}
	}
}

// Pick returns the connection of a replica for a new attempt; false if none is
// open, or if each one was probed in vain. A probed connection is used only if
// there is no other.
func (m *Manager) Pick(now time.Time, name api.ReplicaName) (api.ConnID, bool) {
	r, ok := m.replicas[name]
	if !ok {
		return 0, false
	}
	var best *conn
	for _, c := range r.conns {
		if c.state != open || c.dead(now, m.settings.ProbeWait) {
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

// Open returns the number of usable connections to a replica.
func (m *Manager) Open(name api.ReplicaName) int {
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

// ResetPending reports whether a connection to a replica was reset and it is
// not yet known whether the target crashed.
func (m *Manager) ResetPending(name api.ReplicaName) bool {
	r, ok := m.replicas[name]
	return ok && r.pending != nil
}

// Distance returns the smoothed time to open a connection to a replica; 0 if
// none has been opened.
func (m *Manager) Distance(name api.ReplicaName) time.Duration {
	if r, ok := m.replicas[name]; ok {
		return r.distance
	}
	return 0
}

// Replica returns the replica of a connection.
func (m *Manager) Replica(id api.ConnID) (api.ReplicaName, bool) {
	if c, ok := m.conns[id]; ok {
		return c.replica.name, true
	}
	return "", false
}

// Wake returns the time at which Tick has something to do. It may be too early.
func (m *Manager) Wake() time.Time { return m.wake }

// wakeBy moves Wake forward to at.
func (m *Manager) wakeBy(at time.Time) {
	if at.Before(m.wake) {
		m.wake = at
	}
}

// take returns the actions and crashes gathered since the last call.
func (m *Manager) take() ([]event.Action, []Crash) {
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
