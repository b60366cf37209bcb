package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/routing"
)

// cutReplica answers each request with the beginning of a response and closes the connection, in
// order or by a reset.
type cutReplica struct {
	listener net.Listener
	response func(id string) string
	reset    bool
	// cut is the number of bytes that are sent.
	cut atomic.Int64
}

func newCutReplica(t *testing.T, response func(id string) string, reset bool) *cutReplica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &cutReplica{listener: l, response: response, reset: reset}
	go r.serve()
	return r
}

func (r *cutReplica) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.respond(conn.(*net.TCPConn))
	}
}

func (r *cutReplica) respond(conn *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, _ = io.WriteString(conn, r.response(request.Header.Get("X-Request-Id"))[:r.cut.Load()])
	}
	if r.reset {
		_ = conn.SetLinger(0)
	}
	_ = conn.Close()
}

// The responses that are cut: with a length, in chunks, and ended by the connection.
var cutResponses = map[string]func(id string) string{
	"length": func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: %s\r\nContent-Length: 13\r\n\r\nclear drain 7", id)
	},
	"chunks": func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Proof: p\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nclear \r\n7\r\ndrain 7\r\n0\r\n\r\n", id)
	},
	"end of the connection": func(id string) string {
		return fmt.Sprintf("HTTP/1.0 200 OK\r\nX-Proof: p\r\nX-Request-Id: %s\r\n\r\n", id)
	},
	"bare line feeds": func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\nX-Proof: p\nX-Request-Id: %s\nContent-Length: 13\n\nclear drain 7", id)
	},
}

// Guards against a success with an empty or short body, framed as whole, for a response that the
// replica broke off in its head or body: the caller gets no 2xx, wherever the response is cut.
func TestCutResponsesAreNoSuccess(t *testing.T) {
	for name, response := range cutResponses {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				replica := newCutReplica(t, response, reset)
				callers := serveOrders(t, replica.listener.Addr().String())
				whole := response("order-000")
				statuses := map[int]int{}
				for cut := range len(whole) {
					replica.cut.Store(int64(cut))
					id := fmt.Sprintf("order-%03d", cut)
					status, body := post(t, callers, id)
					statuses[status]++
					if status >= 200 && status < 300 && strings.TrimRight(body, "\r\n") != "clear drain 7" {
						t.Errorf("cut after %q: status %d, body %q", whole[:cut], status, body)
					}
				}
				if statuses[http.StatusBadGateway] < len(whole)/2 {
					t.Errorf("statuses %v, want 502 for most", statuses)
				}
			})
		}
	}
}

// serveOrders starts a node with a route for work orders to one replica, and returns the URL for
// callers.
func serveOrders(t *testing.T, replica string) string {
	t.Helper()
	loop := NewLoop(forward.New(forward.Settings{Node: "n1", FirstStart: true, BudgetWindow: time.Second}), discardLog{}, discardNotices{})
	loop.Connect(NewTargets(loop, testHeaders, testBodyMemory), NewNodes(loop, testHeaders, testCallBytes))
	route := routing.Route{
		Name: "order", Host: "h", Prefix: "/", Services: []routing.WeightedService{{Service: "s", Weight: 1}},
		Timeout: 5 * time.Second, MaxAttempts: 2,
	}
	loop.Post(forward.TableRead{Table: routing.NewTable(1, []routing.Route{route}, []routing.Service{{Name: "s"}}, routing.Limits{})})
	loop.Post(forward.Members{Nodes: 1})
	loop.Post(forward.ReplicaRegistered{Registration: forward.Registration{Replica: "r", Service: "s", Address: replica, Slots: 2, Sequence: 1, ProcessStart: 1}})
	server := httptest.NewServer(NewCallerServer(loop, testHeaders, discardObserver{}, testLimits, nil))
	t.Cleanup(server.Close)
	return server.URL
}

// post sends a work order and returns the status and the body of the response; 0 if it is not
// complete.
func post(t *testing.T, url, id string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/"+id, strings.NewReader("clear drain 7"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set(testHeaders.RequestID, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

type discardNotices struct{}

func (discardNotices) Publish([]gossip.Notice) {}

type discardObserver struct{}

func (discardObserver) Latency(string, string, time.Duration) {}
