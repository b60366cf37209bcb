package relay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/connlimit"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/entry/connguard"
	"github.com/baobabsail/baobabsail/entry/telemetry"
)

const (
	// headReserve is the space in bytes for the header fields that are added to each attempt.
	headReserve = 160
	// fieldOverhead is the number of bytes that a header field has beside its name and value.
	fieldOverhead = len(": \r\n")
	// defaultMaxBodyBytes bounds a body if the configuration sets no limit or is not known
	// yet.
	defaultMaxBodyBytes = 1 << 20
)

// wireRequest is a caller's request in the form that is sent to targets.
type wireRequest struct {
	method string
	// head is the request line and the header, without the fields that differ between attempts
	// and without the empty line at the end.
	head []byte
	// identity holds the header fields in which the caller names its account or its key. They
	// are sent to replicas only if the configuration has no accounts.
	identity []byte
	body     []byte
	id       string
}

// identifiedHead returns the header of a request, completed with the account that the engine
// determined or, if there are no accounts, with what the caller sent.
func (r *wireRequest) identifiedHead(m *forward.Message, headers Headers) []byte {
	head := make([]byte, 0, len(r.head)+len(r.identity)+headReserve)
	head = append(head, r.head...)
	switch {
	case !m.Identified:
		head = append(head, r.identity...)
	case m.Account != "":
		head = appendField(head, headers.Account, m.Account)
	}
	return head
}

// Observer records the time from the arrival of a request to its final answer.
type Observer interface {
	Latency(route, outcome string, took time.Duration)
}

// CallerServer is the HTTP/1.1 server for callers.
type CallerServer struct {
	loop     *Loop
	headers  Headers
	observer Observer
	server   *http.Server
	// guard bounds what the connections hold, and for how long.
	guard   *connguard.Guard
	closing atomic.Bool

	mu       sync.Mutex
	listener net.Listener // guarded by mu
}

// NewCallerServer returns a server for callers whose connections stay within limits. Serve starts
// it.
func NewCallerServer(loop *Loop, headers Headers, observer Observer, limits connlimit.Limits, counts *telemetry.Counts) *CallerServer {
	c := &CallerServer{loop: loop, headers: headers, observer: observer}
	c.guard = connguard.New(connguard.Config{Limits: limits, Request: c.requestLimits, Counts: counts})
	c.server = &http.Server{
		Handler:     c,
		ConnContext: callerContext,
		// Forward OPTIONS * like any other request; net/http would answer it itself.
		DisableGeneralOptionsHandler: true,
	}
	return c
}

// Serve accepts connections until Shutdown.
func (c *CallerServer) Serve(l net.Listener) error {
	c.mu.Lock()
	c.listener = l
	c.mu.Unlock()
	return c.guard.Serve(c.server, l)
}

// requestLimits returns the bounds of the current configuration for what a caller may send.
func (c *CallerServer) requestLimits() connguard.RequestLimits {
	limits := c.loop.Limits()
	if limits == nil {
		return connguard.RequestLimits{}
	}
	return connguard.RequestLimits{HeadBytes: limits.HeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// Usage returns what the connections of callers hold.
func (c *CallerServer) Usage() connguard.Usage { return c.guard.Usage() }

// CloseAfterAnswers makes the server close each connection after its next answer.
func (c *CallerServer) CloseAfterAnswers() { c.closing.Store(true) }

// ServeHTTP forwards one request.
func (c *CallerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := requestConn(r)
	if !conn.guarded.BeginBody() {
		// The connection was closed as idle while the request arrived. The caller would
		// get no answer, so the request must not be forwarded.
		panic(http.ErrAbortHandler)
	}
	if c.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	// The limits for header and body are part of the configuration.
	waited := c.loop.awaitStartup(r.Context(), c.timeLeft(r))
	body, status := c.readRequest(conn, r)
	if status != 0 {
		refuse(w, status)
		return
	}
	start := time.Now().Add(-waited)
	message := c.buildMessage(r, body)
	switch err := conn.guarded.BeginRun(); err {
	case nil:
	case connguard.ErrTooMany:
		refuse(w, http.StatusServiceUnavailable)
		return
	default:
		panic(http.ErrAbortHandler) // closed while the body arrived, as above
	}
	id, answers := c.loop.register()
	c.loop.Post(forward.Arrived{
		Request: id, Message: message, CallerTimeout: c.timeLeft(r), Transit: conn.transitTime() + waited,
	})
	select {
	case a := <-answers:
		c.writeAnswer(w, r, &a)
		if !a.TargetTime.IsZero() {
			c.loop.Post(forward.AnswerSent{Late: c.loop.now().Sub(a.TargetTime)})
		}
		c.observer.Latency(a.Route, a.Outcome.String(), time.Since(start))
	case <-r.Context().Done():
		c.loop.abandon(id)
		// Returning normally would send an empty success to a caller that has closed
		// only its own side of the connection.
		panic(http.ErrAbortHandler)
	}
}

// refuse answers a request that is not passed on and closes its connection.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", connguard.RetryAfterSeconds)
	}
	w.WriteHeader(status)
}

