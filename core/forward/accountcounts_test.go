package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/quota"
)

// Guards against metrics whose labels grow with the number of accounts, and against an account
// with many refusals that is hidden among the others.
func TestAccountCountersAreBounded(t *testing.T) {
	c := newAccountCounts()
	c.refused("rare")
	for i := range 1000 {
		for range 20 {
			c.refused(fmt.Sprint("account-", i))
		}
	}
	if len(c.own) != maxCountedAccounts || len(c.refusals) > 1000 {
		t.Errorf("%d accounts have counters, %d are watched", len(c.own), len(c.refusals))
	}
	if c.detail("account-3") != "account-3" || c.detail("rare") != otherAccounts || c.detail("account-999") != otherAccounts {
		t.Error("an account is counted under the wrong name")
	}
	c.keep(func(string) bool { return false })
	if len(c.refusals) != 0 || len(c.own) != maxCountedAccounts {
		t.Errorf("after a change of the configuration %d and %d", len(c.refusals), len(c.own))
	}
}

// Guards against refusals that an operator cannot assign to an account and a cause, and against a
// log line for each of them in place of one for each change of state.
func TestRefusalsAreCountedForTheirAccount(t *testing.T) {
	h := newQuotaHarness(t, nil)
	logged := map[string]int{}
	step := func(ev Event) {
		for _, a := range h.e.Step(h.now, ev) {
			h.record(a)
			if l, ok := a.(Log); ok {
				logged[l.Event]++
			}
		}
	}
	send := func() {
		h.lastRequest++
		step(Arrived{Request: h.lastRequest, CallerTimeout: time.Second, Message: &Message{Host: "h", Path: "/one/x", Credential: []byte("k1")}})
	}
	send()
	step(AdmissionAnswered{Ask: h.takeAsks()[0].Ask, Grant: quota.Grant{RetryAfter: time.Second}})
	for range 14 {
		send()
	}
	get := func(kind count.Kind, detail api.Reason) uint64 { return h.e.Counts().Get(kind, detail) }
	if other, own := get(count.AccountOverQuota, otherAccounts), get(count.AccountOverQuota, "one"); other != 9 || own != 6 {
		t.Errorf("%d refusals under other, %d under the account, want 9 and 6", other, own)
	}
	if n := get(count.Refused, api.ReasonOverQuota); n != 15 {
		t.Errorf("%d refusals, want 15", n)
	}
	h.now = h.now.Add(overQuotaHold + time.Second)
	for range 3 {
		send()
		step(AdmissionAnswered{Ask: h.takeAsks()[0].Ask, Grant: quota.Grant{Admitted: 1}})
	}
	if n := get(count.AccountAdmitted, "one"); n != 3 {
		t.Errorf("%d admitted, want 3", n)
	}
	if logged["account_over_quota"] != 1 || logged["account_within_quota"] != 1 {
		t.Errorf("log lines %v, want one for each change", logged)
	}
}
