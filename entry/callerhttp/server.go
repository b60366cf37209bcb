// Package callerhttp serves callers over HTTP/JSON: searches, work orders and
// the health checks of the load balancer. It cannot change the configuration.
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
	"github.com/baobabsail/baobabsail/entry/telemetry"
	"github.com/kataras/iris/v12"
)

// Requests runs requests on the node; a *driver.Driver does.
type Requests interface {
	Search(ctx context.Context, caller api.CallerID, search api.Search, deadline time.Time) api.SearchAnswer
	Work(ctx context.Context, caller api.CallerID, work api.Work, deadline time.Time) api.WorkAnswer
	// NotReady returns why the balancer should not send requests, or ReasonNone.
	NotReady() api.Reason
	ShuttingDown() bool
}

// Config configures the handler.
type Config struct {
	Requests Requests
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes int64
	// MaxConcurrent bounds the requests that are served at once.
	MaxConcurrent int
	Counts        *telemetry.Counts
	// Panicked is called with the value of a recovered panic; may be nil.
	Panicked func(any)
}

type server struct {
	Config
	slots chan struct{}
}

// New returns the handler of the callers' listener.
func New(c Config) (http.Handler, error) {
	s := &server{Config: c, slots: make(chan struct{}, c.MaxConcurrent)}
	app := iris.New()
	app.Logger().SetLevel("disable")
	// A redirect would make callers send a request twice.
	app.Configure(iris.WithoutStartupLog, iris.WithoutPathCorrection, iris.WithFireMethodNotAllowed)
	app.Post("/v1/search", s.limited(s.search))
	app.Post("/v1/work", s.limited(s.work))
	app.Get("/healthz", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	app.Get("/readyz", s.ready)
	app.OnAnyErrorCode(s.httpError)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return s.guard(app), nil
}

// guard closes keep-alive connections during a shutdown, so that callers move
// to another node, and turns a panic into an answer.
func (s *server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Requests.ShuttingDown() {
			w.Header().Set("Connection", "close")
		}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if s.Panicked != nil {
				s.Panicked(v)
			}
			// Where the request was when it failed is not known.
			http.Error(w, `{"outcome":"unknown","reason":"failed","retry_after_ms":0}`, http.StatusInternalServerError)
		}()
		next.ServeHTTP(w, r)
	})
}

// limited refuses a request at once if too many are being served.
func (s *server) limited(handle iris.Handler) iris.Handler {
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

func (s *server) ready(ctx iris.Context) {
	reason := s.Requests.NotReady()
	if reason == api.ReasonNone {
		ctx.StatusCode(http.StatusOK)
		return
	}
	ctx.StatusCode(http.StatusServiceUnavailable)
	_, _ = ctx.WriteString(string(reason))
}

func (s *server) search(ctx iris.Context) {
	caller, err := callerOf(ctx.Request())
	if err != nil {
		s.malformed(ctx, err)
		return
	}
	search, deadline, err := decodeSearch(s.body(ctx), time.Now())
	if err != nil {
		s.malformed(ctx, err)
		return
	}
	answer := s.Requests.Search(ctx.Request().Context(), caller, search, deadline)
	status := statusOf(answer.Outcome, answer.Reason)
	after := retryAfterFor(status, answer.RetryAfter)
	reply(ctx, status, after, searchReplyOf(answer, after))
}

func (s *server) work(ctx iris.Context) {
	caller, err := callerOf(ctx.Request())
	if err != nil {
		s.malformed(ctx, err)
		return
	}
	work, deadline, err := decodeWork(s.body(ctx), ctx.GetHeader("Idempotency-Key"), time.Now())
	if err != nil {
		s.malformed(ctx, err)
		return
	}
	answer := s.Requests.Work(ctx.Request().Context(), caller, work, deadline)
	status := statusOf(answer.Outcome, answer.Reason)
	after := retryAfterFor(status, answer.RetryAfter)
	reply(ctx, status, after, workReplyOf(answer, after))
}

func (s *server) body(ctx iris.Context) io.Reader {
	return http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, s.MaxBodyBytes)
}

// callerOf identifies the caller by header X-Caller, or by its IP address.
func callerOf(r *http.Request) (api.CallerID, error) {
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

func (s *server) malformed(ctx iris.Context, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		s.refuse(ctx, http.StatusRequestEntityTooLarge, api.ReasonMalformed, err.Error())
		return
	}
	s.refuse(ctx, http.StatusBadRequest, api.ReasonMalformed, err.Error())
}

// refuse answers a request that did not reach the node.
func (s *server) refuse(ctx iris.Context, status int, reason api.Reason, message string) {
	s.Counts.Inc(count.Refused, reason)
	after := retryAfterFor(status, 0)
	reply(ctx, status, after, refusal{
		Outcome:          api.NotRun.String(),
		Reason:           reason,
		Message:          message,
		RetryAfterMillis: roundUp(after, time.Millisecond),
	})
}

// httpError answers unknown paths and wrong methods.
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

func reply(ctx iris.Context, status int, after time.Duration, body any) {
	if after > 0 {
		ctx.Header("Retry-After", strconv.FormatInt(roundUp(after, time.Second), 10))
	}
	ctx.StatusCode(status)
	_ = ctx.JSON(body)
}
