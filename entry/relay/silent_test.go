package relay

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/quota"
	"github.com/baobabsail/baobabsail/entry/internal/faultproxy"
)

// recoveryTime is how soon calls must reach a node again after a connection to it went silent or
// slow: the machines must agree within the stability window of 4 s.
const recoveryTime = 3 * time.Second

// connectionFaults are ways in which a connection fails for good.
var connectionFaults = []struct {
	name string
	faultproxy.Fault
}{
	{"silent both ways", faultproxy.Fault{DropTowards: true, DropFrom: true}},
	{"silent towards the node", faultproxy.Fault{DropTowards: true}},
	{"silent from the node", faultproxy.Fault{DropFrom: true}},
	{"slow", faultproxy.Fault{Delay: 150 * time.Millisecond}},
}

// newProxy starts a proxy in front of a node.
func newProxy(t *testing.T, target string) *faultproxy.Proxy {
	t.Helper()
	proxy, err := faultproxy.New(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

// prompt reports whether an event of the wanted kind, posted since the start of a call, came soon
// after it.
func (r *eventRecorder) prompt(call func(), wanted func(forward.Event) bool) bool {
	r.mu.Lock()
	from := len(r.events)
	r.mu.Unlock()
	call()
	for end := time.Now().Add(90 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		for _, ev := range r.events[from:] {
			if wanted(ev) {
				r.mu.Unlock()
				return true
			}
		}
		r.mu.Unlock()
	}
	return false
}

// nodeCalls are the kinds of calls between nodes, each with the event that shows its response.
func nodeCalls(n *Nodes, address string) map[string]func(*eventRecorder) bool {
	var lastCall forward.CallID
	return map[string]func(*eventRecorder) bool{
		"permits": func(r *eventRecorder) bool {
			return r.prompt(func() { n.requestPermits(permitsFor(5, "n2", address, 1)) }, func(ev forward.Event) bool {
				_, ok := ev.(forward.PermitsGranted)
				return ok
			})
		},
		"admissions": func(r *eventRecorder) bool {
			return r.prompt(func() {
				n.admitRequests(forward.AdmitRequests{Address: address, Ask: quota.Ask{Node: "n2", Request: quota.Request{Account: "a", Wanted: 1}}})
			}, func(ev forward.Event) bool {
				_, ok := ev.(forward.AdmissionAnswered)
				return ok
			})
		},
		"ranges": func(r *eventRecorder) bool {
			lastCall++
			call := testCall(lastCall, address)
			call.Remaining = 500 * time.Millisecond
			return r.prompt(func() { n.call(call) }, func(ev forward.Event) bool {
				accepted, ok := ev.(forward.CallAccepted)
				return ok && accepted.Call == call.Call
			})
		},
	}
}

// Guards against nodes that disagree for good on who grants a limit (LIMIT): a connection went
// silent or slow, and all calls went on using it, although a new one would have worked.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	for _, fault := range connectionFaults {
		for _, kind := range []string{"permits", "admissions", "ranges"} {
			t.Run(fault.name+", "+kind, func(t *testing.T) {
				t.Parallel()
				_, address := serveLoop(t)
				proxy := newProxy(t, address)
				events := &eventRecorder{}
				n := NewNodes(events, testHeaders, testCallBytes)
				defer n.Close()
				responds := nodeCalls(n, proxy.Address())[kind]
				if !waitFor(recoveryTime, func() bool { return responds(events) }) {
					t.Fatal("no response before the fault")
				}
				proxy.Inject(fault.Fault)
				if !waitFor(recoveryTime, func() bool { return responds(events) }) {
					t.Errorf("no prompt response within %v", recoveryTime)
				}
				if c := proxy.Accepted(); c > 3 {
					t.Errorf("%d connections were opened, want 2 or 3", c)
				}
			})
		}
	}
}

// Guards against notices that reach a node no more: they are sent on a connection that is silent.
func TestNoticesUseANewConnectionAfterASilentOne(t *testing.T) {
	for _, fault := range connectionFaults[:3] {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			_, address := serveLoop(t)
			proxy := newProxy(t, address)
			n := NewNodes(&eventRecorder{}, testHeaders, testCallBytes)
			defer n.Close()
			notices := forward.SendNotices{Notices: []gossip.Notice{{Kind: gossip.NoticeReplicaEnded, Replica: "r", TimeToLive: time.Minute}}}
			if err := n.notify(proxy.Address(), notices); err != nil {
				t.Fatal(err)
			}
			proxy.Inject(fault.Fault)
			if !waitFor(recoveryTime, func() bool { return n.notify(proxy.Address(), notices) == nil }) {
				t.Errorf("no notice is acknowledged within %v", recoveryTime)
			}
		})
	}
}

// Guards against a storm of connections to a node that is slow itself: a new connection does not
// help there, and costs the node more than the call.
func TestSlowNodeGetsFewNewConnections(t *testing.T) {
	_, address := serveLoop(t)
	proxy := newProxy(t, address)
	n := NewNodes(&eventRecorder{}, testHeaders, testCallBytes)
	defer n.Close()
	slow := connectionFaults[3]
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n.requestPermits(permitsFor(5, "n2", proxy.Address(), 1))
		proxy.Inject(slow.Fault)
	}
	// Replaced at once and after 1, 2 and 4 s at the earliest.
	if c := proxy.Accepted(); c > 5 {
		t.Errorf("%d connections were opened within 8 s", c)
	}
}

// waitFor calls condition until it is true or the time has passed.
func waitFor(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
