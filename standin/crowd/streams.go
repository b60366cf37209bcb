package crowd

import (
	"bytes"
	"net"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// messageHead begins a gRPC message of 1 MiB: no compression, and the length in four bytes.
var messageHead = []byte{0, 0, 0x10, 0, 0}

// Streams opens count gRPC calls of a method and sends the beginning of a message on each of them.
func Streams(method string, count, messageBytes int) Client {
	return Client{Send: func(conn net.Conn) error {
		var b bytes.Buffer
		b.WriteString(http2.ClientPreface)
		framer := http2.NewFramer(&b, nil)
		if err := framer.WriteSettings(); err != nil {
			return err
		}
		encoder := hpack.NewEncoder(&b)
		data := append(bytes.Clone(messageHead), make([]byte, messageBytes)...)
		for i := range count {
			id := uint32(2*i + 1)
			if err := writeStream(framer, encoder, &b, id, method, data); err != nil {
				return err
			}
		}
		_, err := conn.Write(b.Bytes())
		return err
	}}
}

// writeStream appends the frames of one call to b, which framer writes to.
func writeStream(framer *http2.Framer, encoder *hpack.Encoder, b *bytes.Buffer, id uint32, method string, data []byte) error {
	start := b.Len()
	for _, field := range []hpack.HeaderField{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: method},
		{Name: ":authority", Value: "localhost"}, {Name: "content-type", Value: "application/grpc"}, {Name: "te", Value: "trailers"},
	} {
		if err := encoder.WriteField(field); err != nil {
			return err
		}
	}
	block := bytes.Clone(b.Bytes()[start:])
	b.Truncate(start)
	if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block, EndHeaders: true}); err != nil {
		return err
	}
	return framer.WriteData(id, false, data)
}
