package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one client attempt.
type request struct {
	id       string
	method   string
	path     string
	body     []byte
	deadline time.Duration // X-Deadline-Milliseconds
}

// answer is what the client saw of a request.
type answer struct {
	status int // 0 if the connection ended without a complete answer
	header http.Header
	body   []byte
	err    error
	sentAt time.Time // when the last byte was sent
	took   time.Duration
}

func (a *answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("status %d after %d ms, stamp %q, %d bytes", a.status, a.took.Milliseconds(), a.header.Get("X-Server-Stamp"), len(a.body))
}

// host is the Host of all routes.
const host = "pupu76.example"

// dialClient opens a connection of a client.
func dialClient(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, time.Second)
}

// do sends a request on a connection and reads its answer. The client waits for a little longer
// than its deadline.
func do(conn net.Conn, q request) *answer {
	a := &answer{}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n", q.method, q.path, host, q.id, q.deadline.Milliseconds())
	if q.body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	begun := time.Now()
	_, a.err = conn.Write(append([]byte(head+"\r\n"), q.body...))
	a.sentAt = time.Now()
	if a.err == nil {
		_ = conn.SetReadDeadline(begun.Add(q.deadline + time.Second))
		var response *http.Response
		response, a.err = http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
		if a.err == nil {
			a.body, a.err = io.ReadAll(response.Body)
		}
		if a.err == nil {
			a.status, a.header = response.StatusCode, response.Header
		}
	}
	a.took = time.Since(begun)
	return a
}

// send sends a request on a new connection.
func send(address string, q request) *answer {
	conn, err := dialClient(address)
	if err != nil {
		return &answer{err: err, sentAt: time.Now()}
	}
	defer func() { _ = conn.Close() }()
	return do(conn, q)
}

// filler returns n bytes of a body.
func filler(n int) []byte { return bytes.Repeat([]byte("baobab-"), n/7+1)[:n] }
