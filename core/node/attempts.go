package node

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/fanout"
	"github.com/baobabsail/baobabsail/core/quarantine"
	"github.com/baobabsail/baobabsail/core/snapshot"
)

// attempt is one request sent to a target and not yet answered.
type attempt struct {
	id          api.AttemptID
	request     api.RequestID
	service     api.ServiceName
	fingerprint api.Fingerprint
	part        int
	work        bool
	extra       bool // a hedge or a retry
	conn        api.ConnID
	replica     api.ReplicaName
	sentAt      time.Time
	// stale is set if the fingerprint became suspect after the attempt was sent. Its
	// answer then does not clear the fingerprint.
	stale bool
}

// candidates returns the replicas in all that can serve a request now, or the
// reason why there is none. It skips those in exclude and, if only is set, all
// others. If shard is set, a replica must hold it at the given snapshot. The
// slice is valid until the next call.
func (n *Node) candidates(now time.Time, all, exclude []api.ReplicaName, only api.ReplicaName, at api.Snapshot, shard api.ShardName) ([]api.ReplicaName, api.Reason) {
	out := n.candidateBuffer[:0]
	reason := api.ReasonNoReplica
	for _, r := range all {
		if slices.Contains(exclude, r) || (only != "" && r != only) {
			continue
		}
		if ok, why := n.replicas.Usable(now, r); !ok {
			reason = why
			continue
		}
		if n.conns.OpenCount(r) == 0 {
			reason = api.ReasonNoConnection
			continue
		}
		if shard != "" && !n.versions.Holds(r, at, shard) {
			reason = api.ReasonVersionGone
			continue
		}
		out = append(out, r)
	}
	n.candidateBuffer = out
	if len(out) > 0 {
		return out, api.ReasonNone
	}
	return nil, reason
}

// acquireSlot picks one of the candidates, takes a concurrency slot at it and
// returns it with an open connection. ReasonOverloaded means that at least one
// candidate has a connection, but none has a free slot.
func (n *Node) acquireSlot(now time.Time, candidates []api.ReplicaName) (api.ReplicaName, api.ConnID, api.Reason) {
	busy := n.busyBuffer[:0]
	defer func() { n.busyBuffer = busy }()
	reason := api.ReasonNoConnection
	for range candidates {
		replica, ok := n.replicas.Pick(now, candidates, busy)
		if !ok {
			break
		}
		conn, ok := n.conns.Pick(now, replica)
		if !ok {
			busy = append(busy, replica)
			continue
		}
		acquired, wait := n.concurrency.Acquire(now, replica)
		if acquired {
			return replica, conn, api.ReasonNone
		}
		if wait > 0 {
			n.timers.Add(now.Add(wait), timer{replica: replica})
		}
		busy = append(busy, replica)
		reason = api.ReasonOverloaded
	}
	return "", 0, reason
}

// waitingRequest is a part of a search, or a work order, that waits for a slot at
// a replica.
type waitingRequest struct {
	request api.RequestID
	part    int
	work    bool
}

// waitForSlot queues a request at each of the candidates. A request that
// resumeWaiting has just taken from a queue goes back to that queue only, as it is
// still in the queues of the other candidates.
func (n *Node) waitForSlot(candidates []api.ReplicaName, w waitingRequest) {
	if w == n.resumingRequest && slices.Contains(candidates, n.resumingReplica) {
		n.waiting[n.resumingReplica] = append(n.waiting[n.resumingReplica], w)
		return
	}
	for _, r := range candidates {
		n.waiting[r] = append(n.waiting[r], w)
	}
}

// resumeWaiting sends requests that wait for a replica until it has no free slot.
// Requests that were sent or ended elsewhere are skipped.
func (n *Node) resumeWaiting(now time.Time, replica api.ReplicaName) {
	if n.resumingReplica != "" {
		return
	}
	n.resumingReplica = replica
	for queue := n.waiting[replica]; len(queue) > 0; queue = n.waiting[replica] {
		w := queue[0]
		n.waiting[replica] = queue[1:]
		n.resumingRequest = w
		if !n.resumeRequest(now, w) {
			break
		}
	}
	n.resumingReplica, n.resumingRequest = "", waitingRequest{}
	if len(n.waiting[replica]) == 0 {
		delete(n.waiting, replica)
	}
}

// resumeRequest sends a request that waited for a replica. It returns false if the
// request still has to wait.
func (n *Node) resumeRequest(now time.Time, w waitingRequest) bool {
	if w.work {
		order := n.works[w.request]
		if order == nil || order.state != workQueued {
			return true
		}
		order.state = workReady
		n.sendWork(now, order)
		return order.state != workQueued
	}
	s := n.searches[w.request]
	if s == nil || s.query == nil {
		return true
	}
	sent := s.query.ResumePart(now, w.part)
	n.afterQuery(now, s)
	return sent
}

