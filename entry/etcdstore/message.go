package etcdstore

// The types below are the JSON form of the etcd v3 API that etcd's gRPC gateway
// defines: bytes are base64 strings, 64-bit integers are decimal strings, and
// fields with their zero value are omitted.

type rangeRequest struct {
	Key      []byte `json:"key"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

type rangeResponse struct {
	Header *header    `json:"header"`
	Kvs    []keyValue `json:"kvs"`
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
	Failure []requestOp `json:"failure"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type requestOp struct {
	Put   *putRequest   `json:"request_put,omitempty"`
	Range *rangeRequest `json:"request_range,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type txnResponse struct {
	Header    *header      `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

type responseOp struct {
	Range *rangeResponse `json:"response_range"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchMessage struct {
	Result *watchResponse `json:"result"`
	Error  *struct {
		Message string `json:"message"`
	} `json:"error"`
}

type watchResponse struct {
	Header          *header      `json:"header"`
	Created         bool         `json:"created"`
	Canceled        bool         `json:"canceled"`
	CancelReason    string       `json:"cancel_reason"`
	CompactRevision int64        `json:"compact_revision,string"`
	Events          []watchEvent `json:"events"`
}

type watchEvent struct {
	// Type is DELETE for deletions. PUT is the zero value and may be omitted.
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}
