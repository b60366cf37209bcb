package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/account"
	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/quota"
)

var limitedAccount = account.Account{Name: "one", PerSecond: 4, Burst: 3, Keys: []string{"k1"}}

// quotaHarness is a node n0 among n0 to n2, whose requests for admissions the test answers.
type quotaHarness struct {
	*harness
	asks []AdmitRequests
}

func (h *quotaHarness) step(ev Event) {
	for _, a := range slices.Clone(h.e.Step(h.now, ev)) {
		h.record(a)
	}
}

func (h *quotaHarness) record(a Action) {
	switch a := a.(type) {
	case AdmitRequests:
		h.asks = append(h.asks, a)
	case Send:
		h.sends = append(h.sends, a)
	case Answer:
		h.answers[a.Request] = a
	}
}

// newQuotaHarness returns a node that is neither allocator nor standby of the limited account.
func newQuotaHarness(t *testing.T, change func(*Settings)) *quotaHarness {
	t.Helper()
	peers := quotaPeers(3)
	ranking := quota.NewRanking("")
	var nodes []quota.Node
	for _, p := range peers {
		nodes = append(nodes, quota.Node{Name: p.Node})
	}
	ranking.SetNodes(start, nodes)
	first, second := ranking.Of("one")
	self := ""
	for _, p := range peers {
		if p.Node != first && p.Node != second {
			self = p.Node
		}
	}
	h := &quotaHarness{harness: newHarness(t, func(s *Settings) {
		s.Node, s.Quota = self, quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
		if change != nil {
			change(s)
		}
	})}
	h.withAccounts(1, limitedAccount, account.Account{Name: "free", Keys: []string{"k2"}})
	h.replicas(1, 2)
	h.step(Members{Nodes: 3, Peers: peers, ListedBefore: true})
	return h
}

func quotaPeers(n int) []Peer {
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{Node: fmt.Sprint("n", i), DataCentre: "dc-a", Address: fmt.Sprint("addr", i)})
	}
	return peers
}

func (h *quotaHarness) send(path, key string, timeout time.Duration, fingerprint uint64) api.RequestID {
	h.lastRequest++
	h.step(Arrived{Request: h.lastRequest, CallerTimeout: timeout, Message: &Message{
		Host: "h", Path: path, Credential: []byte(key), CallerRequest: fmt.Sprint("q", h.lastRequest), Fingerprint: api.Fingerprint(fingerprint),
	}})
	return h.lastRequest
}

func (h *quotaHarness) takeAsks() []AdmitRequests {
	out := h.asks
	h.asks = nil
	return out
}

// wait moves the clock forward and fires the timers that are due.
func (h *quotaHarness) wait(d time.Duration) {
	end := h.now.Add(d)
	for wake := h.e.NextTick(); !wake.IsZero() && !wake.After(end); wake = h.e.NextTick() {
		h.now = later(h.now, wake)
		h.step(Timer{})
	}
	h.now = end
}

