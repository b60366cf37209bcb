package testbed

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// undisrupted reports whether a host has no Disruption after from and up to to.
func (c *checker) undisrupted(host int, from, to time.Time) bool {
	return !slices.ContainsFunc(c.Disruptions, func(d Disruption) bool {
		return d.Host == host && d.At.After(from) && !d.At.After(to)
	})
}

// checkDrains checks that a draining target gets no requests later than drainBound
// after the first drain signal.
func (c *checker) checkDrains() {
	for _, s := range c.DrainSignals {
		for _, execution := range c.Executions {
			if execution.Replica != s.Replica || execution.Incarnation != s.Incarnation || execution.Received.Sub(s.At) <= drainBound {
				continue
			}
			if s.Cut && execution.Host != s.Host {
				continue
			}
			if c.undisrupted(execution.Host, s.At.Add(-drainBound), execution.Received) {
				c.fail("P6", "node %d sends %s to %s %v after the first sign of its drain", execution.Host, execution.Tag, execution.Replica, execution.Received.Sub(s.At))
			}
		}
	}
}

// drainSignaled reports whether the tier learned in an interval that a target is
// draining. Nodes no longer replace connections to such a target.
func (c *checker) drainSignaled(replica api.ReplicaName, from, to time.Time) bool {
	return slices.ContainsFunc(c.DrainSignals, func(s DrainSignal) bool {
		return s.Replica == replica && !s.Cut && s.At.After(from) && !s.At.After(to)
	})
}

// checkSilentConns checks that a node replaces a silent connection that it uses
// within silenceBound, unless the target begins to drain.
func (c *checker) checkSilentConns() {
	for _, s := range c.SilentConns {
		until := s.FirstLost.Add(silenceBound)
		if s.FirstLost.IsZero() || c.End.Before(until) || !c.undisrupted(s.Host, s.At, until) || c.drainSignaled(s.Replica, s.FirstLost, until) {
			continue
		}
		if !slices.ContainsFunc(c.Dials, func(d Dial) bool {
			return d.Host == s.Host && d.Replica == s.Replica && !d.At.Before(s.FirstLost) && !d.At.After(until)
		}) {
			c.fail("P10", "node %d does not replace its silent connection to %s in %v", s.Host, s.Replica, silenceBound)
		}
	}
}

// checkConfiguration checks that nodes never adopt an older document, that changes
// are answered in time, and that accepted changes persist.
func (c *checker) checkConfiguration() {
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
		if ch.Outcome == 0 && !ch.Exempt && c.End.Sub(ch.At) > changeBound && c.undisrupted(ch.Host, ch.At, ch.At.Add(changeBound)) {
			c.fail("final", "the change at node %d has no answer", ch.Host)
		}
		if ch.Outcome == event.ChangeAccepted {
			c.checkAcceptedChange(ch)
		}
	}
}

// checkAcceptedChange checks that an accepted change stays in the store and takes
// effect in time at each undisrupted node.
func (c *checker) checkAcceptedChange(ch *Change) {
	if n := len(c.Documents); !c.lostByRestore(ch) && (n == 0 || c.Documents[n-1].Doc.FindChange(ch.ID) == nil) {
		c.fail("P8", "the accepted change %s is not in the store's newest document", ch.ID)
	}
	until := ch.AnsweredAt.Add(changeBound)
	if c.End.Before(until) || !c.storeUpThroughout(ch.AnsweredAt, until) {
		return
	}
	for host := range c.Hosts {
		if !c.undisrupted(host, ch.AnsweredAt.Add(-time.Second), until) {
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

// lostByRestore reports whether the store was restored before any node that kept
// running had adopted the change. Such a change cannot be recovered from any node.
func (c *checker) lostByRestore(ch *Change) bool {
	return slices.ContainsFunc(c.Restored, func(at time.Time) bool {
		return !at.Before(ch.AnsweredAt) && !slices.ContainsFunc(c.Adoptions, func(a Adoption) bool {
			return a.Position.Revision >= ch.Revision && !a.At.After(at) && c.undisrupted(a.Host, a.At, at.Add(recoverDelay+time.Second))
		})
	})
}

// storeUpThroughout reports whether the store was in mode StoreUp during a whole
// interval.
func (c *checker) storeUpThroughout(from, to time.Time) bool {
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
