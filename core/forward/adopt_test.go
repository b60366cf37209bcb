package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/account"
	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/quota"
	"github.com/baobabsail/baobabsail/core/routing"
)

// These tests replace the configuration while state that comes from the former one is in use.

// Guards against accounts that count as less important than one which the configuration no longer
// has, so that half of their requests are refused under overload without need.
func TestAdoptedConfigurationForgetsThePrioritiesOfAccounts(t *testing.T) {
	h := ready(t, 1)
	second := account.Account{Name: "two", PerSecond: 100, Burst: 100, Priority: 2, Keys: []string{"k2"}}
	h.withAccounts(2, account.Account{Name: "one", PerSecond: 100, Burst: 100, Keys: []string{"k1"}}, second)
	h.requestWithKey("/one/x", "k1")
	shares := h.e.fairness[shard(0)]
	if got := shares.classShare(h.now, 0.5, second.Priority); got != 0.5*lowAccountShare {
		t.Fatalf("a share of %v beside a more important account", got)
	}
	h.withAccounts(3, second)
	h.requestWithKey("/one/x", "k2")
	if got := shares.classShare(h.now, 0.5, second.Priority); got != 0.5 {
		t.Errorf("a share of %v although no account is more important, want 0.5", got)
	}
}

// Guards against refusals of an account as over its quota after the quota was raised.
func TestRaisedQuotaIsUsedAtOnce(t *testing.T) {
	const first, target = 800 * time.Millisecond, 200 * time.Millisecond // of /one/
	for name, c := range map[string]struct {
		perSecond float64
		refused   bool
	}{"raised": {400, false}, "unchanged": {limitedAccount.PerSecond, true}} {
		h := newQuotaHarness(t, nil)
		h.send("/one/x", "k1", first, 1)
		h.step(AdmissionAnswered{Ask: h.takeAsks()[0].Ask, Grant: quota.Grant{RetryAfter: 50 * time.Millisecond}})
		next := limitedAccount
		next.PerSecond = c.perSecond
		h.withAccounts(2, next)
		h.wait(100 * time.Millisecond)
		h.send("/one/x", "k1", first, 1) // the node learns the usual timeout of the new configuration
		h.takeAsks()
		id := h.send("/one/x", "k1", first-target, 1)
		if a, answered := h.answers[id]; answered != c.refused {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// Guards against state of removed routes that grows with each change of the configuration.
func TestAdoptedConfigurationDropsTheStateOfRemovedRoutes(t *testing.T) {
	h := ready(t, 4)
	for range 3 {
		h.request("/all/x")
		for _, s := range h.takeSends() {
			h.ok(s, "aa")
		}
	}
	table := h.newTable(2, 4)
	table.Routes[0].Name = "renamed"
	h.step(TableRead{Table: table})
	if _, known := h.e.delays.Usual(api.ServiceName("all"), 0.5); known {
		t.Error("the latencies of a removed route are kept")
	}
	for _, c := range h.e.admissions {
		if len(c.credits)+len(c.baselines) > 0 || c.topPriority == (&routing.Route{}).Priority {
			t.Errorf("admission control keeps %+v", c)
		}
	}
}
