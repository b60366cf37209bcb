package forward

import (
	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

const (
	// maxCountedAccounts is the largest number of accounts with counters of their own. Each is a
	// label in the metrics, which must not grow with the configuration.
	maxCountedAccounts = 32
	// refusalsToCount is the number of refusals from which an account has counters of its own,
	// so that those which are refused most get them.
	refusalsToCount = 10
	// otherAccounts is the detail under which the remaining accounts are counted.
	otherAccounts = "other"
)

// accountCounts decides which accounts have counters of their own.
type accountCounts struct {
	own      map[string]bool
	refusals map[string]int
}

func newAccountCounts() accountCounts {
	return accountCounts{own: make(map[string]bool), refusals: make(map[string]int)}
}

// keep forgets the refusals of accounts that the configuration no longer names. An account with
// counters of its own keeps them, since counters must not decrease.
func (c *accountCounts) keep(known func(account string) bool) {
	for name := range c.refusals {
		if !known(name) {
			delete(c.refusals, name)
		}
	}
}

// refused records a refusal.
func (c *accountCounts) refused(account string) {
	if c.own[account] || len(c.own) >= maxCountedAccounts {
		return
	}
	if c.refusals[account]++; c.refusals[account] >= refusalsToCount {
		c.own[account] = true
		delete(c.refusals, account)
	}
}

// detail returns the detail under which an account is counted.
func (c *accountCounts) detail(account string) api.Reason {
	if c.own[account] {
		return api.Reason(account)
	}
	return otherAccounts
}

// countRefused counts the refusal of a request, also for its account if it is a caller's.
func (e *Engine) countRefused(m *Message, subset bool, reason api.Reason) {
	e.counts.Inc(count.Refused, reason)
	if subset || m.Account == "" || !e.sharesFairly() {
		return
	}
	e.accountCounts.refused(m.Account)
	e.counts.Inc(refusalKind(reason), e.accountCounts.detail(m.Account))
}

// refusalKind returns the group in which the refusal of a request is counted for its account.
func refusalKind(reason api.Reason) count.Kind {
	switch reason {
	case api.ReasonOverQuota:
		return count.AccountOverQuota
	case api.ReasonQuotaUnknown:
		return count.AccountQuotaUnknown
	case api.ReasonOverloaded, api.ReasonShed, api.ReasonRateLimited, api.ReasonNoConnection, api.ReasonBackoff:
		return count.AccountNoRoom
	}
	return count.AccountRefused
}

// countAdmitted counts a request of a caller that is sent, for its account.
func (e *Engine) countAdmitted(m *Message) {
	if m.Account != "" && e.sharesFairly() {
		e.counts.Inc(count.AccountAdmitted, e.accountCounts.detail(m.Account))
	}
}
