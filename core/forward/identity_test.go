package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/account"
	"github.com/baobabsail/baobabsail/core/api"
)

// withAccounts adopts the table of newTable with the given accounts and a public route /all/.
func (h *harness) withAccounts(version uint64, accounts ...account.Account) {
	table := h.newTable(version, 1)
	table.Routes[0].Public = true
	table.Accounts = account.NewDirectory(accounts)
	h.step(TableRead{Table: table})
}

// requestWithKey sends a request that carries a key.
func (h *harness) requestWithKey(path, key string) (api.RequestID, *Message) {
	h.lastRequest++
	m := &Message{Host: "h", Path: path, Credential: []byte(key)}
	h.step(Arrived{Request: h.lastRequest, CallerTimeout: 800 * time.Millisecond, Message: m})
	return h.lastRequest, m
}

// Guards against a request that runs with an unknown or revoked key, and against a public route
// that needs one.
func TestRequestsNeedAKey(t *testing.T) {
	h := ready(t, 1)
	if _, m := h.requestWithKey("/one/x", "k1"); m.Identified || len(h.takeSends()) != 1 {
		t.Error("a key is needed without accounts")
	}
	h.withAccounts(2, account.Account{Name: "one", Priority: 3, Keys: []string{"k1"}})
	if _, m := h.requestWithKey("/one/x", "k1"); m.Account != "one" || m.AccountPriority != 3 || len(h.takeSends()) != 1 {
		t.Errorf("message %+v", m)
	}
	if _, m := h.requestWithKey("/all/x", "other"); m.Account != "" || !m.Identified || len(h.takeSends()) != 1 {
		t.Errorf("message on a public route %+v", m)
	}
	h.withAccounts(3, account.Account{Name: "one", Keys: []string{"k2"}})
	for _, key := range []string{"", "k1", "other"} {
		id, _ := h.requestWithKey("/one/x", key)
		if a := h.answer(id); a.Outcome != api.NotRun || a.Reason != api.ReasonUnknownKey || len(h.takeSends()) != 0 {
			t.Errorf("key %q: answer %+v", key, a)
		}
	}
}

// Guards against a request of a less important account that is served before one of a more
// important account whose route has a lower priority.
func TestAccountPriorityPrecedesRoutePriority(t *testing.T) {
	ordered := []urgency{{0, 0}, {0, 5}, {1, 0}, {1, 2}, {2, 1}}
	for i, u := range ordered {
		for j, v := range ordered {
			if u.before(v) != (i < j) {
				t.Errorf("%+v before %+v: %v", u, v, u.before(v))
			}
		}
	}
}

// Guards against a range that runs with an unknown key because the calling node does not know
// accounts, and against one that is identified twice.
func TestRangesOfOlderNodesAreIdentified(t *testing.T) {
	h := ready(t, 1)
	table := h.newTable(2, 1)
	table.Accounts = account.NewDirectory([]account.Account{{Name: "one", Priority: 3, Keys: []string{"k1"}}})
	h.step(TableRead{Table: table})
	run := func(m Message) (*Message, int) {
		m.Host, m.Path = "h", "/all/x"
		h.lastRequest++
		subset := &Subset{Shards: []api.ServiceName{shard(0)}, MaxAttempts: 2}
		h.step(Arrived{Request: h.lastRequest, CallerTimeout: time.Second, Target: time.Second, Subset: subset, Message: &m})
		return &m, len(h.takeSends())
	}
	if m, sends := run(Message{Credential: []byte("k1")}); m.Account != "one" || m.AccountPriority != 3 || !m.Identified || sends != 1 {
		t.Errorf("a known key: %+v, %d attempts", m, sends)
	}
	if _, sends := run(Message{Credential: []byte("k2")}); sends != 0 {
		t.Errorf("an unknown key: %d attempts", sends)
	}
	if m, sends := run(Message{Account: "two", AccountPriority: 1}); m.Identified || m.AccountPriority != 1 || sends != 1 {
		t.Errorf("an account: %+v, %d attempts", m, sends)
	}
}
