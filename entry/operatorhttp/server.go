// Package operatorhttp is the HTTP/JSON interface for operators, on a separate
// listener. It serves statements of the query and command language, the status
// of the node and metrics.
package operatorhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/node"
	"github.com/baobabsail/baobabsail/entry/connguard"
	"github.com/baobabsail/baobabsail/entry/driver"
)

// Node is the part of *driver.Driver that the handler uses.
type Node interface {
	Search(ctx context.Context, caller api.CallerID, search api.Search, deadline time.Time) api.SearchAnswer
	Change(ctx context.Context, change event.ChangeArrived) event.AnswerChange
	Inspect(ctx context.Context, f func(n driver.Node, now time.Time)) error
}

// Config configures the handler. Node and Metrics are required.
type Config struct {
	// Node runs searches, changes and reports.
	Node Node
	// Metrics serves GET /metrics.
	Metrics http.Handler
	// MaxBodyBytes bounds the body of POST /v1/statements.
	MaxBodyBytes int64
}

// server holds the HTTP handlers.
type server struct{ Config }

// New returns the HTTP handler for the operators' listener.
func New(c Config) http.Handler {
	s := &server{c}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/statements", s.handleStatements)
	mux.HandleFunc("GET /v1/status", s.handleStatus)
	mux.Handle("GET /metrics", c.Metrics)
	return mux
}

// Request is the body of POST /v1/statements.
type Request struct {
	// Text is the script.
	Text string `json:"text"`
	// Who names the operator; it is required for changes.
	Who string `json:"who"`
	// Why is the reason for a change. A "because" clause in the text overrides
	// it.
	Why string `json:"why"`
	// ExpectedRevision is the configuration revision that a change applies to;
	// nil means any. An "expect revision" clause in the text overrides it.
	ExpectedRevision *uint64 `json:"expected_revision"`
}

// handleStatements serves POST /v1/statements.
func (s *server) handleStatements(w http.ResponseWriter, r *http.Request) {
	// Protects against cross-site request forgery: a browser sends this media type
	// to another origin only after a CORS preflight, so a web page cannot make an
	// operator's browser change the configuration.
	if mediaType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")); mediaType != "application/json" {
		writeJSON(w, http.StatusUnsupportedMediaType, invalidAnswer("Content-Type must be application/json"))
		return
	}
	var request Request
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	if err == nil {
		if _, end := decoder.Token(); !errors.Is(end, io.EOF) {
			err = errors.New("more data after the JSON object")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeJSON(w, http.StatusRequestEntityTooLarge, invalidAnswer(err.Error()))
	case errors.Is(err, connguard.ErrNoMemory), errors.Is(err, connguard.ErrTooMany):
		writeJSON(w, http.StatusServiceUnavailable, refusedAnswer(api.ReasonOverloaded))
	case err != nil:
		writeJSON(w, http.StatusBadRequest, invalidAnswer(err.Error()))
	default:
		answer := s.runScript(r.Context(), request)
		writeJSON(w, httpStatus(answer.Outcome), answer)
	}
}

// httpStatus maps the outcome of a script to an HTTP status.
func httpStatus(o Outcome) int {
	switch o {
	case OK:
		return http.StatusOK
	case Invalid:
		return http.StatusBadRequest
	case Conflict:
		return http.StatusConflict
	case Failed:
		return http.StatusBadGateway
	case Refused:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// handleStatus serves GET /v1/status.
func (s *server) handleStatus(w http.ResponseWriter, r *http.Request) {
	var status node.Status
	err := s.Node.Inspect(r.Context(), func(n driver.Node, now time.Time) { status = n.Status(now) })
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, refusedAnswer(api.ReasonShuttingDown))
		return
	}
	writeJSON(w, http.StatusOK, newStatusBody(status))
}

// statusBody is the response body of GET /v1/status.
type statusBody struct {
	Name            api.EntryName   `json:"name"`
	Life            string          `json:"life"`
	Generation      uint64          `json:"generation"`
	Revision        uint64          `json:"revision"`
	ConfigAgeMillis int64           `json:"config_age_ms"`
	ConfigAlarm     api.Reason      `json:"config_alarm"`
	Members         []api.EntryName `json:"members"`
	InFlight        int             `json:"in_flight"`
	ShuttingDown    bool            `json:"shutting_down"`
	Replicas        []replicaBody   `json:"replicas"`
}

// replicaBody is the status of one replica as the node sees it.
type replicaBody struct {
	Name          api.ReplicaName `json:"name"`
	Service       api.ServiceName `json:"service"`
	Usable        bool            `json:"usable"`
	Draining      bool            `json:"draining"`
	Connections   int             `json:"connections"`
	InFlight      int             `json:"in_flight"`
	LatencyMicros int64           `json:"latency_us"`
	Held          []heldBody      `json:"held"`
}

// heldBody lists the data versions of one shard that a replica holds.
type heldBody struct {
	Epoch    uint64        `json:"epoch"`
	Shard    api.ShardName `json:"shard"`
	Versions []uint64      `json:"versions"`
}

func newStatusBody(s node.Status) statusBody {
	out := statusBody{
		Name:            s.Name,
		Life:            formatLife(s.Life),
		Generation:      s.Generation,
		Revision:        s.Revision,
		ConfigAgeMillis: s.ConfigAge.Milliseconds(),
		ConfigAlarm:     s.ConfigAlarm,
		Members:         append([]api.EntryName{}, s.Members...),
		InFlight:        s.InFlight,
		ShuttingDown:    s.ShuttingDown,
		Replicas:        []replicaBody{},
	}
	for _, r := range s.Replicas {
		replica := replicaBody{
			Name: r.Name, Service: r.Service, Usable: r.Usable, Draining: r.Draining,
			Connections: r.Connections, InFlight: r.InFlight,
			LatencyMicros: r.Latency.Microseconds(), Held: []heldBody{},
		}
		for _, h := range r.Held {
			replica.Held = append(replica.Held, heldBody(h))
		}
		out.Replicas = append(out.Replicas, replica)
	}
	return out
}
