package node

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// timer wakes one request or, if replica is set, the requests that wait for that
// replica.
type timer struct {
	request api.RequestID
	replica api.ReplicaName
}

// runTimers handles the timers that are due.
func (n *Node) runTimers(now time.Time) {
	for {
		t, ok := n.timers.PopDue(now)
		if !ok {
			return
		}
		if t.replica != "" {
			n.resumeWaiting(now, t.replica)
			continue
		}
		if s := n.searches[t.request]; s != nil {
			n.wakeSearch(now, s)
		}
		if w := n.works[t.request]; w != nil {
			n.wakeWork(now, w)
		}
	}
}
