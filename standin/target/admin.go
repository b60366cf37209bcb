package target

import (
	"encoding/json"
	"net/http"
	"time"
)

// adminBodyLimit is the maximum size of an admin request body in bytes. A
// partition map of the planned scale is far smaller.
const adminBodyLimit = 1 << 20

// Status is the state of one target as listed by GET /targets.
type Status struct {
	Name        string  `json:"name"`
	Service     string  `json:"service"`
	Address     string  `json:"address"`
	Incarnation uint64  `json:"incarnation,string"`
	Connections int     `json:"connections"`
	Running     int     `json:"running"`
	Queued      int     `json:"queued"`
	Draining    bool    `json:"draining"`
	Shards      []Shard `json:"shards"`
	Faults      Faults  `json:"faults"`
}

// VersionsRequest is the body of POST /targets/{name}/versions.
type VersionsRequest struct {
	// Shard limits the change to one shard; empty selects all shards.
	Shard string `json:"shard"`
	// Advance adds the version that follows the newest one.
	Advance bool     `json:"advance"`
	Add     []uint64 `json:"add"`
	Drop    []uint64 `json:"drop"`
}

// ConnectionsRequest is the body of POST /targets/{name}/connections.
type ConnectionsRequest struct {
	// Silence is the number of further connections to make silent.
	Silence int `json:"silence"`
	// CutSilent resets the connections that are already silent, before Silence
	// applies.
	CutSilent bool `json:"cut_silent"`
}

// DrainRequest is the body of POST /targets/{name}/drain.
type DrainRequest struct {
	GraceMS int64 `json:"grace_ms"`
}

// ShardsRequest is the body of POST /targets/{name}/shards.
type ShardsRequest struct {
	Shards []Shard `json:"shards"`
}

// Host holds the targets of one process and serves their admin interface.
type Host struct {
	targets []*Target
	byName  map[string]*Target
}

// NewHost creates the targets without starting them. Targets of one service with
// the same seed and row count share their sample data.
func NewHost(settings []Settings) (*Host, error) {
	type dataKey struct {
		seed    uint64
		service string
		rows    int
	}
	shared := make(map[dataKey]*Dataset)
	h := &Host{byName: make(map[string]*Target)}
	for _, s := range settings {
		key := dataKey{s.Seed, s.Service, s.Rows}
		if shared[key] == nil {
			shared[key] = NewDataset(s.Seed, s.Service, s.Rows)
		}
		t, err := New(s, shared[key])
		if err != nil {
			return nil, err
		}
		if h.byName[s.Name] != nil || s.Name == "all" {
			return nil, ErrSettings.New("target name %q is used twice or reserved", s.Name)
		}
		h.targets = append(h.targets, t)
		h.byName[s.Name] = t
	}
	return h, nil
}

// Start starts all targets. If one fails to start, it closes all of them.
func (h *Host) Start() error {
	for _, t := range h.targets {
		if err := t.Start(); err != nil {
			h.Close()
			return err
		}
	}
	return nil
}

// Targets returns the targets in the order of the settings.
func (h *Host) Targets() []*Target { return h.targets }

// Target returns the named target, or nil.
func (h *Host) Target(name string) *Target { return h.byName[name] }

// Drain drains all targets concurrently and returns when all have stopped.
func (h *Host) Drain(grace time.Duration) {
	done := make(chan struct{})
	for _, t := range h.targets {
		go func() {
			t.Drain(grace)
			done <- struct{}{}
		}()
	}
	for range h.targets {
		<-done
	}
}

// Close stops all targets permanently.
func (h *Host) Close() {
	for _, t := range h.targets {
		t.Close()
	}
}

