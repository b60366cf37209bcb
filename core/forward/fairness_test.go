package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/account"
	"github.com/baobabsail/baobabsail/core/api"
)

// Guards against an alarm of one account that is displaced by the load of another under overload,
// and against an account that is served less than a quarter as often as the accounts overall.
func TestOverloadIsSharedFairly(t *testing.T) {
	type accountLoad struct {
		perSecond float64
		priority  int
		used      float64
		// least and most are the bounds of the share of its requests that is admitted.
		least, most float64
	}
	// share of the requests can be served.
	const share = 0.4
	for name, loads := range map[string]map[string]accountLoad{
		"equal accounts":                {"a": {10, 0, 0, 0.3, 0.5}, "b": {10, 0, 0, 0.3, 0.5}, "c": {10, 0, 0, 0.3, 0.5}},
		"hot account at 7.5 times":      {"hot": {75, 0, 0, 0.1, 0.3}, "b": {10, 0, 0, 0.8, 1}, "c": {10, 0, 0, 0.8, 1}},
		"instant repeats":               {"repeating": {400, 0, 0, 0.1, 0.25}, "alarm": {5, 0, 0, 0.9, 1}},
		"batch jobs of low priority":    {"batch": {30, 2, 0, 0.1, 0.35}, "alarm": {6, 0, 0, 0.9, 1}},
		"hot elsewhere, seen by quota":  {"hot": {1, 0, 1, 0.1, 0.35}, "b": {1, 0, 0.2, share, 1}, "c": {1, 0, 0.2, share, 1}},
		"low priority, small, not hot":  {"low": {5, 3, 0, 0.1, share}, "b": {20, 0, 0, share, 1}},
		"three accounts at 3 times":     {"a": {30, 0, 0, 0.1, 0.4}, "b": {30, 0, 0, 0.1, 0.4}, "c": {30, 0, 0, 0.1, 0.4}, "d": {5, 0, 0, 0.9, 1}},
		"one account only":              {"a": {50, 0, 0, 0.3, 0.5}},
		"low priority account is alone": {"a": {50, 4, 0, 0.3, 0.5}},
	} {
		rng := rand.New(rand.NewPCG(1, 1))
		f := newFairShares()
		sent, admitted := make(map[string]float64), make(map[string]float64)
		average, known := 0.0, 0.0
		for _, l := range loads {
			if l.used > 0 {
				average, known = average+l.used, known+1
			}
		}
		const step = time.Millisecond
		for now := start; now.Sub(start) < 2*time.Minute; now = now.Add(step) {
			for account, l := range loads {
				if rng.Float64() >= l.perSecond*step.Seconds() {
					continue
				}
				f.arrived(now, account, l.priority)
				relative := f.relativeUse(now, account, l.used, average/max(known, 1))
				own := f.admittedShare(now, share, relative, l.priority)
				if now.Sub(start) > 10*time.Second {
					sent[account]++
					admitted[account] += own
				}
			}
		}
		var allSent, allAdmitted float64
		for account := range loads {
			allSent, allAdmitted = allSent+sent[account], allAdmitted+admitted[account]
		}
		for account, l := range loads {
			got := admitted[account] / sent[account]
			if got < l.least || got > l.most {
				t.Errorf("%s: %.2f of the requests of %s are admitted, want %.2f to %.2f", name, got, account, l.least, l.most)
			}
			if got < 0.25*allAdmitted/allSent {
				t.Errorf("%s: %s is served %.3f, the accounts overall %.3f", name, account, got, allAdmitted/allSent)
			}
		}
	}
}

// Guards against a queue in which the account that sends most is served most, an alarm waits
// behind manifest jobs of another account, or an account of low priority is never served.
func TestWaitingPartsAreSharedFairly(t *testing.T) {
	for name, c := range map[string]struct {
		accounts []account.Account
		// sent is the number of requests that each account sends in each round; one is served.
		sent map[string]int
		// least is the share of the served requests that an account gets at least.
		least map[string]float64
	}{
		"hot account": {
			accounts: []account.Account{{Name: "hot"}, {Name: "b"}, {Name: "c"}},
			sent:     map[string]int{"hot": 6, "b": 1, "c": 1},
			least:    map[string]float64{"b": 0.3, "c": 0.3, "hot": 0.08},
		},
		"jobs of lower priority against alarms": {
			accounts: []account.Account{{Name: "alarms"}, {Name: "jobs", Priority: 2}},
			sent:     map[string]int{"alarms": 1, "jobs": 3},
			least:    map[string]float64{"alarms": 0.6, "jobs": 0.05},
		},
		"low priority beside constant load of high priority": {
			accounts: []account.Account{{Name: "high"}, {Name: "low", Priority: 1}},
			sent:     map[string]int{"high": 3, "low": 3},
			least:    map[string]float64{"high": 0.6, "low": 0.125},
		},
	} {
		h := newHarness(t, nil)
		table := h.newTable(1, 1)
		for i := range c.accounts {
			a := &c.accounts[i]
			a.PerSecond, a.Burst, a.Keys = 1e6, 1e6, []string{"key-" + a.Name}
		}
		table.Accounts = account.NewDirectory(c.accounts)
		h.step(TableRead{Table: table})
		h.step(Members{Nodes: 1, ListedBefore: true})
		one := registration(0, 0)
		one.Slots = 1
		h.step(ReplicaRegistered{Registration: one})
		h.advance(time.Minute) // the bucket of each account fills
		served, keys := make(map[string]float64), make(map[api.RequestID]string)
		var running []Send
		for range 400 {
			for _, a := range c.accounts {
				for range c.sent[a.Name] {
					id, _ := h.requestWithKey("/one/x", "key-"+a.Name)
					keys[id] = a.Name
				}
			}
			running = append(running, h.takeSends()...)
			h.advance(50 * time.Millisecond)
			if len(running) == 0 {
				continue
			}
			s := running[0]
			running = running[1:]
			served[s.Message.Account]++
			h.ok(s, "x")
			running = append(running, h.takeSends()...)
		}
		total := 0.0
		for _, n := range served {
			total += n
		}
		for account, least := range c.least {
			if got := served[account] / total; got < least {
				t.Errorf("%s: %s gets %.2f of the served requests, want %.2f (%v)", name, account, got, least, served)
			}
		}
	}
}

// Guards against shares that change how a deployment without quotas is served.
func TestNoFairSharesWithoutQuotas(t *testing.T) {
	h := newHarness(t, nil)
	h.withAccounts(1, account.Account{Name: "one", Keys: []string{"k1"}})
	h.replicas(1, 1)
	for range 20 {
		h.requestWithKey("/one/x", "k1")
	}
	if len(h.e.fairness) != 0 || h.e.sharesFairly() {
		t.Error("shares are kept without quotas")
	}
}

// Guards against state of accounts that grows without bound.
func TestFairSharesForgetAccounts(t *testing.T) {
	f := newFairShares()
	for i := range 1000 {
		f.arrived(start, fmt.Sprint("a", i), 0)
	}
	if f.tick(start.Add(time.Minute)); len(f.accounts) != 0 {
		t.Errorf("%d accounts after a minute without requests", len(f.accounts))
	}
}
