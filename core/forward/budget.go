package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/retry"
)

// This file limits the attempts beyond the first one of each part, over all nodes and processes
// (docs/platform.md, "Extra attempts").

const (
	// budgetBurst is the fraction of the budget's share that a process may spend at once;
	// processes that replace an earlier one use the rest of the share in their first
	// BudgetWindow. The extra attempts of the earlier process still count then.
	budgetBurst     = 0.7
	newProcessShare = 1 - budgetBurst
	// steadyConstantShare and newProcessConstantShare are the fractions of BudgetConstant that
	// all nodes may spend together. A process that replaces an earlier one uses the latter in
	// proportion to its age, so that processes that are replaced again and again use no more.
	// Their sum stays below 1, which covers moments in which the nodes disagree on their number.
	steadyConstantShare     = 0.55
	newProcessConstantShare = 0.3
	// ownGroupBudgetShare is the share of the constant part of a shard's budget that the nodes
	// of its group divide among themselves; the rest is for nodes outside the group that run the
	// shard in their place.
	ownGroupBudgetShare = 0.85
	// hedgeBudgetShare is the fraction of the budget that hedges may use; the rest is
	// kept for attempts that replace failed ones.
	hedgeBudgetShare = 0.6
)

// spend charges an extra attempt to the budget and reports whether the budget allowed
// it.
func (e *Engine) spend(now time.Time, r *request, p *part, why purpose) bool {
	if !e.budget(now, p.service).Spend(now, why.budgetShare()) {
		return false
	}
	r.extraAttempts++
	return true
}

// budgetShare returns the fraction of the budget that an extra attempt may use.
func (p purpose) budgetShare() float64 {
	if p == hedgeAttempt {
		return hedgeBudgetShare
	}
	return 1
}

// budgetBound returns the extra attempts for a service that this process may send.
func (e *Engine) budgetBound(now time.Time, service api.ServiceName) retry.Bound {
	constant := e.settings.BudgetConstant * e.budgetConstantShare(service)
	age := now.Sub(e.started)
	if e.settings.FirstStart || age >= e.settings.BudgetWindow {
		return retry.Bound{Share: e.settings.BudgetShare, Constant: steadyConstantShare * constant, Burst: budgetBurst}
	}
	grown := age.Seconds() / e.settings.BudgetWindow.Seconds()
	return retry.Bound{Share: newProcessShare * e.settings.BudgetShare, Constant: newProcessConstantShare * grown * constant, Burst: 1}
}

// budget returns the budget of a service with its present bound.
func (e *Engine) budget(now time.Time, service api.ServiceName) *retry.Window {
	b := e.budgets[service]
	if b == nil {
		b = retry.NewWindow(e.settings.BudgetWindow)
		e.budgets[service] = b
	}
	b.SetBound(e.budgetBound(now, service))
	return b
}

// budgetConstantShare returns this node's share of the constant part of a service's budget.
func (e *Engine) budgetConstantShare(service api.ServiceName) float64 {
	s, ok := e.groups.sharedShards[service]
	switch {
	case !ok:
		return 1 / float64(e.nodeCount)
	case s.own:
		return ownGroupBudgetShare / float64(e.sharingNodes(service))
	}
	return (1 - ownGroupBudgetShare) / float64(e.nodeCount)
}

// dropUnusedBudgets removes the budgets of services that the configuration does not contain, once
// nothing in their window counts any more: a service that returns before must not spend it again.
func (e *Engine) dropUnusedBudgets(now time.Time) {
	if e.table == nil {
		return
	}
	for name, b := range e.budgets {
		if _, ok := e.table.Services[name]; !ok && b.Empty(now) {
			delete(e.budgets, name)
		}
	}
}
