package ratelimit

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// LimiterState is what a Limiter knows of one replica, for reports to operators.
type LimiterState struct {
	// Limited is set if requests need permits. PerSecond is the limit that the replica names,
	// ColdPerSecond that of a cold one; 0 if there is none.
	Limited                  bool
	PerSecond, ColdPerSecond float64
	// Permits is the number of unused permits of this node. Requesting is set while a request
	// for more is unanswered.
	Permits    int
	Requesting bool
}

// State returns what is known of a replica. It changes nothing.
func (l *Limiter) State(now time.Time, name api.ReplicaName) LimiterState {
	r := l.replicas[name]
	if r == nil {
		return LimiterState{}
	}
	s := LimiterState{Limited: true, ColdPerSecond: r.coldPerSecond, Requesting: r.requesting}
	if r.named {
		s.PerSecond = r.perSecond
	}
	for _, expiry := range r.permits {
		if now.Before(expiry) {
			s.Permits++
		}
	}
	return s
}
