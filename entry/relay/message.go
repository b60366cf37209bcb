package relay

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
)

// This file converts the requests of callers to the form in which they are sent on.

const (
	// headReserve is the space in bytes for the header fields that are added to each attempt.
	headReserve = 160
	// fieldOverhead is the number of bytes that a header field has beside its name and value.
	fieldOverhead = len(": \r\n")
)

// wireRequest is a caller's request in the form that is sent to targets.
type wireRequest struct {
	method string
	// head is the request line and the header, without the fields that differ between attempts
	// and without the empty line at the end.
	head []byte
	// identity holds the header fields in which the caller names its account or its key. They
	// are sent to replicas only if the configuration has no accounts.
	identity []byte
	body     []byte
	id       string
}

// identifiedHead returns the header of a request, completed with the account that the engine
// determined or, if there are no accounts, with what the caller sent.
func (r *wireRequest) identifiedHead(m *forward.Message, headers Headers) []byte {
	head := make([]byte, 0, len(r.head)+len(r.identity)+headReserve)
	head = append(head, r.head...)
	switch {
	case !m.Identified:
		head = append(head, r.identity...)
	case m.Account != "":
		head = appendField(head, headers.Account, m.Account)
	}
	return head
}

// buildMessage converts a request to the message that is sent to targets.
func (c *CallerServer) buildMessage(r *http.Request, body []byte) *forward.Message {
	uri := r.RequestURI
	if strings.HasPrefix(uri, "http://") || strings.HasPrefix(uri, "https://") {
		uri = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(uri, "?")
	id := r.Header.Get(c.headers.RequestID)
	head := make([]byte, 0, 512)
	head = append(head, r.Method...)
	head = append(head, ' ')
	head = append(head, uri...)
	head = append(head, " HTTP/1.1\r\nHost: "...)
	head = append(head, r.Host...)
	head = append(head, "\r\n"...)
	var identity []byte
	skipped := hopByHopHeaders(r.Header)
	for name, values := range r.Header {
		if skipped[name] || name == c.headers.TimeLeft || name == c.headers.ExpectReplica {
			continue
		}
		for _, v := range values {
			if name == authorizationHeader || name == c.headers.Account {
				identity = appendField(identity, name, v)
			} else {
				head = appendField(head, name, v)
			}
		}
	}
	if len(body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head = appendField(head, "Content-Length", strconv.Itoa(len(body)))
	}
	hash := xxhash.New()
	_, _ = hash.WriteString(r.Method + " " + r.Host + uri) // never fails
	_, _ = hash.Write(body)
	return &forward.Message{
		Host: r.Host, Path: path, CallerRequest: id, Fingerprint: api.Fingerprint(hash.Sum64()),
		Credential: bearerToken(r.Header[authorizationHeader]),
		Wire:       &wireRequest{method: r.Method, head: head, identity: identity, body: body, id: id},
	}
}

const (
	authorizationHeader = "Authorization"
	bearerScheme        = "Bearer "
)

// splitIdentity separates the fields in which a caller names its account or its key from the rest
// of a head, and returns the key.
func splitIdentity(headers Headers, head []byte) (rest, identity, credential []byte) {
	var authorization []string
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(": "))
		switch string(name) {
		case authorizationHeader:
			authorization = append(authorization, string(bytes.TrimSpace(value)))
			identity = append(identity, line...)
		case headers.Account:
			identity = append(identity, line...)
		default:
			rest = append(rest, line...)
		}
	}
	return rest, identity, bearerToken(authorization)
}

// bearerToken returns the token of the only Authorization field (RFC 6750, section 2.1), or nil
// if there is none or it has another form.
func bearerToken(fields []string) []byte {
	if len(fields) != 1 || len(fields[0]) <= len(bearerScheme) || !strings.EqualFold(fields[0][:len(bearerScheme)], bearerScheme) {
		return nil
	}
	return []byte(strings.TrimSpace(fields[0][len(bearerScheme):]))
}

func appendField(head []byte, name, value string) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

// hopByHopHeaders returns the header fields that are not forwarded: those that concern one
// connection only (RFC 9110, section 7.6.1) and those that are set anew.
func hopByHopHeaders(h http.Header) map[string]bool {
	skipped := map[string]bool{
		"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
		"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
		"Proxy-Authorization": true, "Proxy-Authenticate": true,
	}
	for _, list := range h["Connection"] {
		for option := range strings.SplitSeq(list, ",") {
			skipped[http.CanonicalHeaderKey(strings.TrimSpace(option))] = true
		}
	}
	return skipped
}
