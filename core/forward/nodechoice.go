package forward

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// chooseNode returns the node that runs a range, or "" for this one. A node that
// failed before is asked without a range now and then whether it is back, and
// gets one only if no other is left.
func (e *Engine) chooseNode(now time.Time, d *divided, i int) string {
	if node, ok := e.standIn(now, d, i); ok {
		return node
	}
	var suspects []api.ReplicaName
	for _, p := range e.groups.members(e.settings.DataCentre, i, len(d.ranges)) {
		if p.Node != e.settings.Node && !slices.Contains(d.ranges[i].tried, p.Node) {
			suspects = append(suspects, api.ReplicaName(p.Node))
		}
	}
	name, ok := e.groups.load.Pick(now, suspects, nil)
	if !ok {
		return ""
	}
	return string(name)
}

// standIn returns a node of a range's group that has not been asked for it and is
// not suspect: this one, one of this data centre, or else of another one. They have
// the connections and the budget for the range.
func (e *Engine) standIn(now time.Time, d *divided, i int) (node string, ok bool) {
	members := e.groups.members(e.settings.DataCentre, i, len(d.ranges))
	own := slices.ContainsFunc(members, func(p Peer) bool { return p.Node == e.settings.Node })
	if own && !slices.Contains(d.ranges[i].tried, "") {
		return "", true
	}
	if name, ok := e.pickNode(now, d, i, members); ok {
		return name, true
	}
	return e.pickNode(now, d, i, e.groups.elsewhere(e.settings.DataCentre, i, len(d.ranges)))
}

// pickNode returns one of the given nodes, without suspect ones, which get pings,
// and those that have been asked for the range.
func (e *Engine) pickNode(now time.Time, d *divided, i int, nodes []Peer) (node string, ok bool) {
	e.candidates = e.candidates[:0]
	for _, p := range nodes {
		name := api.ReplicaName(p.Node)
		switch {
		case p.Node == e.settings.Node || slices.Contains(d.ranges[i].tried, p.Node):
			// It was asked before.
		case e.groups.load.Suspect(name):
			e.pingIfDue(now, name, d, i)
		default:
			e.candidates = append(e.candidates, name)
		}
	}
	name, ok := e.groups.load.Pick(now, e.candidates, nil)
	return string(name), ok
}

// pingIfDue asks a suspect node when its next probe is due whether it can run a
// range: it may answer and still not know the shards.
func (e *Engine) pingIfDue(now time.Time, name api.ReplicaName, d *divided, i int) {
	if !e.groups.load.ProbeDue(now, name) {
		return
	}
	node := string(name)
	e.newestCall++
	e.calls[e.newestCall] = &call{id: e.newestCall, node: node, sentAt: now}
	e.groups.load.Sent(now, name)
	s := &d.ranges[i]
	e.act(CallPeer{
		Call: e.newestCall, Node: node, Address: e.groups.addresses[node], Message: &Message{}, Left: pingTime,
		Subset: Subset{Shards: d.request.route.Shards[s.from:s.to]},
	})
}

// pinged answers a ping of another node.
func (e *Engine) pinged(now time.Time, ev Arrived) {
	reason := api.ReasonNone
	if !e.knows(ev.Subset) {
		reason = api.ReasonWrongEpoch
	}
	e.deliver(now, Answer{Request: ev.Request, Outcome: api.Answered, Reason: reason})
}

// pingEnded takes note of the end of a ping: whether the node can run the range.
func (e *Engine) pingEnded(now time.Time, c *call, able bool) {
	delete(e.calls, c.id)
	if !able {
		e.groups.load.Lost(now, api.ReplicaName(c.node))
		return
	}
	e.groups.load.Done(now, api.ReplicaName(c.node), api.TargetOK, now.Sub(c.sentAt), api.TargetLoad{})
	e.log("node_back", "node", c.node)
}
