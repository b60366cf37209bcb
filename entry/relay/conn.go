package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
)

const (
	// readBuffer holds the header of an answer and a small body.
	readBuffer = 2 << 10
	// replyBytes bounds the body of an answer.
	replyBytes = 16 << 20
)

var errUnsolicited = errors.New("bytes without a request")

// conn is a connection to a replica. Its goroutine reads; requests are written
// by whoever sends them. The fields below mu of Targets belong to it.
type conn struct {
	targets *Targets
	replica api.ReplicaName
	address string
	reader  *bufio.Reader

	// Guarded by targets.mu.
	socket  net.Conn
	current *exchange
	closed  bool
	// reused is set once a second request is sent.
	reused      bool
	brief       bool // not to be kept long
	usableUntil time.Time
	idleSince   time.Time
	// writing is set while a long body is being written.
	writing bool
	// stray is set once bytes came that belong to no request: the connection is
	// not used again.
	stray bool
}

// wireReply is a replica's answer as it was received.
type wireReply struct {
	status int
	header http.Header
}

// open connects and serves the first request.
func (c *conn) open() {
	socket, err := dial(c.address, dialTimeout)
	if err != nil {
		c.end(lossOf(err))
		return
	}
	c.serve(socket)
}

// check connects without a request and reports whether the replica accepted. The
// connection is kept for the next request.
func (c *conn) check() {
	socket, err := dial(c.address, checkTimeout)
	c.targets.poster.Post(forward.ReplicaChecked{Replica: c.replica, Result: checkResult(err)})
	if err == nil {
		c.serve(socket)
	}
}

// serve carries requests on an open connection until it ends.
func (c *conn) serve(socket net.Conn) {
	c.reader = bufio.NewReaderSize(socket, readBuffer)
	c.targets.mu.Lock()
	c.socket = socket
	x := c.current
	opened := forward.ConnOpened{Replica: c.replica}
	if x == nil {
		c.keep(idleMost)
	} else {
		opened.Attempt = x.attempt
	}
	c.targets.mu.Unlock()
	c.targets.poster.Post(opened)
	if x != nil && !c.accepted() {
		c.end(forward.LostLimited)
		return
	}
	if x != nil {
		c.write(x)
	}
	c.read()
}

// accepted waits a moment to see whether the replica ends the new connection at
// once because it has too many. The request is then known not to have run. The
// replica spends longer on a new connection, so that no time is lost.
func (c *conn) accepted() bool {
	if err := c.socket.SetReadDeadline(time.Now().Add(c.targets.acceptWait)); err != nil {
		return false // the connection has ended
	}
	_, err := c.reader.Peek(1)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return c.socket.SetReadDeadline(time.Time{}) == nil
}

// write sends a request. A failure shows at the reading side as well, which
// reports it.
func (c *conn) write(x *exchange) {
	if len(x.wire.body) <= bodyAside {
		if _, err := c.socket.Write(append(x.head, x.wire.body...)); err != nil {
			c.abort()
		}
		return
	}
	c.targets.mu.Lock()
	c.writing = true
	c.targets.mu.Unlock()
	go func() {
		_, err := c.socket.Write(x.head)
		if err == nil {
			_, err = c.socket.Write(x.wire.body)
		}
		c.targets.mu.Lock()
		c.writing = false
		c.targets.mu.Unlock()
		if err != nil {
			c.abort()
		}
	}()
}

// abort closes the connection, which ends its goroutine.
func (c *conn) abort() {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.close()
}

// close is called with mu held.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	_ = c.socket.Close() // nothing depends on the last bytes
}

// read handles answers until the connection ends.
func (c *conn) read() {
	for {
		_, err := c.reader.Peek(1)
		answered := err == nil
		if answered {
			err = c.answer()
		}
		if err != nil {
			c.end(c.lossOf(answered))
			return
		}
	}
}

// lossOf says what the end of the connection means for a request on it.
func (c *conn) lossOf(answered bool) forward.Loss {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	if c.reused && !answered {
		return forward.LostStale
	}
	return forward.LostBroken
}

// answer reads one answer and reports it. An error ends the connection.
func (c *conn) answer() error {
	c.targets.mu.Lock()
	x := c.current
	c.targets.mu.Unlock()
	if x == nil {
		return errUnsolicited
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: x.wire.method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, replyBytes+1))
	switch {
	case err != nil:
		return err
	case len(body) > replyBytes:
		return errors.New("answer too long")
	case response.StatusCode < http.StatusOK:
		return nil // an interim answer; the final one follows
	}
	if echoed := response.Header.Get(c.targets.names.RequestID); echoed != "" && echoed != x.wire.id {
		c.markStray()
		return nil // belongs to an earlier request
	}
	return c.report(x, response, body)
}

func (c *conn) markStray() {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.stray = true
}

// report passes an answer on and makes the connection idle, or closes it.
func (c *conn) report(x *exchange, response *http.Response, body []byte) error {
	reply := c.classify(response, body)
	c.targets.mu.Lock()
	wanted := c.current == x
	c.current = nil
	if wanted {
		delete(c.targets.attempts, x.attempt)
	}
	reusable := wanted && !response.Close && !c.writing && !c.stray && c.reader.Buffered() == 0
	if reusable {
		c.keep(keepTime(response.Header))
	}
	c.targets.mu.Unlock()
	if wanted {
		c.targets.poster.Post(forward.Replied{Attempt: x.attempt, Reply: reply})
	}
	if !reusable {
		return io.EOF
	}
	return nil
}

// keep makes the connection idle. It is called with mu held.
func (c *conn) keep(most time.Duration) {
	if c.brief {
		most = min(most, spareIdle)
	}
	c.idleSince = time.Now()
	c.usableUntil = c.idleSince.Add(most)
	c.targets.idle[c.replica] = append(c.targets.idle[c.replica], c)
}

// keepTime returns how long an idle connection may be used again.
func keepTime(h http.Header) time.Duration {
	for option := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(option), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return min(time.Duration(seconds*idleShare*float64(time.Second)), idleMost)
		}
	}
	return idleMost
}

// classify says what an answer means.
func (c *conn) classify(response *http.Response, body []byte) forward.Reply {
	h := response.Header
	reply := forward.Reply{
		Proof: h.Get(c.targets.names.Proof), Body: body,
		PromisesNotRun: promisesNotRun(response.StatusCode),
		Wire:           &wireReply{status: response.StatusCode, header: h},
	}
	ok := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		reply.Kind = forward.ReplyMisdirected
	case h.Get(c.targets.names.NotRun) != "":
		reply.Kind = forward.ReplyRefused
	case ok && (reply.Proof == "" || h.Get("Content-Encoding") != ""):
		reply.Kind = forward.ReplyInvalid
	case ok:
		reply.Kind = forward.ReplyOK
	default:
		reply.Kind = forward.ReplyError
	}
	return reply
}

// promisesNotRun reports whether callers send a request with this status again
// even if it must not run twice.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// end removes the connection and reports the request that was on it.
func (c *conn) end(loss forward.Loss) {
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
	if opened {
		c.close()
	}
	t.mu.Unlock()
	if opened {
		t.poster.Post(forward.ConnEnded{Replica: c.replica})
	}
	if x != nil {
		t.poster.Post(forward.Lost{Attempt: x.attempt, Loss: loss})
	}
}
