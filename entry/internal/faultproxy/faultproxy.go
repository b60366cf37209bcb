// Package faultproxy is a TCP proxy for tests whose connections can become silent or slow while TCP
// goes on acknowledging their data.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what happens to the data of a connection.
type Fault struct {
	// DropTowards drops the data of the client, DropFrom that of the server.
	DropTowards, DropFrom bool
	// Delay is how long each chunk of data takes longer in either direction.
	Delay time.Duration
}

// Proxy forwards connections to a server.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links []*link
}

// link is one connection through a proxy.
type link struct {
	mu    sync.Mutex
	fault Fault
}

// New starts a proxy on a free port of the loopback interface.
func New(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target}
	go p.serve()
	return p, nil
}

// Address returns the address of the proxy, as IP:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the acceptance of connections. Those that are open stay.
func (p *Proxy) Close() { _ = p.listener.Close() } // fails only if it is closed already

// Inject sets the fault of the connections that are open now. Those that are opened later have
// none.
func (p *Proxy) Inject(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.mu.Lock()
		l.fault = f
		l.mu.Unlock()
	}
}

// Accepted returns the number of connections that were accepted so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close() // the server has ended
		return
	}
	l := &link{}
	p.mu.Lock()
	p.links = append(p.links, l)
	p.mu.Unlock()
	go l.copy(server, client, func(f Fault) bool { return f.DropTowards })
	l.copy(client, server, func(f Fault) bool { return f.DropFrom })
}

// copy forwards data until one side closes, and then closes both.
func (l *link) copy(to, from net.Conn, drops func(Fault) bool) {
	defer func() { _, _ = to.Close(), from.Close() }() // the other direction may have closed them
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		fault := l.fault
		l.mu.Unlock()
		if drops(fault) {
			_, _ = io.Copy(io.Discard, from) // until the sender closes it
			return
		}
		time.Sleep(fault.Delay)
		if _, werr := to.Write(buffer[:n]); err != nil || werr != nil {
			return
		}
	}
}
