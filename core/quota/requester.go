package quota

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// standbyAfter is how long the allocator may take to answer before the standby is asked as
	// well.
	standbyAfter = 15 * time.Millisecond
	// askTimeout is how long a node may take to answer before it counts as failed.
	askTimeout = 100 * time.Millisecond
	// failedTime is how long a node is not asked that did not answer or is not the allocator.
	failedTime = time.Second
	// unsupportedTime is how long a node is not asked that does not know the requests of this
	// package.
	unsupportedTime = 10 * time.Second
	// maxWanted is the largest number of requests in one message. Others wait for its response.
	maxWanted = 256
)

// Waiting is a request of a caller that waits to be admitted.
type Waiting struct {
	Request api.RequestID
	// Priority orders the requests of an account; lower values are admitted first.
	Priority int
	Deadline time.Time
}

// Verdict is the result for a request that waited.
type Verdict uint8

const (
	// Admitted means that the request may be sent now.
	Admitted Verdict = iota + 1
	// OverQuota means that the account has used its quota.
	OverQuota
	// Unknown means that no node could say whether the account has quota left.
	Unknown
	// Expired means that the deadline of the request has passed.
	Expired
)

// Decision is the verdict on one request.
type Decision struct {
	Request api.RequestID
	Verdict Verdict
	// RetryAfter is how long a refused caller should wait.
	RetryAfter time.Duration
}

// Ask is a Request to a node, which may be this one.
type Ask struct {
	Request
	ID   uint64
	Node string
}

// Requester asks for the admission of the requests that reach this node.
type Requester struct {
	ranking  *Ranking
	accounts map[string]*account
	asks     map[uint64]*ask
	lastAsk  uint64
	// exclusions holds the nodes that are not asked, and until when: for all accounts if they
	// failed, for one account if they are not its allocator.
	exclusions map[exclusion]time.Time

	decisions, lastDecisions []Decision
	out, lastOut             []Ask
}

// exclusion identifies a node that is not asked about an account, or about any if account is empty.
type exclusion struct{ node, account string }

// account is the state of one account at the requesting node.
type account struct {
	quota   Quota
	waiting []Waiting
	// first and second are the unanswered requests to the allocator and to the standby.
	first, second *ask
	// deniedUntil is the time that the allocator named after a refusal, and deniedVerdict what
	// the refusal means; standbyDeniedUntil is the time that the standby named.
	deniedUntil, standbyDeniedUntil time.Time
	deniedVerdict                   Verdict
	// standbyAt is when the standby last could have been asked because the allocator was late.
	standbyAt time.Time
	// used is the fraction of the quota that an allocator last reported as used; reported is set
	// once one has.
	used     float64
	reported bool
}

// ask is an unanswered request to a node.
type ask struct {
	Ask
	sentAt time.Time
}

// NewRequester returns a Requester without requests.
func NewRequester(ranking *Ranking) *Requester {
	return &Requester{
		ranking: ranking, accounts: make(map[string]*account), asks: make(map[uint64]*ask),
		exclusions: make(map[exclusion]time.Time),
	}
}

// Take returns the decisions and the requests to nodes since the last call. The slices are valid
// until the next call of Take.
func (r *Requester) Take() ([]Decision, []Ask) {
	r.decisions, r.lastDecisions = r.lastDecisions[:0], r.decisions
	r.out, r.lastOut = r.lastOut[:0], r.out
	return r.lastDecisions, r.lastOut
}

// Pending reports whether Take has anything to return.
func (r *Requester) Pending() bool { return len(r.decisions)+len(r.out) > 0 }

// Waiting returns the number of requests of an account that wait.
func (r *Requester) Waiting(name string) int {
	if a := r.accounts[name]; a != nil {
		return len(a.waiting)
	}
	return 0
}

// Used returns the fraction of its quota that an account used in the last window, as the
// allocator last reported it; false if it has not.
func (r *Requester) Used(name string) (used float64, ok bool) {
	if a := r.accounts[name]; a != nil {
		return a.used, a.reported
	}
	return 0, false
}

