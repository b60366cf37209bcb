package forward

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/ratelimit"
)

// This file chooses the node that is asked for permits, and grants permits to others. The first node
// of the order for a replica (allocatororder.go) is its allocator, the second one its standby. They
// may be taken for different nodes while connections are silent, so each node grants only the share
// of the place that it has itself (ratelimit.Place).

const (
	// maxAskedNodes is how many nodes of the order this node waits for, one after the other,
	// before it grants itself its part of the limit.
	maxAskedNodes = 2
	// recheckTimePerNode times the number of nodes is the time between two requests of a node that
	// needs permits to one that it does not wait for. It bounds those of all nodes to a slow one.
	recheckTimePerNode = 10 * time.Millisecond
)

// requestPermits sends a request to the node that this one takes for the allocator of a replica, or
// to its standby, or handles it itself. The first node of the order need not know who relies on it:
// it grants the whole limit to whoever asks.
func (e *Engine) requestPermits(now time.Time, r ratelimit.Request) {
	node, first := e.chooseAllocator(now, r)
	relies := node != "" && !first && e.limits.reliance.Ask(now, r.Replica, node)
	switch node {
	case "":
		e.counts.Inc(count.RateLimit, "permits_isolated")
		e.applyGrant(now, e.allocate(now, r, e.isolatedShare()))
	case e.settings.Node:
		if relies {
			e.limits.askers.Asked(now, r.Replica, node)
		}
		e.applyGrant(now, e.allocate(now, r, e.grantShare(now, r.Replica)))
	default:
		if relies {
			r.Node = e.settings.Node
		}
		e.emitRequest(r, node, false)
	}
}

// emitRequest sends a request for permits to a node.
func (e *Engine) emitRequest(r ratelimit.Request, node string, recheck bool) {
	e.emit(RequestPermits{Request: r, Node: node, Address: e.groups.addresses[node], Recheck: recheck})
}

// chooseAllocator returns the first node in the order of a replica that is not gone and responds in
// time, and whether it is the first of all. The node is empty if there is none among the first
// maxAskedNodes that are not gone. The nodes that are passed over are asked as well: their response
// shows that they can be waited for again, and what they grant late counts.
func (e *Engine) chooseAllocator(now time.Time, r ratelimit.Request) (node string, first bool) {
	asked := 0
	start := e.firstInOrder(r.Replica)
	for at := start; at.node != "" && asked < maxAskedNodes; at = e.nextInOrder(r.Replica, at) {
		if at.node == e.settings.Node {
			if e.limits.stopping {
				continue // the other nodes are about to have another allocator
			}
			return at.node, at == start
		}
		gone, _ := e.limits.health.Gone(now, at.node)
		if !gone {
			asked++
			if e.limits.health.Responsive(now, at.node) {
				return at.node, at == start
			}
		}
		e.recheckAllocator(now, at.node, r, max(ratelimit.RecheckInterval, time.Duration(e.nodeCount)*recheckTimePerNode))
	}
	return "", false
}

// recheckAllocator asks a node for permits without waiting for it, unless it did so within the
// interval.
func (e *Engine) recheckAllocator(now time.Time, node string, r ratelimit.Request, interval time.Duration) {
	if e.limits.health.RecheckDue(now, node, interval) {
		e.emitRequest(r, node, true)
	}
}

// grantShare returns the part of a replica's limit that this node may grant.
func (e *Engine) grantShare(now time.Time, replica api.ReplicaName) float64 {
	p := e.place(now, replica)
	if p.Position+p.Ended > 0 {
		e.recheckNodesBefore(now, replica)
	}
	return p.Share()
}

// isolatedShare returns the part of a limit that this node grants to itself while no allocator
// responds: an equal part of the whole limit if no node accepts calls, as no other one grants any
// of it then.
func (e *Engine) isolatedShare() float64 {
	if e.groups.count == 0 {
		return 1 / float64(e.nodeCount)
	}
	return ratelimit.IsolatedShare(e.nodeCount)
}

// allocate grants permits for a replica. Of a named limit, it grants at most the given share; of a
// cold limit, what no other node can grant at the same time.
func (e *Engine) allocate(now time.Time, r ratelimit.Request, share float64) ratelimit.Grant {
	if entry := e.registry.entries[r.Replica]; entry != nil && (r.ColdPerSecond > 0 || e.limits.limiter.Cold(r.Replica)) {
		if own := e.coldPerSecond(entry.Service); own > 0 {
			r.ColdPerSecond = own
		}
	}
	var cold ratelimit.ColdShare
	if r.ColdPerSecond > 0 && !e.limits.stopping {
		cold = e.settings.ColdBounds.Share(r.ColdPerSecond, e.limits.ranks.Of(now, r.Replica))
	}
	return e.limits.allocator.Allocate(now, r, share, cold)
}

