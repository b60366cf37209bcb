package platform

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against admin requests that ignore an unknown fault name or change
// faults that they do not name, and against a restore that leaves the value or
// the revision as it was.
func TestAdmin(t *testing.T) {
	p, err := New(Settings{})
	if err != nil {
		t.Fatal(err)
	}
	send := func(handler string, method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h := p.AdminHandler()
		if handler == "store" {
			h = p.Handler()
		}
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	admin := func(method, path, body string, want int) {
		t.Helper()
		if w := send("admin", method, path, body); w.Code != want {
			t.Fatalf("%s %s %s: status %d, want %d: %s", method, path, body, w.Code, want, w.Body)
		}
	}
	admin("POST", "/admin/faults", `{"lose_writes":2,"latency_ms":1}`, 204)
	admin("POST", "/admin/faults", `{"latency_ms":0}`, 204)
	admin("POST", "/admin/faults", `{"latency_ms":5,"no_such":1}`, 400)
	admin("POST", "/admin/faults", `{"delay_apply_ms":-2}`, 400)
	if f := p.Faults(); f != (Faults{LoseWrites: 2}) {
		t.Fatalf("got faults %+v, want only LoseWrites = 2", f)
	}
	admin("POST", "/admin/faults", `{"lose_writes":0}`, 204)

	p.Put("a", []byte("1"))
	admin("POST", "/admin/save", `{"name":"x"}`, 204)
	newer := p.Put("a", []byte("2"))
	admin("POST", "/admin/restore", `{"name":"y"}`, 400)
	admin("POST", "/admin/restore", `{"name":"x"}`, 204)
	if e, _ := p.Get("a"); string(e.Value) != "1" || e.ModRevision >= newer.ModRevision {
		t.Fatalf("entry after the restore: %+v, want value 1 and an older revision", e)
	}
	// YQ== is the key a, MQ== the value 1.
	answer := send("store", "POST", "/v3/kv/range", `{"key":"YQ=="}`).Body.String()
	if !strings.Contains(answer, `"mod_revision":"2"`) || !strings.Contains(answer, `"value":"MQ=="`) {
		t.Fatalf("range returned %s, want value MQ== at revision 2", answer)
	}
	for _, unsupported := range []string{`{"key":"YQ==","range_end":"Yg=="}`, `{"key":"YQ==","revision":"1"}`} {
		if w := send("store", "POST", "/v3/kv/range", unsupported); w.Code != 501 {
			t.Fatalf("%s: status %d, want 501", unsupported, w.Code)
		}
	}
}

// Guards against a watch that skips compacted changes without being cancelled.
func TestCompaction(t *testing.T) {
	s := newState()
	for range maxLogEntries + 5 {
		s.put("a", []byte("v"))
	}
	if len(s.log) != maxLogEntries || s.compactRevision != 6 || s.changes("a", s.compactRevision+1)[0].ModRevision != 7 {
		t.Fatalf("log has %d entries, compacted up to revision %d", len(s.log), s.compactRevision)
	}
	p, _ := New(Settings{})
	p.state = s
	if response, found := p.nextEvents(&watcher{key: "a", nextRevision: s.compactRevision}); !found || !response.Canceled {
		t.Fatalf("watch of a compacted revision got %+v, want a cancellation", response)
	}
}
