package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/count"
)

// registry holds the replicas that are registered in the store, and those removed recently.
type registry struct {
	entries map[api.ReplicaName]*registryEntry
	// byService lists the replicas of each service, sorted by name.
	byService map[api.ServiceName][]api.ReplicaName
	storeLost bool
	// reading is set while a complete list of registrations is being applied.
	reading bool
	// complete is set once a complete list of registrations has been applied.
	complete bool
	// graceUntil is the end of the grace period after an outage of the store, in which
	// registrations that disappeared are not removed yet.
	graceUntil time.Time
	// removed holds the last registrations of replicas that were removed recently.
	removed map[api.ReplicaName]removedReplica
}

// removedTTL is how long a removed replica is remembered: an older copy of the store may still
// list it, and a registration that lapsed may come back.
const removedTTL = time.Minute

// removedReplica is what was known of a removed replica, and the time of its removal.
type removedReplica struct {
	Registration
	stated statements
	at     time.Time
}

type registryEntry struct {
	Registration
	rank   float64 // see preferredRank
	stated statements
	// removeAt is when the registration is removed if it does not come back; zero while it
	// is in the store.
	removeAt time.Time
}

func newRegistry() registry {
	return registry{
		entries:   make(map[api.ReplicaName]*registryEntry),
		byService: make(map[api.ServiceName][]api.ReplicaName),
		removed:   make(map[api.ReplicaName]removedReplica),
	}
}

// draining reports whether the replica gets no new work because it will stop, according to its
// registration or to its own responses.
func (r *registryEntry) draining() bool { return r.Draining || r.stated.leaving }

// restartedSince reports whether the process has restarted since an earlier registration.
// Of two registrations with the same start time, the one with the smaller sequence number is
// the older report, as read from an older copy of the store; without start times, a smaller
// sequence number means a restart.
func (r Registration) restartedSince(before Registration) bool {
	return r.ProcessStart != before.ProcessStart || r.ProcessStart == 0 && r.Sequence < before.Sequence
}

// keepLatest returns a registration in which an older report of the same process neither lowers
// the sequence number nor undoes draining.
func (r Registration) keepLatest(before Registration) Registration {
	if r.Sequence < before.Sequence {
		r.Sequence = before.Sequence
		r.Draining = r.Draining || before.Draining
	}
	return r
}

// replicaRegistered adds a replica to the registry or updates its registration.
func (e *Engine) replicaRegistered(now time.Time, reg Registration) {
	old := e.registry.entries[reg.Replica]
	if old != nil && (old.Service != reg.Service || old.Address != reg.Address || reg.restartedSince(old.Registration)) {
		e.replicaRestarted(now, reg.Replica)
		e.removeReplica(now, reg.Replica, "replaced")
		old = nil
	}
	if old != nil {
		reg = reg.keepLatest(old.Registration)
	}
	if p := e.possibleCrashes[reg.Replica]; p != nil && p.processStart != reg.ProcessStart {
		e.replicaCrashed(now, reg.Replica) // the entry was removed before the restart
	}
	switch {
	case old == nil && e.registry.reading:
		e.registry.add(reg) // registryRead logs the whole list
	case old == nil:
		e.registry.add(reg)
		e.log("replica_added", "replica", reg.Replica, "service", reg.Service, "address", reg.Address,
			"draining", reg.Draining, "cold_ms", reg.ColdFor.Milliseconds())
	case old.Draining != reg.Draining:
		e.log("replica_changed", "replica", reg.Replica, "service", reg.Service, "draining", reg.Draining)
	}
	stated, newProcess := e.earlierStatements(old, reg)
	entry := &registryEntry{Registration: reg, rank: e.rank(reg.Replica), stated: stated}
	e.registry.entries[reg.Replica] = entry
	e.observeColdRegistration(now, entry, newProcess)
	e.setBalancerSpec(now, entry)
	e.resume(now, reg.Service)
}

// earlierStatements returns what a replica stated before this registration and what of it is
// still in force, and whether the process is a new one. old is the current entry of the same
// process; nil if it has none.
func (e *Engine) earlierStatements(old *registryEntry, reg Registration) (s statements, newProcess bool) {
	if old != nil {
		return old.stated, false
	}
	removed, ok := e.registry.removed[reg.Replica]
	if ok && !reg.restartedSince(removed.Registration) {
		return removed.stated, false
	}
	e.limits.limiter.Remove(reg.Replica)
	// The new process may have asked for the pause, before its registration was read.
	return statements{backoffUntil: removed.stated.backoffUntil}, true
}

// setBalancerSpec passes a replica to the load balancer.
func (e *Engine) setBalancerSpec(now time.Time, entry *registryEntry) {
	e.replicas.Set(now, entry.Replica, balance.Spec{
		Address: entry.Address, DataCentre: entry.DataCentre, Slots: entry.Slots,
		Drained: entry.draining(), ColdFor: entry.ColdFor,
	})
}

func (r *registry) add(reg Registration) {
	names := r.byService[reg.Service]
	i, _ := slices.BinarySearch(names, reg.Replica)
	r.byService[reg.Service] = slices.Insert(names, i, reg.Replica)
}

