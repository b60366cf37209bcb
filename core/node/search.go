package node

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/fanout"
	"github.com/baobabsail/baobabsail/core/quarantine"
	"github.com/baobabsail/baobabsail/core/snapshot"
)

const (
	// The time between the internal deadline of a search and the caller's deadline is
	// kept for building and sending the answer. It is the remaining time divided by
	// answerMarginDivisor, at most maxAnswerMargin.
	answerMarginDivisor = 20
	maxAnswerMargin     = 5 * time.Millisecond
	// maxCanaries bounds the number of canary candidates of a search.
	maxCanaries = 8
	// defaultRetryAfter is the retry delay given to refused callers if no better
	// estimate is known.
	defaultRetryAfter = 200 * time.Millisecond
)

// search is the state of one search request.
type search struct {
	arrived     event.SearchArrived
	fingerprint api.Fingerprint
	rule        config.Rule
	start       time.Time
	deadline    time.Time // when the caller stops waiting for the answer
	query       *fanout.Query
	// admitted counts the parts not yet returned to the admission control.
	admitted int
	// probation is set while this search is the probation run of its fingerprint.
	probation bool
	// targetAnswered is set once a target has run a part and replied to it.
	targetAnswered bool
	timerAt        time.Time // the earliest timer that is set
}

func (s *search) service() api.ServiceName { return s.arrived.Search.Query.Service }

// searchArrived validates a search and starts or refuses it.
func (n *Node) searchArrived(now time.Time, ev event.SearchArrived) {
	rule, refusal := n.ruleFor(now, ev.Search.Query.Service, config.KindSearch)
	if refusal != api.ReasonNone {
		n.refuseSearch(ev.Request, refusal, defaultRetryAfter)
		return
	}
	s := &search{
		arrived:     ev,
		rule:        rule,
		fingerprint: quarantine.Fingerprint(ev.Search.Query),
		start:       now,
		deadline:    earliest(ev.Deadline, now.Add(rule.Deadline)),
	}
	if !now.Before(s.deadline) {
		n.refuseSearch(ev.Request, api.ReasonDeadline, defaultRetryAfter)
		return
	}
	n.searches[ev.Request] = s
	n.timers.Add(s.deadline, timer{request: ev.Request})
	n.admitSearch(now, s)
}

