package vmlist_test

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/entry/vmlist"
	"github.com/baobabsail/baobabsail/standin/endless"
	"github.com/baobabsail/baobabsail/standin/platform"
)

// Guards against a changed list that becomes visible before the stand-in's configured lag
// has passed, and against a failed or malformed response that is accepted as a list.
func TestList(t *testing.T) {
	p, err := platform.New(platform.Settings{VMs: []platform.VM{{Name: "vm-1"}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	c, err := vmlist.New(vmlist.Settings{Endpoint: p.URL(), Timeout: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	check := func(want ...event.VM) {
		t.Helper()
		got, err := c.List(t.Context())
		if err != nil || !reflect.DeepEqual(got, append([]event.VM{}, want...)) {
			t.Fatalf("got %v, %v, want %v", got, err, want)
		}
	}
	check(event.VM{Name: "vm-1"})
	p.SetVMs([]platform.VM{{Name: "vm-1", Leaving: true}, {Name: "vm-2"}}, 0)
	check(event.VM{Name: "vm-1", Leaving: true}, event.VM{Name: "vm-2"})
	put := httptest.NewRequest("PUT", "/admin/vms", strings.NewReader(`{"vms":[],"lag_ms":3600000}`))
	w := httptest.NewRecorder()
	if p.AdminHandler().ServeHTTP(w, put); w.Code != http.StatusNoContent {
		t.Fatal(w.Code)
	}
	check(event.VM{Name: "vm-1", Leaving: true}, event.VM{Name: "vm-2"})
	p.SetVMs(nil, 0)
	check()
	if err := p.SetFaults(platform.Faults{VMsFail: true}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.List(t.Context()); err == nil {
		t.Fatal("a failed response is accepted as a list")
	}
	for _, body := range []string{``, `{}`, `{"vms":null}`, `{"vms":[{"name":""}]}`, `{"vms":[{"name":"a"},{"name":"a"}]}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		t.Cleanup(server.Close)
		bad, _ := vmlist.New(vmlist.Settings{Endpoint: server.URL})
		if list, err := bad.List(t.Context()); err == nil {
			t.Errorf("malformed response %s is accepted as %v", body, list)
		}
	}
}

// Guards against reading a response head without end: the client read 10 MiB of it, a large
// part of the memory of a small VM.
func TestEndlessResponseHead(t *testing.T) {
	server, err := endless.NewServer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	c, err := vmlist.New(vmlist.Settings{Endpoint: "http://" + server.Address()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	_, err = c.List(t.Context())
	if err == nil {
		t.Error("a head without end is accepted")
	}
	if sent := server.Sent(); sent > maxEndlessBytes {
		t.Errorf("the client took %d bytes", sent)
	}
}

// maxEndlessBytes is the bound of a response head with generous buffers of the sockets.
const maxEndlessBytes = 1 << 20
