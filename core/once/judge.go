package once

import "github.com/baobabsail/baobabsail/core/api"

// verdict is how a record decides a claim.
type verdict uint8

const (
	claimAdded verdict = iota + 1
	claimRefused
	claimStale
)

// judge decides a claim by the record and adds it if the key is free. fresh
// says that the record was read after the claim arrived; only then is a state
// that may change reported to the caller.
func (r *record) judge(cl *claim, fresh bool) (api.WorkAnswer, verdict) {
	e, found := r.lookup(cl.identity)
	switch {
	case !found && cl.key.CreatedMillis() < r.floor:
		return unknown(api.ReasonKeyExpired, 0), claimRefused
	case found && e.digest != cl.digest:
		return notRun(api.ReasonKeyReused, 0), claimRefused
	case found && e.state.done():
		return replay(e), claimRefused
	case found && e.state == stateClaimed && !fresh:
		return api.WorkAnswer{}, claimStale
	case found && e.state == stateClaimed:
		return unknown(api.ReasonKeyClaimed, retryBusy), claimRefused
	}
	added := entry{identity: cl.identity, id: cl.id, digest: cl.digest, state: stateClaimed}
	if r.bytes+added.size() > claimLimit {
		if !fresh {
			return api.WorkAnswer{}, claimStale
		}
		return notRun(api.ReasonClaimsFull, retryFull), claimRefused
	}
	r.put(added)
	return api.WorkAnswer{}, claimAdded
}

// replay repeats a recorded outcome; the reason tells that the result was cut.
func replay(e entry) api.WorkAnswer {
	a := api.WorkAnswer{Outcome: api.Answered, Result: []byte(e.result), Replayed: true}
	if e.state == stateFailed {
		a.Outcome, a.Reason = api.Failed, api.ReasonFailed
	}
	if e.cut {
		a.Reason = api.ReasonTruncated
	}
	return a
}