// track records an attempt when it is handed to a connection.
func (n *Node) track(now time.Time, a *attempt) {
	a.sentAt = now
	n.attempts[a.id] = a
	n.replicas.Sent(now, a.replica)
	n.conns.Sent(now, a.conn, a.id, a.fingerprint)
	if a.extra {
		n.counts.Inc(count.Sent, "extra")
		return
	}
	n.budget.Earn(now, a.service, 1)
	n.counts.Inc(count.Sent, "first")
}

// Send implements fanout.Env.
func (n *Node) Send(now time.Time, q *fanout.Query, part int, exclude []api.ReplicaName, only api.ReplicaName) (fanout.SentAttempt, api.Reason) {
	shard := &q.Shards[part]
	at := q.Snapshot()
	candidates, reason := n.candidates(now, shard.Replicas, exclude, only, at, shard.Name)
	if reason != api.ReasonNone {
		return fanout.SentAttempt{}, reason
	}
	replica, conn, reason := n.acquireSlot(now, candidates)
	if reason == api.ReasonOverloaded {
		n.waitForSlot(candidates, waitingRequest{request: q.Request, part: part})
	}
	if reason != api.ReasonNone {
		return fanout.SentAttempt{}, reason
	}
	a := &attempt{
		id: n.newAttempt(), request: q.Request, service: q.Query.Service, fingerprint: q.Fingerprint,
		part: part, extra: len(exclude) > 0, conn: conn, replica: replica,
	}
	n.track(now, a)
	if s := n.searches[q.Request]; s != nil && s.probation && !s.targetAnswered {
		n.quarantine.ProbationStarted(now, q.Fingerprint, replica)
	}
	n.emit(event.SendSearch{Conn: conn, Request: api.SearchRequest{
		Attempt: a.id, Shard: shard.Name, Snapshot: at, Query: q.Query, Deadline: q.Deadline,
	}})
	return fanout.SentAttempt{Attempt: a.id, Replica: replica}, api.ReasonNone
}

// Cancel implements fanout.Env.
func (n *Node) Cancel(id api.AttemptID) {
	a := n.attempts[id]
	if a == nil {
		return
	}
	delete(n.attempts, id)
	n.cancelled = append(n.cancelled, a)
	n.emit(event.CancelAttempt{Attempt: id})
}

// releaseCancelled releases the slots of cancelled attempts. It runs after
// the event of a step has been handled, because Cancel is not given the time.
func (n *Node) releaseCancelled(now time.Time) {
	for len(n.cancelled) > 0 {
		a := n.cancelled[0]
		n.cancelled = n.cancelled[1:]
		waited := now.Sub(a.sentAt)
		n.replicas.Cancelled(now, a.replica, waited)
		n.concurrency.Abandon(a.replica)
		n.conns.Finished(now, a.conn, a.id, false)
		n.latencies.Observe(now, a.service, waited)
		n.resumeWaiting(now, a.replica)
	}
}

// SpendRetryToken implements fanout.Env.
func (n *Node) SpendRetryToken(now time.Time, service api.ServiceName) bool {
	return n.settings.Policy.NoBudget || n.budget.Spend(now, service)
}

// RefundRetryToken implements fanout.Env.
func (n *Node) RefundRetryToken(service api.ServiceName) {
	if !n.settings.Policy.NoBudget {
		n.budget.Refund(service)
	}
}

// Count implements fanout.Env.
func (n *Node) Count(kind count.Kind, detail api.Reason) { n.counts.Inc(kind, detail) }

// ReselectSnapshot implements fanout.Env.
func (n *Node) ReselectSnapshot(now time.Time, q *fanout.Query) (snapshot.Choice, []fanout.Canary, bool) {
	s := n.searches[q.Request]
	if s == nil {
		return snapshot.Choice{}, nil, false
	}
	choice, ok := n.chooseAvailableSnapshot(now, s)
	n.probeVersions(now, s.service(), choice, s.wantedCoverage())
	if !ok {
		return choice, nil, false
	}
	var canaries []fanout.Canary
	if q.Mode != fanout.NoCanary {
		canaries = n.canaryCandidates(now, s, choice.Snapshot, choice.Map.Shards)
	}
	return choice, canaries, true
}

// MayRetryCanary implements fanout.Env. A search whose canary was lost may send
// another one only if the quarantine admits it as a canary or as a probation run,
// and not if the lost attempt was itself a probation run.
func (n *Node) MayRetryCanary(now time.Time, q *fanout.Query) bool {
	s := n.searches[q.Request]
	if s == nil || s.probation {
		return false
	}
	verdict := n.quarantine.Admit(now, q.Fingerprint, quarantine.Options{Canary: true})
	s.probation = verdict.Kind == quarantine.RunProbation
	return s.probation || verdict.Kind == quarantine.RunCanary
}

