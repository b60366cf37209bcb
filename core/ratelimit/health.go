package ratelimit

import "time"

const (
	// delayedTime is how long a node is not waited for that did not respond in time.
	delayedTime = 2 * time.Second
	// RecheckInterval is the least time between two requests to a node that is not waited for.
	RecheckInterval = 500 * time.Millisecond
	// goneAfter is the number of requests in a row without any response after which a node counts
	// as gone. The first of them makes this node open a new connection, so that a connection that
	// has gone silent does not look like a node that is gone.
	goneAfter = 2
	// refusedTime is how long a refused connection shows that no process of a node grants permits. A
	// process that has started since then still grants startShare of its rate, so that the node
	// which grants in its place stays within the bound with it.
	refusedTime = startTime
)

// Health holds what the responses to this node's requests for permits show of the other nodes. The
// list of nodes is no substitute: it names a node that lost power for another minute.
type Health struct {
	nodes map[string]*nodeHealth
}

// nodeHealth is what is known of a node that did not respond as it should.
type nodeHealth struct {
	// delayedUntil is the time until which the node is not waited for.
	delayedUntil time.Time
	// unanswered counts the requests in a row without any response.
	unanswered int
	// refusedAt is when the address of the node refused a connection; zero if it did not since the
	// last response.
	refusedAt time.Time
	// recheckedAt is when the node was last asked without waiting for it.
	recheckedAt time.Time
}

// NewHealth returns a Health that knows of no failure.
func NewHealth() *Health { return &Health{nodes: make(map[string]*nodeHealth)} }

// of returns the entry of a node, which it creates if there is none.
func (h *Health) of(node string) *nodeHealth {
	n := h.nodes[node]
	if n == nil {
		n = &nodeHealth{}
		h.nodes[node] = n
	}
	return n
}

// Delayed records that a node has not responded in time. It may still respond.
func (h *Health) Delayed(now time.Time, node string) { h.of(node).delayedUntil = now.Add(delayedTime) }

// Unanswered records that a request got no response at all. The address may refuse connections no
// more: a new process may be there that this node cannot reach.
func (h *Health) Unanswered(now time.Time, node string) {
	h.Delayed(now, node)
	n := h.of(node)
	n.unanswered++
	n.refusedAt = time.Time{}
}

// Refused records that no process listened at the address of a node at a time in the past.
func (h *Health) Refused(now, at time.Time, node string) {
	h.Delayed(now, node)
	h.of(node).refusedAt = at
}

// Answered records a response of a node. After a late one, the node is still not waited for.
func (h *Health) Answered(node string, late bool) {
	n := h.nodes[node]
	if n == nil {
		return
	}
	n.unanswered, n.refusedAt = 0, time.Time{}
	if !late {
		n.delayedUntil = time.Time{}
	}
}

// Responsive reports whether a node may be waited for.
func (h *Health) Responsive(now time.Time, node string) bool {
	n := h.nodes[node]
	return n == nil || !now.Before(n.delayedUntil)
}

// Gone reports whether a node counts as gone, so that the nodes after it grant permits in its
// place. certain is set if its process had ended a short time ago; otherwise the node may only be
// cut off from this one, and still grant permits to others.
func (h *Health) Gone(now time.Time, node string) (gone, certain bool) {
	n := h.nodes[node]
	if n == nil {
		return false, false
	}
	refused := !n.refusedAt.IsZero()
	return refused || n.unanswered >= goneAfter, refused && now.Sub(n.refusedAt) < refusedTime
}

// RecheckDue reports whether a node was not asked for an interval without waiting for it, and records
// that it is asked now.
func (h *Health) RecheckDue(now time.Time, node string, interval time.Duration) bool {
	n := h.of(node)
	if now.Sub(n.recheckedAt) < interval {
		return false
	}
	n.recheckedAt = now
	return true
}

// Retain forgets the nodes that are not listed.
func (h *Health) Retain(listed func(node string) bool) {
	for node := range h.nodes {
		if !listed(node) {
			delete(h.nodes, node)
		}
	}
}
