// Package loopback opens the listeners of the stand-ins.
package loopback

import (
	"net"
	"time"
)

// listenAttempts and retryDelay limit how long Listen waits for its port, which
// another process may briefly use as the local port of an outgoing connection.
const (
	listenAttempts = 50
	retryDelay     = 20 * time.Millisecond
)

// Listen opens a TCP listener and retries if that fails. A stand-in that restarts
// after an outage or a crash listens on its previous address, which may be briefly
// in use.
func Listen(address string) (net.Listener, error) {
	var lastErr error
	for range listenAttempts {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		lastErr = err
		time.Sleep(retryDelay)
	}
	return nil, lastErr
}