// Handler returns the handler of the admin interface. In POST requests the name
// "all" selects every target.
func (h *Host) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /targets", h.list)
	mux.HandleFunc("GET /counters", h.counters)
	mux.HandleFunc("GET /targets/{name}/journal", h.showJournal)
	mux.HandleFunc("POST /targets/{name}/faults", h.postFaults)
	mux.HandleFunc("POST /targets/{name}/versions", handlePost(h, applyVersions))
	mux.HandleFunc("POST /targets/{name}/connections", handlePost(h, applyConnections))
	mux.HandleFunc("POST /targets/{name}/shards", handlePost(h, func(t *Target, r ShardsRequest) error {
		t.SetShards(r.Shards)
		return nil
	}))
	mux.HandleFunc("POST /targets/{name}/drain", handlePost(h, func(t *Target, r DrainRequest) error {
		go t.Drain(time.Duration(r.GraceMS) * time.Millisecond)
		return nil
	}))
	mux.HandleFunc("POST /targets/{name}/crash", handlePost(h, func(t *Target, _ struct{}) error {
		go t.Crash()
		return nil
	}))
	mux.HandleFunc("POST /targets/{name}/restart", handlePost(h, func(t *Target, _ struct{}) error {
		return t.Restart()
	}))
	return mux
}

func (h *Host) list(w http.ResponseWriter, _ *http.Request) {
	out := make([]Status, 0, len(h.targets))
	for _, t := range h.targets {
		out = append(out, t.Status())
	}
	writeJSON(w, http.StatusOK, out)
}

// Status returns the state that the admin interface lists.
func (t *Target) Status() Status {
	running, queued, draining := t.State()
	return Status{
		Name: t.Name(), Service: t.Service(), Address: t.Address(), Incarnation: t.Incarnation(),
		Connections: t.OpenConnections(), Running: running, Queued: queued, Draining: draining,
		Shards: t.Shards(), Faults: t.Faults(),
	}
}

// Counters returns every counter summed over all targets.
func (h *Host) Counters() map[Counter]uint64 {
	sum := make(map[Counter]uint64)
	for _, t := range h.targets {
		for name, total := range t.Journal(false).Counters {
			sum[name] += total
		}
	}
	return sum
}

func (h *Host) counters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.Counters())
}

func (h *Host) showJournal(w http.ResponseWriter, r *http.Request) {
	t := h.Target(r.PathValue("name"))
	if t == nil {
		writeError(w, http.StatusNotFound, "unknown target")
		return
	}
	writeJSON(w, http.StatusOK, t.Journal(r.URL.Query().Has("searches")))
}

// postFaults changes the fault switches that the body names and leaves the others
// unchanged.
func (h *Host) postFaults(w http.ResponseWriter, r *http.Request) {
	var body json.RawMessage
	if !readJSON(w, r, &body) {
		return
	}
	h.apply(w, r, func(t *Target) error {
		var decodeErr error
		err := t.ChangeFaults(func(f *Faults) {
			if f.Lie != nil {
				lie := *f.Lie
				f.Lie = &lie
			}
			before := *f
			if decodeErr = decodeStrict(body, f); decodeErr != nil {
				*f = before
			}
		})
		if decodeErr != nil {
			return ErrState.Wrap(decodeErr, "decode faults")
		}
		return err
	})
}

func applyVersions(t *Target, r VersionsRequest) error {
	if r.Advance {
		t.AddVersion(r.Shard, 0)
	}
	for _, v := range r.Add {
		t.AddVersion(r.Shard, v)
	}
	for _, v := range r.Drop {
		t.DropVersion(r.Shard, v)
	}
	return nil
}

func applyConnections(t *Target, r ConnectionsRequest) error {
	if r.CutSilent {
		t.ResetSilentConnections()
	}
	if found := t.SilenceConnections(r.Silence); found < r.Silence {
		return ErrState.New("target %q has only %d connections to silence", t.Name(), found)
	}
	return nil
}

// handlePost returns a handler that decodes the body into a T and applies it to
// the selected targets.
func handlePost[T any](h *Host, apply func(*Target, T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body T
		if !readJSON(w, r, &body) {
			return
		}
		h.apply(w, r, func(t *Target) error { return apply(t, body) })
	}
}

// apply calls change for the target named in the path, or for every target if the
// name is "all", and stops at the first error. It writes the response.
func (h *Host) apply(w http.ResponseWriter, r *http.Request, change func(*Target) error) {
	selected := h.targets
	if name := r.PathValue("name"); name != "all" {
		t := h.Target(name)
		if t == nil {
			writeError(w, http.StatusNotFound, "unknown target")
			return
		}
		selected = []*Target{t}
	}
	for _, t := range selected {
		if err := change(t); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}
