// Package etcdstore adapts the published HTTP/JSON form of the etcd v3 API
// (/v3/kv/range, /v3/kv/txn, /v3/watch) to store.Store over net/http.
//
// A call goes to one endpoint and is sent at most once. An endpoint that fails
// is passed over by the next call.
package etcdstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/entry/store"
)

// DefaultMaxValue is the store's limit for a value in bytes (section 3 of the
// design page).
const DefaultMaxValue = 1 << 20

const (
	defaultCallTimeout    = 2 * time.Second
	defaultDialTimeout    = time.Second
	defaultMaxConnections = 16
	idleTimeout           = 60 * time.Second
	// messageOverhead is the room for JSON besides one base64 value, in bytes.
	messageOverhead = 64 << 10
	// errorTextLimit bounds the part of an error body that is quoted, in bytes.
	errorTextLimit = 300
)

// Settings describes the store to connect to. Zero values take defaults.
type Settings struct {
	// Endpoints are base URLs such as http://10.0.0.1:2379; at least one.
	Endpoints []string
	// MaxValue is the largest value in bytes.
	MaxValue int
	// CallTimeout bounds a read or write, and the wait for the head of a
	// watch's answer.
	CallTimeout time.Duration
	DialTimeout time.Duration
	// MaxConnections bounds the connections per endpoint.
	MaxConnections int
}

// Client is a store.Store.
type Client struct {
	settings  Settings
	endpoints []string
	client    *http.Client
	transport *http.Transport
	// current is the index of the endpoint in use, modulo the number of endpoints.
	current atomic.Uint32
}

var _ store.Store = (*Client)(nil)

// New returns a client. It opens no connection.
func New(s Settings) (*Client, error) {
	setDefaults(&s)
	c := &Client{settings: s}
	for _, endpoint := range s.Endpoints {
		u, err := url.Parse(endpoint)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return nil, store.ErrSettings.New("store endpoint %q is not an http or https URL", endpoint)
		}
		c.endpoints = append(c.endpoints, strings.TrimRight(endpoint, "/"))
	}
	if len(c.endpoints) == 0 {
		return nil, store.ErrSettings.New("no store endpoint is given")
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	c.transport = &http.Transport{
		DialContext:           (&net.Dialer{Timeout: s.DialTimeout}).DialContext,
		Protocols:             protocols,
		MaxConnsPerHost:       s.MaxConnections,
		MaxIdleConnsPerHost:   s.MaxConnections,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: s.CallTimeout,
		DisableCompression:    true,
	}
	c.client = &http.Client{
		Transport: c.transport,
		// Following a redirect would send the request again.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

func setDefaults(s *Settings) {
	if s.MaxValue == 0 {
		s.MaxValue = DefaultMaxValue
	}
	if s.CallTimeout == 0 {
		s.CallTimeout = defaultCallTimeout
	}
	if s.DialTimeout == 0 {
		s.DialTimeout = defaultDialTimeout
	}
	if s.MaxConnections == 0 {
		s.MaxConnections = defaultMaxConnections
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// messageLimit is the largest answer that is read: a base64 value and the rest.
func (c *Client) messageLimit() int64 {
	return int64(c.settings.MaxValue)*4/3 + messageOverhead
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) store.Read {
	return c.read(ctx, key, rangeRequest{Key: []byte(key)})
}

// Revision implements store.Store.
func (c *Client) Revision(ctx context.Context, key string) store.Read {
	out := c.read(ctx, key, rangeRequest{Key: []byte(key), KeysOnly: true})
	out.Value = nil
	return out
}

func (c *Client) read(ctx context.Context, key string, request rangeRequest) store.Read {
	var answer rangeResponse
	if _, err := c.call(ctx, "/v3/kv/range", request, &answer); err != nil {
		return store.Read{Result: event.ReadFailed, Err: err}
	}
	if answer.Header == nil || len(answer.Kvs) > 1 {
		return failedRead("range answer has no header or %d keys", len(answer.Kvs))
	}
	if len(answer.Kvs) == 0 {
		return store.Read{Result: event.ReadAbsent}
	}
	kv := answer.Kvs[0]
	if string(kv.Key) != key || kv.ModRevision <= 0 {
		return failedRead("range answer is for key %q at revision %d, want key %q", kv.Key, kv.ModRevision, key)
	}
	return store.Read{Result: event.ReadFound, Value: kv.Value, Revision: kv.ModRevision}
}

func failedRead(format string, args ...any) store.Read {
	return store.Read{Result: event.ReadFailed, Err: store.ErrProtocol.New(format, args...)}
}

// CompareAndSwap implements store.Store. An error answer of the store counts as
// WriteUnknown too, since something between may have sent it.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, ifRevision int64) store.Write {
	if len(value) > c.settings.MaxValue {
		err := store.ErrTooLarge.New("value of %d bytes for key %q is above the limit of %d bytes", len(value), key, c.settings.MaxValue)
		return store.Write{Result: event.WriteNotSent, Err: err}
	}
	request := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: ifRevision}},
		Success: []requestOp{{Put: &putRequest{Key: []byte(key), Value: value}}},
		Failure: []requestOp{{Range: &rangeRequest{Key: []byte(key), KeysOnly: true}}},
	}
	var answer txnResponse
	sent, err := c.call(ctx, "/v3/kv/txn", request, &answer)
	switch {
	case err != nil && !sent:
		return store.Write{Result: event.WriteNotSent, Err: err}
	case err != nil:
		return store.Write{Result: event.WriteUnknown, Err: err}
	case answer.Header == nil || answer.Header.Revision <= 0:
		return store.Write{Result: event.WriteUnknown, Err: store.ErrProtocol.New("transaction answer has no revision")}
	case answer.Succeeded:
		return store.Write{Result: event.WriteApplied, Revision: answer.Header.Revision}
	}
	return store.Write{Result: event.WriteConflict, Revision: presentRevision(answer, key)}
}

