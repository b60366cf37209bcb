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
	// connEndTimeout is how long a lost attempt waits for the end of its connection to
	// be reported.
	connEndTimeout = 50 * time.Millisecond
	// crashCauseTimeout bounds the wait for the next connection to a replica, which
	// shows whether its process crashed.
	crashCauseTimeout = 500 * time.Millisecond
	// drainNoticeTTL is the validity of a drain notice. It covers the longest drain
	// that is expected; the incarnation keeps the notice from applying to the next
	// process.
	drainNoticeTTL = 10 * time.Minute
	// unknownDrainTTL is the validity of a drain notice without an incarnation: the
	// time within which every node knows of a drain (P6).
	unknownDrainTTL = 3 * time.Second
)

// unknownIncarnation stands for a process that the node is not connected to.
const unknownIncarnation api.Incarnation = 0

// lostAttempt is an attempt that ended without a reply and whose cause is not yet
// known.
type lostAttempt struct {
	attempt   *attempt
	sent      bool
	resolveBy time.Time
}

// connEvent handles an event of a connection.
func (n *Node) connEvent(now time.Time, ev event.Event) {
	var actions []event.Action
	var crashes []connhealth.Crash
	var replica api.ReplicaName
	switch ev := ev.(type) {
	case event.ConnOpened:
		replica, _ = n.conns.Replica(ev.Conn)
		actions, crashes = n.conns.Opened(now, ev)
		n.observeReplicaLoad(now, replica, ev.Load)
	case event.ConnEnded:
		replica, _ = n.conns.Replica(ev.Conn)
		actions, crashes = n.conns.Ended(now, ev)
		n.extendLossWait(now, replica, ev)
	case event.ProbeReplied:
		replica, _ = n.conns.Replica(ev.Conn)
		actions, crashes = n.conns.ProbeReplied(now, ev)
		n.observeReplicaLoad(now, replica, ev.Load)
	}
	n.emit(actions...)
	n.versions.Invalidate()
	n.crashed(now, crashes)
	n.resolveLosses(now, replica)
	n.resumeChecked(now, replica)
	n.resumeWaiting(now, replica)
}

// observeReplicaLoad applies a load report that does not belong to a pending
// attempt.
func (n *Node) observeReplicaLoad(now time.Time, replica api.ReplicaName, load api.TargetLoad) {
	if replica == "" {
		return
	}
	drained := n.replicas.ObserveLoad(now, replica, load)
	n.applyLoad(now, replica, load, drained)
}

// observeConnLoad applies the load report of a reply whose attempt is no longer
// pending.
func (n *Node) observeConnLoad(now time.Time, conn api.ConnID, load api.TargetLoad) {
	if replica, ok := n.conns.Replica(conn); ok {
		n.observeReplicaLoad(now, replica, load)
	}
}

// applyLoad records the versions that a load report lists, and publishes a drain
// notice if the report is the first to show that the replica drains.
func (n *Node) applyLoad(now time.Time, replica api.ReplicaName, load api.TargetLoad, drained bool) {
	n.versions.Observe(replica, load.Held)
	if drained {
		n.publishDraining(now, replica, load.Incarnation)
	}
}

// drainAndNotify stops new requests to a replica and, if it was not draining
// before, tells the peers.
func (n *Node) drainAndNotify(now time.Time, replica api.ReplicaName) {
	if !n.setDraining(now, replica, unknownIncarnation) {
		return
	}
	incarnation := n.replicas.Incarnation(replica)
	if n.conns.OpenCount(replica) == 0 {
		incarnation = unknownIncarnation
	}
	n.publishDraining(now, replica, incarnation)
}

