package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/quarantine"
)

const (
	// maxRetriesBeforeAnswer is the number of lost parts of one request that are retried before
	// any part is answered: a request that crashes replicas must not take down a
	// second replica of each shard.
	maxRetriesBeforeAnswer = 2
	// probationRetryAfter is the time after which a caller may retry whose request is
	// running on probation for another caller.
	probationRetryAfter = 200 * time.Millisecond
)

// admit asks the quarantine how a request may run. It either refuses the request (ok is
// false) or returns whether the request must run on probation.
func (e *Engine) admit(now time.Time, ev Arrived, r *request) (probation, ok bool) {
	verdict := e.quarantine.Admit(now, ev.Message.Fingerprint, quarantine.Options{Work: !r.route.Idempotent})
	switch verdict.Kind {
	case quarantine.Refuse:
		e.refuse(now, ev, r.route, api.ReasonQuarantined, verdict.RetryAfter)
		return false, false
	case quarantine.Wait:
		e.refuse(now, ev, r.route, api.ReasonQuarantined, probationRetryAfter)
		return false, false
	}
	return verdict.Kind == quarantine.RunProbation, true
}

// recordFirstAnswer handles the first answer of a replica to a request, which shows that the
// request does not crash replicas: it reports this to the quarantine, ends the probation and
// resumes waiting parts that may now be sent again to a replica that failed them.
func (e *Engine) recordFirstAnswer(now time.Time, r *request) {
	if r.replicaAnswered {
		return
	}
	r.replicaAnswered = true
	e.fingerprintAnswered(now, r.message.Fingerprint)
	e.publish(e.quarantine.Answered(now, r.message.Fingerprint))
	e.endProbation(now, r)
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partWaiting && p.mayRetryFailedReplica(r) {
			e.resume(now, p.service)
		}
	}
}

// endProbation ends the probation of a request after its first answer or once the request has
// ended. Without an answer, the probation lasts until it is known whether the request crashed
// a replica.
func (e *Engine) endProbation(now time.Time, r *request) {
	if r.onProbation && (r.replicaAnswered || r.unresolvedLosses == 0) {
		r.onProbation = false
		e.quarantine.ProbationEnded(now, r.message.Fingerprint)
	}
}

// sendHeldParts sends the parts that were held back until the first answer.
func (e *Engine) sendHeldParts(now time.Time, r *request) {
	if !r.hasHeldParts {
		return
	}
	r.hasHeldParts = false
	for i := range r.parts {
		if r.parts[i].state != partHeld || e.requests[r.id] != r {
			continue // an earlier part may have ended the request
		}
		if r.parts[i].sends == 0 {
			e.dispatch(now, r, i)
		} else {
			e.retryPart(now, r, i, api.ReasonConnectionLost)
		}
	}
}