// Retain forgets the accounts that are not listed and have no waiting requests.
func (r *Requester) Retain(quotas map[string]Quota) {
	for name, a := range r.accounts {
		if _, ok := quotas[name]; !ok && len(a.waiting) == 0 {
			delete(r.accounts, name)
		}
	}
}

// Add makes a request wait for its admission.
func (r *Requester) Add(now time.Time, name string, quota Quota, w Waiting) {
	a := r.accounts[name]
	if a == nil {
		a = &account{}
		r.accounts[name] = a
	}
	if quota.Version >= a.quota.Version {
		if quota.PerSecond != a.quota.PerSecond || quota.Burst != a.quota.Burst {
			a.deniedUntil, a.standbyDeniedUntil = time.Time{}, time.Time{} // it applied to the former quota
		}
		a.quota = quota
	}
	at := len(a.waiting)
	for at > 0 && w.Priority < a.waiting[at-1].Priority {
		at--
	}
	a.waiting = slices.Insert(a.waiting, at, w)
	r.update(now, name, a)
}

// Remove drops a request whose caller no longer waits.
func (r *Requester) Remove(name string, id api.RequestID) {
	if a := r.accounts[name]; a != nil {
		a.waiting = slices.DeleteFunc(a.waiting, func(w Waiting) bool { return w.Request == id })
	}
}

// Answered handles the response to an Ask. A response that was handled before, or comes after
// its request counted as failed, has no effect: what it grants is lost.
func (r *Requester) Answered(now time.Time, id uint64, g Grant) {
	q := r.asks[id]
	if q == nil {
		return
	}
	a := r.accounts[q.Account]
	first := r.remove(q)
	if a == nil {
		return
	}
	// The allocator's figure counts. That of the standby counts if it is higher: nodes with
	// different lists may ask different allocators.
	if !g.NotAllocator && (first || g.Used > a.used) {
		a.used, a.reported = g.Used, true
	}
	admitted := min(g.Admitted, q.Wanted, len(a.waiting))
	for _, w := range a.waiting[:max(admitted, 0)] {
		r.decisions = append(r.decisions, Decision{Request: w.Request, Verdict: Admitted})
	}
	a.waiting = slices.Delete(a.waiting, 0, max(admitted, 0))
	switch {
	case g.NotAllocator:
		r.exclusions[exclusion{q.Node, q.Account}] = now.Add(failedTime)
	case g.Admitted >= q.Wanted:
	case first:
		a.deniedUntil, a.deniedVerdict = now.Add(max(g.RetryAfter, minRetryAfter)), OverQuota
		if g.Reduced {
			a.deniedVerdict = Unknown
		}
	default:
		a.standbyDeniedUntil = now.Add(max(g.RetryAfter, minRetryAfter))
	}
	r.update(now, q.Account, a)
}

// Failed handles an Ask that got no response. supported is false if the node responds but does
// not know such requests.
func (r *Requester) Failed(now time.Time, id uint64, supported bool) {
	q := r.asks[id]
	if q == nil {
		return
	}
	r.fail(now, q, supported)
	if a := r.accounts[q.Account]; a != nil {
		r.update(now, q.Account, a)
	}
}

// fail removes an unanswered request and excludes its node for a time.
func (r *Requester) fail(now time.Time, q *ask, supported bool) {
	r.remove(q)
	wait := failedTime
	if !supported {
		wait = unsupportedTime
	}
	r.exclusions[exclusion{node: q.Node}] = now.Add(wait)
}

// remove forgets an unanswered request. It reports whether it was sent to the allocator.
func (r *Requester) remove(q *ask) (first bool) {
	delete(r.asks, q.ID)
	a := r.accounts[q.Account]
	if a == nil {
		return false
	}
	if a.first == q {
		a.first = nil
		return true
	}
	if a.second == q {
		a.second = nil
	}
	return false
}

// Tick handles what is due for an account.
func (r *Requester) Tick(now time.Time, name string) {
	a := r.accounts[name]
	if a == nil {
		return
	}
	for _, q := range []*ask{a.first, a.second} {
		if q != nil && now.Sub(q.sentAt) >= askTimeout {
			r.fail(now, q, true)
		}
	}
	r.update(now, name, a)
}

