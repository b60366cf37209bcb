package node

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/connhealth"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
)

const (
	// resetWait is how long a lost attempt waits for the end of its connection
	// to be reported.
	resetWait = 50 * time.Millisecond
	// causeWait bounds the wait for the next connection, which shows whether the
	// target crashed.
	causeWait = 500 * time.Millisecond
	// drainNoticeTime is the validity of a drain notice. It covers the longest
	// drain that is expected; the incarnation keeps it from the next process.
	drainNoticeTime = 10 * time.Minute
	// unknownDrainTime is the validity of a notice that cannot name the
	// incarnation: the time within which a drain is known everywhere (P6).
	unknownDrainTime = 3 * time.Second
)

// unknownIncarnation stands for a process that a node is not connected to.
const unknownIncarnation api.Incarnation = 0

// lostAttempt is an attempt that ended without an answer and whose cause is
// not known yet.
type lostAttempt struct {
	attempt *attempt
	sent    bool
	until   time.Time
}

// connEvent handles what happened to a connection.
func (n *Node) connEvent(now time.Time, ev event.Event) {
	var actions []event.Action
	var crashes []connhealth.Crash
	var replica api.ReplicaName
	switch ev := ev.(type) {
	case event.ConnOpened:
		replica, _ = n.conns.Replica(ev.Conn)
		actions, crashes = n.conns.Opened(now, ev)
		n.observeReplica(now, replica, ev.Load)
	case event.ConnEnded:
		replica, _ = n.conns.Replica(ev.Conn)
		actions, crashes = n.conns.Ended(now, ev)
		n.extendLosses(now, replica, ev)
	case event.ProbeReplied:
		replica, _ = n.conns.Replica(ev.Conn)
		actions, crashes = n.conns.ProbeReplied(now, ev)
		n.observeReplica(now, replica, ev.Load)
	}
	n.act(actions...)
	n.holdings.Invalidate()
	n.crashed(now, crashes)
	n.resolve(now, replica)
	n.checked(now, replica)
	n.resume(now, replica)
}

// observeReplica learns from a load that came without an answer.
func (n *Node) observeReplica(now time.Time, replica api.ReplicaName, load api.TargetLoad) {
	if replica == "" {
		return
	}
	drained := n.replicas.ObserveLoad(now, replica, load)
	n.learnLoad(now, replica, load, drained)
}

// observeLoad learns from an answer that nobody waits for any more.
func (n *Node) observeLoad(now time.Time, conn api.ConnID, load api.TargetLoad) {
	if replica, ok := n.conns.Replica(conn); ok {
		n.observeReplica(now, replica, load)
	}
}

// learnLoad takes the versions held from a load, and passes on the first sign
// of a drain.
func (n *Node) learnLoad(now time.Time, replica api.ReplicaName, load api.TargetLoad, drained bool) {
	n.holdings.Observe(replica, load.Held)
	if drained {
		n.tellDraining(now, replica, load.Incarnation)
	}
}

// draining stops new work to a replica and tells the peers, if this is news.
func (n *Node) draining(now time.Time, replica api.ReplicaName) {
	if !n.drain(now, replica, unknownIncarnation) {
		return
	}
	incarnation := n.replicas.Incarnation(replica)
	if n.conns.Open(replica) == 0 {
		incarnation = unknownIncarnation
	}
	n.tellDraining(now, replica, incarnation)
}

// drain stops new work to an incarnation of a replica and reports whether this
// is news. An unknown incarnation is the one that the node is connected to, or
// else the next one that it sees, because the last one may be gone.
func (n *Node) drain(now time.Time, replica api.ReplicaName, incarnation api.Incarnation) bool {
	if incarnation == unknownIncarnation && n.conns.Open(replica) == 0 {
		return n.replicas.DrainNext(replica)
	}
	return n.replicas.SetDraining(now, replica, incarnation)
}

