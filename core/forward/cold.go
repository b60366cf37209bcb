package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// This file keeps track of which replicas are cold, for services that state how many requests
// per second a cold replica can take. While a replica is cold, each attempt needs a permit, as
// for a replica that names a rate limit (ratelimit.go).

const (
	// suspectedColdTime is how long a replica counts as cold whose process may have been
	// replaced. By then, the registration of the new process is known.
	suspectedColdTime = 6 * time.Second
	// maxColdTime bounds the time for which a replica may state that it is cold.
	maxColdTime = 10 * time.Minute
	// endedNoticeInterval is the least time between two notices of this node that the process of the
	// same replica has ended.
	endedNoticeInterval = 2 * time.Second
	// defaultListAge is used if the settings give no ListAge.
	defaultListAge = 3 * time.Second
)

// Sources of the knowledge that a replica is cold.
const (
	coldRegistration = "registration"
	coldNewProcess   = "new_process"
	coldResponse     = "response"
	coldSuspected    = "suspected"
)

// coldState is what is known of whether a replica is cold. It outlasts a lapse of the
// registration of the process.
type coldState struct {
	// until is the time until which the replica is cold.
	until time.Time
	// suspectedUntil is the time until which its process may have been replaced by one whose
	// registration has not been read.
	suspectedUntil time.Time
	// sequence is that of the registration that until comes from.
	sequence int64
	// noticeSentAt is when this node last sent a notice that the process has ended.
	noticeSentAt time.Time
}

// coldPerSecond returns the number of requests per second that a cold replica of a service can
// take, or 0 if the service states no limit.
func (e *Engine) coldPerSecond(service api.ServiceName) float64 {
	if e.table == nil {
		return 0
	}
	return e.table.Services[service].ColdPerSecond
}

// observeColdRegistration derives from a registration how long its replica is cold. newProcess is
// set for the first registration of a process.
func (e *Engine) observeColdRegistration(now time.Time, entry *registryEntry, newProcess bool) {
	c := &entry.stated.cold
	until := now.Add(min(entry.ColdFor, maxColdTime))
	source := coldRegistration
	switch {
	case newProcess:
		c.until, c.sequence = until, entry.Sequence
		if e.registry.complete && e.table != nil {
			// A process that starts while this node runs is cold for the stated time, even if
			// its registration does not say so.
			if start := now.Add(e.table.Services[entry.Service].ColdStart); start.After(until) {
				c.until, source = start, coldNewProcess
			}
		}
	case entry.Sequence > c.sequence:
		c.until, c.sequence = until, entry.Sequence
	}
	e.applyCold(now, entry, source)
}

// observeColdResponse applies what a response states about whether its replica is cold. sentAt
// is when its request was sent; zero if that is not known.
func (e *Engine) observeColdResponse(now time.Time, entry *registryEntry, sentAt time.Time, coldFor time.Duration) {
	c := &entry.stated.cold
	c.until = now.Add(min(coldFor, maxColdTime))
	if coldFor == 0 && sentAt.After(c.suspectedUntil.Add(-suspectedColdTime)) {
		c.suspectedUntil = time.Time{} // the request was sent after the cause of the suspicion
	}
	e.applyCold(now, entry, coldResponse)
}

// suspectCold treats a replica as cold whose process may have ended: a new process may accept
// requests before its registration is read.
func (e *Engine) suspectCold(now time.Time, name api.ReplicaName) {
	entry := e.registry.entries[name]
	if entry == nil || e.coldPerSecond(entry.Service) == 0 {
		return
	}
	entry.stated.cold.suspectedUntil = now.Add(suspectedColdTime)
	e.applyCold(now, entry, coldSuspected)
}

// replicaRefused handles a replica at whose address no process listens. It notifies the other
// nodes: those without a connection to it have no other sign that its next process may be cold.
func (e *Engine) replicaRefused(now time.Time, name api.ReplicaName) {
	entry := e.registry.entries[name]
	if entry == nil || e.coldPerSecond(entry.Service) == 0 {
		return
	}
	e.suspectCold(now, name)
	if c := &entry.stated.cold; now.Sub(c.noticeSentAt) >= endedNoticeInterval {
		c.noticeSentAt = now
		e.sendDirectly([]gossip.Notice{{
			Kind: gossip.NoticeReplicaEnded, Replica: name, Incarnation: api.Incarnation(entry.ProcessStart), TimeToLive: suspectedColdTime,
		}})
	}
}

// learnReplicaEnded applies a notice that the process of a replica has ended, unless this node
// knows the next process already.
func (e *Engine) learnReplicaEnded(now time.Time, n gossip.Notice) {
	if entry := e.registry.entries[n.Replica]; entry != nil && api.Incarnation(entry.ProcessStart) == n.Incarnation {
		e.suspectCold(now, n.Replica)
	}
}

// suspectUnconfirmed suspects a replica while the store is lost and this node has no connection
// to it: nothing shows that its process is still the one that was registered.
func (e *Engine) suspectUnconfirmed(now time.Time, name api.ReplicaName) {
	if e.unconfirmed(name) {
		e.suspectCold(now, name)
	}
}

// unconfirmed reports whether nothing shows that the process of a replica is still the one that
// was registered.
func (e *Engine) unconfirmed(name api.ReplicaName) bool {
	c := e.conns[name]
	return e.registry.storeLost && !e.limits.limiter.Cold(name) && (c == nil || c.open == 0)
}

// applyCold sets or ends the limit of a replica according to what is known of it.
func (e *Engine) applyCold(now time.Time, entry *registryEntry, source string) {
	perSecond := e.coldPerSecond(entry.Service)
	c := entry.stated.cold
	until := c.until
	if c.suspectedUntil.After(until) {
		until = c.suspectedUntil
	}
	if !until.After(now) {
		perSecond = 0
	}
	was := e.limits.limiter.Cold(entry.Replica)
	e.limits.limiter.SetCold(entry.Replica, perSecond)
	if perSecond > 0 {
		e.timers.Add(until, timer{coldReplica: entry.Replica})
	}
	switch is := perSecond > 0; {
	case is && !was:
		e.counts.Inc(count.ReplicaStatus, statusCold)
		e.log("replica_cold", "replica", entry.Replica, "service", entry.Service, "source", source,
			"for_ms", until.Sub(now).Milliseconds(), "per_second", perSecond, "bound", e.settings.ColdBounds.Bound(perSecond))
	case !is && was:
		e.counts.Inc(count.ReplicaStatus, statusColdEnded)
		e.log("replica_warm", "replica", entry.Replica, "service", entry.Service)
	}
}

// coldEndDue ends the limit of a replica that is no longer cold. While the store is lost, a
// suspicion does not end: a new process could not be known.
func (e *Engine) coldEndDue(now time.Time, name api.ReplicaName) {
	entry := e.registry.entries[name]
	if entry == nil {
		return
	}
	if c := &entry.stated.cold; e.registry.storeLost && !c.suspectedUntil.IsZero() && !now.Before(c.suspectedUntil) {
		c.suspectedUntil = now.Add(suspectedColdTime)
	}
	e.applyCold(now, entry, coldSuspected)
	e.resume(now, entry.Service)
}

// applyColdLimits applies the cold limits of a new configuration to all replicas.
func (e *Engine) applyColdLimits(now time.Time) {
	for _, entry := range e.registry.entries {
		e.applyCold(now, entry, coldRegistration)
	}
}
