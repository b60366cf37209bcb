package relay

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/routing"
	"github.com/baobabsail/baobabsail/entry/connguard"
	"github.com/baobabsail/baobabsail/entry/internal/membudget"
	"github.com/baobabsail/baobabsail/entry/internal/periodic"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// checkTimeout bounds the opening of a connection for a check; it is shorter because
	// requests of other callers wait for the result.
	checkTimeout = 500 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept for reuse if the replica does not
	// state a shorter time.
	maxIdleTime = 10 * time.Second
	// maxSpareIdleTime is how long an idle connection is kept if a more recently used one is
	// idle too, or if other nodes prefer the replica. Replicas accept few connections, and
	// those of a node that loses power stay open for a while.
	maxSpareIdleTime = time.Second
	// keepAliveFraction is the fraction of the time stated by a replica after which its
	// connection is not reused, since the replica may already be closing it.
	keepAliveFraction = 0.75
	// poolSweepInterval is how often idle connections are checked.
	poolSweepInterval = time.Second
	// defaultAcceptWait is long enough for a replica in the same region to close a connection
	// that exceeds its limit, and shorter than the time that the replica spends on a new one.
	defaultAcceptWait = 2 * time.Millisecond
	// asyncBodySize is the size above which a separate goroutine writes the whole request,
	// because the target may answer before it has read all of the body.
	asyncBodySize = 8 << 10
)

// EventSink accepts events; *Loop implements it.
type EventSink interface{ Post(forward.Event) }

// Targets is the pool of connections to targets. Each connection carries one request at a
// time.
type Targets struct {
	sink    EventSink
	headers Headers
	// acceptWait is how long a new connection is observed before a request is sent on it.
	acceptWait time.Duration
	// replies bounds the memory of the responses that are being read or wait to be sent on.
	replies *membudget.Budget

	mu       sync.Mutex
	idle     map[api.ReplicaName][]*conn
	attempts map[forward.AttemptID]*conn
}

// NewTargets returns an empty pool of connections. The responses that are being read or wait to be
// sent on take at most replyMemory bytes together, without what each one has free.
func NewTargets(poster EventSink, headers Headers, replyMemory int64) *Targets {
	return &Targets{
		sink: poster, headers: headers, acceptWait: defaultAcceptWait, replies: membudget.New(replyMemory),
		idle:     make(map[api.ReplicaName][]*conn),
		attempts: make(map[forward.AttemptID]*conn),
	}
}

// exchange is one attempt of a request on a connection.
type exchange struct {
	attempt forward.AttemptID
	wire    *wireRequest
	head    []byte
	// part is set if the response is merged with others, by the rule merge.
	part  bool
	merge routing.Merge
}

// send writes a request to an idle connection or opens a new one for it.
func (t *Targets) send(a forward.Send) {
	wire := a.Message.Wire.(*wireRequest)
	x := &exchange{attempt: a.Attempt, wire: wire, head: t.head(wire, a), part: a.Part, merge: a.Merge}
	t.mu.Lock()
	c := t.takeIdle(a.Replica, a.Address)
	if c != nil && a.NewConnection {
		c.close()
		c = nil
	}
	if c == nil {
		c = &conn{targets: t, replica: a.Replica, address: a.Address, shortIdle: a.ShortLived}
		c.current = x
		t.attempts[a.Attempt] = c
		t.mu.Unlock()
		go c.open()
		return
	}
	c.current = x
	c.reused, c.shortIdle = true, a.ShortLived
	t.attempts[a.Attempt] = c
	t.mu.Unlock()
	c.write(x)
}

// check opens a connection to find out whether the process of a replica is still running.
func (t *Targets) check(a forward.CheckReplica) {
	c := &conn{targets: t, replica: a.Replica, address: a.Address, shortIdle: a.ShortLived}
	go c.check()
}

// head returns the header of a request, completed with the fields that differ between
// attempts.
func (t *Targets) head(wire *wireRequest, a forward.Send) []byte {
	head := wire.identifiedHead(a.Message, t.headers)
	head = appendField(head, t.headers.TimeLeft, strconv.FormatInt(max(a.Remaining.Milliseconds(), 1), 10))
	head = appendField(head, t.headers.ExpectReplica, string(a.Replica))
	return append(head, "\r\n"...)
}

// takeIdle removes and returns the most recently used idle connection that may be reused,
// or nil. It closes those that may not. The caller must hold t.mu.
func (t *Targets) takeIdle(replica api.ReplicaName, address string) *conn {
	now := time.Now()
	for {
		list := t.idle[replica]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		t.idle[replica] = list[:len(list)-1]
		if c.address == address && now.Before(c.usableUntil) {
			return c
		}
		c.close()
	}
}

// cancel closes the connection of an attempt. A connection that is still being opened is
// kept for the next request.
func (t *Targets) cancel(id forward.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.attempts[id]
	if c == nil {
		return
	}
	delete(t.attempts, id)
	c.current = nil
	if c.socket != nil {
		c.close()
	}
}

func (t *Targets) closeIdle(replica api.ReplicaName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle[replica] {
		c.close()
	}
	delete(t.idle, replica)
}

// SweepIdle periodically closes idle connections that are expired or spare, until ctx
// is done.
func (t *Targets) SweepIdle(ctx context.Context) { periodic.Run(ctx, poolSweepInterval, t.sweep) }

func (t *Targets) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for replica, list := range t.idle {
		kept := list[:0]
		for i, c := range list {
			spare := i < len(list)-1 && now.Sub(c.idleSince) > maxSpareIdleTime
			if now.Before(c.usableUntil) && !spare {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		clear(list[len(kept):])
		t.idle[replica] = kept
		if len(kept) == 0 {
			delete(t.idle, replica)
		}
	}
}

// dialLoss classifies the error of a connection that could not be opened.
func dialLoss(err error) forward.Loss {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return forward.LostRefused
	}
	return forward.LostUnsent
}

// checkResult classifies the outcome of opening a connection for a check.
func checkResult(err error) forward.CheckResult {
	switch {
	case err == nil:
		return forward.CheckAccepted
	case dialLoss(err) == forward.LostRefused:
		return forward.CheckRefused
	}
	return forward.CheckUnanswered
}

func dial(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: connguard.LimitBuffers(syscall.SO_RCVBUF, syscall.SO_SNDBUF)}
	return d.Dial("tcp", address)
}
