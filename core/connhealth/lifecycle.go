package connhealth

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
)

// Opened records that a connection is usable.
func (m *Manager) Opened(now time.Time, ev event.ConnOpened) ([]event.Action, []Crash) {
	c, ok := m.conns[ev.Conn]
	if !ok {
		// The connection was given up while it was being opened.
		m.actions = append(m.actions, event.CloseConn{Conn: ev.Conn})
		return m.take()
	}
	m.inc(DetailOpened)
	r := c.replica
	if c.state == opening {
		c.state = open
		m.wakeBy(now)
	}
	took := now.Sub(c.askedAt)
	if r.distance == 0 {
		r.distance = took
	}
	r.distance += time.Duration(distanceWeight * float64(took-r.distance))
	c.incarnation = ev.Load.Incarnation
	c.aliveAt = now
	m.resolve(r, ev.Load.Incarnation)
	m.tick(now)
	return m.take()
}

// Ended records that a connection could not be opened or has ended. The
// attempts on it must be reported to Finished before.
func (m *Manager) Ended(now time.Time, ev event.ConnEnded) ([]event.Action, []Crash) {
	c, ok := m.conns[ev.Conn]
	if !ok {
		return nil, nil
	}
	m.forget(c)
	r := c.replica
	if m.replicas[r.name] != r {
		return m.take()
	}
	m.countEnd(ev.End)
	wasOpening := c.state == opening
	switch {
	case ev.End == event.ConnLimited:
		r.failures++
		m.openAfter(r, now, m.settings.Limited.Delay(m.rng, r.failures))
	case wasOpening || ev.End == event.ConnRefused:
		if ev.End == event.ConnRefused {
			m.crashed(r)
		}
		r.failures++
		m.openAfter(r, now, m.settings.Failed.Delay(m.rng, r.failures))
	default:
		if ev.End == event.ConnReset {
			m.suspect(now, c)
		}
		m.openAfter(r, now, m.jitter(firstJitter))
		if !c.answered {
			r.failures++
			m.openAfter(r, now, m.settings.Failed.Delay(m.rng, r.failures))
		}
		if r.pending != nil {
			// Other nodes may run the same request until this reset is known to be
			// a crash, so that the backoff must not delay the next connection.
			r.nextOpen = now.Add(m.jitter(firstJitter))
		}
	}
	m.tick(now)
	return m.take()
}

// ProbeReplied records a target's answer to a probe.
func (m *Manager) ProbeReplied(now time.Time, ev event.ProbeReplied) ([]event.Action, []Crash) {
	if c, ok := m.conns[ev.Conn]; ok {
		c.alive(now)
		if ev.Load.Incarnation != 0 {
			c.incarnation = ev.Load.Incarnation
		}
		m.wakeBy(now)
		m.tick(now)
	}
	return m.take()
}

// Tick does what is due: probes, replacements and new connections.
func (m *Manager) Tick(now time.Time) ([]event.Action, []Crash) {
	if now.Before(m.wake) {
		return nil, nil
	}
	m.tick(now)
	return m.take()
}

func (m *Manager) tick(now time.Time) {
	m.wake = never
	m.due = m.due[:0]
	for _, r := range m.order {
		m.check(now, r)
		if r.wantsConn(now) {
			m.due = append(m.due, r)
		}
	}
	slices.SortStableFunc(m.due, byUrgency)
	for _, r := range m.due {
		m.open(now, r)
	}
	for i := len(m.retiring) - 1; i >= 0; i-- {
		c := m.retiring[i]
		if len(c.sent) == 0 || now.Sub(c.retiredAt) >= retireWait {
			m.close(c)
			continue
		}
		m.wakeBy(c.retiredAt.Add(retireWait))
	}
}

// byUrgency puts replicas with a possible crash first, then the one that waited
// longest: by name, replicas that refuse could use up the node's rate and starve
// those after them.
func byUrgency(a, b *replica) int {
	if (a.pending != nil) != (b.pending != nil) {
		if a.pending != nil {
			return -1
		}
		return 1
	}
	return a.nextOpen.Compare(b.nextOpen)
}

// check probes and closes the silent connections of a replica.
func (m *Manager) check(now time.Time, r *replica) {
	if r.pending != nil && now.Sub(r.pending.since) >= crashWait {
		r.pending = nil
	}
	// Backwards, because a closed connection is removed from the list.
	for i := len(r.conns) - 1; i >= 0; i-- {
		c := r.conns[i]
		switch {
		case c.state != open || !c.awaiting:
		case !c.probed():
			m.probe(now, c)
		case !c.dead(now, m.settings.ProbeWait):
			m.wakeBy(c.probedAt.Add(m.settings.ProbeWait))
		case !r.isOpening():
			// A replacement answered, failed, or had no room in the quota.
			m.inc(DetailSilent)
			m.close(c)
			if !c.answered {
				r.failures++
				m.openAfter(r, now, m.settings.Failed.Delay(m.rng, r.failures))
			}
		}
	}
}

