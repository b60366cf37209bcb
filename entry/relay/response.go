package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/records"
	"github.com/baobabsail/baobabsail/entry/internal/membudget"
)

const (
	// maxHeadBytes bounds the heads of all responses to one request, interim ones included.
	maxHeadBytes = 64 << 10
	// maxProofBytes bounds the proof of a part of a search, which is kept until the others are
	// there. Proofs have some dozens of bytes.
	maxProofBytes = 1 << 10
	// maxReplyBytes bounds the bodies of all responses to one request.
	maxReplyBytes = 16 << 20
	// maxFramedBytes bounds those bodies with their framing, which for small chunks takes more
	// than the bodies.
	maxFramedBytes = 2 * maxReplyBytes
)

var (
	errUnsolicited   = errors.New("received bytes without a pending request")
	errInvalidStatus = errors.New("received a response with an invalid status")
)

// maxStatus is the greatest status of RFC 9110, section 15.
const maxStatus = 599

// statusKind says what a status means for the reader of a connection.
type statusKind int

const (
	// invalidStatus: the bytes are no response to a request of ours. What follows cannot be told
	// apart from a response.
	invalidStatus statusKind = iota
	// interimStatus: the response has no body, and another one follows.
	interimStatus
	finalStatus
)

// kindOfStatus classifies a status. A switch of protocols is invalid, since no request asks for it.
func kindOfStatus(status int) statusKind {
	switch {
	case status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
		return invalidStatus
	case status < http.StatusOK:
		return interimStatus
	}
	return finalStatus
}

// wireReply is a replica's response as it was received.
type wireReply struct {
	status int
	header http.Header // nil in a part of a search
	// memory is what the response takes from the budget; nil if it is small.
	memory *membudget.Reservation
}

// newWireReply returns a response that holds the given memory until done is called or it is garbage.
func newWireReply(status int, header http.Header, memory *membudget.Reservation) *wireReply {
	w := &wireReply{status: status, header: header}
	if memory.Bytes() > 0 {
		w.memory = memory
		membudget.ReleaseWith(w, memory)
	}
	return w
}

// done releases the memory of a response that is no longer needed.
func (w *wireReply) done() {
	if w.memory != nil {
		w.memory.Release()
	}
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
			c.teardown(c.readLoss(answered, err))
			return
		}
	}
}

// readLoss classifies the loss of a request whose connection ended. answered says whether
// a byte of a response had been received.
func (c *conn) readLoss(answered bool, err error) forward.Loss {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	switch {
	case errors.Is(err, errResponseTooLarge) || c.source.left <= 0:
		// The parser of the head replaces some errors of its reader.
		return forward.LostOversized
	case c.reused && !answered:
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
	c.source.beginHead()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: x.wire.method})
	c.source.endHead()
	if err != nil {
		return err
	}
	switch kindOfStatus(response.StatusCode) {
	case invalidStatus:
		return errInvalidStatus
	case interimStatus:
		return nil // the final response follows
	case finalStatus:
	}
	body, memory, err := c.readBody(x, response)
	if err != nil {
		c.reportStatus(response)
		return err
	}
	if echoed := response.Header.Get(c.targets.headers.RequestID); echoed != "" && echoed != x.wire.id {
		c.reportStatus(response)
		c.markOutOfSync()
		memory.Release()
		return nil // the response to an earlier request
	}
	return c.completeExchange(x, response, body, memory)
}

// readBody reads the body of a response. Of a part of a search, it keeps only the records that are
// merged. The memory of a long response stays reserved.
func (c *conn) readBody(x *exchange, response *http.Response) ([]byte, *membudget.Reservation, error) {
	headBytesLeft := c.source.left
	c.source.left = c.framedBytesLeft
	body, length, memory, err := c.readBodyBytes(x, response)
	c.bodyBytesLeft -= length
	c.framedBytesLeft = c.source.left
	if err == nil {
		c.source.left = headBytesLeft
	}
	return body, memory, err
}

// readBodyBytes reads the bytes of a body and returns how many there were, and the reservation for
// those that are kept.
func (c *conn) readBodyBytes(x *exchange, response *http.Response) (body []byte, length int64, memory *membudget.Reservation, err error) {
	if records.Selectable(x.merge) {
		body, length, err = readRecords(c.targets.replies, response.Body, x.merge, c.bodyBytesLeft)
		return body, length, c.targets.replies.Reservation(), err
	}
	body, memory, err = readAll(c.targets.replies, response.Body, c.bodyBytesLeft)
	length = int64(len(body))
	if header := headerMemory(response.Header); err == nil && !x.part && header > freeReplyBytes {
		if !memory.Resize(memory.Bytes() + header) {
			memory.Release()
			err = errResponseTooLarge
		}
	}
	return body, length, memory, err
}

// resetBounds allows the connection to read the responses to the next request.
func (c *conn) resetBounds() {
	c.source.left, c.bodyBytesLeft, c.framedBytesLeft = maxHeadBytes, maxReplyBytes, maxFramedBytes
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
func (c *conn) completeExchange(x *exchange, response *http.Response, body []byte, memory *membudget.Reservation) error {
	reply := c.classify(x, response, body, memory)
	c.resetBounds()
	// A replica may answer before it has read a long body. The next request would wait behind
	// the rest of it.
	read := len(x.wire.body) <= asyncBodySize || delivered(c.socket)
	c.targets.mu.Lock()
	pending := c.current == x
	c.current = nil
	if pending {
		delete(c.targets.attempts, x.attempt)
	}
	reusable := pending && !response.Close && !c.writing && read && !c.outOfSync && c.reader.Buffered() == 0
	if reusable {
		c.putIdle(idleReuseTime(response.Header))
	}
	c.targets.mu.Unlock()
	if pending {
		status := replicaStatus(c.targets.headers, response)
		c.targets.sink.Post(forward.Replied{Attempt: x.attempt, Reply: reply, Status: status})
	} else {
		memory.Release()
		c.reportStatus(response)
	}
	if !reusable {
		return io.EOF
	}
	return nil
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
func (c *conn) classify(x *exchange, response *http.Response, body []byte, memory *membudget.Reservation) forward.Reply {
	h := response.Header
	kept := h
	if x.part {
		kept = nil
	}
	reply := forward.Reply{
		Proof: h.Get(c.targets.headers.Proof), Body: body,
		PromisesNotRun: promisesNotRun(response.StatusCode),
		Wire:           newWireReply(response.StatusCode, kept, memory),
	}
	ok := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case response.StatusCode == http.StatusMisdirectedRequest:
		reply.Kind = forward.ReplyMisdirected
	case h.Get(c.targets.headers.NotRun) != "":
		reply.Kind = forward.ReplyRefused
	case ok && (reply.Proof == "" || h.Get("Content-Encoding") != ""):
		reply.Kind = forward.ReplyInvalid
	case x.part && len(reply.Proof) > maxProofBytes:
		reply.Kind, reply.Proof = forward.ReplyInvalid, ""
	case ok:
		reply.Kind = forward.ReplyOK
	default:
		reply.Kind = forward.ReplyError
	}
	if x.part && reply.Kind != forward.ReplyOK {
		reply.Body = nil // it is not merged
		memory.Release()
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
