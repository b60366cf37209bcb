package forward

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Fair sharing among client accounts when capacity is short. It applies if the configuration has
// accounts with quotas: waiting parts are sent in an order that favours the accounts with the
// fewest recent starts, and of the requests that are refused under overload, most are those of
// the accounts that use most.

const (
	// fairHalfLife is the time after which a request counts half. It is about the window of a
	// quota, so that a burst counts as long as it is charged.
	fairHalfLife = 5 * time.Second
	// minServedRatio is the least share of its requests that an account is served, relative to
	// that of all accounts. The required share is a quarter; the margin covers that more than the
	// intended share may be admitted overall.
	minServedRatio = 0.3
	// starvedRatio is the value of the same ratio below which the waiting parts of an account
	// precede all others. It exceeds minServedRatio, since such a part may still have to wait.
	starvedRatio = 0.35
	// lowAccountShare is multiplied with the admitted share for accounts of lower priority than
	// another one. It is below lowPriorityShare, since the account precedes the route.
	lowAccountShare = 0.5
	// minLocalArrivals is the number of recent requests at this node from which the shares of
	// the accounts in them mean anything.
	minLocalArrivals = 8
)

// accountUse counts the recent requests of an account; older ones count less. Those that arrived
// include the refused ones; those offered were to be sent to replicas; those started were sent.
type accountUse struct {
	arrived, offered, started float64
	at                        time.Time
	priority                  int
}

// decay brings the counts up to date.
func (u *accountUse) decay(now time.Time) {
	if elapsed := now.Sub(u.at); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(fairHalfLife))
		u.arrived, u.offered, u.started, u.at = u.arrived*factor, u.offered*factor, u.started*factor, now
	}
}

// fairShares holds the recent use of the replicas of one route or service by the accounts.
type fairShares struct {
	accounts map[string]*accountUse
	total    accountUse
	// topPriority is the priority value of the most important account seen.
	topPriority int
}

func newFairShares() *fairShares {
	return &fairShares{accounts: make(map[string]*accountUse), topPriority: math.MaxInt}
}

// use returns the counts of an account.
func (f *fairShares) use(now time.Time, account string) *accountUse {
	u := f.accounts[account]
	if u == nil {
		u = &accountUse{at: now}
		f.accounts[account] = u
	}
	u.decay(now)
	f.total.decay(now)
	return u
}

// arrived counts a request.
func (f *fairShares) arrived(now time.Time, account string, priority int) {
	f.topPriority = min(f.topPriority, priority)
	u := f.use(now, account)
	u.arrived, u.priority = u.arrived+1, priority
	f.total.arrived++
}

// offered counts a request that is to be sent.
func (f *fairShares) offered(now time.Time, account string) {
	f.use(now, account).offered++
	f.total.offered++
}

// started counts a request that was sent, or the given share of one that is sent in parts.
func (f *fairShares) started(now time.Time, account string, share float64) {
	f.use(now, account).started += share
	f.total.started += share
}

// starved reports whether an account gets less than starvedRatio of what the accounts get
// overall. One request counts as served in advance, so that a single waiting request is no sign
// of that.
func (f *fairShares) starved(now time.Time, account string) bool {
	u := f.use(now, account)
	served := (u.started + 1) / (u.offered + 1)
	overall := (f.total.started + 1) / (f.total.offered + 1)
	return served < starvedRatio*min(overall, 1)
}

// classShare returns the share of the requests of the accounts of one priority that is admitted
// if the given share of all requests is: the more important accounts are served first, except
// that each account gets minServedRatio of the share.
func (f *fairShares) classShare(now time.Time, share float64, priority int) float64 {
	if f.total.arrived < minLocalArrivals {
		if priority > f.topPriority {
			return share * lowAccountShare
		}
		return share
	}
	var above, own, below float64
	for _, u := range f.accounts {
		u.decay(now)
		switch {
		case u.priority < priority:
			above += u.arrived
		case u.priority > priority:
			below += u.arrived
		default:
			own += u.arrived
		}
	}
	least := minServedRatio * share
	capacity := share * (above + own + below)
	capacity -= min(above, capacity-least*(own+below))
	return min(max((capacity-least*below)/max(own, 1), least), 1)
}

