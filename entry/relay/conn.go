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
	// readBufferSize is enough for the header of a response and a small body.
	readBufferSize = 2 << 10
	// maxReplyBytes bounds the body of a response.
	maxReplyBytes = 16 << 20
)

var errUnsolicited = errors.New("received bytes without a pending request")

// conn is a connection to a replica. Its own goroutine reads responses; the goroutine that
// sends a request writes it.
type conn struct {
	targets *Targets
	replica api.ReplicaName
	address string
	reader  *bufio.Reader

	// Guarded by targets.mu.
	socket  net.Conn
	current *exchange
	closed  bool
	// reused is set when the connection is taken from the idle list for a request.
	reused      bool
	shortIdle   bool // idle for maxSpareIdleTime at most
	usableUntil time.Time
	idleSince   time.Time
	// writing is set while a long body is being written.
	writing bool
	// outOfSync is set after a response that does not belong to the current request: the
	// connection is not reused.
	outOfSync bool
}

// wireReply is a replica's response as it was received.
type wireReply struct {
	status int
	header http.Header
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
	c.reader = bufio.NewReaderSize(socket, readBufferSize)
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

// write sends a request. If that fails, the reading goroutine fails too and reports the
// loss.
func (c *conn) write(x *exchange) {
	if len(x.wire.body) <= asyncBodySize {
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

// readLoop reads responses until the connection ends.
func (c *conn) readLoop() {
	for {
		_, err := c.reader.Peek(1)
		answered := err == nil
		if answered {
			err = c.readResponse()
		}
		if err != nil {
			c.teardown(c.readLoss(answered))
			return
		}
	}
}

// readLoss classifies the loss of a request whose connection ended. answered says whether
// a byte of a response had been received.
func (c *conn) readLoss(answered bool) forward.Loss {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	if c.reused && !answered {
		return forward.LostStale
	}
	return forward.LostBroken
}

// readResponse reads one response and reports it. After an error, the connection must be
// closed.
func (c *conn) readResponse() error {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		c.reportStatus(response)
		return err
	case len(body) > maxReplyBytes:
		c.reportStatus(response)
		return errors.New("the response body is too long")
	case response.StatusCode < http.StatusOK:
		return nil // an interim response; the final one follows
	}
	if echoed := response.Header.Get(c.targets.headers.RequestID); echoed != "" && echoed != x.wire.id {
		c.reportStatus(response)
		c.markOutOfSync()
		return nil // the response to an earlier request
	}
	return c.completeExchange(x, response, body)
}

// reportStatus reports what the replica states about itself in a response that answers no
// attempt.
func (c *conn) reportStatus(response *http.Response) {
	s := replicaStatus(c.targets.headers, response)
	if s == (forward.ReplicaStatus{}) || response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	c.targets.sink.Post(forward.StatusReported{Replica: c.replica, Status: s})
}

func (c *conn) markOutOfSync() {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.outOfSync = true
}

// completeExchange reports a response and makes the connection idle. It returns io.EOF if
// the connection cannot be reused.
func (c *conn) completeExchange(x *exchange, response *http.Response, body []byte) error {
	reply := c.classify(response, body)
	c.targets.mu.Lock()
	pending := c.current == x
	c.current = nil
	if pending {
		delete(c.targets.attempts, x.attempt)
	}
	reusable := pending && !response.Close && !c.writing && !c.outOfSync && c.reader.Buffered() == 0
	if reusable {
		c.putIdle(idleReuseTime(response.Header))
	}
	c.targets.mu.Unlock()
	if pending {
		c.targets.sink.Post(forward.Replied{Attempt: x.attempt, Reply: reply})
	} else {
		c.reportStatus(response)
	}
	if !reusable {
		return io.EOF
	}
	return nil
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

// idleReuseTime returns how long an idle connection may be reused after a response with the
// given header.
func idleReuseTime(h http.Header) time.Duration {
	for option := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(option), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return min(time.Duration(seconds*keepAliveFraction*float64(time.Second)), maxIdleTime)
		}
	}
	return maxIdleTime
}

// classify converts a response to a reply of the kind that its status and header imply.
func (c *conn) classify(response *http.Response, body []byte) forward.Reply {
	h := response.Header
	reply := forward.Reply{
		Proof: h.Get(c.targets.headers.Proof), Body: body,
		PromisesNotRun: promisesNotRun(response.StatusCode),
		Status:         replicaStatus(c.targets.headers, response),
		Wire:           &wireReply{status: response.StatusCode, header: h},
	}
	ok := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		reply.Kind = forward.ReplyMisdirected
	case h.Get(c.targets.headers.NotRun) != "":
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

// promisesNotRun reports whether callers resend a request after this status even if it
// must not run twice.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
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
	if opened {
		c.close()
	}
	t.mu.Unlock()
	if opened {
		t.sink.Post(forward.ConnEnded{Replica: c.replica})
	}
	if x != nil {
		t.sink.Post(forward.Lost{Attempt: x.attempt, Loss: loss})
	}
}
