// Package api defines the data types shared by the decision core and the packages
// around it: identities, requests, answers and target replies. Beyond small
// accessors it contains only the order of rows and the matching of conditions.
package api

import "fmt"

// ServiceName names a service in the configuration.
type ServiceName string

// ShardName names a shard. A name is never reused within a service: a split
// or merge creates new names.
type ShardName string

// ReplicaName names a replica. It is unique in the configuration.
type ReplicaName string

// VMName names a VM as in the platform's VM list.
type VMName string

// DataCentre names a data centre.
type DataCentre string

// Region names a group of data centres that data may be bound to.
type Region string

// CallerID identifies the caller that sent a request.
type CallerID string

// EntryName names an entry process, as given in its settings.
type EntryName string

// Life identifies one lifetime of an entry process. It is a random number drawn
// at each start and distinguishes successive processes at the same address.
type Life uint64

// RequestID identifies a request within one lifetime of an entry process. The
// driver assigns it when the request arrives.
type RequestID uint64

// ConnID identifies a connection to a target within one lifetime of an entry
// process. The core assigns it and never reuses it.
type ConnID uint64

// OpID identifies an outstanding store operation or peer call within one
// lifetime of an entry process.
type OpID uint64

// AttemptID identifies one attempt to have a target run a request. Life is
// random, so an answer to an attempt of a previous process does not match.
type AttemptID struct {
	Life Life
	Seq  uint64
}

// String formats the ID for logs.
func (a AttemptID) String() string { return fmt.Sprintf("%016x-%d", uint64(a.Life), a.Seq) }

// IdempotencyKey is a UUID version 7 that the caller assigns to a work order.
type IdempotencyKey [16]byte

// CreatedMillis returns the creation time stored in the key, in milliseconds
// since the Unix epoch: the first 48 bits (RFC 9562, section 5.7).
func (k IdempotencyKey) CreatedMillis() int64 {
	var ms int64
	for _, b := range k[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// Fingerprint is a hash of a request's service and content. It excludes the
// caller and the idempotency key, so that a resent request hashes to the same
// value.
type Fingerprint uint64

// Incarnation is a number that a target process draws at its start. A changed
// incarnation means that the process was restarted.
type Incarnation uint64

// Snapshot identifies the state of the index that a search reads: an epoch of
// the partition map and an index version. All rows of an answer come from the
// same snapshot.
type Snapshot struct {
	Epoch   uint64
	Version uint64
}

// NewestVersion in Snapshot.Version asks a target for its newest version.
const NewestVersion uint64 = 0

// PPM is a fraction in parts per million.
type PPM uint32

// Whole is the complete share, 100 %.
const Whole PPM = 1_000_000

// Share returns part/total in parts per million, rounded down so that the result
// is Whole only if part reaches total.
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
