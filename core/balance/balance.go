// Package balance is the client-side load balancer: it selects a replica of a
// shard for each attempt. For each replica it tracks the latency, the attempts
// that this node has in flight, the reported load, the incarnation, the drain
// state and the index versions held.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/pace"
	"github.com/baobabsail/baobabsail/core/quantile"
)

const (
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.125
	// failureWeight is the weight of a new outcome in the smoothed failure rate.
	failureWeight = 0.1
	// failurePenalty scales the score with the failure rate: the score of a replica
	// that always fails is multiplied by 1+failurePenalty.
	failurePenalty = 15
	// suspectAfter is the number of consecutive failures after which a replica is
	// suspect: it gets only one probe request at a time.
	suspectAfter = 3
	// minProbeInterval and maxProbeInterval bound the interval between probes,
	// which doubles with each failed probe.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 5 * time.Second
	// loadHalfLife is the age at which a reported load counts half.
	loadHalfLife = 250 * time.Millisecond
	// maxLoadPerSlot caps the reported load per slot. Reports may be wrong; with the
	// cap, a replica still gets a share of the traffic whatever load it reports.
	maxLoadPerSlot = 2.0
	// decayHalfLife is the half-life of the failure rate and of the excess of a
	// smoothed latency over the prior. Because they decay, a replica that failed or
	// was slow is tried again.
	decayHalfLife = 5 * time.Second
	// decayDelay is the age up to which both count in full, before they decay.
	decayDelay = time.Second
	// localPriorLatency and remotePriorLatency are the latencies assumed before the
	// first answer. They are low, so that an unknown replica is tried soon.
	localPriorLatency  = time.Millisecond
	remotePriorLatency = 2 * time.Millisecond
	// tailQuantile is the quantile of the second result of Latency.
	tailQuantile = 0.99
	// maxDrainedIncarnations bounds the number of drained incarnations remembered
	// per replica.
	maxDrainedIncarnations = 4
)

// replica is the state of one replica as this node observes it.
type replica struct {
	name         api.ReplicaName
	address      string
	slots        float64
	priorLatency float64
	// costFactor multiplies the score. It is above 1 for a replica in another data
	// centre if SetRemoteSurcharge was called.
	costFactor float64
	// operatorDrained is the drain flag of the configuration document.
	operatorDrained bool

	incarnation api.Incarnation
	// previousIncarnation is the incarnation before the current one. Load reports
	// that arrive late from it are ignored.
	previousIncarnation api.Incarnation
	// ramp is the share of the traffic after a start or a recovery. peerLatency is the mean
	// latency of the other candidates at the last choice, in nanoseconds; 0 if unknown.
	ramp        pace.Ramp
	peerLatency float64
	// coldFor is Spec.ColdFor of the last call of Set.
	coldFor time.Duration
	// drainedIncarnations is a ring buffer of drained incarnations. drainPending
	// means that the next incarnation observed is drained.
	drainedIncarnations [maxDrainedIncarnations]api.Incarnation
	nextDrainedIndex    int
	drainPending        bool

	inFlight int
	// latency is the smoothed latency in nanoseconds; 0 before the first answer.
	latency      float64
	latencyAt    time.Time
	tailLatency  quantile.Estimator
	reportedLoad float64
	// reportedAt is when reportedLoad was received.
	reportedAt time.Time
	// reportedWait is the expected wait that follows from the last Report, without the attempts
	// of this node, in units of the usual duration of a request. reportedWaitAt is when it was
	// received.
	reportedWait   float64
	reportedWaitAt time.Time
	failureRate    float64
	// failureAt is when failureRate was last updated.
	failureAt           time.Time
	consecutiveFailures int
	nextProbeAt         time.Time
	// probing is set while a probe of a suspect replica is in flight.
	probing      bool
	heldVersions []api.ShardVersions
}

// Replicas is a load balancer over all configured replicas.
type Replicas struct {
	rng        *rand.Rand
	local      api.DataCentre
	replicas   map[api.ReplicaName]*replica
	configured bool
	// remoteSurcharge is the fraction by which the score of a replica in another
	// data centre is increased.
	remoteSurcharge float64
	// reportsObserved is set once a Report was observed.
	reportsObserved bool
	// rampSettings says how the share of a replica that has started or recovered grows.
	rampSettings pace.Settings
}

// New returns a Replicas without replicas. local is the data centre of this node.
func New(rng *rand.Rand, local api.DataCentre) *Replicas {
	return &Replicas{rng: rng, local: local, replicas: make(map[api.ReplicaName]*replica), rampSettings: pace.Default()}
}

