package testbed

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// undisturbed reports whether nothing changed at a host in an interval.
func (c *checker) undisturbed(host int, from, to time.Time) bool {
	return !slices.ContainsFunc(c.Disturbed, func(d Disturbance) bool {
		return d.Host == host && d.At.After(from) && !d.At.After(to)
	})
}

// drains checks that a draining target gets no new requests.
func (c *checker) drains() {
	for _, s := range c.Signals {
		for _, run := range c.Runs {
			if run.Replica != s.Replica || run.Incarnation != s.Incarnation || run.Received.Sub(s.At) <= drainBound {
				continue
			}
			if s.Cut && run.Host != s.Host {
				continue
			}
			if c.undisturbed(run.Host, s.At.Add(-drainBound), run.Received) {
				c.fail("P6", "node %d sends %s to %s %v after the first sign of its drain", run.Host, run.Tag, run.Replica, run.Received.Sub(s.At))
			}
		}
	}
}

// drainBegins reports whether the tier learned in an interval that a target
// drains. Its connections are not replaced any more.
func (c *checker) drainBegins(replica api.ReplicaName, from, to time.Time) bool {
	return slices.ContainsFunc(c.Signals, func(s Signal) bool {
		return s.Replica == replica && !s.Cut && s.At.After(from) && !s.At.After(to)
	})
}

// silences checks that a node replaces a silent connection that it uses, unless
// its target begins to drain.
func (c *checker) silences() {
	for _, s := range c.Silences {
		until := s.Used.Add(silenceBound)
		if s.Used.IsZero() || c.End.Before(until) || !c.undisturbed(s.Host, s.At, until) || c.drainBegins(s.Replica, s.Used, until) {
			continue
		}
		if !slices.ContainsFunc(c.Dials, func(d Dial) bool {
			return d.Host == s.Host && d.Replica == s.Replica && !d.At.Before(s.Used) && !d.At.After(until)
		}) {
			c.fail("P10", "node %d does not replace its silent connection to %s in %v", s.Host, s.Replica, silenceBound)
		}
	}
}

// configuration checks that nodes go forward only and that accepted changes stay.
func (c *checker) configuration() {
	type life struct {
		host int
		life api.Life
	}
	at := make(map[life]config.Position)
	for _, a := range c.Adoptions {
		k := life{a.Host, a.Life}
		if a.Position.Compare(at[k]) < 0 {
			c.fail("P8", "node %d goes from %v back to %v", a.Host, at[k], a.Position)
		}
		at[k] = a.Position
	}
	for _, ch := range c.Changes {
		if ch.Outcome == 0 && !ch.Excused && c.End.Sub(ch.At) > changeBound && c.undisturbed(ch.Host, ch.At, ch.At.Add(changeBound)) {
			c.fail("final", "the change at node %d has no answer", ch.Host)
		}
		if ch.Outcome == event.ChangeAccepted {
			c.accepted(ch)
		}
	}
}

// accepted checks that an accepted change stays, and where it is in force in time.
func (c *checker) accepted(ch *Change) {
	if n := len(c.Documents); !c.lostByRestore(ch) && (n == 0 || c.Documents[n-1].Doc.FindChange(ch.ID) == nil) {
		c.fail("P8", "the accepted change %s is not in the store's newest document", ch.ID)
	}
	until := ch.Answered.Add(changeBound)
	if c.End.Before(until) || !c.storeUp(ch.Answered, until) {
		return
	}
	for host := range c.Hosts {
		if !c.undisturbed(host, ch.Answered.Add(-time.Second), until) {
			continue
		}
		inForce := slices.ContainsFunc(c.Adoptions, func(a Adoption) bool {
			return a.Host == host && a.Position.Revision >= ch.Revision && !a.At.After(until)
		})
		up := slices.ContainsFunc(c.Adoptions, func(a Adoption) bool { return a.Host == host })
		if up && !inForce {
			c.fail("P8", "change %s (revision %d) is not in force at node %d after %v", ch.ID, ch.Revision, host, changeBound)
		}
	}
}

// lostByRestore reports whether the store was restored when no node that went
// on running had adopted the change yet: nobody is left to recover it from.
func (c *checker) lostByRestore(ch *Change) bool {
	return slices.ContainsFunc(c.Restored, func(at time.Time) bool {
		return !at.Before(ch.Answered) && !slices.ContainsFunc(c.Adoptions, func(a Adoption) bool {
			return a.Position.Revision >= ch.Revision && !a.At.After(at) && c.undisturbed(a.Host, a.At, at.Add(recoverAfter+time.Second))
		})
	})
}

// storeUp reports whether the store worked during an interval.
func (c *checker) storeUp(from, to time.Time) bool {
	mode := StoreUp
	for _, m := range c.StoreModes {
		if m.At.After(to) {
			break
		}
		if m.At.After(from) && m.Mode != StoreUp {
			return false
		}
		if !m.At.After(from) {
			mode = m.Mode
		}
	}
	return mode == StoreUp
}