// readRequest returns the body of a request that is within the limits, or the HTTP status
// of the refusal.
func (c *CallerServer) readRequest(conn *callerConn, r *http.Request) ([]byte, int) {
	if limits := c.loop.Limits(); limits != nil && limits.HeaderBytes > 0 && headerSize(r) > limits.HeaderBytes {
		return nil, http.StatusRequestHeaderFieldsTooLarge
	}
	return c.readBody(conn, r)
}

// headerSize returns the length of the request URI and the header fields.
func headerSize(r *http.Request) int {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + fieldOverhead
		}
	}
	return size
}

// readBody returns the body, or the HTTP status of the refusal.
func (c *CallerServer) readBody(conn *callerConn, r *http.Request) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	limit := int64(defaultMaxBodyBytes)
	if limits := c.loop.Limits(); limits != nil && limits.BodyBytes > 0 {
		limit = limits.BodyBytes
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	body, err := conn.guarded.ReadBody(r, limit)
	switch {
	case errors.Is(err, connguard.ErrNoMemory):
		return nil, http.StatusServiceUnavailable
	case err != nil:
		return nil, http.StatusBadRequest
	case int64(len(body)) > limit:
		return nil, http.StatusRequestEntityTooLarge
	}
	return body, 0
}

// timeLeft returns how long the caller still waits, or 0 if the request does not say.
func (c *CallerServer) timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(c.headers.TimeLeft), 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// buildMessage converts a request to the message that is sent to targets.
func (c *CallerServer) buildMessage(r *http.Request, body []byte) *forward.Message {
	uri := r.RequestURI
	if strings.HasPrefix(uri, "http://") || strings.HasPrefix(uri, "https://") {
		uri = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(uri, "?")
	id := r.Header.Get(c.headers.RequestID)
	head := make([]byte, 0, 512)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, uri...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	var identity []byte
	skipped := hopByHopHeaders(r.Header)
	for name, values := range r.Header {
		if skipped[name] || name == c.headers.TimeLeft || name == c.headers.ExpectReplica {
			continue
		}
		for _, v := range values {
			if name == authorizationHeader || name == c.headers.Account {
				identity = appendField(identity, name, v)
			} else {
				head = appendField(head, name, v)
			}
		}
	}
	if len(body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head = appendField(head, "Content-Length", strconv.Itoa(len(body)))
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(r.Method + " " + r.Host + uri) // never fails
	_, _ = hash.Write(body)
	return &forward.Message{
		Host: r.Host, Path: path, CallerRequest: id, Fingerprint: api.Fingerprint(hash.Sum64()),
		Credential: bearerToken(r.Header[authorizationHeader]),
		Wire:       &wireRequest{method: r.Method, head: head, identity: identity, body: body, id: id},
	}
}

const (
	authorizationHeader = "Authorization"
	bearerScheme        = "Bearer "
)

// splitIdentity separates the fields in which a caller names its account or its key from the rest
// of a head, and returns the key.
func splitIdentity(headers Headers, head []byte) (rest, identity, credential []byte) {
	var authorization []string
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(": "))
		switch string(name) {
		case authorizationHeader:
			authorization = append(authorization, string(bytes.TrimSpace(value)))
			identity = append(identity, line...)
		case headers.Account:
			identity = append(identity, line...)
		default:
			rest = append(rest, line...)
		}
	}
	return rest, identity, bearerToken(authorization)
}

