package connguard

import (
	"net"
	"sync"

	"github.com/baobabsail/baobabsail/core/connlimit"
)

// PeerListener returns a listener for connections on which many calls are made, and of which only
// the number is bounded. For a new connection, those are closed first on which nothing has arrived,
// and then those that were used least recently.
func (g *Guard) PeerListener(l net.Listener) net.Listener {
	return &listener{Listener: l, guard: g, wrap: func(socket net.Conn, id connlimit.ID) net.Conn {
		return &peerConn{Conn: socket, guard: g, id: id}
	}}
}

// peerConn is a connection of a PeerListener.
type peerConn struct {
	net.Conn
	guard *Guard
	id    connlimit.ID
	ended sync.Once
}

// Read implements net.Conn.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.guard.usePeer(c.id)
	}
	return n, err
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.ended.Do(func() { c.guard.remove(c.id) })
	return c.Conn.Close()
}
