package once

import "github.com/baobabsail/baobabsail/core/api"

// claimDecision is the result of checking a claim against a record.
type claimDecision uint8

const (
	// claimAdded means that the claim was added to the record.
	claimAdded claimDecision = iota + 1
	// claimRefused means that the request is answered without a send.
	claimRefused
	// claimStale means that the record must be read again to decide.
	claimStale
)

// decide checks a claim against the record and adds it if its key is absent or
// was released. fresh means that the record was read after the claim arrived;
// only then is a state that may still change reported to the caller.
func (r *record) decide(cl *claim, fresh bool) (api.WorkAnswer, claimDecision) {
	e, found := r.lookup(cl.claimKey)
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
		return unknown(api.ReasonKeyClaimed, busyRetryAfter), claimRefused
	}
	added := entry{claimKey: cl.claimKey, id: cl.id, digest: cl.digest, state: stateClaimed}
	if r.bytes+added.encodedSize() > maxSizeWithClaim {
		if !fresh {
			return api.WorkAnswer{}, claimStale
		}
		return notRun(api.ReasonClaimsFull, fullRetryAfter), claimRefused
	}
	r.put(added)
	return api.WorkAnswer{}, claimAdded
}

// replay returns the answer for a recorded outcome. ReasonTruncated tells the
// caller that the result was truncated.
func replay(e entry) api.WorkAnswer {
	a := api.WorkAnswer{Outcome: api.Answered, Result: []byte(e.result), Replayed: true}
	if e.state == stateFailed {
		a.Outcome, a.Reason = api.Failed, api.ReasonFailed
	}
	if e.truncated {
		a.Reason = api.ReasonTruncated
	}
	return a
}
