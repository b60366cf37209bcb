// Package crowd simulates many clients that misuse their connections to a server on loopback, and
// measures what the server's process holds meanwhile.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// maxConnections is how many connections a client opens, one after the other, when the
	// server closes them.
	maxConnections = 20
	// reconnectPause is the time before a client opens its next connection.
	reconnectPause = 250 * time.Millisecond
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
)

// Client describes what each client of a crowd does with a connection.
type Client struct {
	// Send writes what the client sends. The connection stays open afterwards.
	Send func(conn net.Conn) error
	// IgnoresResponses makes the client read nothing.
	IgnoresResponses bool
}

// Crowd is a number of clients of one kind. Each of them keeps a connection open until Stop.
type Crowd struct {
	address string
	client  Client
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup
	// ready counts the clients that have not yet sent everything once.
	ready sync.WaitGroup
}

// Start starts size clients of the server at an address.
func Start(address string, size int, client Client) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{address: address, client: client, ctx: ctx, cancel: cancel}
	c.ready.Add(size)
	for range size {
		c.group.Go(c.run)
	}
	return c
}

// WaitSent waits until each client has sent all it has to send, or has failed to, once; at most
// until the limit has passed.
func (c *Crowd) WaitSent(limit time.Duration) {
	sent := make(chan struct{})
	go func() {
		c.ready.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-time.After(limit):
	}
}

// Stop closes all connections and waits for the clients to end.
func (c *Crowd) Stop() {
	c.cancel()
	c.group.Wait()
}

// run is one client.
func (c *Crowd) run() {
	once := sync.OnceFunc(c.ready.Done)
	defer once()
	for range maxConnections {
		c.connect(once)
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(reconnectPause):
		}
	}
}

// connect opens a connection, sends on it and keeps it open until the server closes it. sent is
// called when everything was sent or could not be.
func (c *Crowd) connect(sent func()) {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		sent()
		return
	}
	defer context.AfterFunc(c.ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	ended := make(chan struct{})
	if !c.client.IgnoresResponses {
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn) // ends with the connection
		}()
	}
	err = c.client.Send(conn)
	sent()
	if err != nil {
		return
	}
	select {
	case <-ended:
	case <-c.ctx.Done():
	}
}
