package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/routing"
)

// invalidStatuses are no final statuses of HTTP for a request that asks for no other protocol.
var invalidStatuses = []string{"000", "099", "101", "600", "999"}

// badStatusReply returns a response with a status and with the proof of the replica, whose body
// looks like a response of its own.
func badStatusReply(status string, r *http.Request) string {
	body := responseTo(r, "0123456789abcdef")
	return fmt.Sprintf("HTTP/1.1 %s Odd\r\nX-Request-Id: %s\r\nX-Proof: q\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("X-Request-Id"), len(body), body)
}

// Guards against taking a response with an invalid status, or its body, for the answer to a
// request.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range invalidStatuses {
		f := newFixture(t, func(_, _ int, r *http.Request) string { return badStatusReply(status, r) })
		id := f.send("")
		if _, ok := f.events.next(t).(forward.ConnOpened); !ok {
			t.Fatal("no connection")
		}
		for {
			ev := f.events.next(t)
			if reply, ok := ev.(forward.Replied); ok {
				t.Fatalf("%s: got the reply %+v", status, reply.Reply)
			}
			if lost, ok := ev.(forward.Lost); ok {
				if lost.Attempt != id || lost.Loss != forward.LostBroken {
					t.Errorf("%s: %+v", status, lost)
				}
				break
			}
		}
	}
}

// badStatusNode starts a node with a replica of the services good and bad. That of the latter
// responds with a status.
func badStatusNode(t *testing.T, status string) *Loop {
	t.Helper()
	good := serve(t, func(_, _ int, r *http.Request) string { return responseTo(r, "0123456789abcdef") })
	bad := serve(t, func(_, _ int, r *http.Request) string { return badStatusReply(status, r) })
	loop := NewLoop(forward.New(forward.Settings{Node: "n1", FirstStart: true, BudgetWindow: time.Second}), discardLog{}, discardNotices{})
	loop.Connect(NewTargets(loop, testHeaders, testBodyMemory), NewNodes(loop, testHeaders, testCallBytes))
	routes := []routing.Route{
		{
			Name: "one", Host: "h", Prefix: "/one/", Services: []routing.WeightedService{{Service: "bad", Weight: 1}},
			Timeout: 2 * time.Second, MaxAttempts: 2, Idempotent: true,
		},
		{
			Name: "all", Host: "h", Prefix: "/all/", Shards: []api.ServiceName{"good", "bad"}, MinCoverage: 0.5, Idempotent: true,
			Timeout: 2 * time.Second, TargetLatency: time.Second, MaxAttempts: 2, Merge: routing.Merge{RecordBytes: 16, Records: 5},
		},
	}
	services := []routing.Service{{Name: "good"}, {Name: "bad"}}
	loop.Post(forward.TableRead{Table: routing.NewTable(1, routes, services, routing.Limits{})})
	loop.Post(forward.Members{Nodes: 1})
	for _, r := range []forward.Registration{{Replica: "g", Service: "good", Address: good.address}, {Replica: "b", Service: "bad", Address: bad.address}} {
		r.Slots, r.Sequence, r.ProcessStart = 2, 1, 1
		loop.Post(forward.ReplicaRegistered{Registration: r})
	}
	return loop
}

// Guards against such a response that reaches a caller as it is or as a part of a merged answer.
func TestInvalidStatusDoesNotReachCallers(t *testing.T) {
	for _, status := range invalidStatuses {
		loop := badStatusNode(t, status)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		callers := NewCallerServer(loop, testHeaders, discardObserver{}, testLimits, nil)
		go func() { _ = callers.Serve(l) }()
		t.Cleanup(func() { _ = callers.server.Close() })
		for path, want := range map[string]int{"/one/x": http.StatusBadGateway, "/all/x": http.StatusOK} {
			request, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+path, nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Host = "h"
			request.Header.Set(testHeaders.RequestID, "id")
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			merged := path == "/all/x" && (response.Header.Get("X-Proofs") != "p" || response.Header.Get("X-Missing") != "1" || len(body) != 16)
			if err != nil || response.StatusCode != want || response.Header.Get("X-Proof") != "" || merged {
				t.Errorf("%s, %s: %d %v %q %v", status, path, response.StatusCode, response.Header, body, err)
			}
		}
	}
}

// Guards against such a response that is a part of what a node runs for another one.
func TestInvalidStatusDoesNotReachOtherNodes(t *testing.T) {
	for _, status := range invalidStatuses {
		loop := badStatusNode(t, status)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := NewNodeServer(loop, testHeaders, testNodeLimits, nil)
		go func() { _ = server.Serve(l) }() // ends with Stop
		t.Cleanup(server.Stop)
		events := &eventRecorder{}
		nodes := NewNodes(events, testHeaders, testCallBytes)
		t.Cleanup(nodes.Close)
		call := testCall(1, l.Addr().String())
		call.Remaining, call.Target, call.Message.Path = 600*time.Millisecond, 300*time.Millisecond, "/all/x"
		call.Subset = forward.Subset{
			Shards: []api.ServiceName{"good", "bad"}, MaxAttempts: 2, Merge: routing.Merge{RecordBytes: 16, Records: 5},
		}
		nodes.call(call)
		var proofs []string
		for i := 0; ; i++ {
			reply, ok := events.wait(t, i).(forward.CallReplied)
			if ok {
				proofs = append(proofs, reply.Proofs...)
			}
			if ok && reply.Last {
				break
			}
		}
		if got := strings.Join(proofs, ","); got != "p" {
			t.Errorf("%s: parts %q, want that of the other replica", status, got)
		}
	}
}