// bearerToken returns the token of the only Authorization field (RFC 6750, section 2.1), or nil
// if there is none or it has another form.
func bearerToken(fields []string) []byte {
	if len(fields) != 1 || len(fields[0]) <= len(bearerScheme) || !strings.EqualFold(fields[0][:len(bearerScheme)], bearerScheme) {
		return nil
	}
	return []byte(strings.TrimSpace(fields[0][len(bearerScheme):]))
}

func appendField(head []byte, name, value string) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

// hopByHopHeaders returns the header fields that are not forwarded: those that concern one
// connection only (RFC 9110, section 7.6.1) and those that are set anew.
func hopByHopHeaders(h http.Header) map[string]bool {
	skipped := map[string]bool{
		"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
		"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
		"Proxy-Authorization": true, "Proxy-Authenticate": true,
	}
	for _, list := range h["Connection"] {
		for option := range strings.SplitSeq(list, ",") {
			skipped[http.CanonicalHeaderKey(strings.TrimSpace(option))] = true
		}
	}
	return skipped
}

// writeAnswer sends the final answer to the caller.
func (c *CallerServer) writeAnswer(w http.ResponseWriter, r *http.Request, a *forward.Answer) {
	switch {
	case a.Merged != nil:
		c.writeMerged(w, a.Merged)
	case a.Reply != nil:
		writeReply(w, r, a.Reply)
	default:
		writeLocalReply(w, a)
	}
}

func (c *CallerServer) writeMerged(w http.ResponseWriter, m *forward.Merged) {
	h := w.Header()
	h.Set(c.headers.Proofs, strings.Join(m.Proofs, ", "))
	h.Set(c.headers.Missing, strconv.Itoa(m.Missing))
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(m.Body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(m.Body) // a caller that has disconnected is detected by its connection
}

// writeReply forwards the response of a replica unchanged, except for hop-by-hop fields.
func writeReply(w http.ResponseWriter, r *http.Request, reply *forward.Reply) {
	wire := reply.Wire.(*wireReply)
	skipped := hopByHopHeaders(wire.header)
	h := w.Header()
	for name, values := range wire.header {
		if !skipped[name] {
			h[name] = values
		}
	}
	if r.Method != http.MethodHead && bodyAllowed(wire.status) {
		h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // stops net/http from guessing one
	}
	w.WriteHeader(wire.status)
	_, _ = w.Write(reply.Body) // a caller that has disconnected is detected by its connection
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeLocalReply sends an answer that this node generated itself.
func writeLocalReply(w http.ResponseWriter, a *forward.Answer) {
	h := w.Header()
	if a.Outcome == api.NotRun && a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if a.Reason == api.ReasonUnknownKey {
		h.Set("WWW-Authenticate", strings.TrimSpace(bearerScheme))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(localReplyStatus(a))
	_, _ = io.WriteString(w, string(a.Reason)+"\n") // a caller that has disconnected is detected by its connection
}

func localReplyStatus(a *forward.Answer) int {
	switch {
	case a.Reason == api.ReasonUnknownRoute:
		return http.StatusNotFound
	case a.Reason == api.ReasonUnknownKey:
		return http.StatusUnauthorized
	case a.Reason == api.ReasonOverQuota:
		return http.StatusTooManyRequests
	case a.Outcome == api.NotRun:
		return http.StatusServiceUnavailable
	case a.Outcome == api.Unknown && a.Reason == api.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
