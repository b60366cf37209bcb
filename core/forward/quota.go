package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/quota"
)

// This file keeps the requests of a client account at all nodes within the account's quota. A
// request of a caller waits until its account's allocator, or the standby, admits it. Requests
// of other nodes were admitted there.

// maxPreparedAllocators is the largest number of allocators and standbys to which a node keeps
// connections open. A connection takes 46 KB and nine goroutines (docs/CAPACITY.md), so that
// those of a large system would use much of the memory of a small VM.
const maxPreparedAllocators = 128

// quotas is the state of an engine that concerns the quotas of accounts.
type quotas struct {
	ranking   *quota.Ranking
	requester *quota.Requester
	allocator *quota.Allocator
	// accounts holds the quotas of the configuration, by account.
	accounts map[string]quota.Quota
	// waiting holds the requests that wait to be admitted.
	waiting map[api.RequestID]*awaitingAdmission
	// wakeAt is when the timer of an account is due.
	wakeAt map[string]time.Time
	// hasNodeList is set once the first list of nodes has been read.
	hasNodeList bool
	// over holds the accounts that were refused at this node as over their quota.
	over map[string]*overQuota
	// callerTimeouts holds the longest time that callers of each route have allowed for a
	// request under the current configuration.
	callerTimeouts map[string]time.Duration
}

// awaitingAdmission is a request that waits to be admitted.
type awaitingAdmission struct {
	request *request
	arrival Arrived
}

func newQuotas(s Settings) quotas {
	ranking := quota.NewRanking(s.Node)
	bounds := s.Quota
	if bounds.Window == 0 {
		bounds.Window = quota.DefaultBounds.Window
	}
	return quotas{
		ranking: ranking, requester: quota.NewRequester(ranking),
		allocator: quota.NewAllocator(bounds, ranking, rand.New(rand.NewPCG(s.Seed, 4))),
		waiting:   make(map[api.RequestID]*awaitingAdmission), wakeAt: make(map[string]time.Time),
		over: make(map[string]*overQuota), callerTimeouts: make(map[string]time.Duration),
	}
}

// adoptQuotas replaces the quotas by those of the current configuration.
func (e *Engine) adoptQuotas() {
	former := e.quotas.accounts
	e.quotas.accounts = make(map[string]quota.Quota)
	clear(e.quotas.callerTimeouts)
	known := make(map[string]quota.Quota)
	for _, a := range e.table.Accounts.All() {
		q := quota.Quota{Version: e.table.Version, PerSecond: a.PerSecond, Burst: a.Burst}
		known[a.Name] = q
		if a.Limited() {
			e.quotas.accounts[a.Name] = q
		}
	}
	e.quotas.allocator.SetQuotas(known)
	e.quotas.ranking.Retain(e.quotas.accounts)
	e.quotas.requester.Retain(e.quotas.accounts)
	e.accountCounts.keep(func(name string) bool { _, ok := known[name]; return ok })
	for name := range e.quotas.over {
		// What was over the former quota may be within the present one.
		before, now := former[name], e.quotas.accounts[name]
		if before.PerSecond != now.PerSecond || before.Burst != now.Burst {
			delete(e.quotas.over, name)
		}
	}
}

// rankAllocators replaces the nodes among which allocators are chosen: those that know quotas, so
// that each account has an allocator while older nodes run.
func (e *Engine) rankAllocators(now time.Time, ev Members) {
	if !e.quotas.hasNodeList {
		e.quotas.hasNodeList = true
		e.quotas.allocator.Settle(now, ev.ListedBefore, e.settings.FirstStart)
	}
	nodes := make([]quota.Node, 0, len(ev.Peers))
	for _, p := range ev.Peers {
		if p.Address != "" && !p.lacks(FeatureQuota) {
			nodes = append(nodes, quota.Node{Name: p.Node, Cores: p.Cores})
		}
	}
	e.quotas.ranking.SetNodes(now, nodes)
}

// allocatorAddresses returns the addresses of the allocators and standbys of all accounts with
// a quota, allocators and those of most accounts first, up to maxPreparedAllocators.
func (e *Engine) allocatorAddresses() []string {
	const first = 1 << 20 // outweighs any number of accounts for which a node is the standby
	weight := make(map[string]int)
	for name := range e.quotas.accounts {
		allocator, standby := e.quotas.ranking.Of(name)
		weight[e.groups.addresses[allocator]] += first
		weight[e.groups.addresses[standby]]++
	}
	delete(weight, "") // this node, or none
	addresses := make([]string, 0, len(weight))
	for address := range weight {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(weight[b]-weight[a], cmp.Compare(a, b))
	})
	return addresses[:min(len(addresses), maxPreparedAllocators)]
}

