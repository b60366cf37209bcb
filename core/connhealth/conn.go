package connhealth

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
)

// state is the lifecycle state of a connection.
type state uint8

const (
	opening state = iota
	open
	// retiring connections get no new attempts and are closed once they are idle.
	retiring
)

// conn is the state of one connection to a replica.
type conn struct {
	id              api.ConnID
	replica         *replica
	state           state
	openRequestedAt time.Time
	incarnation     api.Incarnation
	// retiredAt is when the connection entered the state retiring.
	retiredAt time.Time
	// sent holds the attempts in flight, in the order of sending.
	sent []sentAttempt
	// unanswered holds the most recent attempts that ended without an answer.
	unanswered []sentAttempt
	// awaiting is set if something was sent since the last response. silentSince
	// is the start of the silence: the time of that response, or of the first send
	// after it. awaiting stays set when the attempts end: if every attempt on a
	// silent connection is cancelled because a hedge answered, the connection is
	// still silent.
	awaiting    bool
	silentSince time.Time
	// probedAt is set while a probe is outstanding.
	probedAt time.Time
	// hasResponded is set once the target has responded on the connection, apart
	// from its opening.
	hasResponded bool
	// lastResponseAt is the time of the last response; the opening counts as one.
	lastResponseAt time.Time
	// graceUntil delays the replacement of a connection that ProbeNow probed while
	// it was idle, because most idle connections answer immediately.
	graceUntil time.Time
}

// sentAttempt is an attempt that was sent on a connection.
type sentAttempt struct {
	InFlight
	// at is when the attempt was sent, or when it ended if it is in unanswered.
	at time.Time
}

func (c *conn) probeOutstanding() bool { return !c.probedAt.IsZero() }

// probeTimedOut reports whether the outstanding probe had no reply within wait.
func (c *conn) probeTimedOut(now time.Time, wait time.Duration) bool {
	return c.probeOutstanding() && now.Sub(c.probedAt) >= wait
}

// preferredTo orders connections for new attempts: first those without an
// outstanding probe, then those with fewer attempts in flight, then older ones.
func (c *conn) preferredTo(other *conn) bool {
	if c.probeOutstanding() != other.probeOutstanding() {
		return other.probeOutstanding()
	}
	if len(c.sent) != len(other.sent) {
		return len(c.sent) < len(other.sent)
	}
	return c.id < other.id
}

// recordResponse records that the target responded on the connection.
func (c *conn) recordResponse(now time.Time) {
	c.hasResponded = true
	c.lastResponseAt = now
	c.replica.failures = 0
	c.probedAt = time.Time{}
	c.silentSince = now
	c.awaiting = len(c.sent) > 0
}

// possibleCrashAttempts returns the attempts that may have been running on the
// target when the connection ended.
func (c *conn) possibleCrashAttempts(now time.Time) []InFlight {
	var out []InFlight
	for _, a := range c.unanswered {
		if now.Sub(a.at) <= unansweredRetention {
			out = append(out, a.InFlight)
		}
	}
	for _, a := range c.sent {
		out = append(out, a.InFlight)
	}
	return out
}

// Sent records that an attempt was sent on a connection.
func (m *Manager) Sent(now time.Time, id api.ConnID, attempt api.AttemptID, fp api.Fingerprint) {
	c, ok := m.conns[id]
	if !ok {
		return
	}
	c.sent = append(c.sent, sentAttempt{InFlight: InFlight{Attempt: attempt, Fingerprint: fp}, at: now})
	if !c.awaiting {
		c.awaiting = true
		c.silentSince = now
		m.scheduleTick(now.Add(m.silenceLimit(c.replica)))
	}
}

// Finished records the end of an attempt. answered tells whether the target answered
// it; otherwise it was cancelled, expired or failed.
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
			c.addUnanswered(a, now)
		}
	}
	if answered {
		c.recordResponse(now)
	}
	if c.state == retiring && len(c.sent) == 0 {
		m.scheduleTick(now)
	}
}

// addUnanswered adds an attempt that ended without an answer to unanswered.
func (c *conn) addUnanswered(a sentAttempt, now time.Time) {
	a.at = now
	if len(c.unanswered) == maxUnanswered {
		copy(c.unanswered, c.unanswered[1:])
		c.unanswered = c.unanswered[:maxUnanswered-1]
	}
	c.unanswered = append(c.unanswered, a)
}

// Fresh reports whether the last response on a connection is so recent that a request
// that must not be retried may be sent on it.
func (m *Manager) Fresh(now time.Time, id api.ConnID) bool {
	c, ok := m.conns[id]
	return ok && !c.probeOutstanding() && now.Sub(c.lastResponseAt) <= freshFor
}

// ProbeNow probes a connection immediately. Callers use it on a connection that is not
// fresh: one that went silent while it was idle is detected before a request is lost
// on it.
func (m *Manager) ProbeNow(now time.Time, id api.ConnID) []event.Action {
	c, ok := m.conns[id]
	if !ok || c.probeOutstanding() {
		return nil
	}
	c.awaiting = true
	c.graceUntil = now.Add(probeGrace)
	m.scheduleTick(c.graceUntil)
	m.sendProbe(now, c)
	actions, _ := m.takeOutput()
	return actions
}

// silenceLimit returns the time without a response after which a connection is probed.
func (m *Manager) silenceLimit(r *replica) time.Duration {
	high := time.Duration(m.settings.SilenceFactor) * r.latency.Value(tailQuantile)
	return min(max(high, m.settings.MinSilence), m.settings.MaxSilence)
}

// rateWindow is a sliding-window rate limit: at most len(times) events in any second.
// It holds the times of the most recent events in a ring buffer.
type rateWindow struct {
	times []time.Time
	next  int
}

func newWindow(n int) rateWindow { return rateWindow{times: make([]time.Time, n)} }

// nextAllowed returns the earliest time at which another event is allowed.
func (w *rateWindow) nextAllowed() time.Time { return w.times[w.next].Add(time.Second) }

func (w *rateWindow) add(now time.Time) {
	w.times[w.next] = now
	w.next = (w.next + 1) % len(w.times)
}
