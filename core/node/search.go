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
	// answerMargin is the part of a search's time kept for building and sending
	// the answer, at most answerMarginMost.
	answerMargin     = 20 // one twentieth
	answerMarginMost = 5 * time.Millisecond
	// maxCanaries bounds the candidates for canaries.
	maxCanaries = 8
	// comeBackAfter is what refused callers are told when nothing better is known.
	comeBackAfter = 200 * time.Millisecond
)

// search is one search of a caller.
type search struct {
	arrived     event.SearchArrived
	fingerprint api.Fingerprint
	rule        config.Rule
	start       time.Time
	deadline    time.Time // when the caller stops waiting
	query       *fanout.Query
	// admitted counts the parts not yet given back to the admission control.
	admitted int
	// probation is set while this search is the probation run of its fingerprint.
	probation bool
	// answered is set once a target has answered a part.
	answered bool
	timerAt  time.Time // the earliest timer set
}

func (s *search) service() api.ServiceName { return s.arrived.Search.Query.Service }

// searchArrived checks a search and starts it, or refuses it.
func (n *Node) searchArrived(now time.Time, ev event.SearchArrived) {
	rule, refusal := n.ruleFor(now, ev.Search.Query.Service, config.KindSearch)
	if refusal != api.ReasonNone {
		n.refuseSearch(ev.Request, refusal, comeBackAfter)
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
		n.refuseSearch(ev.Request, api.ReasonDeadline, comeBackAfter)
		return
	}
	n.searches[ev.Request] = s
	n.timers.Set(s.deadline, timer{request: ev.Request})
	n.admitSearch(now, s)
}

// ruleFor returns the rule of a service, or why no request to it can run.
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
	n.act(event.AnswerSearch{Request: request, Answer: api.SearchAnswer{
		Outcome: api.NotRun, Reason: reason, RetryAfter: retryAfter,
	}})
}

// dropSearch refuses a search that has not sent anything.
func (n *Node) dropSearch(s *search, reason api.Reason, retryAfter time.Duration) {
	delete(n.searches, s.arrived.Request)
	n.refuseSearch(s.arrived.Request, reason, retryAfter)
}

// admitSearch asks quarantine and admission control, then starts the search.
func (n *Node) admitSearch(now time.Time, s *search) {
	verdict := n.quarantine.Admit(now, s.fingerprint, quarantine.Options{Canary: s.rule.Canary})
	switch verdict.Kind {
	case quarantine.Refuse:
		n.dropSearch(s, api.ReasonQuarantined, verdict.RetryAfter)
		return
	case quarantine.Wait:
		n.onProbation[s.fingerprint] = append(n.onProbation[s.fingerprint], s.arrived.Request)
		return
	case quarantine.RunAlone:
		s.probation = true
	}
	if !n.startSearch(now, s, verdict.Kind) && s.probation {
		n.endProbation(now, s.fingerprint)
	}
}

// startSearch chooses a snapshot and sends the first requests. It returns
// false if the search was refused.
func (n *Node) startSearch(now time.Time, s *search, kind quarantine.Kind) bool {
	choice, shards, ok := n.chooseSnapshot(now, s)
	n.askHoldings(now, s.service(), choice, s.wanted())
	if !ok {
		n.dropSearch(s, n.whyNothingHeld(now, s.service()), comeBackAfter)
		return false
	}
	admitted, retryAfter := n.admission.Admit(now, s.service(), len(shards), s.deadline)
	if !admitted {
		n.dropSearch(s, api.ReasonOverloaded, retryAfter)
		return false
	}
	s.admitted = len(shards)
	s.query = fanout.New(n.plan(now, s, choice, shards, kind), n)
	s.query.Begin(now)
	n.afterQuery(now, s)
	return true
}

// chooseSnapshot returns the snapshot to run at and the shards of it.
func (n *Node) chooseSnapshot(now time.Time, s *search) (snapshot.Choice, []config.Shard, bool) {
	if s.arrived.Search.Pin != nil {
		return n.pinned(s)
	}
	choice, ok := n.choose(now, s)
	if !ok {
		return choice, nil, false
	}
	return choice, choice.Map.Shards, true
}

func (n *Node) choose(now time.Time, s *search) (snapshot.Choice, bool) {
	usable := func(r api.ReplicaName) bool {
		ok, _ := n.replicas.Usable(now, r)
		return ok && n.conns.Open(r) > 0
	}
	return n.holdings.Choose(s.service(), s.wanted(), usable)
}

func (s *search) wanted() api.PPM {
	if s.arrived.Search.Coverage != 0 {
		return s.arrived.Search.Coverage
	}
	return s.rule.Coverage
}

