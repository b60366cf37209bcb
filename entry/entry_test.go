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

// holdingNode answers a search at once, except one with a condition, which it
// holds until PeerFailed arrives. It stops when a shutdown has begun and
// nothing is held.
type holdingNode struct {
	held    []api.RequestID
	leaving bool
	arrived chan struct{}
	gone    chan api.RequestID
}

func newHoldingNode() *holdingNode {
	return &holdingNode{arrived: make(chan struct{}), gone: make(chan api.RequestID, 10)}
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
		close(n.arrived)
	case event.PeerFailed:
		for _, id := range n.held {
			out = append(out, answer(id))
		}
		n.held = nil
	case event.CallerGone:
		n.gone <- ev.Request
	case event.ShutdownStarted:
		n.leaving = true
	}
	if n.leaving && len(n.held) == 0 {
		out = append(out, event.Stopped{})
	}
	return out
}
func (n *holdingNode) Wake() time.Time                             { return time.Time{} }
func (n *holdingNode) Counts() *count.Set                          { return count.NewSet() }
func (n *holdingNode) Document() *config.Document                  { return &config.Document{} }
func (n *holdingNode) NotReady(time.Time) api.Reason               { return api.ReasonNone }
func (n *holdingNode) Status(time.Time) node.Status                { return node.Status{} }
func (n *holdingNode) Explain(time.Time, api.Search) (p node.Plan) { return p }

// noStore is never called by holdingNode.
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
	quick = `{"service":"s"}`
	slow  = `{"service":"s","conditions":[{"field":"f","operator":"=","value":""}]}`
)

func search(e *Entry, body string) (*http.Response, error) {
	r, err := http.Post("http://"+e.CallersAddress()+"/v1/search", "application/json", strings.NewReader(body))
	if err == nil {
		r.Body.Close()
	}
	return r, err
}

// P7: a graceful shutdown must not interrupt a request in flight, and must still
// serve what the load balancer sends before it notices.
func TestGracefulShutdownKeepsRequestInFlight(t *testing.T) {
	e, n := start(t, time.Second, time.Minute)
	acceptOver := make(chan time.Time)
	e.after = func(time.Duration) <-chan time.Time { return acceptOver }
	var group sync.WaitGroup
	group.Go(func() {
		r, err := search(e, slow)
		if err != nil || r.StatusCode != 200 {
			t.Errorf("request in flight: %v %v", r, err)
		}
	})
	<-n.arrived
	shutdown := make(chan error, 1)
	go func() { shutdown <- e.Shutdown() }()
	for !e.driver.ShuttingDown() {
		time.Sleep(time.Millisecond)
	}
	r, err := http.Get("http://" + e.CallersAddress() + "/readyz")
	if err != nil || r.StatusCode != 503 || !r.Close {
		t.Errorf("readiness during shutdown: %v %v", r, err)
	}
	if r, err := search(e, quick); err != nil || r.StatusCode != 200 {
		t.Errorf("new request during the accepting time: %v %v", r, err)
	}
	close(acceptOver)
	for { // The listener closes while the slow request is still held.
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

func TestShutdownEndsAtItsLimit(t *testing.T) {
	e, n := start(t, time.Millisecond, 50*time.Millisecond)
	var group sync.WaitGroup
	group.Go(func() { _, _ = search(e, slow) })
	<-n.arrived
	if err := e.Shutdown(); err != ErrShutdownIncomplete {
		t.Errorf("got %v", err)
	}
	group.Wait()
}

// The time for reading a body must not limit the time that a request runs: a
// caller that still waits would be taken for one that has gone.
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
		if r, err := search(e, slow); err != nil || r.StatusCode != 200 {
			t.Errorf("got %v %v", r, err)
		}
	})
	<-n.arrived
	time.Sleep(100 * time.Millisecond)
	e.driver.Report(event.PeerFailed{})
	group.Wait()
}

// A caller that hangs up must be noticed, or the node works for nobody.
func TestCallerThatHangsUpIsReported(t *testing.T) {
	e, n := start(t, time.Millisecond, time.Minute)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.CallersAddress()+"/v1/search", strings.NewReader(slow))
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		if r, err := http.DefaultClient.Do(r); err == nil {
			r.Body.Close()
		}
	})
	<-n.arrived
	cancel()
	group.Wait()
	<-n.gone
}

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
