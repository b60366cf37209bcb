// Package etcdstore adapts the published HTTP/JSON form of the etcd v3 API
// (/v3/kv/range, /v3/kv/txn, /v3/watch) to store.Store over net/http.
//
// Each call uses one endpoint and is sent at most once. After an endpoint has
// failed, the next call uses the next endpoint.
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

// DefaultMaxValue is the default limit for a value in bytes, which is the limit
// of the store (section 3 of the design page).
const DefaultMaxValue = 1 << 20

const (
	defaultCallTimeout    = 2 * time.Second
	defaultDialTimeout    = time.Second
	defaultMaxConnections = 16
	idleTimeout           = 60 * time.Second
	// messageOverhead is the allowance, in bytes, for the JSON around one base64
	// value.
	messageOverhead = 64 << 10
	// errorBodyLimit bounds, in bytes, the part of an error response's body that
	// is quoted in the error.
	errorBodyLimit = 300
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// Settings describes the store to connect to. Zero values mean the defaults.
type Settings struct {
	// Endpoints are base URLs such as http://10.0.0.1:2379; at least one.
	Endpoints []string
	// MaxValue is the largest value in bytes.
	MaxValue int
	// CallTimeout bounds a read or write, and the wait for the response headers
	// of a watch.
	CallTimeout time.Duration
	// DialTimeout bounds the connection set-up.
	DialTimeout time.Duration
	// MaxConnections bounds the connections per endpoint.
	MaxConnections int
}

// Client is a store.Store on the HTTP/JSON API of etcd. It is safe for concurrent
// use.
type Client struct {
	settings  Settings
	endpoints []string
	client    *http.Client
	transport *http.Transport
	// current is the index of the endpoint in use, modulo the number of endpoints.
	current atomic.Uint32
}

var _ store.Store = (*Client)(nil)

// New checks the settings and returns a client. It opens no connection.
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
		return nil, store.ErrSettings.New("no store endpoint is configured")
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	c.transport = &http.Transport{
		DialContext:            (&net.Dialer{Timeout: s.DialTimeout}).DialContext,
		Protocols:              protocols,
		MaxConnsPerHost:        s.MaxConnections,
		MaxIdleConnsPerHost:    s.MaxConnections,
		IdleConnTimeout:        idleTimeout,
		ResponseHeaderTimeout:  s.CallTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
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

// messageLimit returns the largest response that is read, in bytes: one base64
// value, which is 4/3 of its size, and the overhead.
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
	var response rangeResponse
	if _, err := c.call(ctx, "/v3/kv/range", request, &response); err != nil {
		return store.Read{Result: event.ReadFailed, Err: err}
	}
	if response.Header == nil || len(response.Kvs) > 1 {
		return failedRead("range response has no header or too many keys (%d)", len(response.Kvs))
	}
	if len(response.Kvs) == 0 {
		return store.Read{Result: event.ReadAbsent}
	}
	kv := response.Kvs[0]
	if string(kv.Key) != key || kv.ModRevision <= 0 {
		return failedRead("range response is for key %q at revision %d, want key %q", kv.Key, kv.ModRevision, key)
	}
	return store.Read{Result: event.ReadFound, Value: kv.Value, Revision: kv.ModRevision}
}

func failedRead(format string, args ...any) store.Read {
	return store.Read{Result: event.ReadFailed, Err: store.ErrProtocol.New(format, args...)}
}

// CompareAndSwap implements store.Store. An error response also counts as
// WriteUnknown, because a proxy between the client and the store may have sent
// it. Of the error responses, only status 429 (too many requests) counts as not
// sent.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, ifRevision int64) store.Write {
	if len(value) > c.settings.MaxValue {
		err := store.ErrTooLarge.New("value of %d bytes for key %q exceeds the limit of %d bytes", len(value), key, c.settings.MaxValue)
		return store.Write{Result: event.WriteNotSent, Err: err}
	}
	request := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: ifRevision}},
		Success: []requestOp{{Put: &putRequest{Key: []byte(key), Value: value}}},
		Failure: []requestOp{{Range: &rangeRequest{Key: []byte(key), KeysOnly: true}}},
	}
	var response txnResponse
	sent, err := c.call(ctx, "/v3/kv/txn", request, &response)
	switch {
	case err != nil && !sent:
		return store.Write{Result: event.WriteNotSent, Err: err}
	case err != nil:
		return store.Write{Result: event.WriteUnknown, Err: err}
	case response.Header == nil || response.Header.Revision <= 0:
		return store.Write{Result: event.WriteUnknown, Err: store.ErrProtocol.New("transaction response has no revision")}
	case response.Succeeded:
		return store.Write{Result: event.WriteApplied, Revision: response.Header.Revision}
	}
	return store.Write{Result: event.WriteConflict, Revision: currentRevision(response, key)}
}

// currentRevision returns the key's revision from the failure branch of a
// transaction, or 0 if the key does not exist.
func currentRevision(response txnResponse, key string) int64 {
	for _, op := range response.Responses {
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

// call sends one request and decodes the response into result. sent is false only
// if the store certainly has not processed the request: no connection was
// obtained, so no byte was written, or the store refused it with status 429.
func (c *Client) call(ctx context.Context, path string, body, result any) (sent bool, err error) {
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
		return true, store.ErrUnavailable.Wrap(err, "read response of %s", path)
	}
	if int64(len(text)) > limit {
		return true, store.ErrProtocol.New("response of %s exceeds %d bytes", path, limit)
	}
	if err := json.Unmarshal(text, result); err != nil {
		return true, store.ErrProtocol.Wrap(err, "decode response of %s", path)
	}
	return true, nil
}

// send sends one request and returns the response if its status is 200; the
// caller must then close the body. The bool is false if the store certainly has
// not processed the request.
func (c *Client) send(ctx context.Context, path string, body any) (*http.Response, bool, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, false, store.ErrProtocol.Wrap(err, "encode request of %s", path)
	}
	var sent atomic.Bool
	// net/http may retry on another connection if a reused connection turns out
	// to be closed before any byte was written. Once a byte was written, it does
	// not retry a POST.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	used := c.current.Load()
	endpoint := c.endpoints[int(used)%len(c.endpoints)]
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, endpoint+path, bytes.NewReader(text))
	if err != nil {
		return nil, false, store.ErrProtocol.Wrap(err, "build request of %s", path)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		c.advanceEndpoint(ctx, used)
		return nil, sent.Load(), store.ErrUnavailable.Wrap(err, "call %s", path)
	}
	if response.StatusCode == http.StatusOK {
		return response, true, nil
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusInternalServerError {
		c.advanceEndpoint(ctx, used)
	}
	quoted, _ := io.ReadAll(io.LimitReader(response.Body, errorBodyLimit))
	// The store answers status 429 before it processes the request, so a write
	// refused this way is certainly not applied.
	processed := response.StatusCode != http.StatusTooManyRequests
	return nil, processed, store.ErrUnavailable.New("call %s: status %d: %s", path, response.StatusCode, bytes.TrimSpace(quoted))
}

// advanceEndpoint makes the next call use the next endpoint, unless the caller
// cancelled this call or another call has advanced already. used is the value of
// current with which this call started.
func (c *Client) advanceEndpoint(ctx context.Context, used uint32) {
	if context.Cause(ctx) != context.Canceled {
		c.current.CompareAndSwap(used, used+1)
	}
}
