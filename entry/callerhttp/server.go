// Package callerhttp serves searches, work orders and the health checks of the load
// balancer over HTTP/JSON. It has no access to operations that change the configuration.
package callerhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/entry/connguard"
	"github.com/baobabsail/baobabsail/entry/telemetry"
	"github.com/kataras/iris/v12"
)

// Requests runs requests on the node. It is implemented by *driver.Driver.
type Requests interface {
	Search(ctx context.Context, caller api.CallerID, search api.Search, deadline time.Time) api.SearchAnswer
	Work(ctx context.Context, caller api.CallerID, work api.Work, deadline time.Time) api.WorkAnswer
	// NotReady returns the reason why the load balancer should not send requests, or
	// ReasonNone.
	NotReady() api.Reason
	ShuttingDown() bool
}

// Config holds the dependencies and limits of the handler that New returns.
type Config struct {
	Requests Requests
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// MaxConcurrent limits the number of requests served concurrently.
	MaxConcurrent int
	Counts        *telemetry.Counts
	// OnPanic, if not nil, is called with the value of a recovered panic.
	OnPanic func(any)
}

type server struct {
	Config
	// slots holds one element per request that is being served.
	slots chan struct{}
}

// New returns the HTTP handler for the callers' listener.
func New(c Config) (http.Handler, error) {
	s := &server{Config: c, slots: make(chan struct{}, c.MaxConcurrent)}
	app := iris.New()
	app.Logger().SetLevel("disable")
	// Path correction is off: its redirects would make callers send a request twice.
	app.Configure(iris.WithoutStartupLog, iris.WithoutPathCorrection, iris.WithFireMethodNotAllowed)
	app.Post("/v1/search", s.limitConcurrency(s.search))
	app.Post("/v1/work", s.limitConcurrency(s.work))
	app.Get("/healthz", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	app.Get("/readyz", s.readiness)
	app.OnAnyErrorCode(s.httpError)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return s.withRecovery(app), nil
}

// withRecovery turns a panic of next into a response with status 500. During a shutdown it
// also closes keep-alive connections, so that callers move to another node.
func (s *server) withRecovery(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Requests.ShuttingDown() {
			w.Header().Set("Connection", "close")
		}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if s.OnPanic != nil {
				s.OnPanic(v)
			}
			// The outcome is unknown: the panic may have occurred before or after the
			// request was run.
			http.Error(w, `{"outcome":"unknown","reason":"failed","retry_after_ms":0}`, http.StatusInternalServerError)
		}()
		next.ServeHTTP(w, r)
	})
}

// limitConcurrency rejects a request immediately if MaxConcurrent requests are being
// served.
func (s *server) limitConcurrency(handle iris.Handler) iris.Handler {
	return func(ctx iris.Context) {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			handle(ctx)
		default:
			s.refuse(ctx, http.StatusTooManyRequests, api.ReasonOverloaded, "too many concurrent requests")
		}
	}
}

func (s *server) readiness(ctx iris.Context) {
	reason := s.Requests.NotReady()
	if reason == api.ReasonNone {
		ctx.StatusCode(http.StatusOK)
		return
	}
	ctx.StatusCode(http.StatusServiceUnavailable)
	_, _ = ctx.WriteString(string(reason))
}

func (s *server) search(ctx iris.Context) {
	caller, err := callerID(ctx.Request())
	if err != nil {
		s.refuseMalformed(ctx, err)
		return
	}
	search, deadline, err := decodeSearch(s.limitedBody(ctx), time.Now())
	if err != nil {
		s.refuseMalformed(ctx, err)
		return
	}
	answer := s.Requests.Search(ctx.Request().Context(), caller, search, deadline)
	status := httpStatus(answer.Outcome, answer.Reason)
	retryAfter := retryAfterOrDefault(status, answer.RetryAfter)
	writeResponse(ctx, status, retryAfter, newSearchResponse(answer, retryAfter))
}

func (s *server) work(ctx iris.Context) {
	caller, err := callerID(ctx.Request())
	if err != nil {
		s.refuseMalformed(ctx, err)
		return
	}
	work, deadline, err := decodeWork(s.limitedBody(ctx), ctx.GetHeader("Idempotency-Key"), time.Now())
	if err != nil {
		s.refuseMalformed(ctx, err)
		return
	}
	answer := s.Requests.Work(ctx.Request().Context(), caller, work, deadline)
	status := httpStatus(answer.Outcome, answer.Reason)
	retryAfter := retryAfterOrDefault(status, answer.RetryAfter)
	writeResponse(ctx, status, retryAfter, newWorkResponse(answer, retryAfter))
}

func (s *server) limitedBody(ctx iris.Context) io.Reader {
	return http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, s.MaxBodyBytes)
}

// callerID returns the value of the header X-Caller or, without it, the client's IP
// address.
func callerID(r *http.Request) (api.CallerID, error) {
	if name := r.Header.Get("X-Caller"); name != "" {
		if len(name) > maxNameBytes {
			return "", errors.New("header X-Caller is too long")
		}
		return api.CallerID(name), nil
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return api.CallerID(host), nil
}

func (s *server) refuseMalformed(ctx iris.Context, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		s.refuse(ctx, http.StatusRequestEntityTooLarge, api.ReasonMalformed, err.Error())
	case errors.Is(err, connguard.ErrNoMemory), errors.Is(err, connguard.ErrTooMany):
		s.refuse(ctx, http.StatusTooManyRequests, api.ReasonOverloaded, err.Error())
	default:
		s.refuse(ctx, http.StatusBadRequest, api.ReasonMalformed, err.Error())
	}
}

// refuse rejects a request before it reaches the node, and counts it as refused.
func (s *server) refuse(ctx iris.Context, status int, reason api.Reason, message string) {
	s.Counts.Inc(count.Refused, reason)
	retryAfter := retryAfterOrDefault(status, 0)
	writeResponse(ctx, status, retryAfter, refusal{
		Outcome:          api.NotRun.String(),
		Reason:           reason,
		Message:          message,
		RetryAfterMillis: roundUp(retryAfter, time.Millisecond),
	})
}

// httpError responds to requests for unknown paths or with a wrong method.
func (s *server) httpError(ctx iris.Context) {
	status := ctx.GetStatusCode()
	if status != http.StatusNotFound && status != http.StatusMethodNotAllowed {
		return
	}
	if ctx.ResponseWriter().Written() > 0 {
		return
	}
	s.refuse(ctx, status, api.ReasonMalformed, http.StatusText(status))
}

func writeResponse(ctx iris.Context, status int, retryAfter time.Duration, body any) {
	if retryAfter > 0 {
		ctx.Header("Retry-After", strconv.FormatInt(roundUp(retryAfter, time.Second), 10))
	}
	ctx.StatusCode(status)
	_ = ctx.JSON(body)
}