// tellDraining tells the peers that an incarnation of a replica is leaving. An
// unknown one is told for a short time only, because a later process is not
// meant.
func (n *Node) tellDraining(now time.Time, replica api.ReplicaName, incarnation api.Incarnation) {
	n.holdings.Invalidate()
	notice := gossip.Notice{
		Kind: gossip.NoticeDraining, Replica: replica, Incarnation: incarnation,
		Version: 1, TimeToLive: drainNoticeTime,
	}
	if incarnation == unknownIncarnation {
		notice.Version, notice.TimeToLive = uint64(now.UnixMilli()), unknownDrainTime
	}
	n.publish(now, []gossip.Notice{notice})
	n.act(logEvent("replica_draining", "replica", string(replica)))
}

// crashed handles targets whose process ended with attempts in flight. The
// notices leave before the losses are reported to the callers.
func (n *Node) crashed(now time.Time, crashes []connhealth.Crash) {
	for _, c := range crashes {
		fingerprints := make([]api.Fingerprint, 0, len(c.InFlight))
		for _, f := range c.InFlight {
			fingerprints = append(fingerprints, f.Fingerprint)
		}
		n.counts.Inc(count.Quarantine, "target_crashed")
		n.act(logEvent("target_crashed", "replica", string(c.Replica)))
		n.publish(now, n.quarantine.Crashed(now, c.Replica, c.Incarnation, fingerprints))
		for _, fp := range fingerprints {
			n.markStale(fp)
		}
		n.holdings.Forget(c.Replica)
		n.resolve(now, c.Replica)
	}
}

// markStale keeps the answers of attempts that are on their way from clearing
// a fingerprint that has just become suspect.
func (n *Node) markStale(fp api.Fingerprint) {
	for _, a := range n.attempts {
		if a.fingerprint == fp {
			a.stale = true
		}
	}
}

// extendLosses gives lost attempts time until the next connection to the
// replica shows whether it crashed.
func (n *Node) extendLosses(now time.Time, replica api.ReplicaName, ev event.ConnEnded) {
	if ev.End != event.ConnReset {
		return
	}
	losses := n.unresolved[replica]
	for i := range losses {
		if losses[i].attempt.conn == ev.Conn {
			losses[i].until = now.Add(causeWait)
		}
	}
}

// resolve reports the losses at a replica to their requests if their cause is
// known.
func (n *Node) resolve(now time.Time, replica api.ReplicaName) {
	if len(n.unresolved[replica]) == 0 || n.conns.ResetPending(replica) {
		return
	}
	losses := n.unresolved[replica]
	delete(n.unresolved, replica)
	for _, l := range losses {
		n.deliverLoss(now, l)
	}
}

// resolveOverdue reports the losses whose cause was not found out in time.
func (n *Node) resolveOverdue(now time.Time) {
	for _, replica := range slices.Sorted(maps.Keys(n.unresolved)) {
		losses := n.unresolved[replica]
		due, rest := splitDue(losses, now)
		if len(due) == 0 {
			continue
		}
		n.unresolved[replica] = rest
		if len(rest) == 0 {
			delete(n.unresolved, replica)
		}
		for _, l := range due {
			n.deliverLoss(now, l)
		}
	}
}

func splitDue(losses []lostAttempt, now time.Time) (due, rest []lostAttempt) {
	for _, l := range losses {
		if now.Before(l.until) {
			rest = append(rest, l)
		} else {
			due = append(due, l)
		}
	}
	return due, rest
}

func (n *Node) unresolvedWake() time.Time {
	var wake time.Time
	for _, losses := range n.unresolved {
		for _, l := range losses {
			wake = earliest(wake, l.until)
		}
	}
	return wake
}

// logEvent builds a log line from alternating names and values.
func logEvent(name string, pairs ...string) event.Log {
	l := event.Log{Event: name}
	for i := 0; i+1 < len(pairs); i += 2 {
		l.Fields = append(l.Fields, api.Field{Name: pairs[i], Value: pairs[i+1]})
	}
	return l
}
