package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// purpose says why an attempt is sent.
type purpose uint8

const (
	// first is the first attempt of a part.
	first purpose = iota
	// replacing follows an attempt that failed.
	replacing
	// hedging runs beside an attempt that is slow.
	hedging
)

// budgetPart is the part of the budget that an extra attempt may use.
func (p purpose) budgetPart() float64 {
	if p == hedging {
		return hedgePart
	}
	return 1
}

// slowFactor times the hedge delay is the latency from which a replica is slow:
// those that other nodes prefer are then used as well.
const slowFactor = 2

// choose returns a replica with room for a part, or why there is none. A
// replica that has gone quiet is taken only if there is no other, one that other
// nodes prefer only if there is no other or the others are slow; a silent one
// only for a probe; one that failed the part before only if no other is left to
// replace the failed attempt; and a hedge goes to neither a quiet nor a suspect replica:
// waiting for any of them would help nobody.
func (e *Engine) choose(now time.Time, r *request, p *part, why purpose) (api.ReplicaName, api.Reason) {
	e.candidates = e.candidates[:0]
	slow := true
	reason := api.ReasonNoReplica
	preferred := e.preferredRank(p.service)
	var quiet, shared, failed []api.ReplicaName
	for _, name := range e.registry.byService[p.service] {
		entry := e.registry.entries[name]
		if entry.Draining || !e.mayTake(r, p, name, why) {
			continue
		}
		if !e.connections(name).hasRoom(now, e.quota(p.service, entry.Slots)) {
			reason = api.ReasonOverloaded
			continue
		}
		if e.silent[name] && !e.replicas.ProbeDue(now, name) {
			continue
		}
		if why == hedging && (e.quiet[name] || e.replicas.Suspect(name)) {
			continue
		}
		switch {
		case slices.Contains(p.tried, name):
			failed = append(failed, name)
		case e.quiet[name]:
			quiet = append(quiet, name)
		case entry.rank > preferred:
			shared = append(shared, name)
		default:
			e.candidates = append(e.candidates, name)
			slow = slow && e.replicas.Expected(now, name) > slowFactor*r.hedgeAfter
		}
	}
	if slow {
		e.candidates = append(e.candidates, shared...)
	}
	if len(e.candidates) == 0 {
		e.candidates = append(e.candidates, quiet...)
	}
	if len(e.candidates) == 0 {
		e.candidates = append(e.candidates, failed...)
	}
	name, ok := e.replicas.Pick(now, e.candidates, nil)
	if !ok {
		return "", reason
	}
	return name, api.ReasonNone
}

// mayTake reports whether an attempt of a part may go to a replica, as far as the
// part's earlier attempts go.
func (e *Engine) mayTake(r *request, p *part, name api.ReplicaName, why purpose) bool {
	if !slices.Contains(p.tried, name) {
		return why == first || p.mayMove(r)
	}
	return why == replacing && p.mayRepeat(r) && slices.Contains(p.failed, name)
}

// overdue remembers that the replicas of a part's attempts have gone quiet, unless they
// answered something since. While no replica has answered the request, it may be the
// cause.
func (e *Engine) overdue(p *part) {
	for _, a := range p.live {
		if !e.heardSince(a) {
			e.quiet[a.replica] = true
		}
		if !a.watched && !a.request.survived {
			a.watched = true
			e.timers.Set(a.sentAt.Add(a.request.stallTime()), timer{attempt: a.id})
		}
	}
}

// heard records an answer of a replica. If it had been silent, the cause may
// have been on this side, so that all silent replicas are probed again.
func (e *Engine) heard(now time.Time, name api.ReplicaName) {
	if e.registry.entries[name] == nil {
		return // it was removed meanwhile
	}
	e.heardAt[name] = now
	delete(e.quiet, name)
	if !e.silent[name] {
		return
	}
	delete(e.silent, name)
	e.log("replica_heard_again", "replica", name, "silent", len(e.silent))
	for other := range e.silent {
		e.replicas.ProbeSoon(now, other)
	}
}

// heardSince reports whether the replica answered anything since an attempt.
func (e *Engine) heardSince(a *attempt) bool {
	at, ok := e.heardAt[a.replica]
	return ok && at.After(a.sentAt)
}
