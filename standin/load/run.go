package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// maxAnswerBytes limits how much of an answer's body is read.
const maxAnswerBytes = 64 << 20

// Outcomes that the generator assigns when there is no outcome from the server.
const (
	// OutcomeTransport is the outcome of a request without a usable HTTP answer.
	OutcomeTransport = "transport_error"
	// OutcomeNotSent is the outcome of a request that was dropped because
	// MaxInFlight requests were in flight.
	OutcomeNotSent = "not_sent"
)

// Generator sends the requests of one load run.
type Generator struct {
	settings Settings
	client   *http.Client
	results  *results
	inFlight atomic.Int64
	// running lets Run wait for the requests in flight at the end.
	running  sync.WaitGroup
	balancer balancer
}

// New validates the settings and returns a generator.
func New(s Settings) (*Generator, error) {
	if err := s.setDefaultsAndValidate(); err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: s.MaxInFlight, IdleConnTimeout: time.Minute}
	return &Generator{
		settings: s,
		client: &http.Client{
			Transport:     transport,
			Timeout:       time.Duration(s.ClientTimeoutMS) * time.Millisecond,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		results:  newResults(),
		balancer: newBalancer(s.Endpoints),
	}, nil
}

// Run sends the scheduled requests, waits for all answers and returns the
// report. When the context ends, no further request starts, but the report is
// still made.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	defer g.client.CloseIdleConnections()
	before, err := g.targetRequests(ctx)
	if err != nil {
		return nil, err
	}
	checks, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	g.balancer.watchReadiness(checks, g.client, time.Duration(g.settings.HealthCheckMS)*time.Millisecond)
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range Schedule(g.settings) {
		timer.Reset(time.Until(start.Add(a.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		g.startArrival(start, a)
	}
	g.running.Wait()
	elapsed := time.Since(start)
	// The counters are read even if the end of the context stopped the run.
	after, err := g.targetRequests(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	report := g.results.report(g.settings, elapsed)
	report.setTargetRequests(len(g.settings.TargetAdmins) > 0, after-before)
	return report, nil
}

// startArrival starts the requests of one arrival without waiting for answers:
// one, or two for a work order with Resend.
func (g *Generator) startArrival(start time.Time, a Arrival) {
	request := g.settings.Requests[a.Request]
	reported := a.At >= time.Duration(g.settings.WarmUpMS)*time.Millisecond
	if request.Search != nil {
		body := replaceSearchPlaceholders(*request.Search, a.N)
		g.startRequest(KindSearch, reported, func() { g.sendSearch(start, a, reported, body) })
		return
	}
	body := *request.Work
	body.Payload = replacePlaceholder(body.Payload, a.N)
	// The key does not depend on the seed: a version 7 UUID (RFC 9562) contains
	// the current time.
	key, err := uuid.NewV7()
	if err != nil {
		panic(err)
	}
	endpoints := []int{a.Endpoint}
	if a.Resend {
		endpoints = append(endpoints, a.Endpoint+1)
	}
	for _, endpoint := range endpoints {
		g.startRequest(KindWork, reported, func() { g.sendWork(start.Add(a.At), endpoint, reported, key.String(), body) })
	}
}

func replaceSearchPlaceholders(body SearchBody, n int) SearchBody {
	conditions := make([]Condition, len(body.Conditions))
	for i, c := range body.Conditions {
		c.Value = replacePlaceholder(c.Value, n)
		conditions[i] = c
	}
	body.Conditions = conditions
	return body
}

// startRequest runs one request in its own goroutine, or records it as not sent
// if MaxInFlight requests are in flight.
func (g *Generator) startRequest(kind Kind, reported bool, send func()) {
	if g.inFlight.Load() >= int64(g.settings.MaxInFlight) {
		g.results.recordNotSent(kind, reported)
		return
	}
	g.inFlight.Add(1)
	g.running.Go(func() {
		defer g.inFlight.Add(-1)
		send()
	})
}

func (g *Generator) sendSearch(start time.Time, a Arrival, reported bool, body SearchBody) {
	var answer SearchAnswer
	status := g.post(a.Endpoint, "/v1/search", "", body, &answer)
	if status == 0 {
		answer = SearchAnswer{Outcome: OutcomeTransport}
	}
	g.results.recordSearch(a.At, time.Since(start.Add(a.At)), status, reported, &answer)
}

func (g *Generator) sendWork(scheduled time.Time, endpoint int, reported bool, key string, body WorkBody) {
	var answer WorkAnswer
	status := g.post(endpoint, "/v1/work", key, body, &answer)
	if status == 0 {
		answer = WorkAnswer{Outcome: OutcomeTransport}
	}
	g.results.recordWork(time.Since(scheduled), status, reported, key, body.Payload, &answer)
}

// post sends one request, decodes the answer and returns the HTTP status, or 0
// if there is no usable answer.
func (g *Generator) post(endpoint int, path, key string, body, answer any) int {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	base := strings.TrimRight(g.balancer.pick(endpoint), "/")
	request, err := http.NewRequest(http.MethodPost, base+path, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Caller", g.settings.Caller)
	if key != "" {
		// If the connection breaks, net/http retries requests that carry this
		// header, unless it cannot rewind the body. Such a retry would not show
		// in the report, so GetBody is removed.
		request.Header.Set("Idempotency-Key", key)
		request.GetBody = nil
	}
	delay := time.Duration(g.settings.NetworkDelayMS * float64(time.Millisecond))
	time.Sleep(delay)
	response, err := g.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil || json.Unmarshal(received, answer) != nil {
		return 0
	}
	time.Sleep(delay)
	return response.StatusCode
}
