package explainhttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/baobabsail/baobabsail/core/forward"
)

// fakeNode gives a fixed answer and records the last query.
type fakeNode struct {
	err   error
	query forward.ExplainQuery
}

func (n *fakeNode) Explain(_ context.Context, q forward.ExplainQuery) (*forward.Explanation, error) {
	n.query = q
	if n.err != nil {
		return nil, n.err
	}
	return &forward.Explanation{Node: "n1", Version: 7}, nil
}

// Guards against an unknown name or a node without a configuration that looks like a fault of the
// endpoint, and against another method than GET.
func TestStatuses(t *testing.T) {
	const good = Path + "?host=h&path=/one/x&account=one&data_centre=dc-a&shards=1"
	for _, c := range []struct {
		method, url string
		err         error
		status      int
		reason      string
	}{
		{"GET", good, nil, http.StatusOK, ""},
		{"POST", good, nil, http.StatusMethodNotAllowed, "method_not_allowed"},
		{"HEAD", good, nil, http.StatusMethodNotAllowed, "method_not_allowed"},
		{"GET", Path, nil, http.StatusBadRequest, "parameters"},
		{"GET", Path + "?host=h&path=x", nil, http.StatusBadRequest, "parameters"},
		{"GET", good, forward.ErrUnknownRoute.New("no route"), http.StatusNotFound, "unknown_route"},
		{"GET", good, forward.ErrUnknownAccount.New("no account"), http.StatusNotFound, "unknown_account"},
		{"GET", good, forward.ErrUnknownDataCentre.New("no data centre"), http.StatusNotFound, "unknown_data_centre"},
		{"GET", good, forward.ErrNoConfiguration.New("none"), http.StatusServiceUnavailable, "no_configuration"},
		{"GET", good, errors.New("late"), http.StatusServiceUnavailable, "unavailable"},
	} {
		n := &fakeNode{err: c.err}
		w := httptest.NewRecorder()
		New(n).ServeHTTP(w, httptest.NewRequest(c.method, c.url, nil))
		var body ErrorBody
		if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil || w.Code != c.status || body.Reason != c.reason {
			t.Errorf("%s %s, %v: status %d, body %s", c.method, c.url, c.err, w.Code, w.Body)
		}
		if c.status == http.StatusOK && (n.query != forward.ExplainQuery{Host: "h", Path: "/one/x", Account: "one", DataCentre: "dc-a", Shards: true}) {
			t.Errorf("query %+v", n.query)
		}
		if c.status >= 400 && c.status < 405 && c.err == nil && n.query != (forward.ExplainQuery{}) {
			t.Errorf("%s %s reaches the node", c.method, c.url)
		}
	}
}

// Guards against a request that waits for its turn after its client has gone.
func TestClientThatIsGoneWaitsNoLonger(t *testing.T) {
	h := &handler{node: &fakeNode{}, semaphore: make(chan struct{}, 1)}
	h.semaphore <- struct{}{}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequestWithContext(ctx, "GET", Path+"?host=h&path=/x", nil))
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d", w.Code)
	}
}
