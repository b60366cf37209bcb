package platform

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against admin requests that pass over an unknown switch or change
// switches that they do not name, and against a restore that is not complete.
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
		t.Fatalf("faults are %+v", f)
	}
	admin("POST", "/admin/faults", `{"lose_writes":0}`, 204)

	p.Put("a", []byte("1"))
	admin("POST", "/admin/save", `{"name":"x"}`, 204)
	newer := p.Put("a", []byte("2"))
	admin("POST", "/admin/restore", `{"name":"y"}`, 400)
	admin("POST", "/admin/restore", `{"name":"x"}`, 204)
	if e, _ := p.Get("a"); string(e.Value) != "1" || e.ModRevision >= newer.ModRevision {
		t.Fatalf("after the restore: %+v", e)
	}
	// YQ== is the key a, MQ== the value 1.
	answer := send("store", "POST", "/v3/kv/range", `{"key":"YQ=="}`).Body.String()
	if !strings.Contains(answer, `"mod_revision":"2"`) || !strings.Contains(answer, `"value":"MQ=="`) {
		t.Fatalf("range answers %s", answer)
	}
	for _, outside := range []string{`{"key":"YQ==","range_end":"Yg=="}`, `{"key":"YQ==","revision":"1"}`} {
		if w := send("store", "POST", "/v3/kv/range", outside); w.Code != 501 {
			t.Fatalf("%s: status %d", outside, w.Code)
		}
	}
}

// Guards against a watch that passes over compacted changes in silence.
func TestCompaction(t *testing.T) {
	s := newState()
	for range logEntries + 5 {
		s.put("a", []byte("v"))
	}
	if len(s.log) != logEntries || s.compacted != 6 || s.changes("a", s.compacted+1)[0].ModRevision != 7 {
		t.Fatalf("log %d, compacted %d", len(s.log), s.compacted)
	}
	p, _ := New(Settings{})
	p.state = s
	if response, found := p.nextEvents(&watcher{key: "a", next: s.compacted}); !found || !response.Canceled {
		t.Fatalf("watch of a compacted revision got %+v", response)
	}
}