// quotaFor returns the quota that applies to a request, if any.
func (e *Engine) quotaFor(r *request) (quota.Quota, bool) {
	if r.subset != nil || len(e.quotas.accounts) == 0 {
		return quota.Quota{}, false
	}
	q, ok := e.quotas.accounts[r.message.Account]
	return q, ok && r.message.Account != ""
}

// awaitAdmission makes a request wait until it is admitted, which may be at once.
func (e *Engine) awaitAdmission(now time.Time, r *request, ev Arrived, q quota.Quota) {
	e.quotas.waiting[r.id] = &awaitingAdmission{request: r, arrival: ev}
	account := r.message.Account
	if e.quotas.ranking.Len() == 0 {
		e.admitLocally(now, r, q)
		return
	}
	e.quotas.requester.Add(now, account, q, quota.Waiting{Request: r.id, Priority: r.route.Priority, Deadline: r.deadline})
	e.applyDecisions(now, account)
}

// admitLocally decides about a request if no node accepts calls of others, so that each node
// admits its share of the quota.
func (e *Engine) admitLocally(now time.Time, r *request, q quota.Quota) {
	g := e.quotas.allocator.AllocateLocally(now, quota.Request{Account: r.message.Account, Wanted: 1, Quota: q}, 1/float64(max(e.nodeCount, 1)))
	d := quota.Decision{Request: r.id, Verdict: quota.Admitted}
	if g.Admitted == 0 {
		d.Verdict, d.RetryAfter = quota.OverQuota, g.RetryAfter
	}
	e.admissionDecided(now, d)
}

// applyDecisions carries out what the requester has decided about an account.
func (e *Engine) applyDecisions(now time.Time, account string) {
	for e.quotas.requester.Pending() {
		decisions, asks := e.quotas.requester.Take()
		for _, a := range asks {
			e.askAllocator(now, a)
		}
		for _, d := range decisions {
			e.admissionDecided(now, d)
		}
	}
	next := e.quotas.requester.Next(account)
	if wake := e.quotas.wakeAt[account]; !next.IsZero() && (wake.IsZero() || next.Before(wake)) {
		e.quotas.wakeAt[account] = next
		e.timers.Add(next, timer{account: account})
	}
}

// admissionsDue handles the timer of an account.
func (e *Engine) admissionsDue(now time.Time, account string) {
	delete(e.quotas.wakeAt, account)
	e.quotas.requester.Tick(now, account)
	e.applyDecisions(now, account)
}

// askAllocator sends a request for admissions to a node, or handles it if that is this node.
func (e *Engine) askAllocator(now time.Time, a quota.Ask) {
	if a.Node == e.settings.Node {
		e.quotas.requester.Answered(now, a.ID, e.quotas.allocator.Allocate(now, a.Request))
		return
	}
	e.counts.Inc(count.Quota, "asked")
	e.emit(AdmitRequests{Ask: a, Address: e.groups.addresses[a.Node]})
}

// admissionRequested handles a request of another node.
func (e *Engine) admissionRequested(now time.Time, ev AdmissionRequested) {
	g := e.quotas.allocator.Allocate(now, ev.Request)
	switch {
	case g.NotAllocator:
		e.counts.Inc(count.Quota, "not_allocator")
	case g.Admitted < ev.Wanted:
		e.counts.Inc(count.Quota, "denied")
	}
	e.counts.Add(count.Quota, "granted", uint64(g.Admitted))
	e.emit(GrantAdmissions{Grant: g, Call: ev.Call})
}

// admissionAnswered handles the response of another node.
func (e *Engine) admissionAnswered(now time.Time, ev AdmissionAnswered) {
	e.quotas.requester.Answered(now, ev.Ask.ID, ev.Grant)
	e.applyDecisions(now, ev.Ask.Account)
}

// admissionFailed handles a node that did not respond.
func (e *Engine) admissionFailed(now time.Time, ev AdmissionFailed) {
	e.counts.Inc(count.Quota, "ask_failed")
	e.log("admission_failed", "node", ev.Ask.Node, "account", ev.Ask.Account, "supported", ev.Supported, "error", ev.Error)
	e.quotas.requester.Failed(now, ev.Ask.ID, ev.Supported)
	e.applyDecisions(now, ev.Ask.Account)
}

// admissionDecided starts or refuses a request according to the decision about its admission.
func (e *Engine) admissionDecided(now time.Time, d quota.Decision) {
	w := e.quotas.waiting[d.Request]
	if w == nil {
		return
	}
	delete(e.quotas.waiting, d.Request)
	r := w.request
	switch d.Verdict {
	case quota.Admitted:
		e.accountAdmitted(now, r.message.Account)
		e.startAdmitted(now, w)
	case quota.OverQuota:
		e.accountOverQuota(now, r.message.Account)
		e.refuseWaiting(now, w, api.ReasonOverQuota, d.RetryAfter)
	case quota.Expired:
		e.refuseWaiting(now, w, api.ReasonDeadline, 0)
	default:
		e.refuseWaiting(now, w, api.ReasonQuotaUnknown, d.RetryAfter)
	}
}

