package platform

import (
	"context"
	"encoding/json"
	"net/http"
)

type watchRequest struct {
	Create *struct {
		Key           []byte    `json:"key"`
		RangeEnd      []byte    `json:"range_end"`
		StartRevision jsonInt64 `json:"start_revision"`
	} `json:"create_request"`
}

type watchMessage struct {
	Result watchResponse `json:"result"`
}

type watchResponse struct {
	Header          header    `json:"header"`
	WatchID         jsonInt64 `json:"watch_id,omitempty"`
	Created         bool      `json:"created,omitempty"`
	Canceled        bool      `json:"canceled,omitempty"`
	CancelReason    string    `json:"cancel_reason,omitempty"`
	CompactRevision jsonInt64 `json:"compact_revision,omitempty"`
	Events          []event   `json:"events,omitempty"`
}

// event is a PUT event. PUT is the zero value of etcd's event type, which JSON
// omits.
type event struct {
	Kv keyValue `json:"kv"`
}

// watcher is one open watch. Its fields are guarded by Platform.mu.
type watcher struct {
	key          string
	nextRevision int64
	frozen       bool
	// wake signals that there may be events to send. Its buffer holds one signal;
	// further ones are dropped.
	wake   chan struct{}
	cancel context.CancelFunc
}

// notifyWatchersLocked makes every open watch look for new events.
func (p *Platform) notifyWatchersLocked() {
	for w := range p.watches {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if !p.admitStoreCall(w, r, false, &request) {
		return
	}
	if request.Create == nil || len(request.Create.RangeEnd) > 0 {
		writeError(w, http.StatusNotImplemented, codeUnimplemented, "only the creation of a watch of a single key is served")
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
	if !send(p.createdResponse()) {
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
	// Abort the connection, so that a watch that was cut off (see Restore) does not
	// look like a complete answer.
	panic(http.ErrAbortHandler)
}

func (p *Platform) openWatch(key string, start int64, cancel context.CancelFunc) *watcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	if start == 0 {
		start = p.state.revision + 1
	}
	w := &watcher{key: key, nextRevision: start, frozen: p.faults.WatchesFrozen, wake: make(chan struct{}, 1), cancel: cancel}
	p.watches[w] = struct{}{}
	p.counters.Watches++
	return w
}

func (p *Platform) closeWatch(w *watcher) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.watches, w)
}

func (p *Platform) createdResponse() watchResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	return watchResponse{Header: *p.headerLocked(), Created: true}
}

// nextEvents returns the next change that the watch has not sent yet, or its
// cancellation if that change has been compacted. It returns false if there is
// nothing to send.
func (p *Platform) nextEvents(w *watcher) (watchResponse, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.frozen {
		return watchResponse{}, false
	}
	response := watchResponse{Header: *p.headerLocked()}
	if w.nextRevision <= p.state.compactRevision {
		response.Canceled = true
		response.CancelReason = "mvcc: required revision has been compacted"
		response.CompactRevision = jsonInt64(p.state.compactRevision)
		return response, true
	}
	for _, e := range p.state.changes(w.key, w.nextRevision) {
		response.Events = append(response.Events, event{Kv: keyValueOf(e)})
		w.nextRevision = e.ModRevision + 1
		// Sending one event per message keeps a message within the size of one value.
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