// Configure applies the replicas of a configuration document. The state of a
// replica whose address did not change is kept. A replica that is added, or whose
// address changes, after the first document starts cold.
func (r *Replicas) Configure(now time.Time, doc *config.Document) {
	for name := range r.replicas {
		if _, ok := doc.Replicas[name]; !ok {
			delete(r.replicas, name)
		}
	}
	for name, c := range doc.Replicas {
		spec := Spec{Address: c.Address, DataCentre: c.DataCentre, Slots: c.Slots, Drained: c.Drained}
		if old, ok := r.replicas[name]; r.configured && (!ok || old.address != c.Address) {
			spec.ColdFor = r.rampSettings.Duration
		}
		r.Set(now, name, spec)
	}
	r.configured = true
}

// Spec describes one replica, as given by a configuration or a registration.
type Spec struct {
	Address    string
	DataCentre api.DataCentre
	Slots      int
	Drained    bool
	// ColdFor is how long the replica is expected to stay slow after its start.
	ColdFor time.Duration
}

// Set adds or updates a replica. Its state is kept if its address did not change.
func (r *Replicas) Set(now time.Time, name api.ReplicaName, spec Spec) {
	s, ok := r.replicas[name]
	if !ok || s.address != spec.Address {
		s = &replica{name: name, address: spec.Address}
		r.replicas[name] = s
	}
	if spec.ColdFor > s.coldFor {
		// The replica is new or cold again. A shorter time is the rest of the time that is
		// known.
		s.ramp.Start(now, r.rampSettings, spec.ColdFor)
	}
	s.coldFor = spec.ColdFor
	s.slots = float64(max(spec.Slots, 1))
	s.operatorDrained = spec.Drained
	s.priorLatency, s.costFactor = float64(remotePriorLatency), 1+r.remoteSurcharge
	if spec.DataCentre == r.local {
		s.priorLatency, s.costFactor = float64(localPriorLatency), 1
	}
}

// StartRampUp lets the traffic share of a replica grow from its start again, as that of a cold
// one.
func (r *Replicas) StartRampUp(now time.Time, name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok {
		s.ramp.Start(now, r.rampSettings, r.rampSettings.Duration)
	}
}

// RampUpDuration returns the time after which a replica that has started or recovered has its
// full share, unless its answers change that.
func (r *Replicas) RampUpDuration() time.Duration { return r.rampSettings.Duration }

// Remove deletes a replica and its state.
func (r *Replicas) Remove(name api.ReplicaName) { delete(r.replicas, name) }

// SetRemoteSurcharge increases the scores of replicas in other data centres by
// the given fraction, because traffic between data centres costs money. It applies
// to replicas that are set after the call.
func (r *Replicas) SetRemoteSurcharge(share float64) { r.remoteSurcharge = share }

// Suspect reports whether a replica failed so often that it gets only one probe
// request at a time.
func (r *Replicas) Suspect(name api.ReplicaName) bool {
	s, ok := r.replicas[name]
	return ok && s.consecutiveFailures >= suspectAfter
}

// SlowAfterStart reports whether the share of a replica that has started or recovered was reduced
// because its answers are slow, and the share.
func (r *Replicas) SlowAfterStart(now time.Time, name api.ReplicaName) (share float64, slow bool) {
	s, ok := r.replicas[name]
	if !ok {
		return 1, false
	}
	return s.ramp.Share(now, r.rampSettings), s.ramp.Slow()
}

// Cold reports whether the share of a replica still grows after a start or a recovery.
func (r *Replicas) Cold(now time.Time, name api.ReplicaName) bool {
	s, ok := r.replicas[name]
	return ok && s.ramp.Active(now, r.rampSettings)
}

// ObserveLoad records a load report that did not come with an answer, such as one
// from a new connection or a probe. It reports whether the incarnation was marked
// as draining by this report and had not been before.
func (r *Replicas) ObserveLoad(now time.Time, name api.ReplicaName, load api.TargetLoad) (drained bool) {
	s, ok := r.replicas[name]
	return ok && s.observeLoad(now, r.rampSettings, load)
}

// SetDraining marks one incarnation as drained, so that it gets no new work.
// Incarnation 0 means the current one, or the first one observed if none is known.
// It reports whether the drain state changed.
func (r *Replicas) SetDraining(_ time.Time, name api.ReplicaName, incarnation api.Incarnation) bool {
	s, ok := r.replicas[name]
	if !ok {
		return false
	}
	if incarnation == 0 {
		incarnation = s.incarnation
	}
	if incarnation == 0 {
		changed := !s.drainPending
		s.drainPending = true
		return changed
	}
	return s.markDrained(incarnation)
}

