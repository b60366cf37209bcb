// Package endless is a stand-in for an HTTP server whose response heads have no end.
package endless

import (
	"net"
	"sync/atomic"
)

// Server sends a response head without end to each client that connects.
type Server struct {
	listener net.Listener
	sent     atomic.Int64
}

const (
	// writeBufferBytes keeps the bytes that are sent and not yet read few.
	writeBufferBytes = 16 << 10
	// maxSentBytes ends the response all the same, for clients without a bound.
	maxSentBytes = 64 << 20
)

// NewServer starts a server on a free loopback port.
func NewServer() (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: listener}
	go s.accept()
	return s, nil
}

// Address returns IP:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns the number of bytes that clients have taken, up to the buffers of the sockets.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close closes the listener. Connections end when their clients close them.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go s.send(c)
	}
}

// send writes a head until the client closes the connection.
func (s *Server) send(c net.Conn) {
	defer func() { _ = c.Close() }()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(writeBufferBytes) // only makes Sent less precise
	}
	next := []byte("HTTP/1.1 200 OK\r\n")
	for s.sent.Load() < maxSentBytes {
		n, err := c.Write(next)
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
		next = []byte("X-Line: a header line of a head without end\r\n")
	}
}
