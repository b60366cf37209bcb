package relay

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsail/baobabsail/core/connlimit"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/entry/connguard"
	"github.com/baobabsail/baobabsail/entry/telemetry"
)

// defaultMaxBodyBytes bounds a body if the configuration sets no limit or is not known yet.
const defaultMaxBodyBytes = 1 << 20

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
