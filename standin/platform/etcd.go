package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// gRPC status codes that error bodies carry.
const (
	codeInvalidArgument   = 3
	codeResourceExhausted = 8
	codeUnimplemented     = 12
	codeUnavailable       = 14
)

// jsonInt64 is a 64-bit integer as in protobuf's JSON mapping: encoded as a
// string, decoded from a string or a number.
type jsonInt64 int64

func (n jsonInt64) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(n), 10))), nil
}

func (n *jsonInt64) UnmarshalJSON(text []byte) error {
	if unquoted, err := strconv.Unquote(string(text)); err == nil {
		text = []byte(unquoted)
	}
	value, err := strconv.ParseInt(string(text), 10, 64)
	*n = jsonInt64(value)
	return err
}

type header struct {
	ClusterID jsonInt64 `json:"cluster_id"`
	MemberID  jsonInt64 `json:"member_id"`
	Revision  jsonInt64 `json:"revision"`
	RaftTerm  jsonInt64 `json:"raft_term"`
}

type rangeRequest struct {
	Key      []byte    `json:"key"`
	RangeEnd []byte    `json:"range_end"`
	Revision jsonInt64 `json:"revision"`
	KeysOnly bool      `json:"keys_only"`
}

type rangeResponse struct {
	Header *header    `json:"header,omitempty"`
	Kvs    []keyValue `json:"kvs,omitempty"`
	Count  jsonInt64  `json:"count,omitempty"`
}

type keyValue struct {
	Key            []byte    `json:"key"`
	CreateRevision jsonInt64 `json:"create_revision"`
	ModRevision    jsonInt64 `json:"mod_revision"`
	Version        jsonInt64 `json:"version"`
	Value          []byte    `json:"value,omitempty"`
}

type txnRequest struct {
	Compare []compare `json:"compare"`
	Success []op      `json:"success"`
	Failure []op      `json:"failure"`
}

type compare struct {
	Key         []byte    `json:"key"`
	Target      string    `json:"target"`
	Result      string    `json:"result"`
	ModRevision jsonInt64 `json:"mod_revision"`
}