// replicaUnregistered handles a registration that is no longer in the store. During an outage
// of the store and shortly after it, registrations of running replicas lapse, so they are
// removed only if they do not come back within a grace period.
func (e *Engine) replicaUnregistered(now time.Time, name api.ReplicaName) {
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
	e.timers.Add(entry.removeAt, timer{registration: name})
}

const (
	// Registrations that disappear together are taken for lapsed, not for removed by their
	// replicas, if there are at least minLapsedTogether of them and they are at least one
	// in lapseDivisor of all registrations.
	minLapsedTogether = 3
	lapseDivisor      = 10
)

// replicasUnregistered starts a grace period if many registrations disappear together: the
// store may have been unavailable for less than the wait of a watch, so that no call failed.
func (e *Engine) replicasUnregistered(now time.Time, count int) {
	if count < minLapsedTogether || count*lapseDivisor < len(e.registry.entries) {
		return
	}
	e.log("replicas_lapsed_together", "count", count, "registered", len(e.registry.entries))
	e.registry.graceUntil = now.Add(e.settings.LapseGrace)
}

// registrationRemovalDue removes a registration that did not come back within its grace period.
func (e *Engine) registrationRemovalDue(now time.Time, name api.ReplicaName) {
	entry := e.registry.entries[name]
	if entry == nil || entry.removeAt.IsZero() || now.Before(entry.removeAt) {
		return
	}
	if e.registry.storeLost {
		entry.removeAt = now.Add(e.settings.LapseGrace)
		e.timers.Add(entry.removeAt, timer{registration: name})
		return
	}
	e.removeReplica(now, name, "lapsed")
}

func (e *Engine) removeReplica(now time.Time, name api.ReplicaName, reason string) {
	entry := e.registry.entries[name]
	delete(e.registry.entries, name)
	e.rememberRemoved(now, entry)
	names := e.registry.byService[entry.Service]
	if i, found := slices.BinarySearch(names, name); found {
		e.registry.byService[entry.Service] = slices.Delete(names, i, i+1)
	}
	e.replicas.Remove(name)
	delete(e.lastReplyAt, name)
	delete(e.overdueReplicas, name)
	delete(e.overdueSince, name)
	delete(e.latencies, name)
	delete(e.stalledReplicas, name)
	e.counts.Inc(count.Connection, "replica_removed")
	e.log("replica_removed", "replica", name, "service", entry.Service, "reason", reason)
	e.emit(CloseIdle{Replica: name})
	e.resume(now, entry.Service)
}

// rememberRemoved keeps what is known of a removed replica and forgets those removed longer
// than removedTTL ago.
func (e *Engine) rememberRemoved(now time.Time, entry *registryEntry) {
	for name, removed := range e.registry.removed {
		if now.Sub(removed.at) <= removedTTL {
			continue
		}
		delete(e.registry.removed, name)
		if e.registry.entries[name] == nil {
			e.limits.limiter.Remove(name)
		}
	}
	e.registry.removed[entry.Replica] = removedReplica{Registration: entry.Registration, stated: entry.stated, at: now}
}

// removedSince reports whether a registration from an older copy of the store belongs to a
// replica that was removed after that copy.
func (r *registry) removedSince(now time.Time, reg Registration) bool {
	removed, ok := r.removed[reg.Replica]
	return ok && now.Sub(removed.at) <= removedTTL && reg.ProcessStart == removed.ProcessStart && reg.Sequence <= removed.Sequence
}

// registryRead applies a complete list of registrations; replicas that it lacks are handled
// as unregistered. If the store was restored from an older copy, missing replicas get a grace
// period to register again, and replicas that were removed since the copy are ignored.
func (e *Engine) registryRead(now time.Time, list []Registration, restored bool) {
	if restored {
		e.counts.Inc(count.Store, "restored")
		e.registry.graceUntil = now.Add(e.settings.LapseGrace)
	}
	listed := make(map[api.ReplicaName]bool, len(list))
	before := len(e.registry.entries)
	e.registry.reading = true
	for _, reg := range list {
		if restored && e.registry.entries[reg.Replica] == nil && e.registry.removedSince(now, reg) {
			e.log("replica_ignored", "replica", reg.Replica, "service", reg.Service, "reason", "older_copy")
			continue
		}
		listed[reg.Replica] = true
		e.replicaRegistered(now, reg)
	}
	e.registry.reading = false
	e.registry.complete = true
	e.log("replicas_read", "listed", len(listed), "before", before, "now", len(e.registry.entries))
	var missing []api.ReplicaName
	for name := range e.registry.entries {
		if !listed[name] {
			missing = append(missing, name)
		}
	}
	slices.Sort(missing)
	for _, name := range missing {
		e.replicaUnregistered(now, name)
	}
}

func (e *Engine) storeBack(now time.Time) {
	e.registry.storeLost = false
	e.limits.ranks.StoreBack(now)
	e.registry.graceUntil = now.Add(e.settings.LapseGrace)
}
