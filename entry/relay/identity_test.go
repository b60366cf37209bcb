package relay

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

// Guards against a replica that gets the caller's key, or an account that the caller made up,
// and against a changed header where there are no accounts.
func TestReplicasGetTheAccountNotTheKey(t *testing.T) {
	c, _ := newCallerServer(t)
	r := httptest.NewRequest("GET", "/x", nil)
	r.Header.Set("Authorization", "bearer  k-1 ")
	r.Header.Set("X-Account", "made-up")
	r.Header.Set("X-Other", "kept")
	m := c.buildMessage(r, nil)
	if string(m.Credential) != "k-1" {
		t.Errorf("credential %q", m.Credential)
	}
	head := func() string { return string(m.Wire.(*wireRequest).identifiedHead(m, testHeaders)) }
	if h := head(); !strings.Contains(h, "Authorization: bearer  k-1") || !strings.Contains(h, "X-Account: made-up") {
		t.Errorf("without accounts: %q", h)
	}
	m.Identified = true // as on a public route without a key
	if h := head(); strings.Contains(h, "k-1") || strings.Contains(h, "X-Account") {
		t.Errorf("without an account: %q", h)
	}
	m.Account = "one"
	if h := head(); strings.Contains(h, "k-1") || strings.Count(h, "X-Account") != 1 || !strings.Contains(h, "X-Account: one\r\n") || !strings.Contains(h, "X-Other: kept") {
		t.Errorf("with an account: %q", h)
	}
	nodes := NewNodes(make(events, 1), testHeaders, testCallBytes)
	q := nodes.shardsRequest(forward.CallPeer{Message: m})
	if h := string(q.GetHead()); q.GetAccount() != "one" || strings.Contains(h, "k-1") || !strings.Contains(h, "X-Account: one\r\n") {
		t.Errorf("to another node: %q", h)
	}
	received := arrivedEvent(testHeaders, 1, q).Message
	if h := string(received.Wire.(*wireRequest).identifiedHead(received, testHeaders)); strings.Count(h, "X-Account") != 1 {
		t.Errorf("from another node: %q", h)
	}
}

// Guards against a key that is read from a field of another form.
func TestBearerToken(t *testing.T) {
	for _, c := range []struct {
		fields []string
		want   string
	}{
		{nil, ""}, {[]string{""}, ""}, {[]string{"Bearer"}, ""}, {[]string{"Bearer "}, ""}, {[]string{"Basic abc"}, ""},
		{[]string{"Bearerk"}, ""}, {[]string{"Bearer k", "Bearer l"}, ""}, {[]string{"BEARER k"}, "k"}, {[]string{"Bearer a b"}, "a b"},
	} {
		if got := string(bearerToken(c.fields)); got != c.want {
			t.Errorf("%q: %q, want %q", c.fields, got, c.want)
		}
	}
}

// Guards against a key that a node of an older version passes on and that then reaches a replica.
func TestKeyFromAnOlderNodeIsNotPassedOn(t *testing.T) {
	q := &nodepb.ShardsRequest{Path: "/x", Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k-1\r\nX-Account: made-up\r\nX-Other: kept\r\n")}
	m := arrivedEvent(testHeaders, 1, q).Message
	if string(m.Credential) != "k-1" {
		t.Errorf("credential %q", m.Credential)
	}
	wire := m.Wire.(*wireRequest)
	if h := string(wire.identifiedHead(m, testHeaders)); !strings.Contains(h, "k-1") || !strings.Contains(h, "made-up") {
		t.Errorf("without accounts: %q", h)
	}
	m.Identified, m.Account = true, "one"
	want := "GET /x HTTP/1.1\r\nHost: h\r\nX-Other: kept\r\nX-Account: one\r\n"
	if h := string(wire.identifiedHead(m, testHeaders)); h != want {
		t.Errorf("with accounts: %q, want %q", h, want)
	}
}
