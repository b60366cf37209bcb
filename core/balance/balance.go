// Package balance chooses among the replicas of a shard. It keeps, for each
// replica, what answers and failures showed: latency, own attempts in flight,
// reported load, incarnation, drain state and the index versions held.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/quantile"
)

const (
	// RampUp is the time in which the share of a cold replica grows to its full one.
	RampUp = 10 * time.Second
	// rampStart is the share at the start of RampUp; some traffic is needed to warm up.
	rampStart = 0.1
	// latencyWeight is the weight of a new latency in the smoothed one.
	latencyWeight = 0.125
	// failureWeight is the weight of a new outcome in the smoothed failure rate.
	failureWeight = 0.1
	// failureCost multiplies the score of a replica that fails always by 1+failureCost.
	failureCost = 15
	// suspectAfter is the number of failures in a row from which a replica gets
	// single probes only.
	suspectAfter = 3
	// probeFirst and probeMost bound the interval between probes, which doubles.
	probeFirst = 200 * time.Millisecond
	probeMost  = 5 * time.Second
	// loadHalfLife halves the weight of a reported load.
	loadHalfLife = 250 * time.Millisecond
	// loadMost is the largest reported load that counts, per slot. Reports may
	// be false; a replica that claims any load still gets a share.
	loadMost = 2.0
	// forgetHalfLife halves the failure rate and the excess of a smoothed latency
	// over the prior, so that a replica that failed or was slow is tried again.
	forgetHalfLife = 5 * time.Second
	// fresh is the age up to which both count in full.
	fresh = time.Second
	// priorLocal and priorRemote are assumed before the first answer. They are
	// low, so that an unknown replica is tried soon.
	priorLocal  = time.Millisecond
	priorRemote = 2 * time.Millisecond
	// highQuantile is the second value of Latency.
	highQuantile = 0.99
	// drainsKept bounds the drained incarnations remembered per replica.
	drainsKept = 4
)

// replica is what is known of one replica.
type replica struct {
	name    api.ReplicaName
	address string
	slots   float64
	prior   float64
	// cost multiplies the score; above 1 in another data centre if
	// SetRemoteSurcharge was called.
	cost float64
	// operatorDrained is the flag of the document.
	operatorDrained bool

	incarnation api.Incarnation
	// former is the incarnation before; its late answers are ignored.
	former    api.Incarnation
	coldUntil time.Time
	// drained holds drained incarnations; drainPending drains the first
	// incarnation that is seen.
	drained      [drainsKept]api.Incarnation
	nextDrained  int
	drainPending bool

	inFlight int
	// latency is smoothed, in nanoseconds; 0 before the first answer.
	latency   float64
	latencyAt time.Time
	high      quantile.Estimate
	reported  float64
	// reportedAt is when reported was received.
	reportedAt  time.Time
	failureRate float64
	// failureAt is when failureRate last changed.
	failureAt time.Time
	failures  int
	probeAt   time.Time
	// probing says that a single probe of a suspect replica is in flight.
	probing bool
	held    []api.ShardVersions
}

// Replicas holds the state of all configured replicas.
type Replicas struct {
	rng        *rand.Rand
	local      api.DataCentre
	replicas   map[api.ReplicaName]*replica
	configured bool
	// remoteSurcharge is the share by which a remote replica counts as slower.
	remoteSurcharge float64
}

// New returns a Replicas without replicas. The data centre local is the node's own.
func New(rng *rand.Rand, local api.DataCentre) *Replicas {
	return &Replicas{rng: rng, local: local, replicas: make(map[api.ReplicaName]*replica)}
}

// Configure adopts the replicas of a document. What is known of a replica whose
// address did not change is kept. A replica that is added or moved after the
// first document starts cold.
func (r *Replicas) Configure(now time.Time, doc *config.Document) {
	for name := range r.replicas {
		if _, ok := doc.Replicas[name]; !ok {
			delete(r.replicas, name)
		}
	}
	for name, c := range doc.Replicas {
		spec := Spec{Address: c.Address, DataCentre: c.DataCentre, Slots: c.Slots, Drained: c.Drained}
		if old, ok := r.replicas[name]; r.configured && (!ok || old.address != c.Address) {
			spec.ColdFor = RampUp
		}
		r.Set(now, name, spec)
	}
	r.configured = true
}

// Spec is what a configuration or a registration says of one replica.
type Spec struct {
	Address    string
	DataCentre api.DataCentre
	Slots      int
	Drained    bool
	// ColdFor is how long the replica is expected to stay slow after its start.
	ColdFor time.Duration
}

// Set adds a replica or changes it. What is known of a replica whose address
// did not change is kept.
func (r *Replicas) Set(now time.Time, name api.ReplicaName, spec Spec) {
	s, ok := r.replicas[name]
	if !ok || s.address != spec.Address {
		s = &replica{name: name, address: spec.Address}
		r.replicas[name] = s
	}
	if spec.ColdFor > 0 {
		s.coldUntil = now.Add(min(spec.ColdFor, RampUp))
	}
	s.slots = float64(max(spec.Slots, 1))
	s.operatorDrained = spec.Drained
	s.prior, s.cost = float64(priorRemote), 1+r.remoteSurcharge
	if spec.DataCentre == r.local {
		s.prior, s.cost = float64(priorLocal), 1
	}
}

