package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/count"
)

// registry holds the replicas that are registered in the store.
type registry struct {
	entries map[api.ReplicaName]*registered
	// byService lists the replicas of each service in the order of names.
	byService map[api.ServiceName][]api.ReplicaName
	storeLost bool
	// reading is set while a complete list is taken over.
	reading bool
	// graceUntil is when registrations that disappeared during an outage of the
	// store are removed.
	graceUntil time.Time
	// departed holds the last registrations of replicas that have left.
	departed map[api.ReplicaName]departure
}

// departedHold is how long a replica that has left is remembered: an older copy of
// the store may still list it.
const departedHold = time.Minute

// departure is the last registration of a replica that has left.
type departure struct {
	Registration
	at time.Time
}

type registered struct {
	Registration
	rank float64 // see preferredRank
	// removeAt is set while the registration is missing after an outage.
	removeAt time.Time
}

func newRegistry() registry {
	return registry{
		entries:   make(map[api.ReplicaName]*registered),
		byService: make(map[api.ServiceName][]api.ReplicaName),
		departed:  make(map[api.ReplicaName]departure),
	}
}

// restarted reports whether a registration comes from a later start of the
// process than another one. Of two with the same time of birth, the one with the
// smaller sequence is the older report, as in an older copy of the store.
func (r Registration) restarted(before Registration) bool {
	return r.Born != before.Born || r.Born == 0 && r.Sequence < before.Sequence
}

// notOlder returns a registration with what an older report of the same process
// must not take back.
func (r Registration) notOlder(before Registration) Registration {
	if r.Sequence < before.Sequence {
		r.Sequence = before.Sequence
		r.Draining = r.Draining || before.Draining
	}
	return r
}

// replicaSeen takes over a registration.
func (e *Engine) replicaSeen(now time.Time, reg Registration) {
	old := e.registry.entries[reg.Replica]
	if old != nil && (old.Service != reg.Service || old.Address != reg.Address || reg.restarted(old.Registration)) {
		e.restarted(now, reg.Replica)
		e.removeReplica(now, reg.Replica, "replaced")
		old = nil
	}
	if old != nil {
		reg = reg.notOlder(old.Registration)
	}
	if d := e.doubts[reg.Replica]; d != nil && d.born != reg.Born {
		e.crashed(now, reg.Replica) // it was removed before it started again
	}
	switch {
	case old == nil && e.registry.reading:
		e.registry.add(reg) // registryRead logs them together
	case old == nil:
		e.registry.add(reg)
		e.log("replica_added", "replica", reg.Replica, "service", reg.Service, "address", reg.Address,
			"draining", reg.Draining, "cold_ms", reg.ColdFor.Milliseconds())
	case old.Draining != reg.Draining:
		e.log("replica_changed", "replica", reg.Replica, "service", reg.Service, "draining", reg.Draining)
	}
	e.registry.entries[reg.Replica] = &registered{Registration: reg, rank: e.rank(reg.Replica)}
	e.replicas.Set(now, reg.Replica, balance.Spec{
		Address: reg.Address, DataCentre: reg.DataCentre, Slots: reg.Slots,
		Drained: reg.Draining, ColdFor: reg.ColdFor,
	})
	e.resume(now, reg.Service)
}

func (g *registry) add(reg Registration) {
	names := g.byService[reg.Service]
	i, _ := slices.BinarySearch(names, reg.Replica)
	g.byService[reg.Service] = slices.Insert(names, i, reg.Replica)
}

// replicaGone handles a registration that is no longer there. During an outage
// of the store and shortly after it, registrations lapse although their
// replicas live; they get time to come back.
func (e *Engine) replicaGone(now time.Time, name api.ReplicaName) {
	entry := e.registry.entries[name]
	if entry == nil {
		return
	}
	if !e.registry.storeLost && !now.Before(e.registry.graceUntil) {
		e.removeReplica(now, name, "gone")
		return
	}
	if !entry.removeAt.IsZero() {
		return
	}
	entry.removeAt = e.registry.graceUntil
	if e.registry.storeLost {
		entry.removeAt = now.Add(e.settings.LapseGrace)
	}
	e.log("replica_lapsed", "replica", name, "service", entry.Service)
	e.timers.Set(entry.removeAt, timer{replica: name})
}

