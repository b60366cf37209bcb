package testbed

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
)

// open requests a connection to a target.
func (h *Host) open(a event.OpenConn) {
	sim := h.sim
	i := slices.IndexFunc(sim.Targets, func(t *Target) bool { return t.Name == a.Replica })
	if i < 0 {
		h.feedAfter(sim.hopDelay(), event.ConnEnded{Conn: a.Conn, End: event.ConnTimedOut})
		return
	}
	t := sim.Targets[i]
	c := &conn{id: a.Conn, host: h, life: h.life, target: t}
	h.conns[a.Conn] = c
	sim.Trace.Dials = append(sim.Trace.Dials, Dial{sim.now, h.index, t.Name})
	sim.After(3*sim.hopDelay(), func() { t.accept(c) })
}

// accept accepts or refuses a connection that a host has requested.
func (t *Target) accept(c *conn) {
	switch {
	case c.ended || c.host.life != c.life:
	case !t.up:
		c.end(event.ConnRefused)
	case t.Frozen:
		t.sim.After(openTimeout, func() { c.end(event.ConnTimedOut) })
	case len(t.conns) >= t.ConnLimit:
		c.end(event.ConnLimited)
	default:
		c.open = true
		t.conns = append(t.conns, c)
		c.host.feedOnConn(c, t.sim.hopDelay(), func() event.Event { return event.ConnOpened{Conn: c.id, Load: t.currentLoad(c)} })
	}
}

// feedOnConn feeds an event that arrives on a connection after a delay, unless the
// connection ends or goes silent before.
func (h *Host) feedOnConn(c *conn, d time.Duration, ev func() event.Event) {
	if c.silent {
		return
	}
	e := ev()
	h.sim.After(d, func() {
		if h.life == c.life && !c.ended && !c.silent {
			h.feed(e)
		}
	})
}

// end closes a connection and notifies its host in the order that the driver
// guarantees: first the failed attempts, then the end of the connection.
func (c *conn) end(how event.ConnEnd) {
	if c.ended {
		return
	}
	c.ended, c.open = true, false
	t, h := c.target, c.host
	t.conns = slices.DeleteFunc(t.conns, func(o *conn) bool { return o == c })
	t.queued = slices.DeleteFunc(t.queued, func(o *call) bool { return o.conn == c })
	if h.life != c.life {
		return
	}
	life := h.life
	calls := c.calls
	h.sim.After(h.sim.hopDelay(), func() {
		for _, k := range calls {
			if h.life == life && !k.ended {
				k.ended = true
				h.feed(event.AttemptFailed{Attempt: k.attempt, Conn: c.id})
			}
		}
		if h.life == life {
			h.feed(event.ConnEnded{Conn: c.id, End: how})
		}
	})
}

// send sends a request on its connection.
func (h *Host) send(k *call) {
	c := k.conn
	if c == nil || !c.open {
		h.feedAfter(0, event.AttemptFailed{Attempt: k.attempt, Conn: k.connID, NeverSent: true})
		return
	}
	h.calls[k.attempt] = k
	c.calls = append(slices.DeleteFunc(c.calls, func(o *call) bool { return o.ended }), k)
	if c.silent {
		usable := func(o *conn) bool { return o.host == h && o.open && !o.silent }
		if s := c.silentConn; s.FirstLost.IsZero() && !slices.ContainsFunc(c.target.conns, usable) {
			s.FirstLost = h.sim.now
		}
		return
	}
	h.sim.After(h.sim.hopDelay(), func() {
		if c.open && !c.silent {
			c.target.receive(k)
		}
	})
}

// cancel stops waiting for an attempt and tells the target, which drops it if it
// is a search that has not started.
func (h *Host) cancel(id api.AttemptID) {
	k := h.calls[id]
	if k == nil {
		return
	}
	delete(h.calls, id)
	k.ended = true
	h.sim.After(h.sim.hopDelay(), func() { k.cancelled = true })
}

// probe asks the target of a connection for its load.
func (h *Host) probe(id api.ConnID) {
	c := h.conns[id]
	if c == nil || !c.open || c.silent {
		return
	}
	h.sim.After(h.sim.hopDelay(), func() {
		if c.open && !c.target.Frozen {
			c.reportedRevision = -1 // a probe is always answered with the served shards
			h.feedOnConn(c, h.sim.hopDelay(), func() event.Event { return event.ProbeReplied{Conn: c.id, Load: c.target.currentLoad(c)} })
		}
	})
}

// dropHost closes the connections of a host that is down.
func (t *Target) dropHost(h *Host) {
	for _, c := range slices.Clone(t.conns) {
		if c.host == h {
			c.end(event.ConnReset)
		}
	}
}
