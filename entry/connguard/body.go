package connguard

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// Errors of a request that must not run.
var (
	// ErrNoMemory means that the requests being read leave no memory for a body.
	ErrNoMemory = errors.New("no memory for the body")
	// ErrTooMany means that too many requests are running.
	ErrTooMany = errors.New("too many requests are running")
	// ErrClosed means that the connection was closed before its request had been read.
	ErrClosed = errors.New("the connection was closed")
)

// RetryAfterSeconds is when a client may repeat a request that was refused for lack of room. By
// then the silent connections among the others count as such.
const RetryAfterSeconds = "1"

const (
	// bodyCopies is the number of copies of a body in memory while it is read: io.ReadAll collects
	// pieces and then joins them.
	bodyCopies = 2
	// jsonObjectBytes is the memory of a decoded JSON object without its text. An empty object in
	// an array has three bytes of text.
	jsonObjectBytes = 128
	// largeBodyBytes is how much of a body is read before it counts as large. The receive buffer
	// is then enlarged: with the usual one, a distant client would need many round trips.
	largeBodyBytes = 8 << 10
	// reserveStepBytes is how much memory is reserved at a time for a large body.
	reserveStepBytes = 32 << 10
)

// Cost returns the memory that a part of a body takes until the response.
type Cost func(part []byte) int64

// BytesCost is the Cost of a body that is kept as it is.
func BytesCost(part []byte) int64 { return bodyCopies * int64(len(part)) }

// JSONCost is the Cost of a body that is decoded.
func JSONCost(part []byte) int64 {
	return BytesCost(part) + jsonObjectBytes*int64(bytes.Count(part, []byte("{")))
}

// ReadBody reads the body of a request whose head has been read, at most limit bytes and one more,
// and keeps its memory reserved until the response.
func (c *Conn) ReadBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.body(r.Body, BytesCost), limit+1))
	if err == nil {
		c.shrink(int64(len(body)))
	}
	return body, err
}

// body returns a reader that reserves memory for what it reads. Its error is ErrNoMemory if there
// is none.
func (c *Conn) body(body io.Reader, cost Cost) io.Reader {
	if c == nil {
		return body
	}
	return &bodyReader{source: body, conn: c, cost: cost}
}

// bodyReader reserves memory for the body that it reads.
type bodyReader struct {
	source io.Reader
	conn   *Conn
	cost   Cost
	// read is the length so far, needed the memory for it, of which reserved has been taken.
	read, needed, reserved int64
	// large is set once the body counts as large, grown if the receive buffer was enlarged.
	large, grown bool
}

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	b.read += int64(n)
	b.needed += b.cost(p[:n])
	if !b.large && b.read >= largeBodyBytes && err == nil {
		b.large = true
		b.grown = b.conn.growBuffer()
	}
	if b.grown && err != nil {
		b.conn.resetBuffer()
	}
	if !b.reserve() {
		b.conn.guard.add(detailNoMemory, 1)
		return 0, ErrNoMemory
	}
	return n, err
}

// reserve takes memory for what has been read and reports whether there was enough.
func (b *bodyReader) reserve() bool {
	missing := b.needed - b.reserved
	if missing <= 0 {
		return true
	}
	if b.large {
		missing = max(missing, reserveStepBytes)
	}
	if !b.conn.reserve(missing) {
		return false
	}
	b.reserved += missing
	return true
}

// shrink gives back the memory beyond that of the head and a body of a length.
func (c *Conn) shrink(bodyBytes int64) {
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Shrink(c.id, max(0, c.headMemory-freeHeadBytes)+bodyBytes)
}

// Handler returns a handler that reports to the guard what each request does: it is read until the
// end of its body, and then runs until the first byte of the response. cost is that of the bodies.
func Handler(next http.Handler, cost Cost) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromRequest(r)
		if !c.BeginBody() {
			panic(http.ErrAbortHandler) // the client would get no response
		}
		if c != nil && r.Body != nil && r.Body != http.NoBody {
			r.Body = &runAtEOF{ReadCloser: r.Body, reader: c.body(r.Body, cost), conn: c}
			next.ServeHTTP(w, r)
			return
		}
		switch err := c.BeginRun(); err {
		case nil:
			next.ServeHTTP(w, r)
		case ErrTooMany:
			w.Header().Set("Retry-After", RetryAfterSeconds)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			panic(http.ErrAbortHandler)
		}
	})
}

// runAtEOF is a body at whose end its request counts as running.
type runAtEOF struct {
	io.ReadCloser
	reader io.Reader
	conn   *Conn
	// ended is set once the request counts as running.
	ended bool
}

func (b *runAtEOF) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != io.EOF || b.ended {
		return n, err
	}
	if err := b.conn.BeginRun(); err != nil {
		return 0, err
	}
	b.ended = true
	return n, io.EOF
}
