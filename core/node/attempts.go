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

// attempt is one request that is on its way to a target.
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
	// stale is set if the fingerprint became suspect after the sending, so that
	// an answer does not clear it.
	stale bool
}

// candidates returns the replicas of a shard that could take a part now, or
// the reason why there is none. The slice is valid until the next call.
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
		if n.conns.Open(r) == 0 {
			reason = api.ReasonNoConnection
			continue
		}
		if shard != "" && !n.holdings.Holds(r, at, shard) {
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

// place takes room at one of the candidates and returns it with a connection.
func (n *Node) place(now time.Time, candidates []api.ReplicaName) (api.ReplicaName, api.ConnID, api.Reason) {
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
		room, wait := n.concurrent.Acquire(now, replica)
		if room {
			return replica, conn, api.ReasonNone
		}
		if wait > 0 {
			n.timers.Set(now.Add(wait), timer{replica: replica})
		}
		busy = append(busy, replica)
		reason = api.ReasonOverloaded
	}
	return "", 0, reason
}

// waitingPart is a part of a search, or a work order, that waits for room at a
// replica.
type waitingPart struct {
	request api.RequestID
	part    int
	work    bool
}

// waitFor queues a part at each of the candidates, or only at the one whose
// queue it was taken from.
func (n *Node) waitFor(candidates []api.ReplicaName, w waitingPart) {
	if w == n.resumingPart && slices.Contains(candidates, n.resuming) {
		n.waiting[n.resuming] = append(n.waiting[n.resuming], w)
		return
	}
	for _, r := range candidates {
		n.waiting[r] = append(n.waiting[r], w)
	}
}

// resume sends parts that wait for a replica until there is no room. A part
// that was sent or given up elsewhere is skipped.
func (n *Node) resume(now time.Time, replica api.ReplicaName) {
	if n.resuming != "" {
		return
	}
	n.resuming = replica
	for queue := n.waiting[replica]; len(queue) > 0; queue = n.waiting[replica] {
		w := queue[0]
		n.waiting[replica] = queue[1:]
		n.resumingPart = w
		if !n.resumePart(now, w) {
			break
		}
	}
	n.resuming, n.resumingPart = "", waitingPart{}
	if len(n.waiting[replica]) == 0 {
		delete(n.waiting, replica)
	}
}

