package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// Evacuation says that no requests are to be sent to the replicas of a data centre. An operator
// begins and ends it in the store.
type Evacuation struct {
	DataCentre api.DataCentre
	// Revision is the store's revision at which the evacuation was last written.
	Revision int64
}

// evacuations holds the evacuated data centres, and those that return to service.
type evacuations struct {
	current map[api.DataCentre]evacuation
	// returningUntil holds the data centres whose evacuation has ended and whose replicas are
	// still ramped up.
	returningUntil map[api.DataCentre]time.Time
}

// evacuation is the state of one evacuated data centre.
type evacuation struct {
	// since is the revision of the last write; 0 if it is not known in the store's current
	// contents.
	since int64
	// endsAt is the time at which the evacuation ends unless it is written again; zero while it
	// is in the store.
	endsAt time.Time
}

func newEvacuations() evacuations {
	return evacuations{current: make(map[api.DataCentre]evacuation), returningUntil: make(map[api.DataCentre]time.Time)}
}

// Details of the evacuation counter.
const (
	evacuationBegun api.Reason = "begun"
	evacuationEnded api.Reason = "ended"
	evacuationHeld  api.Reason = "held"
)

// EvacuatedDataCentres returns the number of data centres whose replicas get no requests.
func (e *Engine) EvacuatedDataCentres() int { return len(e.evacuations.current) }

// Evacuated reports whether the replicas of a data centre get no requests.
func (e *Engine) Evacuated(dc api.DataCentre) bool {
	_, ok := e.evacuations.current[dc]
	return ok
}

// evacuated reports whether a replica gets no requests because its data centre is evacuated.
func (e *Engine) evacuated(entry *registryEntry) bool { return e.Evacuated(entry.DataCentre) }

// returning reports whether a replica is ramped up after the evacuation of its data centre.
func (e *Engine) returning(now time.Time, entry *registryEntry) bool {
	return now.Before(e.evacuations.returningUntil[entry.DataCentre])
}

// evacuate excludes the replicas of a data centre and closes the idle connections to them.
// Running requests are finished; parts that wait for these replicas are sent elsewhere or given
// up at once.
func (e *Engine) evacuate(now time.Time, ev Evacuation) {
	before, ok := e.evacuations.current[ev.DataCentre]
	if ok && before.endsAt.IsZero() && before.since == ev.Revision {
		return
	}
	e.evacuations.current[ev.DataCentre] = evacuation{since: ev.Revision}
	delete(e.evacuations.returningUntil, ev.DataCentre)
	if ok {
		e.log("data_centre_evacuation_written", "data_centre", ev.DataCentre, "since_revision", ev.Revision, "before", before.since)
		return
	}
	names := e.replicasIn(ev.DataCentre)
	e.counts.Inc(count.Evacuation, evacuationBegun)
	e.log("data_centre_evacuated", "data_centre", ev.DataCentre, "since_revision", ev.Revision, "replicas", len(names),
		"evacuated", len(e.evacuations.current))
	for _, name := range names {
		e.emit(CloseIdle{Replica: name})
	}
	e.resumeAll(now)
}

// evacuationRemoved ends an evacuation whose key was removed at a revision of the store. A
// removal that precedes the last write is ignored: a node that starts may read the changes
// before its list once more.
func (e *Engine) evacuationRemoved(now time.Time, ev DataCentreRestored) {
	if state, ok := e.evacuations.current[ev.DataCentre]; ok && (ev.Revision == 0 || ev.Revision > state.since) {
		e.endEvacuation(now, ev.DataCentre, "removed")
	}
}

// endEvacuation returns the replicas of a data centre to service. Their share ramps up like that
// of started replicas, since their caches and connections are cold and all nodes return at once.
func (e *Engine) endEvacuation(now time.Time, dc api.DataCentre, reason string) {
	names := e.replicasIn(dc)
	since := e.evacuations.current[dc].since
	delete(e.evacuations.current, dc)
	e.evacuations.returningUntil[dc] = now.Add(e.replicas.RampUpDuration())
	for _, name := range names {
		e.replicas.StartRampUp(now, name)
	}
	e.counts.Inc(count.Evacuation, evacuationEnded)
	e.log("data_centre_restored", "data_centre", dc, "since_revision", since, "reason", reason, "replicas", len(names),
		"evacuated", len(e.evacuations.current))
	e.resumeAll(now)
}

// evacuationsRead applies the complete set of evacuations. If the store was restored from an
// older copy, evacuations that the copy lacks stay in force for EvacuationHold, since the
// operator has not removed them and needs time to write them again.
func (e *Engine) evacuationsRead(now time.Time, list []Evacuation, restored bool) {
	listed := make(map[api.DataCentre]bool, len(list))
	for _, ev := range list {
		listed[ev.DataCentre] = true
		e.evacuate(now, ev)
	}
	for _, dc := range slices.Sorted(maps.Keys(e.evacuations.current)) {
		state := e.evacuations.current[dc]
		switch {
		case listed[dc]:
		case restored:
			e.holdEvacuation(now, dc, now.Add(e.settings.EvacuationHold))
			e.counts.Inc(count.Evacuation, evacuationHeld)
			e.log("data_centre_evacuation_held", "data_centre", dc, "since_revision", state.since,
				"for_ms", e.settings.EvacuationHold.Milliseconds())
		case state.endsAt.IsZero():
			e.endEvacuation(now, dc, "removed")
		}
	}
}

// holdEvacuation keeps an evacuation that the store does not contain until a given time. The
// revisions of the restored store cannot be compared with the former ones.
func (e *Engine) holdEvacuation(now time.Time, dc api.DataCentre, until time.Time) {
	e.evacuations.current[dc] = evacuation{endsAt: until}
	e.timers.Add(until, timer{dataCentre: dc})
}

// evacuationHoldDue ends an evacuation that was not written again in time. While the store gives
// no answers, no operator can write.
func (e *Engine) evacuationHoldDue(now time.Time, dc api.DataCentre) {
	state, ok := e.evacuations.current[dc]
	if !ok || state.endsAt.IsZero() || now.Before(state.endsAt) {
		return
	}
	if e.registry.storeLost {
		e.holdEvacuation(now, dc, now.Add(e.settings.EvacuationHold))
		return
	}
	e.endEvacuation(now, dc, "not_written_again")
}

// closeIfEvacuated closes the idle connections to a replica of an evacuated data centre. It is
// called when a connection to the replica has become idle.
func (e *Engine) closeIfEvacuated(name api.ReplicaName) {
	if entry := e.registry.entries[name]; entry != nil && e.evacuated(entry) {
		e.emit(CloseIdle{Replica: name})
	}
}

// replicasIn returns the registered replicas of a data centre, sorted by name.
func (e *Engine) replicasIn(dc api.DataCentre) []api.ReplicaName {
	var names []api.ReplicaName
	for name, entry := range e.registry.entries {
		if entry.DataCentre == dc {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