// setDraining stops new requests to an incarnation of a replica and reports whether
// it was not draining before. An unknown incarnation means the one that the node
// is connected to. Without a connection it means the next one that the node
// connects to, because the last one may have ended.
func (n *Node) setDraining(now time.Time, replica api.ReplicaName, incarnation api.Incarnation) bool {
	if incarnation == unknownIncarnation && n.conns.OpenCount(replica) == 0 {
		return n.replicas.DrainNext(replica)
	}
	return n.replicas.SetDraining(now, replica, incarnation)
}

// publishDraining tells the peers that an incarnation of a replica drains. A notice
// with an unknown incarnation is valid for a short time only, because it must not
// apply to a later process.
func (n *Node) publishDraining(now time.Time, replica api.ReplicaName, incarnation api.Incarnation) {
	n.versions.Invalidate()
	notice := gossip.Notice{
		Kind: gossip.NoticeDraining, Replica: replica, Incarnation: incarnation,
		Version: 1, TimeToLive: drainNoticeTTL,
	}
	if incarnation == unknownIncarnation {
		notice.Version, notice.TimeToLive = uint64(now.UnixMilli()), unknownDrainTTL
	}
	n.publish(now, []gossip.Notice{notice})
	n.emit(logEvent("replica_draining", "replica", string(replica)))
}

// crashed handles targets whose process ended with attempts in flight. Notices are
// sent to the peers before the losses are reported to the callers.
func (n *Node) crashed(now time.Time, crashes []connhealth.Crash) {
	for _, c := range crashes {
		fingerprints := make([]api.Fingerprint, 0, len(c.InFlight))
		for _, f := range c.InFlight {
			fingerprints = append(fingerprints, f.Fingerprint)
		}
		n.counts.Inc(count.Quarantine, "target_crashed")
		n.emit(logEvent("target_crashed", "replica", string(c.Replica)))
		n.publish(now, n.quarantine.Crashed(now, c.Replica, c.Incarnation, fingerprints))
		for _, fp := range fingerprints {
			n.markStale(fp)
		}
		n.versions.Forget(c.Replica)
		n.resolveLosses(now, c.Replica)
	}
}

// markStale marks the attempts in flight of a fingerprint that has just become
// suspect, so that their answers do not clear it.
func (n *Node) markStale(fp api.Fingerprint) {
	for _, a := range n.attempts {
		if a.fingerprint == fp {
			a.stale = true
		}
	}
}

// extendLossWait gives the lost attempts of a reset connection time until the next
// connection to the replica shows whether its process crashed.
func (n *Node) extendLossWait(now time.Time, replica api.ReplicaName, ev event.ConnEnded) {
	if ev.End != event.ConnReset {
		return
	}
	losses := n.unresolved[replica]
	for i := range losses {
		if losses[i].attempt.conn == ev.Conn {
			losses[i].resolveBy = now.Add(crashCauseTimeout)
		}
	}
}

// resolveLosses reports the lost attempts at a replica to their requests, unless
// connhealth still waits to learn the cause of a reset.
func (n *Node) resolveLosses(now time.Time, replica api.ReplicaName) {
	if len(n.unresolved[replica]) == 0 || n.conns.ResetPending(replica) {
		return
	}
	losses := n.unresolved[replica]
	delete(n.unresolved, replica)
	for _, l := range losses {
		n.reportLoss(now, l)
	}
}

// resolveOverdueLosses reports the lost attempts whose cause was not found in time.
func (n *Node) resolveOverdueLosses(now time.Time) {
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
			n.reportLoss(now, l)
		}
	}
}

func splitDue(losses []lostAttempt, now time.Time) (due, rest []lostAttempt) {
	for _, l := range losses {
		if now.Before(l.resolveBy) {
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
			wake = earliest(wake, l.resolveBy)
		}
	}
	return wake
}

// logEvent builds a log event from alternating field names and values.
func logEvent(name string, pairs ...string) event.Log {
	l := event.Log{Event: name}
	for i := 0; i+1 < len(pairs); i += 2 {
		l.Fields = append(l.Fields, api.Field{Name: pairs[i], Value: pairs[i+1]})
	}
	return l
}
