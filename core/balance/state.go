package balance

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// State is what a balancer knows of one replica, for reports to operators.
type State struct {
	// Latency is the smoothed latency; 0 before the first answer. Expected is the latency that
	// the choice assumes.
	Latency, Expected time.Duration
	// InFlight is the number of attempts of this node at the replica.
	InFlight int
	// Share is the share of its usual requests that the replica gets after a start or a
	// recovery; 1 is all of them.
	Share float64
	// Suspect is set if the replica gets one probe at a time, ProbeDue if the next one may be
	// sent now.
	Suspect, ProbeDue bool
	// Reported is set if the replica reported its load. ReportedWait is the wait that followed
	// from the last report, in units of the usual duration of a request, and ReportAge its age.
	Reported     bool
	ReportedWait float64
	ReportAge    time.Duration
}

// State returns what is known of a replica. It changes nothing.
func (r *Replicas) State(now time.Time, name api.ReplicaName) State {
	s, ok := r.replicas[name]
	if !ok {
		return State{Share: 1}
	}
	state := State{
		Latency: time.Duration(s.latency), Expected: time.Duration(s.expectedLatency(now)), InFlight: s.inFlight,
		Share: s.ramp.Share(now, r.rampSettings), Suspect: s.consecutiveFailures >= suspectAfter,
	}
	state.ProbeDue = state.Suspect && r.ProbeDue(now, name)
	if !s.reportedWaitAt.IsZero() {
		state.Reported, state.ReportedWait, state.ReportAge = true, s.reportedWait, max(now.Sub(s.reportedWaitAt), 0)
	}
	return state
}

// Preview calls f and restores what picks among the given replicas change, apart from the random
// numbers.
func (r *Replicas) Preview(names []api.ReplicaName, f func()) {
	peerLatencies := make([]float64, len(names))
	for i, name := range names {
		if s, ok := r.replicas[name]; ok {
			peerLatencies[i] = s.peerLatency
		}
	}
	f()
	for i, name := range names {
		if s, ok := r.replicas[name]; ok {
			s.peerLatency = peerLatencies[i]
		}
	}
}
