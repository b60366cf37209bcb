package connhealth

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
)

// Opened records that a connection was opened.
func (m *Manager) Opened(now time.Time, ev event.ConnOpened) ([]event.Action, []Crash) {
	c, ok := m.conns[ev.Conn]
	if !ok {
		// The connection was abandoned while it was being opened.
		m.actions = append(m.actions, event.CloseConn{Conn: ev.Conn})
		return m.takeOutput()
	}
	m.inc(DetailOpened)
	r := c.replica
	if c.state == opening {
		c.state = open
		m.scheduleTick(now)
	}
	took := now.Sub(c.openRequestedAt)
	if r.openTime == 0 {
		r.openTime = took
	}
	r.openTime += time.Duration(openTimeWeight * float64(took-r.openTime))
	c.incarnation = ev.Load.Incarnation
	c.lastResponseAt = now
	m.resolvePendingReset(r, ev.Load.Incarnation)
	m.tick(now)
	return m.takeOutput()
}

// Ended records that a connection could not be opened or has ended. Its attempts must
// have been passed to Finished before.
func (m *Manager) Ended(now time.Time, ev event.ConnEnded) ([]event.Action, []Crash) {
	c, ok := m.conns[ev.Conn]
	if !ok {
		return nil, nil
	}
	m.remove(c)
	r := c.replica
	if m.replicas[r.name] != r {
		return m.takeOutput()
	}
	m.countEnd(ev.End)
	wasOpening := c.state == opening
	switch {
	case ev.End == event.ConnLimited:
		r.failures++
		m.delayNextOpen(r, now, m.settings.LimitedBackoff.Delay(m.rng, r.failures))
	case wasOpening || ev.End == event.ConnRefused:
		if ev.End == event.ConnRefused {
			m.reportCrash(r)
		}
		r.failures++
		m.delayNextOpen(r, now, m.settings.FailedBackoff.Delay(m.rng, r.failures))
	default:
		if ev.End == event.ConnReset {
			m.recordPendingReset(now, c)
		}
		m.delayNextOpen(r, now, m.jitter(reconnectJitter))
		if !c.hasResponded {
			r.failures++
			m.delayNextOpen(r, now, m.settings.FailedBackoff.Delay(m.rng, r.failures))
		}
		if r.pendingReset != nil {
			// Until this reset is known to be a crash, other nodes may run the same
			// request, so the backoff must not delay the next connection.
			r.nextOpen = now.Add(m.jitter(reconnectJitter))
		}
	}
	m.tick(now)
	return m.takeOutput()
}

// ProbeReplied records a target's reply to a probe.
func (m *Manager) ProbeReplied(now time.Time, ev event.ProbeReplied) ([]event.Action, []Crash) {
	if c, ok := m.conns[ev.Conn]; ok {
		c.recordResponse(now)
		if ev.Load.Incarnation != 0 {
			c.incarnation = ev.Load.Incarnation
		}
		m.scheduleTick(now)
		m.tick(now)
	}
	return m.takeOutput()
}

// Tick performs the work that is due: probes, replacements and new connections.
func (m *Manager) Tick(now time.Time) ([]event.Action, []Crash) {
	if now.Before(m.nextTick) {
		return nil, nil
	}
	m.tick(now)
	return m.takeOutput()
}

func (m *Manager) tick(now time.Time) {
	m.nextTick = never
	m.due = m.due[:0]
	for _, r := range m.sortedReplicas {
		m.checkSilence(now, r)
		if r.needsConn(now) {
			m.due = append(m.due, r)
		}
	}
	slices.SortStableFunc(m.due, byUrgency)
	for _, r := range m.due {
		m.openConn(now, r)
	}
	for i := len(m.retiring) - 1; i >= 0; i-- {
		c := m.retiring[i]
		if len(c.sent) == 0 || now.Sub(c.retiredAt) >= retireTimeout {
			m.closeConn(c)
			continue
		}
		m.scheduleTick(c.retiredAt.Add(retireTimeout))
	}
}

// byUrgency sorts replicas with a pending reset first, then by the earliest time for
// their next connection. If they were sorted by name, replicas that refuse connections
// could use up the node's reconnect rate and starve the replicas after them.
func byUrgency(a, b *replica) int {
	if (a.pendingReset != nil) != (b.pendingReset != nil) {
		if a.pendingReset != nil {
			return -1
		}
		return 1
	}
	return a.nextOpen.Compare(b.nextOpen)
}

// checkSilence probes or closes the silent connections of a replica and drops a pending
// reset that timed out.
func (m *Manager) checkSilence(now time.Time, r *replica) {
	if r.pendingReset != nil && now.Sub(r.pendingReset.since) >= crashDecisionTimeout {
		r.pendingReset = nil
	}
	// Iterate backwards because closeConn removes the connection from the list.
	for i := len(r.conns) - 1; i >= 0; i-- {
		c := r.conns[i]
		switch {
		case c.state != open || !c.awaiting:
		case !c.probeOutstanding():
			m.probeIfSilent(now, c)
		case !c.probeTimedOut(now, m.settings.ProbeTimeout):
			m.scheduleTick(c.probedAt.Add(m.settings.ProbeTimeout))
		case !r.isOpening():
			// A replacement was opened, failed, or did not fit into the quota.
			m.inc(DetailSilent)
			m.closeConn(c)
			if !c.hasResponded {
				r.failures++
				m.delayNextOpen(r, now, m.settings.FailedBackoff.Delay(m.rng, r.failures))
			}
		}
	}
}

