package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// load is a number of accounts whose requests reach a number of nodes.
type load struct {
	nodes, accounts int
	// perSecond is the number of requests of all accounts; demand is how many times its quota
	// each account sends.
	perSecond, demand float64
	burst             float64
	// oneNode is the share of an account's requests that reach one node.
	oneNode float64
}

// play runs a load for a while and returns, after the first seconds, the share of the quota that
// was used and the messages per second and node, on average and at the busiest node.
func (l load) play(t *testing.T, bounds Bounds) (used, messages float64, s *simulation) {
	t.Helper()
	s = newSimulation(7, bounds, l.nodes)
	s.latency = func() time.Duration { return time.Duration(700+s.rng.IntN(2500)) * time.Microsecond }
	perAccount := l.perSecond / float64(l.accounts)
	quotaRate := perAccount / l.demand
	for i := range l.accounts {
		account := fmt.Sprint("account-", i)
		s.quotas[account] = Quota{Version: 1, PerSecond: quotaRate, Burst: l.burst}
		preferred := s.rng.IntN(l.nodes)
		var next func()
		next = func() {
			n := s.nodes[s.rng.IntN(l.nodes)]
			if s.rng.Float64() < l.oneNode {
				n = s.nodes[preferred]
			}
			s.arrive(n, account, time.Second)
			s.schedule(time.Duration(s.rng.ExpFloat64()/perAccount*float64(time.Second)), next)
		}
		s.schedule(time.Duration(s.rng.Float64()/perAccount*float64(time.Second)), next)
	}
	var read func()
	read = func() {
		for _, n := range s.nodes {
			s.readStore(n)
		}
		s.schedule(4*time.Second, read)
	}
	read()
	s.advance(10 * time.Second)
	s.messages, s.latencies = 0, nil
	before := 0
	for _, runs := range s.admitted {
		before += len(runs)
	}
	const seconds = 60
	s.advance(seconds * time.Second)
	total := -before
	for account, runs := range s.admitted {
		total += len(runs)
		if worst, at := largestExcess(runs, bounds.Window, func(_, _ time.Time) float64 { return bounds.Limit(s.quotas[account]) }); worst > 0 {
			t.Errorf("%+v: %s exceeds the bound by %.1f before %v", l, account, worst, at.Sub(start))
		}
	}
	return float64(total) / (quotaRate * float64(l.accounts) * seconds), float64(s.messages) / seconds / float64(l.nodes), s
}

// Guards against a quota that is used by less than 95 % although its account sends more, and
// against more than 4 messages a second and node: under an even spread, when one node gets 80 %
// of an account's requests, and when callers send several times the quota.
func TestQuotaIsUsedWithFewMessages(t *testing.T) {
	loads := map[string]load{
		"71 nodes, even":                      {nodes: 71, accounts: 78, perSecond: 48, demand: 1.3, burst: 2},
		"71 nodes, 80 % at one":               {nodes: 71, accounts: 78, perSecond: 48, demand: 1.3, burst: 2, oneNode: 0.8},
		"71 nodes, few large accounts":        {nodes: 71, accounts: 4, perSecond: 48, demand: 1.5, burst: 6},
		"71 nodes, few large, 80 % at one":    {nodes: 71, accounts: 4, perSecond: 48, demand: 1.5, burst: 6, oneNode: 0.8},
		"71 nodes, 7.5 times the quota":       {nodes: 71, accounts: 8, perSecond: 150, demand: 7.5, burst: 4},
		"71 nodes, 7.5 times, 80 % at one":    {nodes: 71, accounts: 8, perSecond: 150, demand: 7.5, burst: 4, oneNode: 0.8},
		"570 nodes, even":                     {nodes: 570, accounts: 78, perSecond: 385, demand: 1.3, burst: 2},
		"570 nodes, 80 % at one":              {nodes: 570, accounts: 78, perSecond: 385, demand: 1.3, burst: 2, oneNode: 0.8},
		"570 nodes, 48 requests/s":            {nodes: 570, accounts: 78, perSecond: 48, demand: 1.3, burst: 2},
		"570 nodes, 3 times, 80 % at one":     {nodes: 570, accounts: 8, perSecond: 385, demand: 3, burst: 10, oneNode: 0.8},
		"71 nodes, no burst, 80 % at one":     {nodes: 71, accounts: 78, perSecond: 48, demand: 1.5, oneNode: 0.8},
		"71 nodes, 3 times, none at one node": {nodes: 71, accounts: 3, perSecond: 100, demand: 3, burst: 10},
	}
	for name, l := range loads {
		used, messages, s := l.play(t, deploymentBounds)
		slices.Sort(s.latencies)
		t.Logf("%-38s %.3f of the quota used, %.2f messages/s and node, wait %v median, %v at 99 %%", name, used, messages,
			s.latencies[len(s.latencies)/2].Round(10*time.Microsecond), s.latencies[len(s.latencies)*99/100].Round(10*time.Microsecond))
		if used < 0.95 {
			t.Errorf("%s: %.3f of the quota is used, want 0.95", name, used)
		}
		if messages > 4 {
			t.Errorf("%s: %.2f messages a second and node, want 4", name, messages)
		}
	}
}