// relativeUse returns how many times as much an account uses as the accounts of its priority do
// on average: of the recent requests at this node if there are enough, and of its quota over all
// nodes. used and averageUsed are fractions of the quotas; they are 0 if unknown.
func (f *fairShares) relativeUse(now time.Time, account string, used, averageUsed float64) float64 {
	own := f.use(now, account)
	total, n := 0.0, 0.0
	for _, u := range f.accounts {
		if u.priority == own.priority {
			u.decay(now)
			total, n = total+u.arrived, n+1
		}
	}
	quotaKnown := used > 0 && averageUsed > 0
	switch {
	case total >= minLocalArrivals && quotaKnown:
		return math.Sqrt(own.arrived * n / total * used / averageUsed)
	case total >= minLocalArrivals:
		return own.arrived * n / total
	case quotaKnown:
		return used / averageUsed
	}
	return 1 // nothing is known
}

// admittedShare returns the share of an account's requests that is admitted if the given share
// of all requests is: less for an account that uses more than the others or is less important,
// but never less than minServedRatio of it.
func (f *fairShares) admittedShare(now time.Time, share, relativeUse float64, priority int) float64 {
	own := f.classShare(now, share, priority) / relativeUse
	return min(max(own, minServedRatio*share), 1)
}

// tick drops the accounts without recent requests.
func (f *fairShares) tick(now time.Time) {
	for name, u := range f.accounts {
		u.decay(now)
		if u.arrived+u.started < 0.1 {
			delete(f.accounts, name)
		}
	}
}

// sharesFairly reports whether capacity is shared among accounts.
func (e *Engine) sharesFairly() bool { return len(e.quotas.accounts) > 0 }

// sharesOf returns the use of the replicas that a request may run on. All shards of a route are
// used alike.
func (e *Engine) sharesOf(r *request) *fairShares {
	pool := r.pool()
	f := e.fairness[pool]
	if f == nil {
		f = newFairShares()
		e.fairness[pool] = f
	}
	return f
}

// pool names the replicas that a request competes for.
func (r *request) pool() api.ServiceName {
	if r.route.Sharded() {
		return r.route.Shards[0]
	}
	return r.parts[0].service
}

// averageUsed returns the average fraction of their quotas that accounts use, over those whose
// use this node knows.
func (e *Engine) averageUsed(f *fairShares) float64 {
	sum, n := 0.0, 0
	for name := range f.accounts {
		if used, _ := e.quotas.requester.Used(name); used > 0 {
			sum += used
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// fairlyAdmitted decides about a request under overload, in which the given share of all
// requests is admitted.
func (e *Engine) fairlyAdmitted(now time.Time, r *request, share float64) bool {
	f := e.sharesOf(r)
	m := r.message
	used, _ := e.quotas.requester.Used(m.Account)
	relative := f.relativeUse(now, m.Account, used, e.averageUsed(f))
	return e.rng.Float64() < f.admittedShare(now, share, relative, m.AccountPriority)
}

// orderWaiting puts the waiting parts of a service in the order in which they are sent: those of
// starved accounts, then by account priority, route priority and the number of recent starts of
// the account.
func (e *Engine) orderWaiting(now time.Time, service api.ServiceName) {
	queue := e.waiting[service]
	if len(queue) < 2 || !e.sharesFairly() {
		return
	}
	type rank struct {
		starved bool
		starts  float64
	}
	ranks := make(map[string]rank)
	for _, w := range queue {
		account := w.request.message.Account
		if _, ok := ranks[account]; !ok {
			f := e.sharesOf(w.request)
			ranks[account] = rank{f.starved(now, account), f.use(now, account).started}
		}
	}
	slices.SortStableFunc(queue, func(a, b waitingPart) int {
		ra, rb := ranks[a.request.message.Account], ranks[b.request.message.Account]
		switch ua, ub := a.request.urgency(), b.request.urgency(); {
		case ra.starved != rb.starved:
			return compareBool(rb.starved, ra.starved)
		case ua != ub:
			return compareBool(ub.before(ua), ua.before(ub))
		}
		return cmp.Compare(ra.starts, rb.starts)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