// Guards against a request of an account with a quota that is sent before it is admitted, whose
// deadline counts from its admission, or that is charged twice.
func TestRequestWaitsForItsAdmission(t *testing.T) {
	h := newQuotaHarness(t, nil)
	id := h.send("/one/x", "k1", 800*time.Millisecond, 1)
	asks := h.takeAsks()
	if len(asks) != 1 || asks[0].Wanted != 1 || asks[0].Account != "one" || asks[0].Address == "" ||
		asks[0].Quota != (quota.Quota{Version: 1, PerSecond: 4, Burst: 3}) {
		t.Fatalf("asks %+v", asks)
	}
	if len(h.takeSends()) != 0 || h.e.InFlight() != 1 {
		t.Fatal("the request does not wait")
	}
	h.wait(10 * time.Millisecond)
	h.step(AdmissionAnswered{Ask: asks[0].Ask, Grant: quota.Grant{Admitted: 1}})
	sends := h.takeSends()
	if len(sends) != 1 || sends[0].Remaining > 790*time.Millisecond {
		t.Fatalf("sends %+v", sends)
	}
	h.ok(sends[0], "x")
	if a := h.answer(id); a.Outcome != api.Answered || len(h.takeAsks()) != 0 || h.e.InFlight() != 0 {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a refusal for quota without Retry-After, or of a request that has run.
func TestRequestOverQuotaIsRefused(t *testing.T) {
	h := newQuotaHarness(t, nil)
	id := h.send("/one/x", "k1", time.Second, 1)
	h.step(AdmissionAnswered{Ask: h.takeAsks()[0].Ask, Grant: quota.Grant{RetryAfter: 250 * time.Millisecond}})
	next := h.send("/one/x", "k1", time.Second, 1)
	for _, id := range []api.RequestID{id, next} {
		if a := h.answer(id); a.Outcome != api.NotRun || a.Reason != api.ReasonOverQuota || a.RetryAfter != 250*time.Millisecond {
			t.Errorf("answer %+v", a)
		}
	}
	if len(h.takeSends()) != 0 || len(h.takeAsks()) != 0 {
		t.Error("a refused request was sent, or asked for again")
	}
}

// Guards against a caller that waits in vain when neither node can be reached, also if they run
// a version that knows no quotas.
func TestQuotaIsUnknownWithoutAllocators(t *testing.T) {
	for _, supported := range []bool{true, false} {
		h := newQuotaHarness(t, nil)
		id := h.send("/one/x", "k1", time.Second, 1)
		for range 2 {
			asks := h.takeAsks()
			if len(asks) != 1 {
				t.Fatalf("asks %+v", asks)
			}
			h.step(AdmissionFailed{Ask: asks[0].Ask, Supported: supported, Error: "unavailable"})
		}
		if a := h.answer(id); a.Outcome != api.NotRun || a.Reason != api.ReasonQuotaUnknown || a.RetryAfter <= 0 {
			t.Errorf("answer %+v", a)
		}
	}
	h := newQuotaHarness(t, nil)
	id := h.send("/one/x", "k1", time.Second, 1)
	h.wait(15 * time.Millisecond)
	if n := len(h.takeAsks()); n != 2 {
		t.Errorf("%d nodes are asked after 15 ms, want 2", n)
	}
	h.wait(101 * time.Millisecond)
	if a := h.answer(id); a.Reason != api.ReasonQuotaUnknown {
		t.Errorf("answer %+v", a)
	}
}

// Guards against permits for requests that are refused anyway.
func TestNoPermitForRequestsThatCannotBeServed(t *testing.T) {
	h := newQuotaHarness(t, nil)
	for name, c := range map[string]struct {
		path, key string
		timeout   time.Duration
		reason    api.Reason
	}{
		"unknown route": {"/none/x", "k1", time.Second, api.ReasonUnknownRoute},
		"unknown key":   {"/one/x", "k9", time.Second, api.ReasonUnknownKey},
		"past deadline": {"/one/x", "k1", time.Millisecond, api.ReasonDeadline},
	} {
		if a := h.answer(h.send(c.path, c.key, c.timeout, 1)); a.Reason != c.reason || len(h.takeAsks()) != 0 {
			t.Errorf("%s: answer %+v", name, a)
		}
	}
	h.e.table.Routes[0].Public = false
	h.e.admissionControlFor(h.now, &h.e.table.Routes[0]).admitted = 0
	if a := h.answer(h.send("/all/x", "k1", time.Second, 1)); a.Reason != api.ReasonOverloaded || len(h.takeAsks()) != 0 {
		t.Errorf("overloaded: answer %+v", a)
	}
	waiting := h.send("/one/x", "k1", time.Second, 1)
	h.step(ReplicaUnregistered{Replica: replicaOf(0, 0)})
	h.step(ReplicaUnregistered{Replica: replicaOf(0, 1)})
	h.wait(5 * time.Second) // the registrations are removed
	h.takeAsks()
	if a := h.answer(h.send("/one/x", "k1", time.Second, 1)); a.Reason != api.ReasonNoReplica || len(h.takeAsks()) != 0 {
		t.Errorf("without replica: answer %+v", a)
	}
	if a := h.answer(waiting); a.Outcome != api.NotRun {
		t.Errorf("answer %+v", a)
	}
}

// Guards against a permit that is used for a caller that is gone, or for a request whose
// replicas have disappeared meanwhile.
func TestWaitingRequestsEndWithTheirCallers(t *testing.T) {
	h := newQuotaHarness(t, nil)
	id := h.send("/one/x", "k1", time.Second, 1)
	h.step(CallerGone{Request: id})
	h.step(AdmissionAnswered{Ask: h.takeAsks()[0].Ask, Grant: quota.Grant{Admitted: 1}})
	if len(h.takeSends()) != 0 || h.e.InFlight() != 0 {
		t.Error("the request of a caller that is gone was sent")
	}
}

// Guards against quotas charged for requests of other nodes, of accounts without a quota and of
// public routes without a key.
func TestOnlyCallersOfLimitedAccountsAreCharged(t *testing.T) {
	h := newQuotaHarness(t, nil)
	h.send("/one/x", "k2", time.Second, 1)
	h.send("/all/x", "", time.Second, 2)
	h.step(Arrived{
		Request: 1000, CallerTimeout: time.Second, Target: time.Second, Subset: &Subset{Shards: []api.ServiceName{shard(0)}, MaxAttempts: 2},
		Message: &Message{Host: "h", Path: "/all/x", Account: "one", CallerRequest: "other"},
	})
	if len(h.takeAsks()) != 0 || len(h.takeSends()) != 3 {
		t.Error("a request waits that needs no admission")
	}
}

// Guards against a suspected request whose probation never ends because it was refused for
// quota: later requests of the same content would be refused for good.
func TestRefusedProbationEnds(t *testing.T) {
	h := newQuotaHarness(t, nil)
	h.step(NoticesRead{Notices: []gossip.Notice{{Kind: gossip.NoticeSuspect, Fingerprint: 77, Crashes: 1, Version: 5, TimeToLive: time.Minute}}})
	id := h.send("/order/x", "k1", time.Second, 77)
	asks := h.takeAsks()
	if len(asks) != 1 {
		t.Fatalf("asks %+v", asks)
	}
	other := h.send("/order/x", "k1", time.Second, 77)
	h.step(AdmissionAnswered{Ask: asks[0].Ask, Grant: quota.Grant{RetryAfter: 50 * time.Millisecond}})
	if a := h.answer(id); a.Reason != api.ReasonOverQuota {
		t.Fatalf("%+v", a)
	}
	if a := h.answer(other); a.Reason != api.ReasonQuarantined {
		t.Errorf("beside the request on probation: %+v", a)
	}
	h.wait(60 * time.Millisecond)
	h.send("/order/x", "k1", time.Second, 77)
	if len(h.takeAsks()) != 1 {
		t.Error("the content is still on probation")
	}
}

// Guards against nodes without calls between them that each admit the whole quota.
func TestNodesWithoutCallsAdmitTheirShare(t *testing.T) {
	for _, nodes := range []int{1, 4} {
		h := newQuotaHarness(t, func(s *Settings) { s.Quota = quota.Bounds{Window: 5 * time.Second} })
		h.step(Members{Nodes: nodes})
		h.e.nodeCount = nodes
		h.withAccounts(2, account.Account{Name: "one", PerSecond: 40, Burst: 4, Keys: []string{"k1"}})
		for range 500 {
			h.send("/one/x", "k1", time.Second, 1)
			for _, s := range h.takeSends() {
				h.ok(s, "x")
			}
			h.wait(10 * time.Millisecond)
		}
		admitted := 0
		for _, a := range h.answers {
			if a.Outcome == api.Answered {
				admitted++
			}
		}
		if most := 204 / nodes; admitted > most || admitted < most*9/10 {
			t.Errorf("%d nodes: %d admitted, want at most %d", nodes, admitted, most)
		}
		if len(h.takeAsks()) != 0 {
			t.Error("a node was asked although none accepts calls")
		}
	}
}

// Guards against a handshake that a request pays for: connections to the allocators are opened
// with the configuration, and the calls to other nodes of a divided route keep theirs.
func TestConnectionsToAllocatorsAreOpenedInAdvance(t *testing.T) {
	e := New(Settings{Node: "n0", DataCentre: "dc-a", Seed: 1, BudgetWindow: time.Second})
	prepared := func(ev Event) (out []string) {
		for _, a := range e.Step(start, ev) {
			if p, ok := a.(PreparePeers); ok {
				out = p.Addresses
			}
		}
		return out
	}
	h := &harness{accepted: 1000}
	if out := prepared(Members{Nodes: 600, Peers: quotaPeers(600)}); out != nil {
		t.Errorf("without quotas %v", out)
	}
	table := h.newTable(1, 1)
	table.Accounts = account.NewDirectory([]account.Account{limitedAccount})
	if out := prepared(TableRead{Table: table}); len(out) != 2 || out[0] == out[1] || slices.Contains(out, "addr0") {
		t.Errorf("with one account %v, want its two nodes", out)
	}
	table = h.newTable(2, 1)
	var accounts []account.Account
	for i := range 1000 {
		accounts = append(accounts, account.Account{Name: fmt.Sprint("a", i), PerSecond: 1, Burst: 1})
	}
	table.Accounts = account.NewDirectory(accounts)
	if out := prepared(TableRead{Table: table}); len(out) != maxPreparedAllocators {
		t.Errorf("with 1,000 accounts %d connections, want %d", len(out), maxPreparedAllocators)
	}
}

// Guards against keys that stay in force at a node which is cut off from the store, if the
// settings ask for their revocation, and against refusals if they do not.
func TestKeysAreRefusedWhenTheStoreIsSilent(t *testing.T) {
	for _, after := range []time.Duration{0, 5 * time.Second} {
		h := ready(t, 1)
		h.e.settings.RevokeAfter = after
		h.withAccounts(2, account.Account{Name: "one", Keys: []string{"k1"}})
		h.step(StoreConfirmed{Age: time.Second})
		steps := []struct {
			wait    time.Duration
			path    string
			key     string
			refused bool
		}{
			{4 * time.Second, "/one/x", "k1", false},
			{time.Millisecond, "/one/x", "k1", after > 0},
			{0, "/all/x", "", false},
			{0, "/all/x", "k1", after > 0},
		}
		for i, s := range steps {
			h.advance(s.wait)
			id, _ := h.requestWithKey(s.path, s.key)
			sent := len(h.takeSends()) > 0
			a := h.answers[id]
			if refused := a.Reason == api.ReasonKeysOutdated; refused != s.refused || sent == refused || refused && a.RetryAfter <= 0 {
				t.Errorf("revocation after %v, step %d: answer %+v", after, i, a)
			}
		}
		h.step(StoreConfirmed{Age: 0})
		if _, m := h.requestWithKey("/one/x", "k1"); m.Account != "one" || len(h.takeSends()) != 1 {
			t.Error("a request is refused although the store has answered")
		}
	}
}

// quotaFleet connects several engines without loss or delay.
type quotaFleet struct {
	nodes map[string]*quotaHarness
	asked int
}

// Guards against engines that together admit more or much less than the quota because one of the
// messages between them is lost on the way through the engine.
func TestNodesShareAQuota(t *testing.T) {
	f := &quotaFleet{nodes: make(map[string]*quotaHarness)}
	peers := quotaPeers(5)
	bounds := quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 5}
	for i, p := range peers {
		h := &quotaHarness{harness: newHarness(t, func(s *Settings) { s.Node, s.Quota, s.Seed = p.Node, bounds, uint64(i) })}
		h.withAccounts(1, account.Account{Name: "one", PerSecond: 20, Burst: 10, Keys: []string{"k1"}})
		h.replicas(1, 3)
		h.step(Members{Nodes: 5, Peers: peers, ListedBefore: true})
		f.nodes[p.Node] = h
	}
	rng := rand.New(rand.NewPCG(1, 1))
	sent := 0
	for range 2000 {
		for _, h := range f.nodes {
			h.now = h.now.Add(10 * time.Millisecond)
			h.step(StoreConfirmed{})
		}
		h := f.nodes[peers[rng.IntN(5)].Node]
		h.send("/one/x", "k1", time.Second, 1)
		f.exchange(h)
		for _, s := range h.takeSends() {
			sent++
			h.ok(s, "x")
		}
	}
	if most := 20*20 + 10 + 0.1*(20*5+10) + 5; float64(sent) > most || sent < 20*20*95/100 {
		t.Errorf("%d of 2,000 requests admitted in 20 s, want 380 to %.0f", sent, most)
	}
	if f.asked == 0 || f.asked > 2000 {
		t.Errorf("%d messages", f.asked)
	}
}

// exchange delivers the requests for admissions of a node, and the responses.
func (f *quotaFleet) exchange(h *quotaHarness) {
	for _, a := range h.takeAsks() {
		f.asked++
		to := f.nodes[a.Node]
		for _, action := range slices.Clone(to.e.Step(to.now, AdmissionRequested{Request: a.Request, Call: 7})) {
			if g, ok := action.(GrantAdmissions); ok {
				h.step(AdmissionAnswered{Ask: a.Ask, Grant: g.Grant})
			}
		}
	}
}

// BenchmarkAdmission measures what the admission of a request costs at the node that it reaches
// and at the allocator, beyond the request itself.
func BenchmarkAdmission(b *testing.B) {
	for _, c := range []struct {
		name string
		key  string
	}{{"without quota", "k2"}, {"with quota", "k1"}} {
		b.Run(c.name, func(b *testing.B) {
			h := newQuotaHarness(&testing.T{}, nil)
			message := &Message{Host: "h", Path: "/one/x", Credential: []byte(c.key), CallerRequest: "id", Fingerprint: 7}
			id := api.RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				h.now = h.now.Add(10 * time.Millisecond)
				h.step(Arrived{Request: id, CallerTimeout: time.Second, Message: message})
				for _, a := range h.takeAsks() {
					h.step(AdmissionAnswered{Ask: a.Ask, Grant: quota.Grant{Admitted: 1}})
				}
				for _, s := range h.takeSends() {
					h.step(Replied{Attempt: s.Attempt, Reply: Reply{Kind: ReplyOK, Proof: "p"}})
				}
				delete(h.answers, id)
			}
		})
	}
	b.Run("allocator", func(b *testing.B) {
		h := newQuotaHarness(&testing.T{}, nil)
		r := quota.Request{Account: "two", Wanted: 1, Quota: quota.Quota{Version: 1, PerSecond: 10, Burst: 10}}
		b.ReportAllocs()
		for b.Loop() {
			h.now = h.now.Add(10 * time.Millisecond)
			h.step(AdmissionRequested{Request: r, Call: 1})
		}
	})
}

