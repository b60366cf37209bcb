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

// answerLimit bounds the part of an answer that is read, in bytes.
const answerLimit = 64 << 20

// Outcomes that the generator itself assigns.
const (
	// OutcomeTransport is a request without a usable HTTP answer.
	OutcomeTransport = "transport_error"
	// OutcomeNotSent is an arrival beyond MaxInFlight.
	OutcomeNotSent = "not_sent"
)

// Generator runs one load.
type Generator struct {
	settings Settings
	client   *http.Client
	results  *results
	inFlight atomic.Int64
	// running counts the requests in flight, for the end of the run.
	running  sync.WaitGroup
	balancer balancer
}

// New checks the settings.
func New(s Settings) (*Generator, error) {
	if err := s.prepare(); err != nil {
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

// Run sends the schedule, waits for the answers and returns the report. When
// the context ends, no further request starts.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	defer g.client.CloseIdleConnections()
	before, err := g.targetRequests(ctx)
	if err != nil {
		return nil, err
	}
	checks, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	g.balancer.watch(checks, g.client, time.Duration(g.settings.HealthCheckMS)*time.Millisecond)
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
		g.launch(start, a)
	}
	g.running.Wait()
	elapsed := time.Since(start)
	// The context may have ended the run; the counters are still wanted.
	after, err := g.targetRequests(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	report := g.results.report(g.settings, elapsed)
	report.setTargetRequests(len(g.settings.TargetAdmins) > 0, after-before)
	return report, nil
}

// launch starts the requests of one arrival without waiting for them.
func (g *Generator) launch(start time.Time, a Arrival) {
	request := g.settings.Requests[a.Request]
	reported := a.At >= time.Duration(g.settings.WarmUpMS)*time.Millisecond
	if request.Search != nil {
		body := fillSearch(*request.Search, a.N)
		g.spawn(KindSearch, reported, func() { g.search(start, a, reported, body) })
		return
	}
	body := *request.Work
	body.Payload = fillIn(body.Payload, a.N)
	// The key carries the present time, as RFC 9562 asks of version 7.
	key, err := uuid.NewV7()
	if err != nil {
		panic(err)
	}
	endpoints := []int{a.Endpoint}
	if a.Resend {
		endpoints = append(endpoints, a.Endpoint+1)
	}
	for _, endpoint := range endpoints {
		g.spawn(KindWork, reported, func() { g.work(start.Add(a.At), endpoint, reported, key.String(), body) })
	}
}

func fillSearch(body SearchBody, n int) SearchBody {
	conditions := make([]Condition, len(body.Conditions))
	for i, c := range body.Conditions {
		c.Value = fillIn(c.Value, n)
		conditions[i] = c
	}
	body.Conditions = conditions
	return body
}

func (g *Generator) spawn(kind Kind, reported bool, run func()) {
	if g.inFlight.Load() >= int64(g.settings.MaxInFlight) {
		g.results.notSent(kind, reported)
		return
	}
	g.inFlight.Add(1)
	g.running.Go(func() {
		defer g.inFlight.Add(-1)
		run()
	})
}

func (g *Generator) search(start time.Time, a Arrival, reported bool, body SearchBody) {
	var answer SearchAnswer
	status := g.post(a.Endpoint, "/v1/search", "", body, &answer)
	if status == 0 {
		answer = SearchAnswer{Outcome: OutcomeTransport}
	}
	g.results.search(a.At, time.Since(start.Add(a.At)), status, reported, &answer)
}

func (g *Generator) work(intended time.Time, endpoint int, reported bool, key string, body WorkBody) {
	var answer WorkAnswer
	status := g.post(endpoint, "/v1/work", key, body, &answer)
	if status == 0 {
		answer = WorkAnswer{Outcome: OutcomeTransport}
	}
	g.results.work(time.Since(intended), status, reported, key, body.Payload, &answer)
}

// post sends one request and returns the status, 0 without a usable answer.
func (g *Generator) post(endpoint int, path, key string, body, answer any) int {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	base := strings.TrimRight(g.balancer.choose(endpoint), "/")
	request, err := http.NewRequest(http.MethodPost, base+path, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Caller", g.settings.Caller)
	if key != "" {
		// net/http repeats requests that carry this header if the connection
		// breaks, unless the body cannot be read again. A repetition inside the
		// client would not show in the report.
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
	received, err := io.ReadAll(io.LimitReader(response.Body, answerLimit))
	if err != nil || json.Unmarshal(received, answer) != nil {
		return 0
	}
	time.Sleep(delay)
	return response.StatusCode
}
