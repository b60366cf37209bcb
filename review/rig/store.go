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

// item is one key of the store as PROTOCOL.md describes it. Value is base64 in JSON.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history, answers at
// once and never fails.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*time.Timer
	ttls     map[int64]time.Duration
	changed  chan struct{} // closed at each change
}

// startStore starts a store on a free port of the given loopback address.
func startStore(ip string) *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*time.Timer{}, ttls: map[int64]time.Duration{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", ip+":0")
	must(err)
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /baobabsail/kv-key", s.serveKey)
	mux.HandleFunc("GET /baobabsail/kv-range", s.serveRange)
	mux.HandleFunc("GET /baobabsail/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /baobabsail/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /baobabsail/kv-lease", s.serveLease)
	mux.HandleFunc("POST /baobabsail/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /baobabsail/kv-lease-end/{id}", s.serveLeaseEnd)
	go func() { _ = http.Serve(listener, mux) }()
	return s
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: encoded})
}

// write applies a change. The caller must hold mu.
func (s *store) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// endLease removes the keys of a lease. The caller must hold mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Tombstone: true})
		}
	}
}

// reply sends a body in JSON.
func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const page = 500
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	truncated := len(items) > page
	if truncated {
		items = items[:page]
	}
	reply(w, map[string]any{"items": items, "truncated": truncated, "as_of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for last := wait == 0; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			reply(w, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expect {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			s.write(item{Key: key, Tombstone: true})
		}
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.ttls[id] = time.Duration(in.TTL) * time.Millisecond
	s.leases[id] = time.AfterFunc(s.ttls[id], func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})
	reply(w, map[string]any{"lease": id, "ttl_ms": in.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.leases[id]
	if t == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	t.Reset(s.ttls[id])
	reply(w, map[string]any{"ttl_ms": s.ttls[id].Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, map[string]any{})
}
