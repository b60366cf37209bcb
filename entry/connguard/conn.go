package connguard

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/connlimit"
)

const (
	// readAheadBytes is what net/http may read beyond the head: its buffer.
	readAheadBytes = 4 << 10
	// headLineBytes is the memory of a parsed header field beside its text.
	headLineBytes = 160
	// headCopies is the number of copies of a head in memory: the parsed one and the one that is
	// passed on.
	headCopies = 2
	// freeHeadBytes is the memory of a head that the share of each connection covers.
	freeHeadBytes = 8 << 10
	// freeWriteBytes is the part of a response that the share of each connection covers: the buffer
	// of net/http.
	freeWriteBytes = 4 << 10
	// writePieceBytes is how much is written at once, so that progress shows.
	writePieceBytes = 64 << 10
	// discardBufferBytes is the size of the buffer for what a client sends after a refusal.
	discardBufferBytes = 512
	// refusalTime bounds the writing of a refusal, and how long the connection stays open for the
	// client to read it.
	refusalTime = 500 * time.Millisecond
)

// Conn is a connection of a Guard. Reads and writes come from net/http, one of each at a time.
type Conn struct {
	net.Conn
	guard *Guard
	id    connlimit.ID

	// headBytes and headMemory are the length and the reserved memory of the head that arrives.
	// Only the reading goroutine uses them; the handler runs between two heads.
	headBytes  int
	headMemory int64
}

func (g *Guard) httpConn(socket net.Conn, id connlimit.ID) net.Conn {
	return &Conn{Conn: socket, guard: g, id: id}
}

type connKey struct{}

// ConnContext adds a connection to the context of its requests, for FromRequest.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromRequest returns the connection on which a request arrived, or nil if its server is not
// protected.
func FromRequest(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// Read implements net.Conn. It keeps the head of a request within the limits.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch c.received() {
	case connlimit.ReadingHead:
		if !c.acceptHead(p[:n]) {
			return 0, io.EOF
		}
	case connlimit.Idle, connlimit.ReadingBody, connlimit.Running, connlimit.Writing:
	}
	return n, err
}

// received records that bytes have arrived and returns the phase of the connection.
func (c *Conn) received() connlimit.Phase {
	now := time.Now()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	phase, open := c.guard.table.Phase(c.id)
	switch {
	case !open:
		return connlimit.Idle
	case phase == connlimit.Idle:
		c.headBytes, c.headMemory = 0, 0
		c.guard.table.Enter(c.id, connlimit.ReadingHead, now)
		return connlimit.ReadingHead
	}
	c.guard.table.Progress(c.id, now)
	return phase
}

// acceptHead accounts for a part of a head. It returns false after it has refused the request.
func (c *Conn) acceptHead(part []byte) bool {
	limit := c.guard.request().HeadBytes
	if limit <= 0 {
		limit = defaultHeadBytes
	}
	c.headBytes += len(part)
	if c.headBytes > limit+readAheadBytes {
		c.refuse(http.StatusRequestHeaderFieldsTooLarge, detailHeadTooLarge)
		return false
	}
	before := max(0, c.headMemory-freeHeadBytes)
	c.headMemory += int64(headCopies*len(part) + headLineBytes*bytes.Count(part, []byte("\n")))
	if after := max(0, c.headMemory-freeHeadBytes); after > before && !c.reserve(after-before) {
		c.refuse(http.StatusServiceUnavailable, detailNoMemory)
		return false
	}
	return true
}

// refuse answers a request whose head is not read to its end, and ends what the server sends. The
// connection stays open for a moment: closed with unread bytes, it would be reset and the answer
// lost.
func (c *Conn) refuse(status int, detail api.Reason) {
	c.guard.add(detail, 1)
	text, fields := http.StatusText(status), ""
	if status == http.StatusServiceUnavailable {
		fields = "Retry-After: " + RetryAfterSeconds + "\r\n"
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime)) // fails only if the connection is closed
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, text, len(text), fields, text)
	if err != nil {
		return
	}
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(refusalTime)) != nil {
		return
	}
	_, _ = io.CopyBuffer(io.Discard, onlyReader{c.Conn}, make([]byte, discardBufferBytes))
}

// onlyReader hides the other methods of a connection, so that io.CopyBuffer uses the buffer that it
// is given.
type onlyReader struct{ io.Reader }

// Write implements net.Conn. It writes long data in pieces, which show whether the client reads.
func (c *Conn) Write(p []byte) (written int, err error) {
	c.beginWrite(len(p))
	defer c.endWrite(len(p))
	for {
		piece := p[:min(len(p), writePieceBytes)]
		n, err := c.Conn.Write(piece)
		written += n
		p = p[n:]
		if err != nil || len(p) == 0 {
			return written, err
		}
		c.progress()
	}
}

// beginWrite records that a part of a response is being written, and takes its memory. The part
// begins the response unless the request is still being read.
func (c *Conn) beginWrite(length int) {
	now := time.Now()
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if phase, open := g.table.Phase(c.id); open && phase == connlimit.Running {
		g.table.Enter(c.id, connlimit.Writing, now)
	}
	g.table.Progress(c.id, now)
	if length <= freeWriteBytes {
		return
	}
	victims := g.table.Hold(c.id, int64(length), now)
	g.add(detailMemoryClosed, len(victims))
	g.closeAll(victims)
}

// endWrite gives back the memory of a part that has been written.
func (c *Conn) endWrite(length int) {
	if length <= freeWriteBytes {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Release(c.id, int64(length))
}

func (c *Conn) progress() {
	now := time.Now()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Progress(c.id, now)
}

// enter sets the phase and reports whether the connection is still open.
func (c *Conn) enter(phase connlimit.Phase) bool {
	now := time.Now()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.table.Enter(c.id, phase, now)
}

// reserve takes memory for the request and reports whether there was enough.
func (c *Conn) reserve(bytes int64) bool {
	now := time.Now()
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	victims, ok := g.table.Reserve(c.id, bytes, now)
	g.add(detailMemoryClosed, len(victims))
	g.closeAll(victims)
	return ok
}

// BeginBody records that the head of a request has been read. It returns false if the connection
// was closed meanwhile; the request must then not be passed on.
func (c *Conn) BeginBody() bool { return c == nil || c.enter(connlimit.ReadingBody) }

// BeginRun records that a request has been read as a whole and runs from now on. The connection is
// not closed until the response. The error is ErrClosed if the connection was closed meanwhile, and
// ErrTooMany if too many requests are running; the request must then not be passed on.
func (c *Conn) BeginRun() error {
	if c == nil {
		return nil
	}
	now := time.Now()
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.table.RoomToRun(c.id) {
		g.add(detailTooMany, 1)
		return ErrTooMany
	}
	if !g.table.Enter(c.id, connlimit.Running, now) {
		return ErrClosed
	}
	return nil
}

// NetConn returns the connection beneath.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends what the server sends. net/http uses it before it closes a connection with unread
// bytes.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