// resumePart sends what waited for a replica. It returns false if that still
// has to wait.
func (n *Node) resumePart(now time.Time, w waitingPart) bool {
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

// track records an attempt that is handed to a connection.
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
func (n *Node) Send(now time.Time, q *fanout.Query, part int, exclude []api.ReplicaName, only api.ReplicaName) (fanout.Sent, api.Reason) {
	shard := &q.Shards[part]
	at := q.Snapshot()
	candidates, reason := n.candidates(now, shard.Replicas, exclude, only, at, shard.Name)
	if reason != api.ReasonNone {
		return fanout.Sent{}, reason
	}
	replica, conn, reason := n.place(now, candidates)
	if reason == api.ReasonOverloaded {
		n.waitFor(candidates, waitingPart{request: q.Request, part: part})
	}
	if reason != api.ReasonNone {
		return fanout.Sent{}, reason
	}
	a := &attempt{
		id: n.newAttempt(), request: q.Request, service: q.Query.Service, fingerprint: q.Fingerprint,
		part: part, extra: len(exclude) > 0, conn: conn, replica: replica,
	}
	n.track(now, a)
	if s := n.searches[q.Request]; s != nil && s.probation && !s.answered {
		n.quarantine.Placed(now, q.Fingerprint, replica)
	}
	n.act(event.SendSearch{Conn: conn, Request: api.SearchRequest{
		Attempt: a.id, Shard: shard.Name, Snapshot: at, Query: q.Query, Deadline: q.Deadline,
	}})
	return fanout.Sent{Attempt: a.id, Replica: replica}, api.ReasonNone
}

// Cancel implements fanout.Env.
func (n *Node) Cancel(id api.AttemptID) {
	a := n.attempts[id]
	if a == nil {
		return
	}
	delete(n.attempts, id)
	n.cancelled = append(n.cancelled, a)
	n.act(event.CancelAttempt{Attempt: id})
}

// settleCancelled gives back the room of cancelled attempts. It runs after the
// search has handled its event, because that event's time is needed.
func (n *Node) settleCancelled(now time.Time) {
	for len(n.cancelled) > 0 {
		a := n.cancelled[0]
		n.cancelled = n.cancelled[1:]
		waited := now.Sub(a.sentAt)
		n.replicas.Cancelled(now, a.replica, waited)
		n.concurrent.Abandon(a.replica)
		n.conns.Finished(now, a.conn, a.id, false)
		n.delay.Observe(now, a.service, waited)
		n.resume(now, a.replica)
	}
}

// SpendExtra implements fanout.Env.
func (n *Node) SpendExtra(now time.Time, service api.ServiceName) bool {
	return n.settings.Policy.NoBudget || n.budget.Spend(now, service)
}

// RefundExtra implements fanout.Env.
func (n *Node) RefundExtra(service api.ServiceName) {
	if !n.settings.Policy.NoBudget {
		n.budget.Refund(service)
	}
}

// Count implements fanout.Env.
func (n *Node) Count(kind count.Kind, detail api.Reason) { n.counts.Inc(kind, detail) }

// Rechoose implements fanout.Env.
func (n *Node) Rechoose(now time.Time, q *fanout.Query) (snapshot.Choice, []fanout.Canary, bool) {
	s := n.searches[q.Request]
	if s == nil {
		return snapshot.Choice{}, nil, false
	}
	choice, ok := n.choose(now, s)
	n.askHoldings(now, s.service(), choice, s.wanted())
	if !ok {
		return choice, nil, false
	}
	var canaries []fanout.Canary
	if q.Mode != fanout.NoCanary {
		canaries = n.canaries(now, s, choice.Snapshot, choice.Map.Shards)
	}
	return choice, canaries, true
}

// MayTryAgain implements fanout.Env: a search whose canary was lost may use
// another one only if its request is not waited for, or refused, elsewhere.
func (n *Node) MayTryAgain(now time.Time, q *fanout.Query) bool {
	s := n.searches[q.Request]
	if s == nil || s.probation {
		return false
	}
	verdict := n.quarantine.Admit(now, q.Fingerprint, quarantine.Options{Canary: true})
	s.probation = verdict.Kind == quarantine.RunAlone
	return s.probation || verdict.Kind == quarantine.RunCanary
}

// searchReplied handles a target's answer to a part.
func (n *Node) searchReplied(now time.Time, ev *event.SearchReplied) {
	a := n.attempts[ev.Attempt]
	if a == nil || a.work {
		n.counts.Inc(count.Discarded, "late")
		n.observeLoad(now, ev.Conn, ev.Reply.Load)
		return
	}
	delete(n.attempts, ev.Attempt)
	latency := now.Sub(a.sentAt)
	n.settle(now, a, ev.Reply.Outcome, latency, ev.Reply.Load)
	s := n.searches[a.request]
	if s == nil || s.query == nil {
		return
	}
	n.giveBack(now, s, ev.Reply.Outcome)
	if ev.Reply.Attempt != ev.Attempt {
		n.counts.Inc(count.Discarded, api.ReasonMismatched)
		s.query.Lost(now, a.part, a.id, true)
	} else {
		n.noteVersionRefusal(a, s, &ev.Reply)
		n.noteAnswered(now, a, s, ev.Reply.Outcome)
		s.query.Replied(now, a.part, a.id, &ev.Reply)
	}
	n.afterQuery(now, s)
	n.resume(now, a.replica)
}

// settle gives back what an answered attempt held and learns from the answer.
func (n *Node) settle(now time.Time, a *attempt, outcome api.TargetOutcome, latency time.Duration, load api.TargetLoad) {
	drained := n.replicas.Done(now, a.replica, outcome, latency, load)
	n.concurrent.Release(now, a.replica, outcome, latency, load)
	n.conns.Finished(now, a.conn, a.id, true)
	if outcome.Ran() {
		n.delay.Observe(now, a.service, latency)
	}
	n.learnLoad(now, a.replica, load, drained)
}

// giveBack returns one part to the admission control, with the time since the
// search was admitted: the wait in the node is part of the queueing delay.
func (n *Node) giveBack(now time.Time, s *search, outcome api.TargetOutcome) {
	if s.admitted == 0 {
		return
	}
	s.admitted--
	n.admission.Done(now, s.service(), 1, outcome, now.Sub(s.start))
}

// noteVersionRefusal corrects what is known of a replica that refused a
// snapshot.
func (n *Node) noteVersionRefusal(a *attempt, s *search, reply *api.SearchReply) {
	switch reply.Outcome {
	case api.TargetVersionGone, api.TargetVersionNotYet, api.TargetWrongEpoch:
		n.holdings.NotHeld(a.replica, s.query.Snapshot(), reply.Shard)
	}
}

// noteAnswered tells the quarantine that a target survived the request.
func (n *Node) noteAnswered(now time.Time, a *attempt, s *search, outcome api.TargetOutcome) {
	if s.answered || a.stale || !outcome.Ran() {
		return
	}
	s.answered = true
	n.publish(now, n.quarantine.Answered(now, a.fingerprint))
	if s.probation {
		s.probation = false
		n.endProbation(now, a.fingerprint)
	}
}

// attemptFailed handles an attempt that ended without an answer.
func (n *Node) attemptFailed(now time.Time, ev event.AttemptFailed) {
	a := n.attempts[ev.Attempt]
	if a == nil {
		return
	}
	delete(n.attempts, ev.Attempt)
	n.concurrent.Abandon(a.replica)
	n.conns.Finished(now, a.conn, a.id, false)
	if ev.NeverSent {
		n.replicas.Unsent(a.replica)
		n.deliverLoss(now, lostAttempt{attempt: a})
		return
	}
	n.replicas.Lost(now, a.replica)
	lost := lostAttempt{attempt: a, sent: true, until: now.Add(resetWait)}
	if n.mayBeCrash(a) {
		n.unresolved[a.replica] = append(n.unresolved[a.replica], lost)
		return
	}
	n.deliverLoss(now, lost)
}

// mayBeCrash reports whether the loss of an attempt has to be explained before
// its request goes to another target or its caller is answered.
func (n *Node) mayBeCrash(a *attempt) bool {
	if a.work {
		return true
	}
	s := n.searches[a.request]
	return s != nil && !s.answered && s.query != nil && s.query.Mode != fanout.NoCanary
}

// deliverLoss tells the request that its attempt was lost.
func (n *Node) deliverLoss(now time.Time, l lostAttempt) {
	a := l.attempt
	if a.work {
		n.workLost(now, a, l.sent)
		return
	}
	if s := n.searches[a.request]; s != nil && s.query != nil {
		s.query.Lost(now, a.part, a.id, l.sent)
		n.afterQuery(now, s)
	}
	n.resume(now, a.replica)
}
