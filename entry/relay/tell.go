package relay

import (
	"context"
	"time"

	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/wire/convert"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

const (
	// tellTimeout bounds the telling of one node, the opening of a connection included.
	tellTimeout = time.Second
	// tellPause is the least time between two messages to one node; notices that come
	// meanwhile travel together.
	tellPause = 20 * time.Millisecond
)

// tell sends notices to nodes, each on a goroutine of its own that ends when there is
// nothing left to tell.
func (n *Nodes) tell(a forward.TellNodes) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range a.Addresses {
		waiting, telling := n.untold[address]
		waiting.Notices = append(waiting.Notices, a.Notices...)
		waiting.PassOn = waiting.PassOn || a.PassOn
		n.untold[address] = waiting
		if !telling {
			go n.tellAll(address)
		}
	}
}

// tellAll sends what is to be told to a node until nothing is left.
func (n *Nodes) tellAll(address string) {
	for {
		n.mu.Lock()
		next := n.untold[address]
		if len(next.Notices) == 0 {
			delete(n.untold, address)
			n.mu.Unlock()
			return
		}
		n.untold[address] = forward.TellNodes{}
		n.mu.Unlock()
		if err := n.notify(address, next); err != nil {
			n.poster.Post(forward.NotTold{Address: address, Notices: len(next.Notices), Error: err.Error()})
		}
		time.Sleep(tellPause)
	}
}

func (n *Nodes) notify(address string, a forward.TellNodes) error {
	conn, err := n.conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	_, err = nodepb.NewNodeClient(conn).Notify(ctx, &nodepb.Notices{Notices: convert.NoticesToProto(a.Notices), PassOn: a.PassOn})
	return err
}
