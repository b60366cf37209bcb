package relay

import (
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/quota"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

func admissionsOf(node, address string, wanted int) forward.AdmitRequests {
	return forward.AdmitRequests{
		Address: address,
		Ask: quota.Ask{ID: 1, Node: node, Request: quota.Request{
			Account: "one", Wanted: wanted, Quota: quota.Quota{Version: 3, PerSecond: 50, Burst: 2},
		}},
	}
}

// Guards against admissions that get lost between nodes: a node asks the allocator of an account
// over the network and gets the admissions, or the time after which to ask again.
func TestRequestsAreAdmittedByAnotherNode(t *testing.T) {
	loop, address := serveLoop(t)
	events := &eventRecorder{}
	nodes := NewNodes(events, testHeaders, testCallBytes)
	defer nodes.Close()
	nodes.admitRequests(admissionsOf("n2", address, 3))
	if ev, ok := events.wait(t, 0).(forward.AdmissionAnswered); !ok || !ev.Grant.NotAllocator || ev.Grant.Admitted != 0 {
		t.Fatalf("%+v, want a node that is not the allocator", events.events[0])
	}
	loop.Post(forward.StoreConfirmed{})
	loop.Post(forward.Members{Nodes: 1, Peers: []forward.Peer{{Node: "n2", Address: address}}, ListedBefore: true})
	time.Sleep(100 * time.Millisecond) // the bucket starts empty and gets 50 tokens a second
	nodes.admitRequests(admissionsOf("n2", address, 50))
	ev, ok := events.wait(t, 1).(forward.AdmissionAnswered)
	if !ok || ev.Ask.ID != 1 || ev.Grant.Admitted != 2 || ev.Grant.RetryAfter <= 0 || ev.Grant.NotAllocator || ev.Grant.Used <= 0 || ev.Grant.Quota.Version != 3 {
		t.Fatalf("%+v, want the 2 requests of the burst", events.events[1])
	}
}

// olderNode is a node of a version that does not know quotas.
type olderNode struct{ nodepb.UnimplementedNodeServer }

// Guards against requests that wait for a node which cannot answer: the failure is reported, and
// whether the node is of an older version.
func TestLostAndOlderAllocatorsAreReported(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	nodepb.RegisterNodeServer(server, olderNode{})
	go func() { _ = server.Serve(listener) }() // ends with Stop
	t.Cleanup(server.Stop)
	for supported, address := range map[bool]string{true: "127.0.0.1:1", false: listener.Addr().String()} {
		events := &eventRecorder{}
		nodes := NewNodes(events, testHeaders, testCallBytes)
		defer nodes.Close()
		nodes.admitRequests(admissionsOf("n3", address, 1))
		if ev, ok := events.wait(t, 0).(forward.AdmissionFailed); !ok || ev.Supported != supported || ev.Ask.Node != "n3" || ev.Error == "" {
			t.Errorf("%+v, want a failure of n3, supported %v", events.events[0], supported)
		}
	}
}

// Guards against quotas in messages of other nodes that break the arithmetic of the allocator.
func TestInvalidQuotaIsRefused(t *testing.T) {
	for _, m := range []*nodepb.Quota{{PerSecond: math.NaN()}, {Burst: math.NaN()}, {PerSecond: math.Inf(1)}, {Burst: -1}} {
		if q, err := quotaFromProto(m); err == nil {
			t.Errorf("%v is accepted as %+v", m, q)
		}
	}
}

// Guards against a refusal for quota with a status that tells the caller the wrong cause, or
// without the time to retry.
func TestQuotaRefusalsHaveStatusAndRetryAfter(t *testing.T) {
	for reason, status := range map[api.Reason]int{
		api.ReasonOverQuota: http.StatusTooManyRequests, api.ReasonQuotaUnknown: http.StatusServiceUnavailable,
		api.ReasonKeysOutdated: http.StatusServiceUnavailable,
	} {
		w := httptest.NewRecorder()
		writeLocalReply(w, &forward.Answer{Outcome: api.NotRun, Reason: reason, RetryAfter: 250 * time.Millisecond})
		if w.Code != status || w.Header().Get("Retry-After") != "0.250" {
			t.Errorf("%s: status %d, Retry-After %q", reason, w.Code, w.Header().Get("Retry-After"))
		}
	}
}
