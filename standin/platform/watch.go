package platform

import (
	"context"
	"encoding/json"
	"net/http"
)

type watchRequest struct {
	Create *struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision number `json:"start_revision"`
	} `json:"create_request"`
}

type watchMessage struct {
	Result watchResponse `json:"result"`
}

type watchResponse struct {
	Header          header  `json:"header"`
	WatchID         number  `json:"watch_id,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	CompactRevision number  `json:"compact_revision,omitempty"`
	Events          []event `json:"events,omitempty"`
}

// event is a PUT, the zero value of the type, which the JSON form leaves out.
type event struct {
	Kv keyValue `json:"kv"`
}

// watcher is one open watch. Its fields are guarded by Platform.mu.
type watcher struct {
	key    string
	next   int64
	silent bool
	// wake holds at most one signal that the state has changed.
	wake   chan struct{}
	cancel context.CancelFunc
}

func (p *Platform) wakeLocked() {
	for w := range p.watches {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if !p.begin(w, r, false, &request) {
		return
	}
	if request.Create == nil || len(request.Create.RangeEnd) > 0 {
		fail(w, http.StatusNotImplemented, codeUnimplemented, "only the creation of a watch of a single key is served")
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	watch := p.openWatch(string(request.Create.Key), int64(request.Create.StartRevision), cancel)
	defer p.closeWatch(watch)
	w.Header().Set("Content-Type", "application/json")
	send := func(response watchResponse) bool {
		if json.NewEncoder(w).Encode(watchMessage{Result: response}) != nil {
			return false
		}
		return http.NewResponseController(w).Flush() == nil
	}
	if !send(p.created()) {
		return
	}
	for ctx.Err() == nil {
		response, found := p.nextEvents(watch)
		if found && (!send(response) || response.Canceled) {
			return
		}
		select {
		case <-watch.wake:
		case <-ctx.Done():
		}
	}
	// A watch that the platform cuts must not look like a complete answer.
	panic(http.ErrAbortHandler)
}

func (p *Platform) openWatch(key string, start int64, cancel context.CancelFunc) *watcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	if start == 0 {
		start = p.state.revision + 1
	}
	w := &watcher{key: key, next: start, silent: p.faults.WatchesFrozen, wake: make(chan struct{}, 1), cancel: cancel}
	p.watches[w] = struct{}{}
	p.counters.Watches++
	return w
}

func (p *Platform) closeWatch(w *watcher) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.watches, w)
}

func (p *Platform) created() watchResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	return watchResponse{Header: *p.headerLocked(), Created: true}
}

// nextEvents returns the changes that the watch has not reported yet.
func (p *Platform) nextEvents(w *watcher) (watchResponse, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.silent {
		return watchResponse{}, false
	}
	response := watchResponse{Header: *p.headerLocked()}
	if w.next <= p.state.compacted {
		response.Canceled = true
		response.CancelReason = "mvcc: required revision has been compacted"
		response.CompactRevision = number(p.state.compacted)
		return response, true
	}
	for _, e := range p.state.changes(w.key, w.next) {
		response.Events = append(response.Events, event{Kv: keyValueOf(e)})
		w.next = e.ModRevision + 1
		// One event in a message keeps a message within the size of one value.
		break
	}
	if len(response.Events) == 0 {
		return response, false
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return response, true
}
