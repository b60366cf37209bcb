package node

import (
	"time"

	"github.com/baobabsail/baobabsail/core/event"
)

// recordTimeout bounds how long a shutdown waits, after the last request has
// ended, for the outcomes of work orders to be recorded in the store.
const recordTimeout = 2 * time.Second

// shutdown is the state of a graceful shutdown.
type shutdown struct {
	started     bool
	acceptUntil time.Time
	// closed is set once new requests are refused. From then until the last request
	// in flight has ended, only the timers of those requests wake the node.
	closed    bool
	idleSince time.Time
	done      bool
}

// refuses reports whether new requests are refused.
func (s *shutdown) refuses(now time.Time) bool {
	return s.started && !now.Before(s.acceptUntil)
}

func (s *shutdown) wake() time.Time {
	switch {
	case !s.started || s.done:
		return time.Time{}
	case !s.closed:
		return s.acceptUntil
	case s.idleSince.IsZero():
		return time.Time{}
	}
	return s.idleSince.Add(recordTimeout)
}

// shutdownStarted announces the shutdown to the peers. The node accepts new
// requests for ev.AcceptFor longer, so that the load balancer has time to notice.
func (n *Node) shutdownStarted(now time.Time, ev event.ShutdownStarted) {
	if n.shutdown.started {
		return
	}
	n.shutdown = shutdown{started: true, acceptUntil: now.Add(ev.AcceptFor)}
	n.sendGossip(n.peers.Leave(now))
}

// finishShutdown emits Stopped once no request is in flight and the outcomes of
// work orders are recorded or recordTimeout has passed.
func (n *Node) finishShutdown(now time.Time) {
	s := &n.shutdown
	if s.done || !s.refuses(now) {
		return
	}
	s.closed = true
	if len(n.searches) > 0 || n.unansweredWorks() > 0 {
		return
	}
	if s.idleSince.IsZero() {
		s.idleSince = now
	}
	if n.claims.Outstanding() > 0 && now.Before(s.idleSince.Add(recordTimeout)) {
		return
	}
	s.done = true
	n.emit(event.Stopped{})
}

// unansweredWorks returns the number of work orders whose callers still wait for
// an answer.
func (n *Node) unansweredWorks() int {
	open := 0
	for _, w := range n.works {
		if !w.callerAnswered {
			open++
		}
	}
	return open
}