// startAdmitted starts an admitted request, unless it cannot be served any more.
func (e *Engine) startAdmitted(now time.Time, w *awaitingAdmission) {
	r := w.request
	if !now.Before(r.deadline) {
		e.refuseWaiting(now, w, api.ReasonDeadline, 0)
		return
	}
	if e.tooLateToSend(now, r) {
		e.refuseWaiting(now, w, api.ReasonShuttingDown, e.shutdownRetryAfter(now))
		return
	}
	if reason := e.unservableReason(r); reason != api.ReasonNone {
		e.refuseWaiting(now, w, reason, longRetryAfter)
		return
	}
	if now.After(r.start) && !r.onProbation {
		// The content may have become suspect while the request waited.
		probation, ok := e.admit(now, w.arrival, r)
		if !ok {
			return
		}
		r.onProbation, r.hasHeldParts = probation, probation
	}
	e.run(now, r)
}

// refuseWaiting refuses a request that waited to be admitted.
func (e *Engine) refuseWaiting(now time.Time, w *awaitingAdmission, reason api.Reason, retryAfter time.Duration) {
	e.endProbation(now, w.request)
	e.refuse(now, w.arrival, w.request.route, reason, retryAfter)
}

// awaitingCallerGone drops a request that waits to be admitted.
func (e *Engine) awaitingCallerGone(now time.Time, w *awaitingAdmission) {
	r := w.request
	delete(e.quotas.waiting, r.id)
	e.quotas.requester.Remove(r.message.Account, r.id)
	e.endProbation(now, r)
	e.counts.Inc(count.SearchEnded, api.ReasonCallerGone)
	e.log("request_abandoned", "id", r.message.CallerRequest, "route", r.route.Name,
		"after_ms", now.Sub(r.start).Milliseconds(), "covered", 0)
}

const (
	// overQuotaTime is how long an account that was refused at this node counts as over its
	// quota.
	overQuotaTime = 5 * time.Second
	// lateRetryAfter is the Retry-After of a late retry (isLateRetry).
	lateRetryAfter = time.Second
)

// isLateRetry reports whether a request is to be refused without asking for an admission: its
// account is over its quota, and its caller has retried for longer than the target latency, so
// that the admission is better used by a request that can still be answered in time. The time of
// the retries is the difference to the longest timeout seen on the route, which is recorded here.
func (e *Engine) isLateRetry(now time.Time, r *request, ev Arrived) bool {
	allowed := e.quotas.callerTimeouts[r.route.Name]
	if ev.CallerTimeout > allowed {
		allowed = ev.CallerTimeout
		e.quotas.callerTimeouts[r.route.Name] = allowed
	}
	if !e.overQuota(now, r.message.Account) || ev.CallerTimeout == 0 || r.route.TargetLatency == 0 {
		return false
	}
	return allowed-ev.CallerTimeout >= r.route.TargetLatency
}

// overQuota reports whether an account was refused at this node a short time ago.
func (e *Engine) overQuota(now time.Time, name string) bool {
	o := e.quotas.over[name]
	return o != nil && now.Sub(o.last) < overQuotaTime
}

// overQuotaHold is how long an account must not have been refused before the log says that it
// is within its quota again.
const overQuotaHold = 10 * time.Second

// overQuota records when an account was first and last refused as over its quota.
type overQuota struct {
	since, last time.Time
	refused     int
}

// accountOverQuota records and logs that an account is over its quota.
func (e *Engine) accountOverQuota(now time.Time, name string) {
	o := e.quotas.over[name]
	if o == nil {
		q := e.quotas.accounts[name]
		o = &overQuota{since: now}
		e.quotas.over[name] = o
		allocator, _ := e.quotas.ranking.Of(name)
		e.log("account_over_quota", "account", name, "version", q.Version, "per_second", q.PerSecond, "burst", q.Burst, "allocator", allocator)
	}
	o.last = now
	o.refused++
}

// accountAdmitted logs that an account is within its quota again.
func (e *Engine) accountAdmitted(now time.Time, name string) {
	o := e.quotas.over[name]
	if o == nil || now.Sub(o.last) < overQuotaHold {
		return
	}
	delete(e.quotas.over, name)
	e.log("account_within_quota", "account", name, "refused", o.refused, "over_ms", o.last.Sub(o.since).Milliseconds())
}
