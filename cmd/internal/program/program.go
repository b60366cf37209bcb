// Package program holds what the programs share: the logger, exit codes, signal
// handling and the admin listener.
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
	// ExitFailed reports a failure at run time.
	ExitFailed = 1
	// ExitUsage reports an invalid argument or setting.
	ExitUsage = 2
)

// adminShutdownTimeout bounds how long Admin.Close waits for requests in
// flight.
const adminShutdownTimeout = 2 * time.Second

// NewLogger returns a logger that writes logfmt lines with the time in UTC as ts.
func NewLogger(w io.Writer) log.Logger {
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(w)), "ts", log.DefaultTimestampUTC)
}

// Context returns a context that is cancelled by the first SIGTERM or SIGINT. A
// second signal ends the process at once, as its default handling is restored.
func Context() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// Admin is an HTTP server for the admin endpoints, with a listener of its own.
type Admin struct {
	// Address is the listen address, with the port chosen by the kernel if the
	// requested one was 0.
	Address string
	server  *http.Server
}

// ServeAdmin listens on a TCP address and serves the handler in the background.
// With port 0 the kernel chooses the port.
func ServeAdmin(address string, handler http.Handler) (*Admin, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &Admin{Address: inner.Addr().String(), server: &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}}
	go func() { _ = a.server.Serve(inner) }()
	return a, nil
}

// Close stops the server once the requests in flight have ended. After
// adminShutdownTimeout it closes their connections.
func (a *Admin) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), adminShutdownTimeout)
	defer cancel()
	if a.server.Shutdown(ctx) != nil {
		_ = a.server.Close()
	}
}
