// Package explainhttp serves explanations of where a node would send a request, for operators.
package explainhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
)

// Path is the path of the endpoint.
const Path = "/explain"

// Parameters of the query.
const (
	ParamHost       = "host"
	ParamPath       = "path"
	ParamAccount    = "account"
	ParamDataCentre = "data_centre"
	// ParamShards is "1" if the shards are to be listed one by one.
	ParamShards = "shards"
)

// Node explains where it would send a request.
type Node interface {
	Explain(ctx context.Context, q forward.ExplainQuery) (*forward.Explanation, error)
}

// ErrorBody is the body of a response with another status than 200.
type ErrorBody struct {
	Reason  string `json:"reason"`
	Message string `json:"error"`
}

// Errors of a request, beside those of Node.
var (
	errorTypes    = errorx.NewNamespace("explainhttp")
	errMethod     = errorTypes.NewType("method_not_allowed")
	errParameters = errorTypes.NewType("parameters")
)

// New returns the handler of Path. It explains one request at a time, since the node processes no
// requests meanwhile.
func New(n Node) http.Handler { return &handler{node: n, semaphore: make(chan struct{}, 1)} }

type handler struct {
	node Node
	// semaphore limits the explanations that are made at the same time.
	semaphore chan struct{}
}

// ServeHTTP answers a GET request with an Explanation or an ErrorBody.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	explanation, err := h.explain(r)
	if err != nil {
		if errorx.IsOfType(err, errMethod) {
			w.Header().Set("Allow", http.MethodGet)
		}
		w.WriteHeader(status(err))
		_ = json.NewEncoder(w).Encode(errorBody(err)) // the client is gone if this fails
		return
	}
	_ = json.NewEncoder(w).Encode(explanation)
}

// explain checks a request and returns the explanation that it asks for.
func (h *handler) explain(r *http.Request) (*forward.Explanation, error) {
	if r.Method != http.MethodGet {
		return nil, errMethod.New("only GET is allowed")
	}
	v := r.URL.Query()
	q := forward.ExplainQuery{
		Host: v.Get(ParamHost), Path: v.Get(ParamPath), Account: v.Get(ParamAccount),
		DataCentre: api.DataCentre(v.Get(ParamDataCentre)), Shards: v.Get(ParamShards) == "1",
	}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return nil, errParameters.New("%s and %s are needed, and %s begins with a slash", ParamHost, ParamPath, ParamPath)
	}
	select {
	case h.semaphore <- struct{}{}:
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	defer func() { <-h.semaphore }()
	return h.node.Explain(r.Context(), q)
}

// status returns the status of a response with an error.
func status(err error) int {
	switch {
	case errorx.IsOfType(err, errMethod):
		return http.StatusMethodNotAllowed
	case errorx.IsOfType(err, errParameters):
		return http.StatusBadRequest
	case errorx.IsOfType(err, forward.ErrUnknownRoute), errorx.IsOfType(err, forward.ErrUnknownAccount),
		errorx.IsOfType(err, forward.ErrUnknownDataCentre):
		return http.StatusNotFound
	}
	return http.StatusServiceUnavailable // no configuration, or no time for an answer
}

// errorBody returns what a response says of an error.
func errorBody(err error) ErrorBody {
	e := errorx.Cast(err)
	if e == nil {
		return ErrorBody{Reason: "unavailable", Message: err.Error()}
	}
	name := e.Type().FullName()
	return ErrorBody{Reason: name[strings.LastIndexByte(name, '.')+1:], Message: e.Message()}
}
