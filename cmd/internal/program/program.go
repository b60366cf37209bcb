// Package program holds what the thin programs share: logs, signals and the
// admin listener.
package program

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
)

// Exit codes of the programs.
const (
	ExitOK = 0
	// ExitFailed is a failure while running.
	ExitFailed = 1
	// ExitUsage is a wrong argument or setting.
	ExitUsage = 2
)

// stopLimit bounds how long Admin.Close waits for requests.
const stopLimit = 2 * time.Second

// NewLogger writes key=value lines with a time in UTC.
func NewLogger(w io.Writer) log.Logger {
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(w)), "ts", log.DefaultTimestampUTC)
}

// Context returns a context that ends on the first SIGTERM or SIGINT. The
// second one ends the process at once.
func Context() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// Admin serves an HTTP handler on a listener of its own.
type Admin struct {
	// Address is the address that it listens on.
	Address string
	server  *http.Server
}

// ServeAdmin opens a listener and serves; port 0 lets the kernel choose.
func ServeAdmin(address string, handler http.Handler) (*Admin, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &Admin{Address: inner.Addr().String(), server: &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}}
	go func() { _ = a.server.Serve(inner) }()
	return a, nil
}

// Close stops serving after the requests in flight, or after two seconds.
func (a *Admin) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	if a.server.Shutdown(ctx) != nil {
		_ = a.server.Close()
	}
}
