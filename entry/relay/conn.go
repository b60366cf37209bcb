package relay

import (
	"bufio"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
)

const (
	// readBufferSize is enough for the header of a response and a small body.
	readBufferSize = 2 << 10
)

// conn is a connection to a replica. Its own goroutine reads responses; the goroutine that
// sends a request writes it.
type conn struct {
	targets *Targets
	replica api.ReplicaName
	address string
	reader  *bufio.Reader
	// source bounds what reader reads: the heads of the responses to the current request.
	// While a body is read, bodyBytesLeft bounds it and framedBytesLeft bounds it with its
	// framing. Only the reading goroutine uses these fields.
	source                         *boundedReader
	bodyBytesLeft, framedBytesLeft int64

	// Guarded by targets.mu.
	socket  net.Conn
	current *exchange
	closed  bool
	// reused is set when the connection is taken from the idle list for a request.
	reused      bool
	shortIdle   bool // idle for maxSpareIdleTime at most
	usableUntil time.Time
	idleSince   time.Time
	// writing is set while a goroutine writes a part of a request.
	writing bool
	// outOfSync is set after a response that does not belong to the current request: the
	// connection is not reused.
	outOfSync bool
}

// open dials the replica, sends the first request and reads responses.
func (c *conn) open() {
	socket, err := dial(c.address, dialTimeout)
	if err != nil {
		c.teardown(dialLoss(err))
		return
	}
	c.serve(socket)
}

// check dials the replica without a request and reports whether it accepted the
// connection, which is kept for the next request.
func (c *conn) check() {
	socket, err := dial(c.address, checkTimeout)
	c.targets.sink.Post(forward.ReplicaChecked{Replica: c.replica, Result: checkResult(err)})
	if err == nil {
		c.serve(socket)
	}
}

// serve sends the first request, if there is one, and reads responses until the connection
// ends.
func (c *conn) serve(socket net.Conn) {
	c.source = &boundedReader{source: socket, head: c.targets.replies.Reservation()}
	c.resetBounds()
	c.reader = bufio.NewReaderSize(c.source, readBufferSize)
	c.targets.mu.Lock()
	c.socket = socket
	x := c.current
	opened := forward.ConnOpened{Replica: c.replica}
	if x == nil {
		c.putIdle(maxIdleTime)
	} else {
		opened.Attempt = x.attempt
	}
	c.targets.mu.Unlock()
	c.targets.sink.Post(opened)
	if x != nil && !c.waitAccepted() {
		c.teardown(forward.LostLimited)
		return
	}
	if x != nil {
		c.write(x)
	}
	c.readLoop()
}

// waitAccepted waits briefly to see whether the replica closes the new connection at once
// because it has too many. The request is then known not to have run. A replica spends
// longer than this on a new connection, so the wait costs no time.
func (c *conn) waitAccepted() bool {
	if err := c.socket.SetReadDeadline(time.Now().Add(c.targets.acceptWait)); err != nil {
		return false // the connection has ended
	}
	_, err := c.reader.Peek(1)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.socket.SetReadDeadline(time.Time{}) == nil
}

// write sends a request. It does not wait for the replica: what the socket does not take at once
// is written by a goroutine. If writing fails, the reading goroutine fails too and reports the
// loss.
func (c *conn) write(x *exchange) {
	rest := [][]byte{x.head, x.wire.body}
	if len(x.wire.body) <= asyncBodySize {
		data := append(x.head, x.wire.body...)
		n, err := writeNow(c.socket, data)
		if err != nil {
			c.abort()
			return
		}
		if n == len(data) {
			return
		}
		rest = [][]byte{data[n:]}
	}
	c.targets.mu.Lock()
	c.writing = true
	c.targets.mu.Unlock()
	go c.writeRest(rest)
}

// writeRest writes the rest of a request and ends the connection if that fails.
func (c *conn) writeRest(rest [][]byte) {
	var err error
	for _, data := range rest {
		if _, err = c.socket.Write(data); err != nil {
			break
		}
	}
	c.targets.mu.Lock()
	c.writing = false
	c.targets.mu.Unlock()
	if err != nil {
		c.abort()
	}
}

// abort closes the connection, which makes its goroutine end.
func (c *conn) abort() {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.close()
}

// close closes the socket unless it is closed already. The caller must hold targets.mu.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	_ = c.socket.Close() // nothing depends on the last bytes
}

// putIdle adds the connection to the idle list, for reuse until maxIdle has passed.
// The caller must hold targets.mu.
func (c *conn) putIdle(maxIdle time.Duration) {
	if c.shortIdle {
		maxIdle = min(maxIdle, maxSpareIdleTime)
	}
	c.idleSince = time.Now()
	c.usableUntil = c.idleSince.Add(maxIdle)
	c.targets.idle[c.replica] = append(c.targets.idle[c.replica], c)
}

// teardown removes the connection and reports the loss of the request on it, if any.
func (c *conn) teardown(loss forward.Loss) {
	t := c.targets
	t.mu.Lock()
	x := c.current
	c.current = nil
	if x != nil {
		delete(t.attempts, x.attempt)
	}
	t.idle[c.replica] = slices.DeleteFunc(t.idle[c.replica], func(other *conn) bool { return other == c })
	if len(t.idle[c.replica]) == 0 {
		delete(t.idle, c.replica)
	}
	opened := c.socket != nil
	byReplica := !c.closed && loss != forward.LostLimited
	if opened {
		c.close()
	}
	t.mu.Unlock()
	if opened {
		t.sink.Post(forward.ConnEnded{Replica: c.replica, ByReplica: byReplica})
	}
	if x != nil {
		t.sink.Post(forward.Lost{Attempt: x.attempt, Loss: loss})
	}
}