// probeIfSilent sends a probe if the connection has been silent for at least
// silenceLimit.
func (m *Manager) probeIfSilent(now time.Time, c *conn) {
	due := c.silentSince.Add(m.silenceLimit(c.replica))
	if now.Before(due) {
		m.scheduleTick(due)
		return
	}
	m.sendProbe(now, c)
}

func (m *Manager) sendProbe(now time.Time, c *conn) {
	c.probedAt = now
	m.inc(DetailProbed)
	m.actions = append(m.actions, event.Probe{Conn: c.id})
	m.scheduleTick(now.Add(m.settings.ProbeTimeout))
}

// needsConn reports whether a replica needs another connection: because none works, or to
// find out whether a pending reset was a crash.
func (r *replica) needsConn(now time.Time) bool {
	if len(r.conns) >= r.quota {
		return false
	}
	if r.pendingReset != nil {
		// Connections requested before the reset do not count: they may have
		// reached the process that ended and hang until they time out.
		since := func(c *conn) bool { return c.state == opening && !c.openRequestedAt.Before(r.pendingReset.since) }
		return !slices.ContainsFunc(r.conns, since)
	}
	if r.isOpening() {
		return false
	}
	works := func(c *conn) bool { return !c.probeOutstanding() || now.Before(c.graceUntil) }
	return !slices.ContainsFunc(r.conns, works)
}

// openConn opens a connection, or schedules it if the backoff or a reconnect rate does not
// allow it yet.
func (m *Manager) openConn(now time.Time, r *replica) {
	at := r.nextOpen
	rate := &r.reconnectWindow
	if r.pendingReset != nil && !now.Before(r.crashCheckWindow.nextAllowed()) {
		rate = &r.crashCheckWindow
	}
	if r.openedBefore {
		at = latest(at, rate.nextAllowed(), m.reconnectWindow.nextAllowed())
	}
	if now.Before(at) {
		m.scheduleTick(at)
		return
	}
	if r.openedBefore {
		m.inc(DetailReconnect)
		rate.add(now)
		m.reconnectWindow.add(now)
	}
	r.openedBefore = true
	c := &conn{id: m.newConn(), replica: r, openRequestedAt: now}
	m.conns[c.id] = c
	r.conns = append(r.conns, c)
	m.actions = append(m.actions, event.OpenConn{Conn: c.id, Replica: r.name, Address: r.address})
}

func (r *replica) isOpening() bool {
	return slices.ContainsFunc(r.conns, func(c *conn) bool { return c.state == opening })
}

func (m *Manager) delayNextOpen(r *replica, now time.Time, d time.Duration) {
	r.nextOpen = latest(r.nextOpen, now.Add(d))
}

// closeConn closes and removes a connection. Its end is not treated as a crash.
func (m *Manager) closeConn(c *conn) {
	m.actions = append(m.actions, event.CloseConn{Conn: c.id})
	m.remove(c)
}

func (m *Manager) remove(c *conn) {
	delete(m.conns, c.id)
	same := func(other *conn) bool { return other == c }
	c.replica.conns = slices.DeleteFunc(c.replica.conns, same)
	m.retiring = slices.DeleteFunc(m.retiring, same)
}

// retire takes a connection out of use; it is closed once its attempts have ended.
func (m *Manager) retire(now time.Time, c *conn) {
	c.replica.conns = slices.DeleteFunc(c.replica.conns, func(other *conn) bool { return other == c })
	c.state = retiring
	c.retiredAt = now
	m.retiring = append(m.retiring, c)
}

func (m *Manager) retireAll(now time.Time, r *replica) {
	for len(r.conns) > 0 {
		m.retire(now, r.conns[0])
	}
}

// recordPendingReset keeps the attempts of a reset connection until the next connection
// shows whether the target crashed or the network failed.
func (m *Manager) recordPendingReset(now time.Time, c *conn) {
	attempts := c.possibleCrashAttempts(now)
	if len(attempts) == 0 {
		return
	}
	r := c.replica
	if r.pendingReset == nil || r.pendingReset.crash.Incarnation != c.incarnation {
		r.pendingReset = &pendingReset{crash: Crash{Replica: r.name, Incarnation: c.incarnation}, since: now}
	}
	r.pendingReset.crash.InFlight = append(r.pendingReset.crash.InFlight, attempts...)
}

// resolvePendingReset decides on a pending reset when a new connection is opened: a
// different incarnation means that the target crashed. Incarnation 0 is unknown and
// decides nothing.
func (m *Manager) resolvePendingReset(r *replica, incarnation api.Incarnation) {
	if r.pendingReset == nil || incarnation == 0 {
		return
	}
	former := r.pendingReset.crash.Incarnation
	if former != 0 && incarnation != former {
		m.reportCrash(r)
	}
	r.pendingReset = nil
}

// reportCrash reports the pending reset, if there is one, as a crash.
func (m *Manager) reportCrash(r *replica) {
	if r.pendingReset == nil {
		return
	}
	m.inc(DetailCrash)
	m.crashes = append(m.crashes, r.pendingReset.crash)
	r.pendingReset = nil
}

func (m *Manager) countEnd(end event.ConnEnd) {
	switch end {
	case event.ConnClosed:
		m.inc(DetailClosed)
	case event.ConnReset:
		m.inc(DetailReset)
	case event.ConnRefused:
		m.inc(DetailRefused)
	case event.ConnTimedOut:
		m.inc(DetailTimedOut)
	case event.ConnLimited:
		m.inc(DetailLimited)
	}
}

func latest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.After(first) {
			first = t
		}
	}
	return first
}