// permitsRequested grants permits to another node.
func (e *Engine) permitsRequested(now time.Time, ev PermitsRequested) {
	e.limits.askers.Asked(now, ev.Replica, ev.Request.Node)
	share := e.grantShare(now, ev.Replica)
	g := e.allocate(now, ev.Request, share)
	e.counts.Add(count.RateLimit, "permits_granted", uint64(g.Permits))
	if share < 1 {
		e.counts.Inc(count.RateLimit, "standby_requests")
		e.counts.Add(count.RateLimit, "standby_granted", uint64(g.Permits))
	}
	e.emit(GrantPermits{Grant: g, Call: ev.Call})
}

// recheckNodesBefore asks the nodes before this one in the order for a replica whether they
// respond: another node that asks this one may be unable to reach them.
func (e *Engine) recheckNodesBefore(now time.Time, replica api.ReplicaName) {
	own := ratelimit.AllocatorHash(e.settings.Node, replica)
	before := 0
	for at := e.firstInOrder(replica); at.node != "" && at.hash < own && before < maxAskedNodes; at = e.nextInOrder(replica, at) {
		if gone, _ := e.limits.health.Gone(now, at.node); !gone {
			before++
		}
		e.recheckAllocator(now, at.node, e.limits.limiter.Query(now, replica), ratelimit.RecheckInterval)
	}
}

// permitsGranted applies a response of an allocator and resumes the parts that wait for it.
func (e *Engine) permitsGranted(now time.Time, ev PermitsGranted) {
	if e.allocatorAnswered(now, ev.Node, ev.Late); ev.Late || ev.Recheck {
		e.applyLateGrant(now, ev.Grant)
	} else {
		e.applyGrant(now, ev.Grant)
	}
	e.resumePartsOf(now, ev.Replica)
}

// allocatorAnswered records and logs that a node responds.
func (e *Engine) allocatorAnswered(now time.Time, node string, late bool) {
	if gone, _ := e.limits.health.Gone(now, node); gone {
		e.log("allocator_back", "node", node, "late", late)
	}
	e.limits.health.Answered(node, late)
}

// applyGrant adds granted permits to those of this node.
func (e *Engine) applyGrant(now time.Time, g ratelimit.Grant) {
	e.grantApplied(g.Replica, e.limits.limiter.Granted(now, g))
}

// applyLateGrant adds permits that were not waited for.
func (e *Engine) applyLateGrant(now time.Time, g ratelimit.Grant) {
	e.counts.Add(count.RateLimit, "permits_late", uint64(g.Permits))
	e.grantApplied(g.Replica, e.limits.limiter.GrantedLate(now, g))
}

func (e *Engine) grantApplied(replica api.ReplicaName, limitEnded bool) {
	if entry := e.registry.entries[replica]; entry != nil && limitEnded {
		e.rateLimitEnded(replica, entry.Service)
	}
}

// permitsDelayed handles an allocator that has not responded in time. Parts that wait for a permit
// ask the next one.
func (e *Engine) permitsDelayed(now time.Time, ev PermitsDelayed) {
	e.counts.Inc(count.RateLimit, "permits_delayed")
	e.log("permits_delayed", "node", ev.Node, "replica", ev.Replica)
	e.limits.health.Delayed(now, ev.Node)
	e.limits.limiter.Failed(ev.Replica)
	e.resumePartsOf(now, ev.Replica)
}

// permitsFailed handles an allocator that grants nothing because it cannot be asked.
func (e *Engine) permitsFailed(now time.Time, ev PermitsFailed) {
	e.counts.Inc(count.RateLimit, "permits_failed")
	e.log("permits_failed", "node", ev.Node, "replica", ev.Replica, "failure", ev.Failure, "recheck", ev.Recheck, "error", ev.Error)
	e.recordAllocatorFailure(now, ev)
	if ev.Late || ev.Recheck {
		return // nothing waits for it
	}
	e.limits.limiter.Failed(ev.Replica)
	e.resumePartsOf(now, ev.Replica)
}

// recordAllocatorFailure records what a failure shows of a node, and logs that it counts as gone.
func (e *Engine) recordAllocatorFailure(now time.Time, ev PermitsFailed) {
	before, _ := e.limits.health.Gone(now, ev.Node)
	switch ev.Failure {
	case PermitsRefused:
		e.limits.health.Refused(now, now.Add(-ev.RefusedAgo), ev.Node)
	case PermitsDeclined:
		e.allocatorAnswered(now, ev.Node, true)
		e.limits.health.Delayed(now, ev.Node)
	default:
		e.limits.health.Unanswered(now, ev.Node)
	}
	if after, certain := e.limits.health.Gone(now, ev.Node); after && !before {
		e.log("allocator_gone", "node", ev.Node, "process_ended", certain)
	}
}

// resumePartsOf resumes the parts that wait for a permit for a replica.
func (e *Engine) resumePartsOf(now time.Time, replica api.ReplicaName) {
	if entry := e.registry.entries[replica]; entry != nil {
		e.resume(now, entry.Service)
	}
}
