package testbed

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
)

func (h *Host) open(a event.OpenConn) {
	w := h.w
	i := slices.IndexFunc(w.Targets, func(t *Target) bool { return t.Name == a.Replica })
	if i < 0 {
		h.later(w.hop(), event.ConnEnded{Conn: a.Conn, End: event.ConnTimedOut})
		return
	}
	t := w.Targets[i]
	c := &conn{id: a.Conn, host: h, life: h.life, target: t}
	h.conns[a.Conn] = c
	w.Trace.Dials = append(w.Trace.Dials, Dial{w.now, h.index, t.Name})
	w.After(3*w.hop(), func() { t.accept(c) })
}

func (t *Target) accept(c *conn) {
	switch {
	case c.ended || c.host.life != c.life:
	case !t.up:
		c.end(event.ConnRefused)
	case t.Frozen:
		t.w.After(openTimeout, func() { c.end(event.ConnTimedOut) })
	case len(t.conns) >= t.Limit:
		c.end(event.ConnLimited)
	default:
		c.open = true
		t.conns = append(t.conns, c)
		c.host.laterOn(c, t.w.hop(), func() event.Event { return event.ConnOpened{Conn: c.id, Load: t.load(c)} })
	}
}

// laterOn feeds an event that arrives on a connection, unless that ends before.
func (h *Host) laterOn(c *conn, d time.Duration, ev func() event.Event) {
	if c.silent {
		return
	}
	e := ev()
	h.w.After(d, func() {
		if h.life == c.life && !c.ended && !c.silent {
			h.feed(e)
		}
	})
}

// end closes a connection and tells its host, in the order that the driver
// keeps: failed attempts first.
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
	h.w.After(h.w.hop(), func() {
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

// send hands a request to its connection.
func (h *Host) send(k *call) {
	c := k.conn
	if c == nil || !c.open {
		h.later(0, event.AttemptFailed{Attempt: k.attempt, Conn: k.connID, NeverSent: true})
		return
	}
	h.calls[k.attempt] = k
	c.calls = append(slices.DeleteFunc(c.calls, func(o *call) bool { return o.ended }), k)
	if c.silent {
		works := func(o *conn) bool { return o.host == h && o.open && !o.silent }
		if s := c.silence; s.Used.IsZero() && !slices.ContainsFunc(c.target.conns, works) {
			s.Used = h.w.now
		}
		return
	}
	h.w.After(h.w.hop(), func() {
		if c.open && !c.silent {
			c.target.receive(k)
		}
	})
}

func (h *Host) cancel(id api.AttemptID) {
	k := h.calls[id]
	if k == nil {
		return
	}
	delete(h.calls, id)
	k.ended = true
	h.w.After(h.w.hop(), func() { k.cancelled = true })
}

func (h *Host) probe(id api.ConnID) {
	c := h.conns[id]
	if c == nil || !c.open || c.silent {
		return
	}
	h.w.After(h.w.hop(), func() {
		if c.open && !c.target.Frozen {
			c.told = -1 // who asks is told everything
			h.laterOn(c, h.w.hop(), func() event.Event { return event.ProbeReplied{Conn: c.id, Load: c.target.load(c)} })
		}
	})
}

// dropHost forgets the connections of a host that is gone.
func (t *Target) dropHost(h *Host) {
	for _, c := range slices.Clone(t.conns) {
		if c.host == h {
			c.end(event.ConnReset)
		}
	}
}
