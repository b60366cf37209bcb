// Package convert translates between the protobuf messages of package wire and
// the types of core/api and core/gossip.
//
// Messages from other processes are untrusted: decoding checks every field that
// the core relies on, never panics, and returns ErrMalformed for a message that
// breaks the protocol. Deadlines travel as remaining milliseconds, because the
// clocks of two VMs may differ.
package convert

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrMalformed is wrapped by every decoding error.
var ErrMalformed = errors.New("malformed message")

// MaxNameBytes bounds identifiers (services, shards, replicas, members,
// callers) in decoded messages. Names end up in maps and logs of the receiver.
const MaxNameBytes = 256

// malformed returns an ErrMalformed that says which field is wrong and why.
func malformed(field, why string) error {
	return fmt.Errorf("%w: %s %s", ErrMalformed, field, why)
}

// checkName reports an identifier that is empty or too long.
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
// down; 0 if it has passed. A zero deadline yields the largest value.
func RemainingMillis(deadline, now time.Time) uint32 {
	if deadline.IsZero() {
		return math.MaxUint32
	}
	return millis(deadline.Sub(now))
}

// deadlineFrom returns the deadline that lies ms milliseconds after now.
func deadlineFrom(ms uint32, now time.Time) time.Time {
	return now.Add(time.Duration(ms) * time.Millisecond)
}

// millis converts a duration to milliseconds within the range of uint32.
func millis(d time.Duration) uint32 {
	ms := d.Milliseconds()
	if ms <= 0 {
		return 0
	}
	return uint32(min(ms, math.MaxUint32))
}

// millisUp is millis rounded up, so that a wait is never reported as none.
func millisUp(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return millis(d + time.Millisecond - 1)
}

// count converts a non-negative int within the range of uint32.
func count(n int) uint32 {
	if n <= 0 {
		return 0
	}
	return uint32(min(uint64(n), math.MaxUint32))
}
