package connhealth

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
)

// state is the life cycle of a connection.
type state uint8

const (
	opening state = iota
	open
	// retiring connections take no new attempts and are closed when idle.
	retiring
)

// conn is one connection.
type conn struct {
	id          api.ConnID
	replica     *replica
	state       state
	askedAt     time.Time
	incarnation api.Incarnation
	// retiredAt is the start of the state retiring.
	retiredAt time.Time
	// sent holds the attempts without an answer, in order of sending.
	sent []sentAttempt
	// unanswered holds the last attempts that ended without an answer.
	unanswered []sentAttempt
	// awaiting says that something was sent since the last sign of life at
	// silentSince. It outlasts the attempts: if each one on a silent connection
	// is cancelled because a hedge answered, the connection is still silent.
	awaiting    bool
	silentSince time.Time
	// probedAt is set while a probe is outstanding.
	probedAt time.Time
	// answered says that the connection has shown a sign of life after its opening.
	answered bool
	// aliveAt is the time of the last sign of life, its opening included.
	aliveAt time.Time
	// graceUntil delays the replacement of a connection that was idle when it
	// was probed: most of them answer at once.
	graceUntil time.Time
}

type sentAttempt struct {
	InFlight
	// at is when the attempt was sent, or when it ended if it is in unanswered.
	at time.Time
}

func (c *conn) probed() bool { return !c.probedAt.IsZero() }

// dead reports whether a probe has had no reply in time.
func (c *conn) dead(now time.Time, wait time.Duration) bool {
	return c.probed() && now.Sub(c.probedAt) >= wait
}

// preferredTo orders connections for new attempts: without a probe outstanding,
// then with fewer attempts, then the older one.
func (c *conn) preferredTo(other *conn) bool {
	if c.probed() != other.probed() {
		return other.probed()
	}
	if len(c.sent) != len(other.sent) {
		return len(c.sent) < len(other.sent)
	}
	return c.id < other.id
}

// alive records a sign of life.
func (c *conn) alive(now time.Time) {
	c.answered = true
	c.aliveAt = now
	c.replica.failures = 0
	c.probedAt = time.Time{}
	c.silentSince = now
	c.awaiting = len(c.sent) > 0
}

// suspects returns the attempts that may have been running when the connection
// ended.
func (c *conn) suspects(now time.Time) []InFlight {
	var out []InFlight
	for _, a := range c.unanswered {
		if now.Sub(a.at) <= rememberUnanswered {
			out = append(out, a.InFlight)
		}
	}
	for _, a := range c.sent {
		out = append(out, a.InFlight)
	}
	return out
}

// Sent records an attempt handed to a connection.
func (m *Manager) Sent(now time.Time, id api.ConnID, attempt api.AttemptID, fp api.Fingerprint) {
	c, ok := m.conns[id]
	if !ok {
		return
	}
	c.sent = append(c.sent, sentAttempt{InFlight: InFlight{Attempt: attempt, Fingerprint: fp}, at: now})
	if !c.awaiting {
		c.awaiting = true
		c.silentSince = now
		m.wakeBy(now.Add(m.silence(c.replica)))
	}
}

// Finished records the end of an attempt: answered by the target, or else
// cancelled, expired or failed.
func (m *Manager) Finished(now time.Time, id api.ConnID, attempt api.AttemptID, answered bool) {
	c, ok := m.conns[id]
	if !ok {
		return
	}
	i := 0
	for i < len(c.sent) && c.sent[i].Attempt != attempt {
		i++
	}
	if i < len(c.sent) {
		a := c.sent[i]
		c.sent = append(c.sent[:i], c.sent[i+1:]...)
		if answered {
			c.replica.latency.Add(now, now.Sub(a.at))
		} else {
			c.remember(a, now)
		}
	}
	if answered {
		c.alive(now)
	}
	if c.state == retiring && len(c.sent) == 0 {
		m.wakeBy(now)
	}
}

// remember keeps an attempt that ended without an answer.
func (c *conn) remember(a sentAttempt, now time.Time) {
	a.at = now
	if len(c.unanswered) == unansweredMost {
		copy(c.unanswered, c.unanswered[1:])
		c.unanswered = c.unanswered[:unansweredMost-1]
	}
	c.unanswered = append(c.unanswered, a)
}

// Fresh reports whether a connection has shown a sign of life so recently that a
// request which cannot be repeated may be sent on it.
func (m *Manager) Fresh(now time.Time, id api.ConnID) bool {
	c, ok := m.conns[id]
	return ok && !c.probed() && now.Sub(c.aliveAt) <= freshFor
}

// Check probes a connection that is not fresh. A connection that went silent
// while it was idle is found out this way before a request is lost on it.
func (m *Manager) Check(now time.Time, id api.ConnID) []event.Action {
	c, ok := m.conns[id]
	if !ok || c.probed() {
		return nil
	}
	c.awaiting = true
	c.graceUntil = now.Add(checkGrace)
	m.wakeBy(c.graceUntil)
	m.sendProbe(now, c)
	actions, _ := m.take()
	return actions
}

// silence is the time without an answer after which a connection is probed.
func (m *Manager) silence(r *replica) time.Duration {
	high := time.Duration(m.settings.SilenceFactor) * r.latency.Value(highQuantile)
	return min(max(high, m.settings.SilenceLeast), m.settings.SilenceMost)
}

// window bounds the events within any second by the times of the last ones.
type window struct {
	times []time.Time
	next  int
}

func newWindow(n int) window { return window{times: make([]time.Time, n)} }

// freeAt is the earliest time for another event.
func (w *window) freeAt() time.Time { return w.times[w.next].Add(time.Second) }

func (w *window) add(now time.Time) {
	w.times[w.next] = now
	w.next = (w.next + 1) % len(w.times)
}