const (
	// lapseLeast and one lapseDivisor of all registrations are the number of those
	// that disappear together from which they have lapsed and not left.
	lapseLeast   = 3
	lapseDivisor = 10
)

// replicasGone gives registrations that disappear together time to come back: the
// store may have been silent for less than a watch waits, so that no call met it.
func (e *Engine) replicasGone(now time.Time, count int) {
	if count < lapseLeast || count*lapseDivisor < len(e.registry.entries) {
		return
	}
	e.log("replicas_lapsed_together", "count", count, "registered", len(e.registry.entries))
	e.registry.graceUntil = now.Add(e.settings.LapseGrace)
}

// removalDue removes a registration that did not come back after an outage.
func (e *Engine) removalDue(now time.Time, name api.ReplicaName) {
	entry := e.registry.entries[name]
	if entry == nil || entry.removeAt.IsZero() || now.Before(entry.removeAt) {
		return
	}
	if e.registry.storeLost {
		entry.removeAt = now.Add(e.settings.LapseGrace)
		e.timers.Set(entry.removeAt, timer{replica: name})
		return
	}
	e.removeReplica(now, name, "lapsed")
}

func (e *Engine) removeReplica(now time.Time, name api.ReplicaName, reason string) {
	entry := e.registry.entries[name]
	delete(e.registry.entries, name)
	e.registry.remember(now, entry.Registration)
	names := e.registry.byService[entry.Service]
	if i, found := slices.BinarySearch(names, name); found {
		e.registry.byService[entry.Service] = slices.Delete(names, i, i+1)
	}
	e.replicas.Remove(name)
	delete(e.heardAt, name)
	delete(e.quiet, name)
	delete(e.silent, name)
	e.counts.Inc(count.Connection, "replica_removed")
	e.log("replica_removed", "replica", name, "service", entry.Service, "reason", reason)
	e.act(CloseIdle{Replica: name})
	e.resume(now, entry.Service)
}

// remember keeps the registration of a replica that has left.
func (g *registry) remember(now time.Time, reg Registration) {
	for name, d := range g.departed {
		if now.Sub(d.at) > departedHold {
			delete(g.departed, name)
		}
	}
	g.departed[reg.Replica] = departure{Registration: reg, at: now}
}

// left reports whether a registration of an older copy is of a replica that has
// left since.
func (g *registry) left(now time.Time, reg Registration) bool {
	d, ok := g.departed[reg.Replica]
	return ok && now.Sub(d.at) <= departedHold && reg.Born == d.Born && reg.Sequence <= d.Sequence
}

// registryRead takes over a complete list: what is not in it is gone. If the store
// has come back from an older copy, what is missing has time to be reported again,
// and what has left since does not come back.
func (e *Engine) registryRead(now time.Time, list []Registration, restored bool) {
	if restored {
		e.counts.Inc(count.Store, "restored")
		e.registry.graceUntil = now.Add(e.settings.LapseGrace)
	}
	listed := make(map[api.ReplicaName]bool, len(list))
	before := len(e.registry.entries)
	e.registry.reading = true
	for _, reg := range list {
		if restored && e.registry.entries[reg.Replica] == nil && e.registry.left(now, reg) {
			e.log("replica_ignored", "replica", reg.Replica, "service", reg.Service, "reason", "older_copy")
			continue
		}
		listed[reg.Replica] = true
		e.replicaSeen(now, reg)
	}
	e.registry.reading = false
	e.log("replicas_read", "listed", len(listed), "before", before, "now", len(e.registry.entries))
	var missing []api.ReplicaName
	for name := range e.registry.entries {
		if !listed[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	for _, name := range missing {
		e.replicaGone(now, name)
	}
}

func (e *Engine) storeBack(now time.Time) {
	e.registry.storeLost = false
	e.registry.graceUntil = now.Add(e.settings.LapseGrace)
}
