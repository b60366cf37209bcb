package relay

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/quota"
)

// recoveryTime is how soon calls must reach a node again after a connection to it went silent or
// slow: the machines must agree within the stability window of 4 s.
const recoveryTime = 3 * time.Second

// linkTrouble is what happens to the data of a connection in each direction. TCP acknowledges it
// in any case.
type linkTrouble struct {
	name                   string
	dropTowards, dropsFrom bool
	delay                  time.Duration
}

var linkTroubles = []linkTrouble{
	{name: "silent both ways", dropTowards: true, dropsFrom: true},
	{name: "silent towards the node", dropTowards: true},
	{name: "silent from the node", dropsFrom: true},
	{name: "slow", delay: 150 * time.Millisecond},
}

// troubledProxy forwards connections to a node. trouble changes what happens on those that are
// open; new ones work.
type troubledProxy struct {
	address, target string

	mu    sync.Mutex
	links []*proxiedLink
}

// proxiedLink is one connection through a proxy.
type proxiedLink struct {
	mu sync.Mutex
	linkTrouble
}

func newTroubledProxy(t *testing.T, target string) *troubledProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test has ended
	p := &troubledProxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(client)
		}
	}()
	return p
}

func (p *troubledProxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close() // the node has ended
		return
	}
	l := &proxiedLink{}
	p.mu.Lock()
	p.links = append(p.links, l)
	p.mu.Unlock()
	go l.copy(server, client, func(t linkTrouble) bool { return t.dropTowards })
	l.copy(client, server, func(t linkTrouble) bool { return t.dropsFrom })
}

// copy forwards data until one side closes.
func (l *proxiedLink) copy(to, from net.Conn, drops func(linkTrouble) bool) {
	defer func() { _, _ = to.Close(), from.Close() }() // both sides end together
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		trouble := l.linkTrouble
		l.mu.Unlock()
		if drops(trouble) {
			_, _ = io.Copy(io.Discard, from) // until the sender closes it
			return
		}
		time.Sleep(trouble.delay)
		if _, werr := to.Write(buffer[:n]); err != nil || werr != nil {
			return
		}
	}
}

// trouble changes what happens on the open connections.
func (p *troubledProxy) trouble(t linkTrouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.mu.Lock()
		l.linkTrouble = t
		l.mu.Unlock()
	}
}

func (p *troubledProxy) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
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
	for _, trouble := range linkTroubles {
		for _, kind := range []string{"permits", "admissions", "ranges"} {
			t.Run(trouble.name+", "+kind, func(t *testing.T) {
				t.Parallel()
				_, address := serveLoop(t)
				proxy := newTroubledProxy(t, address)
				events := &eventRecorder{}
				n := NewNodes(events, testHeaders, testCallBytes)
				defer n.Close()
				responds := nodeCalls(n, proxy.address)[kind]
				if !waitFor(recoveryTime, func() bool { return responds(events) }) {
					t.Fatal("no response before the trouble")
				}
				proxy.trouble(trouble)
				if !waitFor(recoveryTime, func() bool { return responds(events) }) {
					t.Errorf("no prompt response within %v", recoveryTime)
				}
				if c := proxy.connections(); c > 3 {
					t.Errorf("%d connections were opened, want 2 or 3", c)
				}
			})
		}
	}
}

// Guards against notices that reach a node no more: they are sent on a connection that is silent.
func TestNoticesUseANewConnectionAfterASilentOne(t *testing.T) {
	for _, trouble := range linkTroubles[:3] {
		t.Run(trouble.name, func(t *testing.T) {
			t.Parallel()
			_, address := serveLoop(t)
			proxy := newTroubledProxy(t, address)
			n := NewNodes(&eventRecorder{}, testHeaders, testCallBytes)
			defer n.Close()
			notices := forward.SendNotices{Notices: []gossip.Notice{{Kind: gossip.NoticeReplicaEnded, Replica: "r", TimeToLive: time.Minute}}}
			if err := n.notify(proxy.address, notices); err != nil {
				t.Fatal(err)
			}
			proxy.trouble(trouble)
			if !waitFor(recoveryTime, func() bool { return n.notify(proxy.address, notices) == nil }) {
				t.Errorf("no notice is acknowledged within %v", recoveryTime)
			}
		})
	}
}

// Guards against a storm of connections to a node that is slow itself: a new connection does not
// help there, and costs the node more than the call.
func TestSlowNodeGetsFewNewConnections(t *testing.T) {
	_, address := serveLoop(t)
	proxy := newTroubledProxy(t, address)
	n := NewNodes(&eventRecorder{}, testHeaders, testCallBytes)
	defer n.Close()
	slow := linkTroubles[3]
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		n.requestPermits(permitsFor(5, "n2", proxy.address, 1))
		proxy.trouble(slow)
	}
	// Replaced at once and after 1, 2 and 4 s at the earliest.
	if c := proxy.connections(); c > 5 {
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