// Next returns when Tick is due for an account, or the zero time.
func (r *Requester) Next(name string) time.Time {
	a := r.accounts[name]
	if a == nil {
		return time.Time{}
	}
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if a.first != nil {
		consider(a.first.sentAt.Add(askTimeout))
		if a.second == nil && len(a.waiting) > 0 && a.standbyAt.Before(a.first.sentAt.Add(standbyAfter)) {
			consider(a.first.sentAt.Add(standbyAfter))
		}
	}
	if a.second != nil {
		consider(a.second.sentAt.Add(askTimeout))
	}
	for _, w := range a.waiting {
		consider(w.Deadline)
	}
	return next
}

// mayAsk reports whether a node may be asked about an account.
func (r *Requester) mayAsk(now time.Time, node, name string) bool {
	return node != "" && r.excludedUntil(now, node, "").IsZero() && r.excludedUntil(now, node, name).IsZero()
}

// excludedUntil returns until when a node is not asked, or the zero time.
func (r *Requester) excludedUntil(now time.Time, node, name string) time.Time {
	key := exclusion{node, name}
	until, ok := r.exclusions[key]
	if !ok {
		return time.Time{}
	}
	if !now.Before(until) {
		delete(r.exclusions, key)
		return time.Time{}
	}
	return until
}

// update sends the requests to nodes that are due for an account, and refuses the waiting
// requests that cannot be admitted.
func (r *Requester) update(now time.Time, name string, a *account) {
	a.waiting = slices.DeleteFunc(a.waiting, func(w Waiting) bool {
		expired := !now.Before(w.Deadline)
		if expired {
			r.decisions = append(r.decisions, Decision{Request: w.Request, Verdict: Expired})
		}
		return expired
	})
	if len(a.waiting) == 0 {
		return
	}
	if now.Before(a.deniedUntil) {
		r.refuseAll(a, a.deniedVerdict, a.deniedUntil.Sub(now))
		return
	}
	first, second := r.ranking.Of(name)
	mayAskFirst := r.mayAsk(now, first, name)
	if a.first == nil && mayAskFirst {
		a.first = r.ask(now, name, a, first)
	}
	late := a.first == nil || now.Sub(a.first.sentAt) >= standbyAfter
	if late {
		a.standbyAt = now
	}
	if late && a.second == nil && !now.Before(a.standbyDeniedUntil) && r.mayAsk(now, second, name) {
		a.second = r.ask(now, name, a, second)
	}
	if a.first == nil && a.second == nil {
		r.refuseAll(a, Unknown, r.unknownFor(now, a, first, second, name))
	}
}

// unknownFor returns how long no node can be asked about an account.
func (r *Requester) unknownFor(now time.Time, a *account, first, second, name string) time.Duration {
	wait := failedTime
	until := []time.Time{r.excludedUntil(now, first, ""), r.excludedUntil(now, first, name)}
	if r.mayAsk(now, second, name) {
		until = append(until, a.standbyDeniedUntil)
	}
	for _, t := range until {
		if t.After(now) {
			wait = min(wait, t.Sub(now))
		}
	}
	return max(wait, minRetryAfter)
}

// refuseAll refuses all waiting requests of an account with the given verdict.
func (r *Requester) refuseAll(a *account, v Verdict, retryAfter time.Duration) {
	retryAfter = max(retryAfter, minRetryAfter)
	for _, w := range a.waiting {
		r.decisions = append(r.decisions, Decision{Request: w.Request, Verdict: v, RetryAfter: retryAfter})
	}
	a.waiting = a.waiting[:0]
}

// ask sends a request for all waiting requests of an account.
func (r *Requester) ask(now time.Time, name string, a *account, node string) *ask {
	r.lastAsk++
	q := &ask{sentAt: now, Ask: Ask{
		ID: r.lastAsk, Node: node, Request: Request{Account: name, Wanted: min(len(a.waiting), maxWanted), Quota: a.quota},
	}}
	r.asks[q.ID] = q
	r.out = append(r.out, q.Ask)
	return q
}
