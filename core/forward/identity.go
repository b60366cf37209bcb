package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/routing"
)

// storeConfirmed records up to when this node knows the store's contents.
func (e *Engine) storeConfirmed(now time.Time, ev StoreConfirmed) {
	at := now.Add(-ev.Age)
	e.limits.ranks.Confirmed(now, at)
	if at.After(e.confirmedAt) {
		e.confirmedAt = at
		e.quotas.allocator.Confirm(now, at)
	}
}

// keysOutdated reports whether a request carries a key that may have been removed from the
// configuration without this node's knowledge, if the settings ask for such requests to be
// refused.
func (e *Engine) keysOutdated(now time.Time, ev Arrived) bool {
	return e.settings.RevokeAfter > 0 && e.table.Accounts != nil && ev.Subset == nil &&
		len(ev.Message.Credential) > 0 && now.Sub(e.confirmedAt) > e.settings.RevokeAfter
}

// identify determines the account of a request by its key. It reports false if the route needs a
// key and the configuration holds no such key. A request of another node that names its account
// was identified there; a node of an older version, or with a configuration that has no accounts
// yet, passes on what the caller sent.
func (e *Engine) identify(ev Arrived, route *routing.Route) bool {
	m := ev.Message
	if e.table.Accounts == nil || ev.Subset != nil && m.Account != "" {
		return true
	}
	m.Identified = true
	if a := e.table.Accounts.ByKey(m.Credential); a != nil {
		m.Account, m.AccountPriority = a.Name, a.Priority
		return true
	}
	return route.Public
}

// urgency orders requests that wait for capacity: the priority of the account precedes that
// of the route. Lower values are served first.
type urgency struct {
	account, route int
}

// urgency returns the urgency of a request.
func (r *request) urgency() urgency {
	return urgency{account: r.message.AccountPriority, route: r.route.Priority}
}

// before reports whether a request of urgency u is served before one of urgency v.
func (u urgency) before(v urgency) bool {
	if u.account != v.account {
		return u.account < v.account
	}
	return u.route < v.route
}
