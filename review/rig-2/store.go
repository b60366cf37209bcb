package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key in the store or, in the history, one change of it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store. It answers every call at once and
// keeps its whole history.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]time.Duration
	expiry   map[int64]*time.Timer
	listener net.Listener
}

// newStore starts a store on a free port of 127.0.0.1.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		changed: make(chan struct{}), revision: 10, items: map[string]item{},
		leases: map[int64]time.Duration{}, expiry: map[int64]*time.Timer{}, listener: l,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /baobabsail/kv-key", s.key)
	mux.HandleFunc("GET /baobabsail/kv-range", s.list)
	mux.HandleFunc("GET /baobabsail/kv-watch", s.watch)
	mux.HandleFunc("POST /baobabsail/kv-txn", s.txn)
	mux.HandleFunc("POST /baobabsail/kv-lease", s.grant)
	mux.HandleFunc("POST /baobabsail/kv-keep/{lease}", s.keep)
	mux.HandleFunc("DELETE /baobabsail/kv-lease-end/{lease}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key as the operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values are maps of plain types
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// sorted returns the keys with a prefix after a key, in ascending order.
func (s *store) sorted(prefix, after string) []string {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
	s.wake()
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller is gone if this fails
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as_of": s.revision})
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.sorted(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	items := []item{}
	for _, k := range keys[:min(len(keys), page)] {
		items = append(items, s.items[k])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "truncated": len(keys) > page, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, gone, changed := s.revision, after > s.revision, s.changed
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, map[string]any{"as_of": revision})
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expect  []item   `json:"expect"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expect {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range body.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range body.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range body.Deletes {
		s.drop(k)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id, ttl := s.revision, time.Duration(body.TTL)*time.Millisecond
	s.leases[id] = ttl
	s.expiry[id] = time.AfterFunc(ttl, func() { s.endLease(id) })
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.expiry[id].Reset(ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("lease"), 10, 64)
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.expiry[id]; t != nil {
		t.Stop()
	}
	delete(s.leases, id)
	delete(s.expiry, id)
	for _, k := range s.sorted("", "") {
		if s.items[k].Lease == id {
			s.drop(k)
		}
	}
}
