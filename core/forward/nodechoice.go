package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// chooseNode returns the node that should run a range, or "" for this node. A node that failed
// before is pinged from time to time and gets a range only if no other node is left.
func (e *Engine) chooseNode(now time.Time, d *dividedRequest, i int) string {
	if node, ok := e.chooseHealthyNode(now, d, i); ok {
		return node
	}
	var suspects []api.ReplicaName
	for _, p := range e.groups.members(e.settings.DataCentre, i, len(d.ranges)) {
		if e.mayRunRange(d.request.homeRegions, p, d.ranges[i].tried) {
			suspects = append(suspects, api.ReplicaName(p.Node))
		}
	}
	name, ok := e.groups.balancer.Pick(now, suspects, nil)
	if !ok {
		return ""
	}
	return string(name)
}

// chooseHealthyNode returns a node of a range's group that has not been tried for the range and
// is not suspect: this node, one in the same data centre, or else one in another data centre.
// Members of the group have the connections and the budget for the range.
func (e *Engine) chooseHealthyNode(now time.Time, d *dividedRequest, i int) (node string, ok bool) {
	members := e.groups.members(e.settings.DataCentre, i, len(d.ranges))
	own := slices.ContainsFunc(members, func(p Peer) bool { return p.Node == e.settings.Node })
	if own && !slices.Contains(d.ranges[i].tried, "") {
		return "", true
	}
	if name, ok := e.pickNode(now, d, i, members); ok {
		return name, true
	}
	return e.pickNode(now, d, i, e.groups.remoteMembers(e.settings.DataCentre, i, len(d.ranges)))
}

// pickNode returns one of the given nodes that is in the request's home regions, has not been
// tried for the range and is not suspect. Suspect nodes are pinged instead.
func (e *Engine) pickNode(now time.Time, d *dividedRequest, i int, nodes []Peer) (node string, ok bool) {
	e.candidates = e.candidates[:0]
	for _, p := range nodes {
		name := api.ReplicaName(p.Node)
		switch {
		case !e.mayRunRange(d.request.homeRegions, p, d.ranges[i].tried):
		case e.groups.balancer.Suspect(name):
			e.pingIfDue(now, name, d, i)
		default:
			e.candidates = append(e.candidates, name)
		}
	}
	name, ok := e.groups.balancer.Pick(now, e.candidates, nil)
	return string(name), ok
}

// mayRunRange reports whether a range may be sent to another node: it was not tried for the range,
// the request's body does not leave its home regions, and the node neither cuts the records by its
// own configuration nor sends parts to replicas that are excluded here.
func (e *Engine) mayRunRange(allowed homeRegions, p Peer, tried []string) bool {
	if p.lacks(FeatureMergeRule) || p.lacks(FeatureExclusion) && (allowed.restricted || e.EvacuatedDataCentres() > 0) {
		return false
	}
	return p.Node != e.settings.Node && !slices.Contains(tried, p.Node) && e.mayReach(allowed, p.DataCentre)
}

// pingIfDue asks a suspect node whether it can run a range if its next probe is due. The ping
// names the shards because a node may respond without knowing them.
func (e *Engine) pingIfDue(now time.Time, name api.ReplicaName, d *dividedRequest, i int) {
	if !e.groups.balancer.ProbeDue(now, name) {
		return
	}
	node := string(name)
	e.lastCall++
	e.calls[e.lastCall] = &call{id: e.lastCall, node: node, sentAt: now}
	e.groups.balancer.Sent(now, name)
	s := &d.ranges[i]
	e.emit(CallPeer{
		Call: e.lastCall, Node: node, Address: e.groups.addresses[node], Message: &Message{}, Remaining: pingTimeout,
		Subset: Subset{Shards: d.request.route.Shards[s.from:s.to]},
	})
}

// answerPing answers a ping from another node.
func (e *Engine) answerPing(now time.Time, ev Arrived) {
	reason := api.ReasonNone
	if !e.knowsShards(ev.Subset) {
		reason = api.ReasonWrongEpoch
	}
	e.deliver(now, Answer{Request: ev.Request, Outcome: api.Answered, Reason: reason})
}

// pingEnded records the result of a ping: whether the node can run the range.
func (e *Engine) pingEnded(now time.Time, c *call, able bool) {
	delete(e.calls, c.id)
	if !able {
		e.groups.balancer.Lost(now, api.ReplicaName(c.node))
		return
	}
	e.groups.balancer.Done(now, api.ReplicaName(c.node), api.TargetOK, now.Sub(c.sentAt), api.TargetLoad{})
	e.log("node_back", "node", c.node)
}