// presentRevision returns the key's revision from the failure branch.
func presentRevision(answer txnResponse, key string) int64 {
	for _, op := range answer.Responses {
		if op.Range == nil {
			continue
		}
		for _, kv := range op.Range.Kvs {
			if string(kv.Key) == key {
				return kv.ModRevision
			}
		}
	}
	return 0
}

// call sends one request and decodes the answer. Sent is false only if no
// connection was obtained for the request, so that certainly no byte left.
func (c *Client) call(ctx context.Context, path string, body, answer any) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	response, sent, err := c.send(ctx, path, body)
	if err != nil {
		return sent, err
	}
	defer func() { _ = response.Body.Close() }()
	limit := c.messageLimit()
	text, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return true, store.ErrUnavailable.Wrap(err, "read answer of %s", path)
	}
	if int64(len(text)) > limit {
		return true, store.ErrProtocol.New("answer of %s is above %d bytes", path, limit)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return true, store.ErrProtocol.Wrap(err, "decode answer of %s", path)
	}
	return true, nil
}

// send returns the answer with status 200, whose body the caller must close.
func (c *Client) send(ctx context.Context, path string, body any) (*http.Response, bool, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, false, store.ErrProtocol.Wrap(err, "encode request of %s", path)
	}
	var sent atomic.Bool
	// net/http may take another connection if a reused one turns out to be
	// closed before any byte was written; it does not repeat a POST after that.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	chosen := c.current.Load()
	endpoint := c.endpoints[int(chosen)%len(c.endpoints)]
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, endpoint+path, bytes.NewReader(text))
	if err != nil {
		return nil, false, store.ErrProtocol.Wrap(err, "build request of %s", path)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		c.passOver(ctx, chosen)
		return nil, sent.Load(), store.ErrUnavailable.Wrap(err, "call %s", path)
	}
	if response.StatusCode == http.StatusOK {
		return response, true, nil
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusInternalServerError {
		c.passOver(ctx, chosen)
	}
	quoted, _ := io.ReadAll(io.LimitReader(response.Body, errorTextLimit))
	// The store answers "too many requests" before it looks at the request, so
	// a write refused this way is certainly not applied.
	handled := response.StatusCode != http.StatusTooManyRequests
	return nil, handled, store.ErrUnavailable.New("call %s: status %d: %s", path, response.StatusCode, bytes.TrimSpace(quoted))
}

// passOver makes the next call use another endpoint, unless the caller ended
// the call itself or another call has moved on already.
func (c *Client) passOver(ctx context.Context, chosen uint32) {
	if context.Cause(ctx) != context.Canceled {
		c.current.CompareAndSwap(chosen, chosen+1)
	}
}