// Remove forgets a replica.
func (r *Replicas) Remove(name api.ReplicaName) { delete(r.replicas, name) }

// SetRemoteSurcharge makes replicas of other data centres count as slower by
// the given share: traffic between data centres is paid for. It applies to
// replicas that are set from then on.
func (r *Replicas) SetRemoteSurcharge(share float64) { r.remoteSurcharge = share }

// Suspect reports whether a replica failed so often that it gets single probes
// only.
func (r *Replicas) Suspect(name api.ReplicaName) bool {
	s, ok := r.replicas[name]
	return ok && s.failures >= suspectAfter
}

// ObserveLoad records a load that did not come with an answer, as on a new
// connection or a probe. It reports whether the load is the first sign that this
// incarnation drains.
func (r *Replicas) ObserveLoad(now time.Time, name api.ReplicaName, load api.TargetLoad) (drained bool) {
	s, ok := r.replicas[name]
	return ok && s.observe(now, load)
}

// SetDraining stops the use of one incarnation. Incarnation 0 stands for the
// one known now, or for the first one seen if none is known. It reports whether
// this was news.
func (r *Replicas) SetDraining(_ time.Time, name api.ReplicaName, incarnation api.Incarnation) bool {
	s, ok := r.replicas[name]
	if !ok {
		return false
	}
	if incarnation == 0 {
		incarnation = s.incarnation
	}
	if incarnation == 0 {
		news := !s.drainPending
		s.drainPending = true
		return news
	}
	return s.drain(incarnation)
}

// DrainNext drains a replica whose process may have been replaced since it was
// last seen: the next incarnation that is observed drains, and none is used
// until then. It reports whether this is news.
func (r *Replicas) DrainNext(name api.ReplicaName) bool {
	s, ok := r.replicas[name]
	if !ok || s.drainPending {
		return false
	}
	s.drainPending = true
	return true
}

// ClearDraining forgets all drain signals of a replica but the document's.
func (r *Replicas) ClearDraining(name api.ReplicaName) {
	if s, ok := r.replicas[name]; ok {
		s.drained = [drainsKept]api.Incarnation{}
		s.drainPending = false
	}
}

// Usable reports whether new work may go to a replica, and the reason if not.
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

// Held returns the index versions that a replica announced last. The caller
// must not change it.
func (r *Replicas) Held(name api.ReplicaName) []api.ShardVersions {
	if s, ok := r.replicas[name]; ok {
		return s.held
	}
	return nil
}

// Incarnation returns the incarnation that a replica showed last; 0 if unknown.
func (r *Replicas) Incarnation(name api.ReplicaName) api.Incarnation {
	if s, ok := r.replicas[name]; ok {
		return s.incarnation
	}
	return 0
}

// Latency returns the smoothed latency of a replica and its 0.99 quantile; 0
// before the first answer.
func (r *Replicas) Latency(name api.ReplicaName) (smoothed, high time.Duration) {
	s, ok := r.replicas[name]
	if !ok {
		return 0, 0
	}
	return time.Duration(s.latency), s.high.Value(highQuantile)
}

// Expected returns the latency that the next attempt is expected to take, without
// other attempts on its way: the smoothed one, which fades if it is old.
func (r *Replicas) Expected(now time.Time, name api.ReplicaName) time.Duration {
	s, ok := r.replicas[name]
	if !ok {
		return 0
	}
	return time.Duration(s.expected(now))
}

// InFlight returns the number of own attempts in flight on a replica.
func (r *Replicas) InFlight(name api.ReplicaName) int {
	if s, ok := r.replicas[name]; ok {
		return s.inFlight
	}
	return 0
}

// observe takes over a reported load. Incarnation 0 means that the answer
// carried none.
func (s *replica) observe(now time.Time, load api.TargetLoad) (drained bool) {
	if load.Incarnation == 0 || load.Incarnation == s.former {
		return false
	}
	if load.Incarnation != s.incarnation {
		s.restarted(now, load.Incarnation)
	}
	if s.drainPending {
		s.drainPending = false
		drained = s.drain(load.Incarnation)
	}
	if load.Held != nil {
		s.held = load.Held
	}
	s.reported = min(float64(max(load.Running+load.Queued, 0)), loadMost*s.slots)
	s.reportedAt = now
	if load.Draining && s.drain(load.Incarnation) {
		drained = true
	}
	return drained
}

// restarted begins a new incarnation. The first one seen is not known to be cold.
func (s *replica) restarted(now time.Time, incarnation api.Incarnation) {
	if s.incarnation != 0 {
		s.coldUntil = now.Add(RampUp)
		s.held = nil
		s.failures, s.failureRate = 0, 0
	}
	s.former, s.incarnation = s.incarnation, incarnation
}

// drain remembers a drained incarnation and reports whether it was news.
func (s *replica) drain(incarnation api.Incarnation) bool {
	for _, d := range s.drained {
		if d == incarnation {
			return false
		}
	}
	s.drained[s.nextDrained] = incarnation
	s.nextDrained = (s.nextDrained + 1) % drainsKept
	return true
}

func (s *replica) isDrained() bool {
	if s.operatorDrained || s.drainPending {
		return true
	}
	if s.incarnation == 0 {
		return false
	}
	for _, d := range s.drained {
		if d == s.incarnation {
			return true
		}
	}
	return false
}
