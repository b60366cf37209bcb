// Package convert translates between the protobuf messages of package wire and
// the types of core/api and core/gossip.
//
// Messages from other processes are untrusted: decoding validates every field that
// the core packages rely on, never panics, and returns an error that wraps
// ErrMalformed for a message that violates the protocol. Deadlines are sent as
// remaining milliseconds, because the clocks of two VMs may differ.
package convert

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrMalformed is wrapped by every decoding error.
var ErrMalformed = errors.New("malformed message")

// MaxNameBytes is the largest accepted length of an identifier (service, shard,
// replica, member, caller) in a message. The limit exists because the receiver
// keeps names in maps and writes them to its logs.
const MaxNameBytes = 256

// malformed returns an error that wraps ErrMalformed and names the invalid field
// and the reason.
func malformed(field, why string) error {
	return fmt.Errorf("%w: %s %s", ErrMalformed, field, why)
}

// checkName returns an error if an identifier is empty or longer than MaxNameBytes.
func checkName(field, name string) error {
	if name == "" {
		return malformed(field, "is empty")
	}
	if len(name) > MaxNameBytes {
		return malformed(field, "is too long")
	}
	return nil
}

// RemainingMillis returns the milliseconds left until the deadline, rounded
// down, or 0 if it has passed. A zero deadline yields math.MaxUint32.
func RemainingMillis(deadline, now time.Time) uint32 {
	if deadline.IsZero() {
		return math.MaxUint32
	}
	return millisFloor(deadline.Sub(now))
}

// deadlineAfter returns the time that is ms milliseconds after now.
func deadlineAfter(ms uint32, now time.Time) time.Time {
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// millisFloor converts a duration to whole milliseconds, rounded down and clamped
// to the range of uint32.
func millisFloor(d time.Duration) uint32 {
	ms := d.Milliseconds()
	if ms <= 0 {
		return 0
	}
	return uint32(min(ms, math.MaxUint32))
}

// millisCeil is like millisFloor, but rounds up, so that a positive wait is never sent
// as 0.
func millisCeil(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return millisFloor(d + time.Millisecond - 1)
}

// clampUint32 converts an int to a uint32. Values outside the range of uint32 become
// its nearest bound.
func clampUint32(n int) uint32 {
	if n <= 0 {
		return 0
	}
	return uint32(min(uint64(n), math.MaxUint32))
}