// searchReplied handles a target's reply to a part of a search.
func (n *Node) searchReplied(now time.Time, ev *event.SearchReplied) {
	a := n.attempts[ev.Attempt]
	if a == nil || a.work {
		n.counts.Inc(count.Discarded, "late")
		n.observeConnLoad(now, ev.Conn, ev.Reply.Load)
		return
	}
	delete(n.attempts, ev.Attempt)
	latency := now.Sub(a.sentAt)
	n.completeAttempt(now, a, ev.Reply.Outcome, latency, ev.Reply.Load)
	s := n.searches[a.request]
	if s == nil || s.query == nil {
		return
	}
	n.releaseAdmission(now, s, ev.Reply.Outcome)
	if ev.Reply.Attempt != ev.Attempt {
		n.counts.Inc(count.Discarded, api.ReasonMismatched)
		s.query.Lost(now, a.part, a.id, true)
	} else {
		n.noteVersionRefusal(a, s, &ev.Reply)
		n.noteAnswered(now, a, s, ev.Reply.Outcome)
		s.query.Replied(now, a.part, a.id, &ev.Reply)
	}
	n.afterQuery(now, s)
	n.resumeWaiting(now, a.replica)
}

// completeAttempt releases the slot of an answered attempt and records its
// latency, outcome and load.
func (n *Node) completeAttempt(now time.Time, a *attempt, outcome api.TargetOutcome, latency time.Duration, load api.TargetLoad) {
	drained := n.replicas.Done(now, a.replica, outcome, latency, load)
	n.concurrency.Release(now, a.replica, outcome, latency, load)
	n.conns.Finished(now, a.conn, a.id, true)
	if outcome.Ran() {
		n.latencies.Observe(now, a.service, latency)
	}
	n.applyLoad(now, a.replica, load, drained)
}

// releaseAdmission returns one part of a search to the admission control. It
// reports the time since the search arrived, because the time spent waiting in
// the node is part of the queueing delay.
func (n *Node) releaseAdmission(now time.Time, s *search, outcome api.TargetOutcome) {
	if s.admitted == 0 {
		return
	}
	s.admitted--
	n.admission.Done(now, s.service(), 1, outcome, now.Sub(s.start))
}

// noteVersionRefusal records that a replica does not hold a snapshot that it
// refused.
func (n *Node) noteVersionRefusal(a *attempt, s *search, reply *api.SearchReply) {
	switch reply.Outcome {
	case api.TargetVersionGone, api.TargetVersionNotYet, api.TargetWrongEpoch:
		n.versions.RemoveVersion(a.replica, s.query.Snapshot(), reply.Shard)
	}
}

// noteAnswered tells the quarantine that a target ran the request without
// crashing.
func (n *Node) noteAnswered(now time.Time, a *attempt, s *search, outcome api.TargetOutcome) {
	if s.targetAnswered || a.stale || !outcome.Ran() {
		return
	}
	s.targetAnswered = true
	n.publish(now, n.quarantine.Answered(now, a.fingerprint))
	if s.probation {
		s.probation = false
		n.endProbation(now, a.fingerprint)
	}
}

// attemptFailed handles an attempt that ended without a reply.
func (n *Node) attemptFailed(now time.Time, ev event.AttemptFailed) {
	a := n.attempts[ev.Attempt]
	if a == nil {
		return
	}
	delete(n.attempts, ev.Attempt)
	n.concurrency.Abandon(a.replica)
	n.conns.Finished(now, a.conn, a.id, false)
	if ev.NeverSent {
		n.replicas.Unsent(a.replica)
		n.reportLoss(now, lostAttempt{attempt: a})
		return
	}
	n.replicas.Lost(now, a.replica)
	lost := lostAttempt{attempt: a, sent: true, resolveBy: now.Add(connEndTimeout)}
	if n.mayBeCrash(a) {
		n.unresolved[a.replica] = append(n.unresolved[a.replica], lost)
		return
	}
	n.reportLoss(now, lost)
}

// mayBeCrash reports whether the cause of a lost attempt must be known before the
// request goes to another target or the caller is answered.
func (n *Node) mayBeCrash(a *attempt) bool {
	if a.work {
		return true
	}
	s := n.searches[a.request]
	return s != nil && !s.targetAnswered && s.query != nil && s.query.Mode != fanout.NoCanary
}

// reportLoss tells the request that its attempt was lost.
func (n *Node) reportLoss(now time.Time, l lostAttempt) {
	a := l.attempt
	if a.work {
		n.workLost(now, a, l.sent)
		return
	}
	if s := n.searches[a.request]; s != nil && s.query != nil {
		s.query.Lost(now, a.part, a.id, l.sent)
		n.afterQuery(now, s)
	}
	n.resumeWaiting(now, a.replica)
}