// DrainNext drains a replica whose process may have been replaced since it was
// last observed: the next incarnation observed is marked as drained, and the
// replica gets no new work until then. It reports whether the drain state changed.
func (r *Replicas) DrainNext(name api.ReplicaName) bool {
	s, ok := r.replicas[name]
	if !ok || s.drainPending {
		return false
	}
	s.drainPending = true
	return true
}

// ClearDraining clears the drain state of a replica, except for the drain flag of
// the configuration document.
func (r *Replicas) ClearDraining(name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok {
		s.drainedIncarnations = [maxDrainedIncarnations]api.Incarnation{}
		s.drainPending = false
	}
}

// Usable reports whether new work may be sent to a replica, and the reason if not.
// A replica with failures is usable; Pick reduces its share.
func (r *Replicas) Usable(_ time.Time, name api.ReplicaName) (bool, api.Reason) {
	s, ok := r.replicas[name]
	if !ok {
		return false, api.ReasonNoReplica
	}
	if s.isDrained() {
		return false, api.ReasonDraining
	}
	return true, api.ReasonNone
}

// HeldVersions returns the index versions that a replica reported last. The caller must
// not modify the slice.
func (r *Replicas) HeldVersions(name api.ReplicaName) []api.ShardVersions {
	if s, ok := r.replicas[name]; ok {
		return s.heldVersions
	}
	return nil
}

// Incarnation returns the current incarnation of a replica; 0 if unknown.
func (r *Replicas) Incarnation(name api.ReplicaName) api.Incarnation {
	if s, ok := r.replicas[name]; ok {
		return s.incarnation
	}
	return 0
}

// Latency returns the smoothed latency of a replica and the 0.99 quantile of its
// latency; both are 0 before the first answer.
func (r *Replicas) Latency(name api.ReplicaName) (smoothed, tail time.Duration) {
	s, ok := r.replicas[name]
	if !ok {
		return 0, 0
	}
	return time.Duration(s.latency), s.tailLatency.Value(tailQuantile)
}

// ExpectedLatency returns the expected latency of the next attempt if no other attempt is
// in flight: the smoothed latency, which decays towards the prior as it gets old.
func (r *Replicas) ExpectedLatency(now time.Time, name api.ReplicaName) time.Duration {
	s, ok := r.replicas[name]
	if !ok {
		return 0
	}
	return time.Duration(s.expectedLatency(now))
}

// InFlight returns the number of attempts that this node has in flight on a
// replica.
func (r *Replicas) InFlight(name api.ReplicaName) int {
	if s, ok := r.replicas[name]; ok {
		return s.inFlight
	}
	return 0
}

// observeLoad applies a load report. Incarnation 0 means that the answer carried
// no report. The result is that of ObserveLoad.
func (s *replica) observeLoad(now time.Time, settings pace.Settings, load api.TargetLoad) (drained bool) {
	if load.Incarnation == 0 || load.Incarnation == s.previousIncarnation {
		return false
	}
	if load.Incarnation != s.incarnation {
		s.startIncarnation(now, settings, load.Incarnation)
	}
	if s.drainPending {
		s.drainPending = false
		drained = s.markDrained(load.Incarnation)
	}
	if load.Held != nil {
		s.heldVersions = load.Held
	}
	s.reportedLoad = min(float64(max(load.Running+load.Queued, 0)), maxLoadPerSlot*s.slots)
	s.reportedAt = now
	if load.Draining && s.markDrained(load.Incarnation) {
		drained = true
	}
	return drained
}

// startIncarnation resets the state for a new incarnation. The first incarnation
// observed is not treated as cold, because it may have been running for long.
func (s *replica) startIncarnation(now time.Time, settings pace.Settings, incarnation api.Incarnation) {
	if s.incarnation != 0 {
		s.ramp.Start(now, settings, settings.Duration)
		s.heldVersions = nil
		s.consecutiveFailures, s.failureRate = 0, 0
	}
	s.previousIncarnation, s.incarnation = s.incarnation, incarnation
}

// markDrained marks an incarnation as drained and reports whether it was not
// marked before.
func (s *replica) markDrained(incarnation api.Incarnation) bool {
	for _, d := range s.drainedIncarnations {
		if d == incarnation {
			return false
		}
	}
	s.drainedIncarnations[s.nextDrainedIndex] = incarnation
	s.nextDrainedIndex = (s.nextDrainedIndex + 1) % maxDrainedIncarnations
	return true
}

func (s *replica) isDrained() bool {
	if s.operatorDrained || s.drainPending {
		return true
	}
	if s.incarnation == 0 {
		return false
	}
	for _, d := range s.drainedIncarnations {
		if d == s.incarnation {
			return true
		}
	}
	return false
}