type op struct {
	Put   *putRequest   `json:"request_put"`
	Range *rangeRequest `json:"request_range"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []opResponse `json:"responses,omitempty"`
}

type opResponse struct {
	Put   *putResponse   `json:"response_put,omitempty"`
	Range *rangeResponse `json:"response_range,omitempty"`
}

type putResponse struct {
	Header header `json:"header"`
}

type errorBody struct {
	Error   string `json:"error"`
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// Handler returns the HTTP handler of the store and the VM list.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", p.serveRange)
	mux.HandleFunc("POST /v3/kv/txn", p.serveTxn)
	mux.HandleFunc("POST /v3/watch", p.serveWatch)
	mux.HandleFunc("GET /v1/vms", p.serveVMs)
	return mux
}

// admitStoreCall counts a store call, decodes its body and applies the injected
// faults and the rate limit. It returns false if the call is over: an error was
// written or the client disconnected.
func (p *Platform) admitStoreCall(w http.ResponseWriter, r *http.Request, write bool, into any) bool {
	p.mu.Lock()
	limiter := p.reads
	if write {
		limiter = p.writes
		p.counters.Writes++
	} else {
		p.counters.Reads++
	}
	p.mu.Unlock()
	// The body is read before any delay, because net/http detects a disconnected
	// client only after the body was read. Base64 and JSON encoding take less than
	// twice the value's size.
	body := http.MaxBytesReader(w, r.Body, int64(p.settings.MaxValue)*2+4096)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, err.Error())
		return false
	}
	if !p.injectDelay(r.Context(), true) {
		return false
	}
	if p.Faults().StoreFails {
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, "etcdserver: no leader")
		return false
	}
	if !limiter.Allow() {
		p.updateCounters(func(c *Counters) { c.RateLimited++ })
		writeError(w, http.StatusTooManyRequests, codeResourceExhausted, "etcdserver: too many requests")
		return false
	}
	return true
}

func (p *Platform) updateCounters(change func(*Counters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.counters)
}

func (p *Platform) serveRange(w http.ResponseWriter, r *http.Request) {
	var request rangeRequest
	if !p.admitStoreCall(w, r, false, &request) {
		return
	}
	if len(request.RangeEnd) > 0 || request.Revision != 0 {
		writeError(w, http.StatusNotImplemented, codeUnimplemented, "only single keys at the newest revision are served")
		return
	}
	p.mu.Lock()
	answer := p.rangeLocked(&request)
	answer.Header = p.headerLocked()
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func (p *Platform) headerLocked() *header {
	return &header{ClusterID: 1, MemberID: 1, RaftTerm: 1, Revision: jsonInt64(p.state.revision)}
}

func (p *Platform) rangeLocked(request *rangeRequest) *rangeResponse {
	e, found := p.state.entries[string(request.Key)]
	if !found {
		return &rangeResponse{}
	}
	kv := keyValueOf(e)
	if request.KeysOnly {
		kv.Value = nil
	}
	return &rangeResponse{Kvs: []keyValue{kv}, Count: 1}
}

func keyValueOf(e Entry) keyValue {
	return keyValue{
		Key: []byte(e.Key), Value: e.Value, CreateRevision: jsonInt64(e.CreateRevision),
		ModRevision: jsonInt64(e.ModRevision), Version: jsonInt64(e.Version),
	}
}

func (p *Platform) serveTxn(w http.ResponseWriter, r *http.Request) {
	var request txnRequest
	if !p.admitStoreCall(w, r, true, &request) {
		return
	}
	if code, text := p.checkTxn(&request); code != 0 {
		writeError(w, code, codeInvalidArgument, text)
		return
	}
	p.mu.Lock()
	if p.faults.LoseWrites > 0 {
		p.faults.LoseWrites--
		p.counters.WritesLost++
		if p.faults.DelayApplyMS != 0 {
			p.scheduleApplyLocked(&request)
		} else {
			p.applyLocked(&request)
		}
		p.mu.Unlock()
		// This panic makes net/http close the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	answer := p.applyLocked(&request)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

// checkTxn returns an HTTP status and an error message if the transaction uses
// unsupported features or a value is too large, and 0 otherwise.
func (p *Platform) checkTxn(request *txnRequest) (int, string) {
	for _, c := range request.Compare {
		if c.Target != "MOD" || (c.Result != "EQUAL" && c.Result != "") {
			return http.StatusNotImplemented, "only compares of MOD with EQUAL are served"
		}
	}
	for _, o := range append(append([]op{}, request.Success...), request.Failure...) {
		if (o.Put == nil) == (o.Range == nil) || (o.Range != nil && len(o.Range.RangeEnd) > 0) {
			return http.StatusNotImplemented, "an operation must be one put or one range of a single key"
		}
		if o.Put != nil && len(o.Put.Value) > p.settings.MaxValue {
			p.updateCounters(func(c *Counters) { c.TooLarge++ })
			return http.StatusBadRequest, "etcdserver: request is too large"
		}
	}
	return 0, ""
}

// applyLocked evaluates the compares, runs the operations of the matching branch
// and notifies the watchers.
func (p *Platform) applyLocked(request *txnRequest) txnResponse {
	answer := txnResponse{Succeeded: true}
	for _, c := range request.Compare {
		if p.state.entries[string(c.Key)].ModRevision != int64(c.ModRevision) {
			answer.Succeeded = false
		}
	}
	ops := request.Success
	if !answer.Succeeded {
		ops = request.Failure
		p.counters.WriteConflicts++
	}
	for _, o := range ops {
		if o.Put != nil {
			p.state.put(string(o.Put.Key), o.Put.Value)
			p.counters.WritesApplied++
			answer.Responses = append(answer.Responses, opResponse{Put: &putResponse{Header: *p.headerLocked()}})
			continue
		}
		answer.Responses = append(answer.Responses, opResponse{Range: p.rangeLocked(o.Range)})
	}
	answer.Header = *p.headerLocked()
	p.notifyWatchersLocked()
	return answer
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	p.updateCounters(func(c *Counters) { c.VMLists++ })
	if !p.injectDelay(r.Context(), false) {
		return
	}
	if p.Faults().VMsFail {
		writeError(w, http.StatusServiceUnavailable, codeUnavailable, "VM list is unavailable")
		return
	}
	vms := p.visibleVMs()
	if vms == nil {
		vms = []VM{}
	}
	writeJSON(w, http.StatusOK, map[string][]VM{"vms": vms})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status, code int, text string) {
	writeJSON(w, status, errorBody{Error: text, Message: text, Code: code})
}