// pinned returns the shards that a peer asked for.
func (n *Node) pinned(s *search) (snapshot.Choice, []config.Shard, bool) {
	pin := s.arrived.Search.Pin
	m := n.document.Services[s.service()].Map(pin.Snapshot.Epoch)
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

// whyNothingHeld explains why no snapshot of a service can be used.
func (n *Node) whyNothingHeld(now time.Time, service api.ServiceName) api.Reason {
	reason := api.ReasonNoReplica
	for _, r := range n.document.ReplicasOf(service) {
		ok, why := n.replicas.Usable(now, r)
		switch {
		case !ok:
			reason = why
		case n.conns.Open(r) == 0:
			reason = api.ReasonNoConnection
		default:
			return api.ReasonVersionNotYet
		}
	}
	return reason
}

func (n *Node) plan(now time.Time, s *search, choice snapshot.Choice, shards []config.Shard, kind quarantine.Kind) fanout.Plan {
	left := s.deadline.Sub(now)
	p := fanout.Plan{
		Request:     s.arrived.Request,
		Query:       s.arrived.Search.Query,
		Fingerprint: s.fingerprint,
		Choice:      choice,
		Shards:      shards,
		Wanted:      s.wanted(),
		EarlyReturn: s.rule.EarlyReturn,
		Pinned:      s.arrived.Search.Pin != nil,
		Limit:       s.limit(),
		Start:       now,
		Deadline:    s.deadline.Add(-min(left/answerMargin, answerMarginMost)),
		HedgeDelay:  n.hedgeDelay(s.service(), left),
		SlowParts:   n.settings.Policy.SlowParts,
	}
	if s.arrived.Search.EarlyReturn != nil {
		p.EarlyReturn = *s.arrived.Search.EarlyReturn
	}
	p.Query.Limit = p.Limit
	switch kind {
	case quarantine.RunCanary:
		p.Mode = fanout.CanaryFirst
	case quarantine.RunAlone:
		p.Mode = fanout.Probation
	}
	if p.Mode != fanout.NoCanary {
		p.Canaries = n.canaries(now, s, choice.Snapshot, shards)
	}
	return p
}

func (n *Node) hedgeDelay(service api.ServiceName, left time.Duration) time.Duration {
	if fixed := n.settings.Policy.HedgeDelay; fixed > 0 {
		return fixed
	}
	return n.delay.Hedge(service, left)
}

func (s *search) limit() int {
	asked := s.arrived.Search.Query.Limit
	if asked <= 0 || asked > s.rule.MaxRows {
		return s.rule.MaxRows
	}
	return asked
}

// canaries lists the first replicas in canary order with a shard that each
// of them serves at the snapshot.
func (n *Node) canaries(now time.Time, s *search, at api.Snapshot, shards []config.Shard) []fanout.Canary {
	var out []fanout.Canary
	taken := make(map[int]bool)
	for _, replica := range quarantine.CanaryOrder(s.fingerprint, n.document.ReplicasOf(s.service())) {
		if ok, _ := n.replicas.Usable(now, replica); !ok || n.conns.Open(replica) == 0 {
			continue
		}
		part := slices.IndexFunc(shards, func(shard config.Shard) bool {
			return slices.Contains(shard.Replicas, replica) && n.holdings.Holds(replica, at, shard.Name)
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

// nextPart returns the next shard after the given one that the replica serves,
// or -1.
func nextPart(n *Node, shards []config.Shard, after int, replica api.ReplicaName, at api.Snapshot) int {
	for i := after + 1; i < len(shards); i++ {
		if slices.Contains(shards[i].Replicas, replica) && n.holdings.Holds(replica, at, shards[i].Name) {
			return i
		}
	}
	return -1
}

// wakeSearch handles the timer of a search.
func (n *Node) wakeSearch(now time.Time, s *search) {
	if s.query == nil { // waits for a probation run
		if !now.Before(s.deadline) {
			n.dropSearch(s, api.ReasonQuarantined, comeBackAfter)
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
		if at := s.query.Wake(); s.timerAt.IsZero() || at.Before(s.timerAt) {
			s.timerAt = at
			n.timers.Set(at, timer{request: s.arrived.Request})
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
		n.act(event.AnswerSearch{Request: s.arrived.Request, Answer: answer})
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

// endProbation tells the quarantine that a probation run has ended and lets the
// requests that waited for it ask again.
func (n *Node) endProbation(now time.Time, fp api.Fingerprint) {
	n.quarantine.Released(now, fp)
	n.retryProbation(now, fp)
}

// retryProbation lets waiting requests of a fingerprint ask again.
func (n *Node) retryProbation(now time.Time, fp api.Fingerprint) {
	queue := n.onProbation[fp]
	delete(n.onProbation, fp)
	for _, id := range queue {
		if s := n.searches[id]; s != nil && s.query == nil {
			n.admitSearch(now, s)
		}
		if w := n.works[id]; w != nil && w.state == workWaiting {
			n.admitWork(now, w)
		}
	}
}

// callerGone gives up a search, or a work order that was not sent.
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
