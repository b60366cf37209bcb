package connguard

import (
	"context"
	"net"
	"syscall"

	"github.com/baobabsail/baobabsail/core/connlimit"
)

// largeBufferBytes is the receive buffer of a connection on which a large body arrives.
const largeBufferBytes = 64 << 10

// growBuffer enlarges the receive buffer, if there is memory for it, and reports whether it did.
func (c *Conn) growBuffer() bool {
	return c.reserve(2*largeBufferBytes) && c.setBuffer(largeBufferBytes) == nil
}

// resetBuffer restores the usual receive buffer.
func (c *Conn) resetBuffer() {
	_ = c.setBuffer(connlimit.SocketBufferBytes) // fails only if the connection is closed
}

func (c *Conn) setBuffer(bytes int) error {
	if socket, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		return socket.SetReadBuffer(bytes)
	}
	return nil
}

// Listen listens on a TCP address for HTTP clients. The kernel holds at most a few bytes of each
// connection, also before it is accepted.
func Listen(address string) (net.Listener, error) {
	return listen(address, syscall.SO_RCVBUF, syscall.SO_SNDBUF)
}

// ListenForPeers listens on a TCP address for other nodes, to which long messages are sent.
func ListenForPeers(address string) (net.Listener, error) { return listen(address, syscall.SO_RCVBUF) }

// listen listens on a TCP address and sets the sizes of some buffers of its connections.
func listen(address string, buffers ...int) (net.Listener, error) {
	c := net.ListenConfig{Control: LimitBuffers(buffers...)}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err == nil {
		limitBacklog(l)
	}
	return l, err
}

// LimitBuffers returns a Control function for a listener or dialer that sets the sizes of some
// buffers, which are socket options, to connlimit.SocketBufferBytes.
func LimitBuffers(options ...int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		// A kernel without the options holds more; connections are served all the same.
		return raw.Control(func(fd uintptr) {
			for _, option := range options {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, connlimit.SocketBufferBytes)
			}
		})
	}
}

// limitBacklog bounds the connections that wait to be accepted. The kernel receives on these too,
// and net allows as many as the kernel does: thousands.
func limitBacklog(l net.Listener) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	// A kernel that refuses keeps the backlog that it has.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), connlimit.AcceptBacklog) })
}
