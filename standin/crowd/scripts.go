package crowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	// EndlessBytes is how much a client sends of what has no end.
	EndlessBytes = 2 << 20
	// pieceBytes and piecePause are the size of a piece and the pause after it for clients that
	// send piece by piece.
	pieceBytes = 16 << 10
	piecePause = 20 * time.Millisecond
)

// Request is the request line and the host of a request that the server accepts.
type Request struct {
	Host, Path string
	// Fields are further header fields, each with its line end.
	Fields string
}

func (r Request) head(method, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s%s", method, r.Path, r.Host, r.Fields, more)
}

// write returns a client that sends a text.
func write(text string) Client {
	return Client{Send: func(conn net.Conn) error {
		_, err := conn.Write([]byte(text))
		return err
	}}
}

// Silent sends nothing.
func Silent() Client { return Client{Send: func(net.Conn) error { return nil }} }

// EndlessField sends a header field whose value does not end.
func (r Request) EndlessField() Client {
	return write(r.head("GET", "X-Long: ") + strings.Repeat("a", EndlessBytes))
}

// EndlessFields sends short header fields without end.
func (r Request) EndlessFields() Client { return write(r.head("GET", shortFields(EndlessBytes))) }

// UnfinishedFields sends short header fields of size bytes and stops before the end of the header.
func (r Request) UnfinishedFields(size int) Client { return write(r.head("GET", shortFields(size))) }

// shortFields returns header fields with different names, about size bytes together.
func shortFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// EmptyLines sends empty lines without end before a request.
func EmptyLines() Client { return write(strings.Repeat("\r\n", EndlessBytes/2)) }

// EmptyLinesLater sends empty lines without end after a complete request.
func (r Request) EmptyLinesLater() Client {
	return write(r.head("POST", "Content-Length: 1\r\n\r\nx") + strings.Repeat("\r\n", EndlessBytes/2))
}

// Body sends a body of size bytes, of which it leaves out the last ones.
func (r Request) Body(size, left int) Client {
	return write(r.head("POST", fmt.Sprintf("Content-Length: %d\r\n\r\n", size)) + strings.Repeat("b", size-left))
}

// BodyInPieces sends all but the last byte of a body in pieces.
func (r Request) BodyInPieces(size int) Client {
	head := r.head("POST", fmt.Sprintf("Content-Length: %d\r\n\r\n", size))
	return Client{Send: func(conn net.Conn) error {
		if _, err := conn.Write([]byte(head)); err != nil {
			return err
		}
		for left := size - 1; left > 0; left -= pieceBytes {
			if _, err := conn.Write(bytes.Repeat([]byte("b"), min(left, pieceBytes))); err != nil {
				return err
			}
			time.Sleep(piecePause)
		}
		return nil
	}}
}

// Chunks sends a body of size bytes in chunks and stops before the last chunk. end follows the
// chunks.
func (r Request) Chunks(size, chunkBytes int, end string) Client {
	var b strings.Builder
	b.WriteString(r.head("POST", "Transfer-Encoding: chunked\r\n\r\n"))
	for range size / chunkBytes {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", chunkBytes, strings.Repeat("c", chunkBytes))
	}
	return write(b.String() + end)
}

// EndlessChunkExtension sends a chunk size whose extension does not end.
func (r Request) EndlessChunkExtension() Client {
	return r.Chunks(0, 1, "1;x="+strings.Repeat("e", EndlessBytes))
}

// EndlessTrailer sends a trailer that does not end after a chunked body.
func (r Request) EndlessTrailer() Client {
	return r.Chunks(1, 1, "0\r\n"+shortFields(EndlessBytes))
}

// Pipelined sends count requests at once and reads no response.
func (r Request) Pipelined(count int) Client {
	return write(strings.Repeat(r.head("GET", "\r\n"), count)).Unread()
}

// Text sends count requests with a body at once.
func (r Request) Text(body string, count int) Client {
	return write(strings.Repeat(r.head("POST", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))+body, count))
}

// Unread makes a client read no responses.
func (c Client) Unread() Client {
	c.IgnoresResponses = true
	return c
}

// Idle sends a request, reads the response and keeps the connection open.
func (r Request) Idle() Client { return write(r.head("GET", "\r\n")) }