// Guards against admissions that go to retries which can no longer be answered by their target,
// while the account of a caller that retries at once is over its quota, and against retries that
// are refused although the account is within it.
func TestLateRetriesOverQuotaYield(t *testing.T) {
	const first, target = 800 * time.Millisecond, 200 * time.Millisecond // of /one/
	h := newQuotaHarness(t, nil)
	late := func() api.RequestID { return h.send("/one/x", "k1", first-target, 1) }
	answer := func(ask AdmitRequests, g quota.Grant) { h.step(AdmissionAnswered{Ask: ask.Ask, Grant: g}) }

	h.send("/one/x", "k1", first, 1)
	answer(h.takeAsks()[0], quota.Grant{Admitted: 1})
	late()
	if asks := h.takeAsks(); len(asks) != 1 {
		t.Fatalf("%d requests for a late retry within the quota, want 1", len(asks))
	} else {
		answer(asks[0], quota.Grant{RetryAfter: 50 * time.Millisecond})
	}
	h.wait(100 * time.Millisecond)
	id := late()
	if a := h.answer(id); a.Reason != api.ReasonOverQuota || a.RetryAfter < target || len(h.takeAsks()) != 0 {
		t.Errorf("a late retry over the quota: %+v", a)
	}
	h.send("/one/x", "k1", first-target/2, 1)
	if asks := h.takeAsks(); len(asks) != 1 {
		t.Errorf("%d requests for a retry in time, want 1", len(asks))
	} else {
		answer(asks[0], quota.Grant{Admitted: 1})
	}
	h.wait(overQuotaTime)
	late()
	if asks := h.takeAsks(); len(asks) != 1 {
		t.Errorf("%d requests for a late retry after the account was over its quota, want 1", len(asks))
	}
}
