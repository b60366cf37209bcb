// Package loopback opens the listeners of the stand-ins.
package loopback

import (
	"net"
	"time"
)

// attempts and pause bound how long Listen waits for its port, which another
// process may hold briefly for an outgoing connection.
const (
	attempts = 50
	pause    = 20 * time.Millisecond
)

// Listen opens a TCP listener. A stand-in that comes back after an outage or a
// crash takes the address that it had before, which may be in use for a moment.
func Listen(address string) (net.Listener, error) {
	var last error
	for range attempts {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		last = err
		time.Sleep(pause)
	}
	return nil, last
}
