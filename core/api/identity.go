// Package api holds the types that cross the boundary of the decision core:
// identities, requests, answers, the events fed to a node and the actions a
// node asks its driver to carry out. It contains no behaviour beyond small
// accessors.
package api

import "fmt"

// ServiceName names a service in the configuration.
type ServiceName string

// ShardName names a shard. A name is never reused within a service: a split
// or merge creates new names.
type ShardName string

// ReplicaName names a replica; unique over the whole configuration.
type ReplicaName string

// VMName names a VM as the platform's VM list does.
type VMName string

// DataCentre names a data centre.
type DataCentre string

// CallerID identifies the caller that sent a request.
type CallerID string

// EntryName names an entry process, as given in its settings.
type EntryName string

// Life is a random number drawn at each start of an entry process. It tells
// apart two lives of the process on the same address.
type Life uint64

// RequestID identifies a request within one life of an entry. The driver
// assigns it when the request arrives.
type RequestID uint64

// ConnID identifies a connection to a target within one life of an entry. The
// core assigns it and never reuses it.
type ConnID uint64

// OpID identifies an outstanding store operation or peer call within one life
// of an entry.
type OpID uint64

// AttemptID identifies one sending of a request to a target. The random life
// keeps an answer meant for a previous life from matching.
type AttemptID struct {
	Life Life
	Seq  uint64
}

// String formats the identity for logs.
func (a AttemptID) String() string { return fmt.Sprintf("%016x-%d", uint64(a.Life), a.Seq) }

// IdempotencyKey is a caller's UUID version 7 for a work order.
type IdempotencyKey [16]byte

// CreatedMillis returns the creation time in the key: milliseconds since the
// Unix epoch, from the first 48 bits (RFC 9562, section 5.7).
func (k IdempotencyKey) CreatedMillis() int64 {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// Fingerprint is a hash of a request's service and content. It leaves out the
// caller and the idempotency key, so that a resent request has the same one.
type Fingerprint uint64

// Incarnation is a number a target process draws at its start. A change means
// that the process was restarted.
type Incarnation uint64

// Snapshot is the pair that an answer must come from as a whole: one epoch of
// the partition map and one index version.
type Snapshot struct {
	Epoch   uint64
	Version uint64
}

// NewestVersion in Snapshot.Version asks a target for its newest version.
const NewestVersion uint64 = 0

// PPM is a share in parts per million.
type PPM uint32

// Whole is the share that stands for everything.
const Whole PPM = 1_000_000

// Share returns part/total in parts per million, rounded down so that only a
// complete part yields Whole.
func Share(part, total uint64) PPM {
	if total == 0 {
		return 0
	}
	if part >= total {
		return Whole
	}
	return PPM(part * uint64(Whole) / total)
}

// Percent returns the share in percent.
func (p PPM) Percent() float64 { return float64(p) / 10_000 }
