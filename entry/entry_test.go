package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/node"
	"github.com/baobabsail/baobabsail/entry/driver"
	"github.com/baobabsail/baobabsail/entry/settings"
	"github.com/baobabsail/baobabsail/entry/telemetry"
)

// holdingNode is a fake node. It answers a search without conditions immediately and
// holds any other search until a PeerFailed event. After ShutdownStarted it stops as
// soon as no search is held.
type holdingNode struct {
	held         []api.RequestID
	shuttingDown bool
	searchHeld   chan struct{}
	callerGone   chan api.RequestID
}

func newHoldingNode() *holdingNode {
	return &holdingNode{searchHeld: make(chan struct{}), callerGone: make(chan api.RequestID, 10)}
}

func (n *holdingNode) Step(_ time.Time, ev event.Event) []event.Action {
	answer := func(id api.RequestID) event.Action {
		return event.AnswerSearch{Request: id, Answer: api.SearchAnswer{Outcome: api.Answered}}
	}
	var out []event.Action
	switch ev := ev.(type) {
	case event.SearchArrived:
		if len(ev.Search.Query.Conditions) == 0 {
			return []event.Action{answer(ev.Request)}
		}
		n.held = append(n.held, ev.Request)
		close(n.searchHeld)
	case event.PeerFailed:
		for _, id := range n.held {
			out = append(out, answer(id))
		}
		n.held = nil
	case event.CallerGone:
		n.callerGone <- ev.Request
	case event.ShutdownStarted:
		n.shuttingDown = true
	}
	if n.shuttingDown && len(n.held) == 0 {
		out = append(out, event.Stopped{})
	}
	return out
}
func (n *holdingNode) NextTick() time.Time                         { return time.Time{} }
func (n *holdingNode) Counts() *count.Set                          { return count.NewSet() }
func (n *holdingNode) Document() *config.Document                  { return &config.Document{} }
func (n *holdingNode) NotReady(time.Time) api.Reason               { return api.ReasonNone }
func (n *holdingNode) Status(time.Time) node.Status                { return node.Status{} }
func (n *holdingNode) Explain(time.Time, api.Search) (p node.Plan) { return p }

// noStore is a store without methods; holdingNode never uses the store.
type noStore struct{ driver.Store }

func start(t *testing.T, acceptFor, limit time.Duration) (*Entry, *holdingNode) {
	t.Helper()
	s := settings.Defaults()
	s.Name, s.DataCentre, s.VM = "n", "dc", "vm"
	s.Callers.Listen, s.Operators.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Shutdown = settings.Shutdown{AcceptFor: settings.Duration(acceptFor), TotalLimit: settings.Duration(limit)}
	log := telemetry.NewLogger(io.Discard, "info")
	t.Cleanup(log.Close)
	n := newHoldingNode()
	e, err := Start(s, Options{Log: log, Store: noStore{}, NewNode: func(node.Settings) driver.Node { return n }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, n
}

const (
	immediateSearch = `{"service":"s"}`
	heldSearch      = `{"service":"s","conditions":[{"field":"f","operator":"=","value":""}]}`
)

func search(e *Entry, body string) (*http.Response, error) {
	r, err := http.Post("http://"+e.CallersAddress()+"/v1/search", "application/json", strings.NewReader(body))
	if err == nil {
		r.Body.Close()
	}
	return r, err
}

// Guards against a graceful shutdown that interrupts a request in flight or refuses
// requests that the load balancer sends before it sees the failed readiness check.
func TestGracefulShutdownKeepsRequestInFlight(t *testing.T) {
	e, n := start(t, time.Second, time.Minute)
	acceptPeriodOver := make(chan time.Time)
	e.after = func(time.Duration) <-chan time.Time { return acceptPeriodOver }
	var group sync.WaitGroup
	group.Go(func() {
		r, err := search(e, heldSearch)
		if err != nil || r.StatusCode != 200 {
			t.Errorf("request in flight: %v %v", r, err)
		}
	})
	<-n.searchHeld
	shutdown := make(chan error, 1)
	go func() { shutdown <- e.Shutdown() }()
	for !e.driver.ShuttingDown() {
		time.Sleep(time.Millisecond)
	}
	r, err := http.Get("http://" + e.CallersAddress() + "/readyz")
	if err != nil || r.StatusCode != 503 || !r.Close {
		t.Errorf("readiness during shutdown: %v %v", r, err)
	}
	if r, err := search(e, immediateSearch); err != nil || r.StatusCode != 200 {
		t.Errorf("new request during the accept period: %v %v", r, err)
	}
	close(acceptPeriodOver)
	for { // The listener has to close while the search is still held.
		c, err := net.Dial("tcp", e.CallersAddress())
		if err != nil {
			break
		}
		c.Close()
		time.Sleep(time.Millisecond)
	}
	select {
	case err := <-shutdown:
		t.Fatalf("shutdown ended with a request in flight: %v", err)
	default:
	}
	e.driver.Report(event.PeerFailed{})
	group.Wait()
	if err := <-shutdown; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// Guards against a shutdown that waits beyond its total limit for a request in flight.
func TestShutdownEndsAtItsLimit(t *testing.T) {
	e, n := start(t, time.Millisecond, 50*time.Millisecond)
	var group sync.WaitGroup
	group.Go(func() { _, _ = search(e, heldSearch) })
	<-n.searchHeld
	if err := e.Shutdown(); err != ErrShutdownIncomplete {
		t.Errorf("got %v", err)
	}
	group.Wait()
}

// Guards against a read timeout that also applies while a request runs: the node would
// treat a caller that is still waiting as disconnected.
func TestReadTimeoutDoesNotEndARunningRequest(t *testing.T) {
	other, _ := start(t, time.Millisecond, time.Minute)
	s := *other.settings
	s.Limits.ReadTimeout = settings.Duration(20 * time.Millisecond)
	n := newHoldingNode()
	e, err := Start(&s, Options{Log: other.log, Store: noStore{}, NewNode: func(node.Settings) driver.Node { return n }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	var group sync.WaitGroup
	group.Go(func() {
		if r, err := search(e, heldSearch); err != nil || r.StatusCode != 200 {
			t.Errorf("got %v %v", r, err)
		}
	})
	<-n.searchHeld
	time.Sleep(100 * time.Millisecond)
	e.driver.Report(event.PeerFailed{})
	group.Wait()
}

// Guards against a node that goes on working on a request whose caller has disconnected.
func TestCallerThatHangsUpIsReported(t *testing.T) {
	e, n := start(t, time.Millisecond, time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.CallersAddress()+"/v1/search", strings.NewReader(heldSearch))
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		if r, err := http.DefaultClient.Do(r); err == nil {
			r.Body.Close()
		}
	})
	<-n.searchHeld
	cancel()
	group.Wait()
	<-n.callerGone
}

// Guards against a start that ignores an address in use, or an error that does not name
// the setting, and against a failed start that stops another node in the process.
func TestListenerInUseIsAnError(t *testing.T) {
	e, _ := start(t, time.Millisecond, time.Minute)
	s := *e.settings
	s.Operators.Listen = settings.ListenAddress(e.CallersAddress())
	_, err := Start(&s, Options{Log: e.log, Store: noStore{}})
	if err == nil || !strings.Contains(err.Error(), "operators.listen") {
		t.Errorf("got %v", err)
	}
	if err := e.driver.Inspect(context.Background(), func(driver.Node, time.Time) {}); err != nil {
		t.Error(err)
	}
}