// probe sends a probe if the connection has been silent for too long.
func (m *Manager) probe(now time.Time, c *conn) {
	due := c.silentSince.Add(m.silence(c.replica))
	if now.Before(due) {
		m.wakeBy(due)
		return
	}
	m.sendProbe(now, c)
}

func (m *Manager) sendProbe(now time.Time, c *conn) {
	c.probedAt = now
	m.inc(DetailProbed)
	m.actions = append(m.actions, event.Probe{Conn: c.id})
	m.wakeBy(now.Add(m.settings.ProbeWait))
}

// wantsConn reports whether a replica needs another connection: it has none that
// works, or a reset has to be told from a crash.
func (r *replica) wantsConn(now time.Time) bool {
	if len(r.conns) >= r.quota {
		return false
	}
	if r.pending != nil {
		// A connection that was being opened before the reset may have reached
		// the process that is gone and hang until it times out.
		since := func(c *conn) bool { return c.state == opening && !c.askedAt.Before(r.pending.since) }
		return !slices.ContainsFunc(r.conns, since)
	}
	if r.isOpening() {
		return false
	}
	works := func(c *conn) bool { return !c.probed() || now.Before(c.graceUntil) }
	return !slices.ContainsFunc(r.conns, works)
}

// open opens a connection within the rates.
func (m *Manager) open(now time.Time, r *replica) {
	at := r.nextOpen
	rate := &r.recent
	if r.pending != nil && !now.Before(r.checks.freeAt()) {
		rate = &r.checks
	}
	if r.reconnects {
		at = latest(at, rate.freeAt(), m.recent.freeAt())
	}
	if now.Before(at) {
		m.wakeBy(at)
		return
	}
	if r.reconnects {
		m.inc(DetailReconnect)
		rate.add(now)
		m.recent.add(now)
	}
	r.reconnects = true
	c := &conn{id: m.newConn(), replica: r, askedAt: now}
	m.conns[c.id] = c
	r.conns = append(r.conns, c)
	m.actions = append(m.actions, event.OpenConn{Conn: c.id, Replica: r.name, Address: r.address})
}

func (r *replica) isOpening() bool {
	return slices.ContainsFunc(r.conns, func(c *conn) bool { return c.state == opening })
}

func (m *Manager) openAfter(r *replica, now time.Time, d time.Duration) {
	r.nextOpen = latest(r.nextOpen, now.Add(d))
}

// close closes a connection and forgets it. Its end is no crash.
func (m *Manager) close(c *conn) {
	m.actions = append(m.actions, event.CloseConn{Conn: c.id})
	m.forget(c)
}

func (m *Manager) forget(c *conn) {
	delete(m.conns, c.id)
	same := func(other *conn) bool { return other == c }
	c.replica.conns = slices.DeleteFunc(c.replica.conns, same)
	m.retiring = slices.DeleteFunc(m.retiring, same)
}

// retire takes a connection out of use until its attempts have ended.
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

// suspect keeps the attempts of a reset connection until the next connection
// tells a crash from a network cut.
func (m *Manager) suspect(now time.Time, c *conn) {
	attempts := c.suspects(now)
	if len(attempts) == 0 {
		return
	}
	r := c.replica
	if r.pending == nil || r.pending.crash.Incarnation != c.incarnation {
		r.pending = &pendingReset{crash: Crash{Replica: r.name, Incarnation: c.incarnation}, since: now}
	}
	r.pending.crash.InFlight = append(r.pending.crash.InFlight, attempts...)
}

// resolve ends a pending reset: another incarnation means a crash. Incarnation 0
// is unknown and decides nothing.
func (m *Manager) resolve(r *replica, incarnation api.Incarnation) {
	if r.pending == nil || incarnation == 0 {
		return
	}
	former := r.pending.crash.Incarnation
	if former != 0 && incarnation != former {
		m.crashed(r)
	}
	r.pending = nil
}

// crashed reports a pending reset as a crash.
func (m *Manager) crashed(r *replica) {
	if r.pending == nil {
		return
	}
	m.inc(DetailCrash)
	m.crashes = append(m.crashes, r.pending.crash)
	r.pending = nil
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
