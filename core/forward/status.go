package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
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
	// Invalid names the fields whose values could not be parsed; empty if there are none.
	Invalid string
}

// Details of the replica status counter.
const (
	statusRateLimit      api.Reason = "rate_limit"
	statusRateLimitEnded api.Reason = "rate_limit_ended"
	statusLeaving        api.Reason = "leaving"
	statusBackoff        api.Reason = "backoff"
	statusInvalid        api.Reason = "invalid"
)

// observeStatus records what a replica states about itself in the response to an attempt.
func (e *Engine) observeStatus(now time.Time, a *attempt, s *ReplicaStatus) {
	name := a.replica
	entry := e.registry.entries[name]
	if entry == nil {
		return // it was removed in the meantime
	}
	if s.Invalid != "" {
		e.counts.Inc(count.ReplicaStatus, statusInvalid)
		e.log("replica_status_invalid", "replica", name, "service", entry.Service, "fields", s.Invalid)
	}
	e.observeRateLimit(now, a, s)
	if s.Leaving && !entry.leaving {
		entry.leaving = true
		e.counts.Inc(count.ReplicaStatus, statusLeaving)
		e.log("replica_leaving", "replica", name, "service", entry.Service, "draining", entry.Draining)
	}
	if s.Backoff > 0 {
		e.counts.Inc(count.ReplicaStatus, statusBackoff)
		e.log("replica_backoff", "replica", name, "service", entry.Service, "for_ms", s.Backoff.Milliseconds())
	}
}
