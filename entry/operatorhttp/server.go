// Package operatorhttp serves operators over HTTP/JSON on a listener of its
// own: statements of the query and command language, status and metrics.
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
	"github.com/baobabsail/baobabsail/entry/driver"
)

// Node is the part of *driver.Driver that operators use.
type Node interface {
	Search(ctx context.Context, caller api.CallerID, search api.Search, deadline time.Time) api.SearchAnswer
	Change(ctx context.Context, change event.ChangeArrived) event.AnswerChange
	Inspect(ctx context.Context, f func(n driver.Node, now time.Time)) error
}

// Config configures the handler.
type Config struct {
	Node Node
	// Metrics serves GET /metrics.
	Metrics http.Handler
	// MaxBodyBytes bounds a request with statements.
	MaxBodyBytes int64
}

type server struct{ Config }

// New returns the handler of the operators' listener.
func New(c Config) http.Handler {
	s := &server{c}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/statements", s.statements)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.Handle("GET /metrics", c.Metrics)
	return mux
}

// Request is the body of POST /v1/statements.
type Request struct {
	Text string `json:"text"`
	// Who is the operator; required for changes.
	Who string `json:"who"`
	// Why is the reason of a change, unless the text has a "because".
	Why string `json:"why"`
	// ExpectedRevision refuses a change of any other revision, unless the text
	// has an "expect revision".
	ExpectedRevision *uint64 `json:"expected_revision"`
}

func (s *server) statements(w http.ResponseWriter, r *http.Request) {
	// A browser sends this type to another origin only with permission, so that
	// a web page cannot make an operator's browser change the configuration.
	if kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")); kind != "application/json" {
		reply(w, http.StatusUnsupportedMediaType, invalid("Content-Type must be application/json"))
		return
	}
	var request Request
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, s.MaxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&request)
	if err == nil {
		if _, more := decoder.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("more data after the JSON object")
		}
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		reply(w, http.StatusRequestEntityTooLarge, invalid(err.Error()))
	case err != nil:
		reply(w, http.StatusBadRequest, invalid(err.Error()))
	default:
		answer := s.run(r.Context(), request)
		reply(w, statusOf(answer.Outcome), answer)
	}
}

// statusOf maps the outcome of a script to an HTTP status.
func statusOf(o Outcome) int {
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

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the operator has gone.
	_ = json.NewEncoder(w).Encode(body)
}

// status serves GET /v1/status.
func (s *server) status(w http.ResponseWriter, r *http.Request) {
	var status node.Status
	err := s.Node.Inspect(r.Context(), func(n driver.Node, now time.Time) { status = n.Status(now) })
	if err != nil {
		reply(w, http.StatusServiceUnavailable, refused(api.ReasonShuttingDown))
		return
	}
	reply(w, http.StatusOK, statusBodyOf(status))
}

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

type heldBody struct {
	Epoch    uint64        `json:"epoch"`
	Shard    api.ShardName `json:"shard"`
	Versions []uint64      `json:"versions"`
}

func statusBodyOf(s node.Status) statusBody {
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
