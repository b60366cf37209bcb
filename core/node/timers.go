package node

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// timer wakes one request, or the parts that wait for a replica if that is set.
type timer struct {
	request api.RequestID
	replica api.ReplicaName
}

// runTimers wakes the requests whose time has come.
func (n *Node) runTimers(now time.Time) {
	for {
		t, ok := n.timers.Due(now)
		if !ok {
			return
		}
		if t.replica != "" {
			n.resume(now, t.replica)
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
