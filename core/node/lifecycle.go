package node

import (
	"time"

	"github.com/baobabsail/baobabsail/core/event"
)

// recordWait bounds how long a shutdown waits for outcomes of work orders to be
// recorded in the store after the last request has ended.
const recordWait = 2 * time.Second

// shutdown is the state of a graceful stop.
type shutdown struct {
	started     bool
	acceptUntil time.Time
	// closed is set once new requests are refused. From then on the requests in
	// flight wake the node, until the last of them has ended.
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
	return s.idleSince.Add(recordWait)
}

// shutdownStarted tells the peers and begins to refuse new requests when the
// balancer has had time to notice.
func (n *Node) shutdownStarted(now time.Time, ev event.ShutdownStarted) {
	if n.shutdown.started {
		return
	}
	n.shutdown = shutdown{started: true, acceptUntil: now.Add(ev.AcceptFor)}
	n.send(n.peers.Leave(now))
}

// finishShutdown reports Stopped once nothing is in flight.
func (n *Node) finishShutdown(now time.Time) {
	s := &n.shutdown
	if s.done || !s.refuses(now) {
		return
	}
	s.closed = true
	if len(n.searches) > 0 || n.openWorks() > 0 {
		return
	}
	if s.idleSince.IsZero() {
		s.idleSince = now
	}
	if n.claims.Outstanding() > 0 && now.Before(s.idleSince.Add(recordWait)) {
		return
	}
	s.done = true
	n.act(event.Stopped{})
}

// openWorks returns the number of work orders whose callers still wait.
func (n *Node) openWorks() int {
	open := 0
	for _, w := range n.works {
		if !w.answered {
			open++
		}
	}
	return open
}
