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
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// checkTimeout bounds that of a check, whose result other callers wait for.
	checkTimeout = 500 * time.Millisecond
	// idleMost is how long an idle connection is kept for reuse if the replica
	// does not state a shorter time.
	idleMost = 10 * time.Second
	// spareIdle is how long an idle connection is kept beside one that was used
	// later. Replicas accept few connections, and those of a node that loses
	// power stay open for a while.
	spareIdle = time.Second
	// idleShare is the part of the time stated by a replica after which its
	// connection is not used again: its end may be on the way.
	idleShare = 0.75
	// poolSweep is how often idle connections are checked.
	poolSweep = time.Second
	// defaultAcceptWait is enough for a replica in the same region to end a
	// connection that it has no room for, and less than it spends on a new one.
	defaultAcceptWait = 2 * time.Millisecond
	// bodyAside is the size from which a body is written by a goroutine of its
	// own, because the target may answer before it has read it.
	bodyAside = 8 << 10
)

// Poster takes events; *Loop does.
type Poster interface{ Post(forward.Event) }

// Targets keeps the connections to targets: one request at a time on each.
type Targets struct {
	poster Poster
	names  Headers
	// acceptWait is how long a new connection is watched before the request is
	// sent.
	acceptWait time.Duration

	mu       sync.Mutex
	idle     map[api.ReplicaName][]*conn
	attempts map[forward.AttemptID]*conn
}

// NewTargets returns an empty set of connections.
func NewTargets(poster Poster, names Headers) *Targets {
	return &Targets{
		poster: poster, names: names, acceptWait: defaultAcceptWait,
		idle:     make(map[api.ReplicaName][]*conn),
		attempts: make(map[forward.AttemptID]*conn),
	}
}

// exchange is one request on a connection.
type exchange struct {
	attempt forward.AttemptID
	wire    *wireRequest
	head    []byte
}

// send hands a request to an idle connection or opens one.
func (t *Targets) send(a forward.Send) {
	wire := a.Message.Wire.(*wireRequest)
	x := &exchange{attempt: a.Attempt, wire: wire, head: t.head(wire, a)}
	t.mu.Lock()
	c := t.takeIdle(a.Replica, a.Address)
	if c != nil && a.Fresh {
		c.close()
		c = nil
	}
	if c == nil {
		c = &conn{targets: t, replica: a.Replica, address: a.Address, brief: a.Brief}
		c.current = x
		t.attempts[a.Attempt] = c
		t.mu.Unlock()
		go c.open()
		return
	}
	c.current = x
	c.reused, c.brief = true, a.Brief
	t.attempts[a.Attempt] = c
	t.mu.Unlock()
	c.write(x)
}

// check opens a connection to see whether a replica's process goes on.
func (t *Targets) check(a forward.CheckReplica) {
	c := &conn{targets: t, replica: a.Replica, address: a.Address, brief: a.Brief}
	go c.check()
}

// head completes the header with the fields of one attempt.
func (t *Targets) head(wire *wireRequest, a forward.Send) []byte {
	head := make([]byte, 0, len(wire.head)+128)
	head = append(head, wire.head...)
	head = appendField(head, t.names.TimeLeft, strconv.FormatInt(max(a.Left.Milliseconds(), 1), 10))
	head = appendField(head, t.names.ExpectReplica, string(a.Replica))
	return append(head, "\r\n"...)
}

// takeIdle returns the connection that was used last. It is called with mu held.
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

// cancel closes the connection of an attempt. One that is still being opened is
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

// SweepIdle closes connections that are not used any more, until ctx ends.
func (t *Targets) SweepIdle(ctx context.Context) { every(ctx, poolSweep, t.sweep) }

// every calls f in an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}

func (t *Targets) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for replica, list := range t.idle {
		kept := list[:0]
		for i, c := range list {
			spare := i < len(list)-1 && now.Sub(c.idleSince) > spareIdle
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

// lossOf classifies the error of a connection that could not be opened.
func lossOf(err error) forward.Loss {
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
	case lossOf(err) == forward.LostRefused:
		return forward.CheckRefused
	}
	return forward.CheckUnanswered
}

func dial(address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return d.Dial("tcp", address)
}