// ruleFor returns the rule of a service, or the reason why a request of the given
// kind to it cannot run.
func (n *Node) ruleFor(now time.Time, name api.ServiceName, kind config.Kind) (config.Rule, api.Reason) {
	switch {
	case n.shutdown.refuses(now):
		return config.Rule{}, api.ReasonShuttingDown
	case n.document == nil:
		return config.Rule{}, api.ReasonNoConfiguration
	}
	service := n.document.Services[name]
	if service == nil {
		return config.Rule{}, api.ReasonUnknownService
	}
	if service.Kind != kind {
		return config.Rule{}, api.ReasonWrongKind
	}
	return service.Rule, api.ReasonNone
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func (n *Node) refuseSearch(request api.RequestID, reason api.Reason, retryAfter time.Duration) {
	n.counts.Inc(count.Refused, reason)
	n.emit(event.AnswerSearch{Request: request, Answer: api.SearchAnswer{
		Outcome: api.NotRun, Reason: reason, RetryAfter: retryAfter,
	}})
}

// refuseUnsentSearch removes and refuses a search that has not sent anything.
func (n *Node) refuseUnsentSearch(s *search, reason api.Reason, retryAfter time.Duration) {
	delete(n.searches, s.arrived.Request)
	n.refuseSearch(s.arrived.Request, reason, retryAfter)
}

// admitSearch starts a search, refuses it or makes it wait for a probation run, as
// the quarantine decides.
func (n *Node) admitSearch(now time.Time, s *search) {
	verdict := n.quarantine.Admit(now, s.fingerprint, quarantine.Options{Canary: s.rule.Canary})
	switch verdict.Kind {
	case quarantine.Refuse:
		n.refuseUnsentSearch(s, api.ReasonQuarantined, verdict.RetryAfter)
		return
	case quarantine.Wait:
		n.awaitingProbation[s.fingerprint] = append(n.awaitingProbation[s.fingerprint], s.arrived.Request)
		return
	case quarantine.RunProbation:
		s.probation = true
	}
	if !n.startSearch(now, s, verdict.Kind) && s.probation {
		n.endProbation(now, s.fingerprint)
	}
}

// startSearch chooses a snapshot, asks the admission control and sends the first
// requests. It returns false if the search was refused.
func (n *Node) startSearch(now time.Time, s *search, kind quarantine.Kind) bool {
	choice, shards, ok := n.chooseSnapshot(now, s)
	n.probeVersions(now, s.service(), choice, s.wantedCoverage())
	if !ok {
		n.refuseUnsentSearch(s, n.noSnapshotReason(now, s.service()), defaultRetryAfter)
		return false
	}
	admitted, retryAfter := n.admission.Admit(now, s.service(), len(shards), s.deadline)
	if !admitted {
		n.refuseUnsentSearch(s, api.ReasonOverloaded, retryAfter)
		return false
	}
	s.admitted = len(shards)
	s.query = fanout.New(n.fanoutPlan(now, s, choice, shards, kind), n)
	s.query.Begin(now)
	n.afterQuery(now, s)
	return true
}

// chooseSnapshot returns the snapshot to search and the shards to send requests
// for.
func (n *Node) chooseSnapshot(now time.Time, s *search) (snapshot.Choice, []config.Shard, bool) {
	if s.arrived.Search.Pin != nil {
		return n.pinnedShards(s)
	}
	choice, ok := n.chooseAvailableSnapshot(now, s)
	if !ok {
		return choice, nil, false
	}
	return choice, choice.Map.Shards, true
}

// chooseAvailableSnapshot chooses a snapshot by the versions that the usable replicas
// hold.
func (n *Node) chooseAvailableSnapshot(now time.Time, s *search) (snapshot.Choice, bool) {
	usable := func(r api.ReplicaName) bool {
		ok, _ := n.replicas.Usable(now, r)
		return ok && n.conns.OpenCount(r) > 0
	}
	return n.versions.Choose(s.service(), s.wantedCoverage(), usable)
}

// wantedCoverage returns the coverage that the caller asked for, or that of the
// service's rule.
func (s *search) wantedCoverage() api.PPM {
	if s.arrived.Search.Coverage != 0 {
		return s.arrived.Search.Coverage
	}
	return s.rule.Coverage
}

// pinnedShards returns the snapshot and the shards that a peer asked for. It
// returns false if the configuration does not have all of them.
func (n *Node) pinnedShards(s *search) (snapshot.Choice, []config.Shard, bool) {
	pin := s.arrived.Search.Pin
	m := n.document.Services[s.service()].MapAtEpoch(pin.Snapshot.Epoch)
	if m == nil {
		return snapshot.Choice{}, nil, false
	}
	shards := make([]config.Shard, 0, len(pin.Shards))
	for _, name := range pin.Shards {
		if shard := m.Shard(name); shard != nil {
			shards = append(shards, *shard)
		}
	}
	return snapshot.Choice{Snapshot: pin.Snapshot, Map: m}, shards, len(shards) == len(pin.Shards)
}

// noSnapshotReason returns the reason why no snapshot of a service can be used.
func (n *Node) noSnapshotReason(now time.Time, service api.ServiceName) api.Reason {
	reason := api.ReasonNoReplica
	for _, r := range n.document.ReplicasOf(service) {
		ok, why := n.replicas.Usable(now, r)
		switch {
		case !ok:
			reason = why
		case n.conns.OpenCount(r) == 0:
			reason = api.ReasonNoConnection
		default:
			return api.ReasonVersionNotYet
		}
	}
	return reason
}

func (n *Node) fanoutPlan(now time.Time, s *search, choice snapshot.Choice, shards []config.Shard, kind quarantine.Kind) fanout.Plan {
	remaining := s.deadline.Sub(now)
	p := fanout.Plan{
		Request:     s.arrived.Request,
		Query:       s.arrived.Search.Query,
		Fingerprint: s.fingerprint,
		Choice:      choice,
		Shards:      shards,
		Wanted:      s.wantedCoverage(),
		EarlyReturn: s.rule.EarlyReturn,
		Pinned:      s.arrived.Search.Pin != nil,
		Limit:       s.limit(),
		Start:       now,
		Deadline:    s.deadline.Add(-min(remaining/answerMarginDivisor, maxAnswerMargin)),
		HedgeDelay:  n.hedgeDelay(s.service(), remaining),
		SlowParts:   n.settings.Policy.SlowParts,
	}
	if s.arrived.Search.EarlyReturn != nil {
		p.EarlyReturn = *s.arrived.Search.EarlyReturn
	}
	p.Query.Limit = p.Limit
	switch kind {
	case quarantine.RunCanary:
		p.Mode = fanout.CanaryFirst
	case quarantine.RunProbation:
		p.Mode = fanout.Probation
	}
	if p.Mode != fanout.NoCanary {
		p.Canaries = n.canaryCandidates(now, s, choice.Snapshot, shards)
	}
	return p
}

func (n *Node) hedgeDelay(service api.ServiceName, remaining time.Duration) time.Duration {
	if fixed := n.settings.Policy.HedgeDelay; fixed > 0 {
		return fixed
	}
	return n.latencies.Hedge(service, remaining)
}

// limit returns the row limit that the caller asked for, capped by the service's
// rule.
func (s *search) limit() int {
	asked := s.arrived.Search.Query.Limit
	if asked <= 0 || asked > s.rule.MaxRows {
		return s.rule.MaxRows
	}
	return asked
}

// canaryCandidates returns up to maxCanaries usable replicas in canary order, each
// with a different shard that it serves at the snapshot.
func (n *Node) canaryCandidates(now time.Time, s *search, at api.Snapshot, shards []config.Shard) []fanout.Canary {
	var out []fanout.Canary
	taken := make(map[int]bool)
	for _, replica := range quarantine.CanaryOrder(s.fingerprint, n.document.ReplicasOf(s.service())) {
		if ok, _ := n.replicas.Usable(now, replica); !ok || n.conns.OpenCount(replica) == 0 {
			continue
		}
		part := slices.IndexFunc(shards, func(shard config.Shard) bool {
			return slices.Contains(shard.Replicas, replica) && n.versions.Holds(replica, at, shard.Name)
		})
		for part >= 0 && taken[part] {
			part = nextPart(n, shards, part, replica, at)
		}
		if part < 0 {
			continue
		}
		taken[part] = true
		out = append(out, fanout.Canary{Part: part, Replica: replica})
		if len(out) == maxCanaries {
			break
		}
	}
	return out
}

// nextPart returns the index of the next shard after the given one that the
// replica serves at the snapshot, or -1.
func nextPart(n *Node, shards []config.Shard, after int, replica api.ReplicaName, at api.Snapshot) int {
	for i := after + 1; i < len(shards); i++ {
		if slices.Contains(shards[i].Replicas, replica) && n.versions.Holds(replica, at, shards[i].Name) {
			return i
		}
	}
	return -1
}

// wakeSearch handles a timer of a search.
func (n *Node) wakeSearch(now time.Time, s *search) {
	if s.query == nil { // waiting for a probation run
		if !now.Before(s.deadline) {
			n.refuseUnsentSearch(s, api.ReasonQuarantined, defaultRetryAfter)
		}
		return
	}
	s.timerAt = time.Time{}
	s.query.Tick(now)
	n.afterQuery(now, s)
}

// afterQuery answers a search that has ended, or sets its next timer.
func (n *Node) afterQuery(now time.Time, s *search) {
	answer, done := s.query.Done()
	if !done {
		if at := s.query.NextTick(); s.timerAt.IsZero() || at.Before(s.timerAt) {
			s.timerAt = at
			n.timers.Add(at, timer{request: s.arrived.Request})
		}
		return
	}
	if n.searches[s.arrived.Request] != s {
		return
	}
	delete(n.searches, s.arrived.Request)
	if s.admitted > 0 {
		n.admission.Done(now, s.service(), s.admitted, 0, 0)
		s.admitted = 0
	}
	if answer.Reason != api.ReasonCallerGone {
		n.emit(event.AnswerSearch{Request: s.arrived.Request, Answer: answer})
	}
	n.countSearch(answer)
	if s.probation {
		s.probation = false
		n.endProbation(now, s.fingerprint)
	}
}

func (n *Node) countSearch(a api.SearchAnswer) {
	n.counts.Inc(count.SearchEnded, api.Reason(a.Outcome.String()))
	if a.Outcome == api.NotRun {
		n.counts.Inc(count.Refused, a.Reason)
	}
}

// endProbation tells the quarantine that a probation run has ended and retries the
// requests that waited for it.
func (n *Node) endProbation(now time.Time, fp api.Fingerprint) {
	n.quarantine.ProbationEnded(now, fp)
	n.retryProbation(now, fp)
}

// retryProbation asks the quarantine again for the waiting requests of a
// fingerprint.
func (n *Node) retryProbation(now time.Time, fp api.Fingerprint) {
	queue := n.awaitingProbation[fp]
	delete(n.awaitingProbation, fp)
	for _, id := range queue {
		if s := n.searches[id]; s != nil && s.query == nil {
			n.admitSearch(now, s)
		}
		if w := n.works[id]; w != nil && w.state == workAwaitingProbation {
			n.admitWork(now, w)
		}
	}
}

// callerGone abandons a search, or a work order that was not sent, because its
// caller has disconnected.
func (n *Node) callerGone(now time.Time, request api.RequestID) {
	if s := n.searches[request]; s != nil {
		n.counts.Inc(count.SearchEnded, api.ReasonCallerGone)
		if s.query == nil {
			delete(n.searches, request)
			return
		}
		s.query.Abandon()
		n.afterQuery(now, s)
	}
	if w := n.works[request]; w != nil {
		n.workCallerGone(now, w)
	}
}
