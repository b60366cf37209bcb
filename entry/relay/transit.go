package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// transit measures how long requests and answers travel on one connection.
type transit struct {
	roundTrip time.Duration
	// used is set once a request has come: the caller waited for the opening of
	// the connection before the first one only.
	used atomic.Bool
}

type transitKey struct{}

// withTransit is the ConnContext of the callers' server: the kernel has
// measured the round trip while the connection was opened.
func withTransit(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, transitKey{}, &transit{roundTrip: roundTrip(conn)})
}

// roundTrip returns the kernel's estimate, or 0 if it gives none.
func roundTrip(conn net.Conn) time.Duration {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var trip time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			trip = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return trip
}

// transitOf returns the time that a request and its answer travel.
func transitOf(r *http.Request) time.Duration {
	t, ok := r.Context().Value(transitKey{}).(*transit)
	if !ok {
		return 0
	}
	if t.used.Swap(true) {
		return t.roundTrip
	}
	return 2 * t.roundTrip
}
