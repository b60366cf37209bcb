package relay

import (
	"context"
	"time"

	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/wire/convert"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

const (
	// notifyTimeout bounds the sending of notices to one node, including the opening of a
	// connection.
	notifyTimeout = time.Second
	// notifyInterval is the minimum time between two messages to one node; notices queued in
	// between are sent together.
	notifyInterval = 20 * time.Millisecond
)

// queueNotices queues notices for nodes. A goroutine for each node sends them and ends
// when none are left.
func (n *Nodes) queueNotices(a forward.SendNotices) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range a.Addresses {
		queued, sending := n.pendingNotices[address]
		queued.Notices = append(queued.Notices, a.Notices...)
		queued.PassOn = queued.PassOn || a.PassOn
		n.pendingNotices[address] = queued
		if !sending {
			go n.sendPendingNotices(address)
		}
	}
}

// sendPendingNotices sends the queued notices for one node until none are left.
func (n *Nodes) sendPendingNotices(address string) {
	for {
		n.mu.Lock()
		next := n.pendingNotices[address]
		if len(next.Notices) == 0 {
			delete(n.pendingNotices, address)
			n.mu.Unlock()
			return
		}
		n.pendingNotices[address] = forward.SendNotices{}
		n.mu.Unlock()
		if err := n.notify(address, next); err != nil {
			n.sink.Post(forward.NoticesUndelivered{Address: address, Notices: len(next.Notices), Error: err.Error()})
		}
		time.Sleep(notifyInterval)
	}
}

func (n *Nodes) notify(address string, a forward.SendNotices) error {
	conn, err := n.conns.get(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	sentAt := time.Now()
	_, err = nodepb.NewNodeClient(conn).Notify(ctx, &nodepb.Notices{Notices: convert.NoticesToProto(a.Notices), PassOn: a.PassOn})
	n.noteResponse(conn, sentAt, err)
	return err
}
