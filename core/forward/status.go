package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/balance"
	"github.com/baobabsail/baobabsail/core/count"
)

// ReplicaStatus is what a replica states about itself in a response.
type ReplicaStatus struct {
	// HasRateLimit is set if the replica names a rate limit. RateLimit is then the number of
	// requests per second that it accepts from all nodes together.
	HasRateLimit bool
	RateLimit    float64
	// Leaving is set if the replica will stop soon.
	Leaving bool
	// Backoff is how long the replica wants no requests from this node; 0 if it accepts them.
	Backoff time.Duration
	// HasLoad is set if the replica reports its load.
	HasLoad bool
	Load    balance.Report
	// HasCold is set if the replica states whether it is cold. ColdFor is then how much longer
	// it is; 0 if it is not.
	HasCold bool
	ColdFor time.Duration
	// Invalid names the fields whose values could not be parsed; empty if there are none.
	// InvalidLoad names that of the load, which comes with every response.
	Invalid, InvalidLoad string
}

// Details of the replica status counter.
const (
	statusRateLimit      api.Reason = "rate_limit"
	statusRateLimitEnded api.Reason = "rate_limit_ended"
	statusLeaving        api.Reason = "leaving"
	statusBackoff        api.Reason = "backoff"
	statusInvalid        api.Reason = "invalid"
	statusLoadInvalid    api.Reason = "load_invalid"
	statusCold           api.Reason = "cold"
	statusColdEnded      api.Reason = "cold_ended"
)

// statements are what a process of a replica stated about itself that stays in force.
type statements struct {
	// leaving is set once the replica has stated that it will stop soon. It cannot be taken
	// back: the store may list the replica as ready for some time.
	leaving bool
	// backoffUntil is the time until which the replica wants no requests from this node.
	backoffUntil time.Time
	// loadInvalid is set while the last report of the load could not be parsed.
	loadInvalid bool
	cold        coldState
}

// observeStatus applies what a replica states about itself in the response to a request sent
// at sentAt; zero if that time is not known.
func (e *Engine) observeStatus(now time.Time, name api.ReplicaName, sentAt time.Time, s *ReplicaStatus) {
	entry := e.registry.entries[name]
	if entry == nil {
		return // it was removed in the meantime
	}
	if s.Invalid != "" {
		e.counts.Inc(count.ReplicaStatus, statusInvalid)
		e.log("replica_status_invalid", "replica", name, "service", entry.Service, "fields", s.Invalid)
	}
	e.observeLoadReport(now, entry, s)
	e.observeRateLimit(now, entry, sentAt, s)
	if s.HasCold {
		e.observeColdResponse(now, entry, sentAt, s.ColdFor)
	}
	if s.Leaving && !entry.stated.leaving {
		e.replicaLeaving(now, entry)
	}
	if s.Backoff > 0 {
		e.replicaBacksOff(now, entry, s.Backoff)
	}
}

// observeLoadReport passes the load that a replica reports to the load balancer. Reports come with
// every response, so that invalid ones are logged only once in a row.
func (e *Engine) observeLoadReport(now time.Time, entry *registryEntry, s *ReplicaStatus) {
	switch {
	case s.InvalidLoad != "":
		e.counts.Inc(count.ReplicaStatus, statusLoadInvalid)
		if !entry.stated.loadInvalid {
			entry.stated.loadInvalid = true
			e.log("replica_status_invalid", "replica", entry.Replica, "service", entry.Service, "fields", s.InvalidLoad)
		}
	case s.HasLoad:
		entry.stated.loadInvalid = false
		e.replicas.ObserveReport(now, entry.Replica, s.Load)
	}
}

// statusReported applies a statement that came without a Replied event.
func (e *Engine) statusReported(now time.Time, ev StatusReported) {
	entry := e.registry.entries[ev.Replica]
	if entry == nil {
		return // it was removed in the meantime
	}
	e.observeStatus(now, ev.Replica, time.Time{}, &ev.Status)
	e.resume(now, entry.Service)
}

// replicaLeaving gives a replica that stated that it will stop soon no new work.
func (e *Engine) replicaLeaving(now time.Time, entry *registryEntry) {
	entry.stated.leaving = true
	e.setBalancerSpec(now, entry)
	e.counts.Inc(count.ReplicaStatus, statusLeaving)
	e.log("replica_leaving", "replica", entry.Replica, "service", entry.Service, "draining", entry.Draining)
}

// replicaBacksOff gives a replica that asked for a pause no new work until its end. A shorter
// pause than one that is in force changes nothing.
func (e *Engine) replicaBacksOff(now time.Time, entry *registryEntry, pause time.Duration) {
	e.counts.Inc(count.ReplicaStatus, statusBackoff)
	e.log("replica_backoff", "replica", entry.Replica, "service", entry.Service, "for_ms", pause.Milliseconds())
	if until := now.Add(pause); until.After(entry.stated.backoffUntil) {
		entry.stated.backoffUntil = until
		e.timers.Add(until, timer{service: entry.Service})
	}
}
