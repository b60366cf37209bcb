// Package config defines the configuration that operators manage: the document
// kept in the platform's store, the operations that change it, and the checks that
// each change must pass. A Document must not be modified once a node has adopted
// it; Apply returns a new one.
package config

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Kind is the type of requests that a service processes.
type Kind string

const (
	// KindSearch services answer searches over an index that is divided into shards.
	KindSearch Kind = "search"
	// KindWork services run non-idempotent work orders.
	KindWork Kind = "work"
)

// Document is the whole configuration. It is stored as JSON under a single key.
type Document struct {
	// Generation grows by one only when an operator recovers the configuration
	// after the store was restored from an older copy. Documents are ordered by
	// (Generation, Revision).
	Generation uint64 `json:"generation"`
	// Revision grows by one with each change.
	Revision uint64 `json:"revision"`
	// ClaimPartitions is the number of records in the store among which the claims
	// of work orders are divided. It never changes after creation, because
	// claims made with the old number would be lost.
	ClaimPartitions int `json:"claim_partitions"`
	// ClaimWindow is how long the claim of a work order is kept.
	ClaimWindow time.Duration                `json:"claim_window_ns"`
	Services    map[api.ServiceName]*Service `json:"services"`
	Replicas    map[api.ReplicaName]*Replica `json:"replicas"`
	// History holds the newest changes, oldest first.
	History []Change `json:"history"`
}

// Service is the configuration of one service.
type Service struct {
	Kind Kind `json:"kind"`
	Rule Rule `json:"rule"`
	// Maps holds the newest partition maps in ascending order of epoch. It is empty
	// for work services.
	Maps []PartitionMap `json:"maps,omitempty"`
}

// Rule holds the request limits and the query options of a service.
type Rule struct {
	// Deadline is the maximum duration of a request.
	Deadline time.Duration `json:"deadline_ns"`
	// Coverage is the share of the index that an answer should cover.
	Coverage api.PPM `json:"coverage_ppm"`
	// EarlyReturn returns an answer as soon as Coverage is reached and two hedge
	// delays have passed, without waiting for the remaining shards.
	EarlyReturn bool `json:"early_return"`
	// ExtraLoad is the maximum number of retries and hedged requests, as a share of
	// the first attempts.
	ExtraLoad api.PPM `json:"extra_load_ppm"`
	// Canary sends a request to a single target first if its fingerprint is unknown.
	Canary bool `json:"canary"`
	// MaxRows is the maximum number of rows in an answer.
	MaxRows int `json:"max_rows"`
}

// PartitionMap divides the hash values 0 to 2^32-1 among shards. Each value belongs
// to exactly one shard.
type PartitionMap struct {
	// Epoch is the version number of the map. It grows by one with each change that
	// adds, drops, splits or merges shards.
	Epoch  uint64  `json:"epoch"`
	Shards []Shard `json:"shards"`
}

// Shard is a range of hash values with the replicas that serve it.
type Shard struct {
	Name api.ShardName `json:"name"`
	// First and Last are the bounds of the range, both inclusive.
	First    uint32            `json:"first"`
	Last     uint32            `json:"last"`
	Replicas []api.ReplicaName `json:"replicas"`
}

// Width returns the number of hash values in the shard's range.
func (s Shard) Width() uint64 { return uint64(s.Last) - uint64(s.First) + 1 }

// Replica is a target that serves a service.
type Replica struct {
	Service    api.ServiceName `json:"service"`
	Address    string          `json:"address"`
	DataCentre api.DataCentre  `json:"data_centre"`
	VM         api.VMName      `json:"vm"`
	// Slots is the number of requests that the target processes concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections"`
	// Drained is set by an operator to stop sending new requests to the replica.
	Drained bool `json:"drained,omitempty"`
}

// ChangeID identifies a change. The node that proposes the change generates it at
// random.
type ChangeID string

// Change is a list of operations that are applied together, with who requested them
// and why.
type Change struct {
	ID         ChangeID  `json:"id"`
	Generation uint64    `json:"generation"`
	Revision   uint64    `json:"revision"`
	Who        string    `json:"who"`
	Why        string    `json:"why"`
	When       time.Time `json:"when"`
	// Text holds the statements as the operator wrote them.
	Text string `json:"text"`
	Ops  []Op   `json:"ops"`
	// Digest is the Digest of the document that results from the change.
	Digest uint64 `json:"digest"`
}

// Op is one operation on the document. Exactly one field is not nil.
type Op struct {
	CreateService *CreateService `json:"create_service,omitempty"`
	AlterService  *AlterService  `json:"alter_service,omitempty"`
	DropService   *DropService   `json:"drop_service,omitempty"`
	CreateReplica *CreateReplica `json:"create_replica,omitempty"`
	AlterReplica  *AlterReplica  `json:"alter_replica,omitempty"`
	DropReplica   *DropReplica   `json:"drop_replica,omitempty"`
	CreateShard   *CreateShard   `json:"create_shard,omitempty"`
	AlterShard    *AlterShard    `json:"alter_shard,omitempty"`
	SplitShard    *SplitShard    `json:"split_shard,omitempty"`
	MergeShards   *MergeShards   `json:"merge_shards,omitempty"`
	DropShard     *DropShard     `json:"drop_shard,omitempty"`
	Drain         *Drain         `json:"drain,omitempty"`
	Recover       *Recover       `json:"recover,omitempty"`
}

// CreateService adds a service without shards or replicas.
type CreateService struct {
	Name api.ServiceName `json:"name"`
	Kind Kind            `json:"kind"`
	// Settings override the values of DefaultRule.
	Settings RuleSettings `json:"settings"`
}

// AlterService changes the rule of a service.
type AlterService struct {
	Name     api.ServiceName `json:"name"`
	Settings RuleSettings    `json:"settings"`
}

// RuleSettings holds the fields of a Rule that an operation sets. A nil field leaves
// the value unchanged.
type RuleSettings struct {
	Deadline    *time.Duration `json:"deadline_ns,omitempty"`
	Coverage    *api.PPM       `json:"coverage_ppm,omitempty"`
	EarlyReturn *bool          `json:"early_return,omitempty"`
	ExtraLoad   *api.PPM       `json:"extra_load_ppm,omitempty"`
	Canary      *bool          `json:"canary,omitempty"`
	MaxRows     *int           `json:"max_rows,omitempty"`
}

// DropService removes a service, which must have no replicas and no shards.
type DropService struct {
	Name api.ServiceName `json:"name"`
}

// CreateReplica adds a replica.
type CreateReplica struct {
	Name    api.ReplicaName `json:"name"`
	Replica Replica         `json:"replica"`
}

// AlterReplica changes the location or the limits of a replica. A nil field leaves
// the value unchanged.
type AlterReplica struct {
	Name        api.ReplicaName `json:"name"`
	Address     *string         `json:"address,omitempty"`
	DataCentre  *api.DataCentre `json:"data_centre,omitempty"`
	VM          *api.VMName     `json:"vm,omitempty"`
	Slots       *int            `json:"slots,omitempty"`
	Connections *int            `json:"connections,omitempty"`
}

// DropReplica removes a replica, which no shard of the newest partition map may
// list.
type DropReplica struct {
	Name api.ReplicaName `json:"name"`
}

// CreateShard adds a shard. The result is a new partition map.
type CreateShard struct {
	Service api.ServiceName `json:"service"`
	Shard   Shard           `json:"shard"`
}

// AlterShard replaces the list of replicas of a shard.
type AlterShard struct {
	Service  api.ServiceName   `json:"service"`
	Name     api.ShardName     `json:"name"`
	Replicas []api.ReplicaName `json:"replicas"`
}

// SplitShard replaces a shard with two. The result is a new partition map.
type SplitShard struct {
	Service api.ServiceName `json:"service"`
	Name    api.ShardName   `json:"name"`
	// At is the first hash value of the upper shard.
	At uint32 `json:"at"`
	// Low and High hold the names and replicas of the lower and upper shard.
	Low  ShardSpec `json:"low"`
	High ShardSpec `json:"high"`
}

// ShardSpec holds the name and the replicas of a shard that a split or a merge
// creates.
type ShardSpec struct {
	Name     api.ShardName     `json:"name"`
	Replicas []api.ReplicaName `json:"replicas"`
}

// MergeShards replaces adjacent shards with one. The result is a new partition map.
type MergeShards struct {
	Service api.ServiceName `json:"service"`
	Names   []api.ShardName `json:"names"`
	Into    ShardSpec       `json:"into"`
}

// DropShard removes a shard. The result is a new partition map.
type DropShard struct {
	Service api.ServiceName `json:"service"`
	Name    api.ShardName   `json:"name"`
}

// Drain sets or clears Replica.Drained of one replica or of all replicas on a VM.
// Exactly one of Replica and VM is set.
type Drain struct {
	Replica api.ReplicaName `json:"replica,omitempty"`
	VM      api.VMName      `json:"vm,omitempty"`
	Drained bool            `json:"drained"`
}

// Recover starts a new generation with the content of the newest document that the
// node has adopted. It is the only operation accepted while the store holds an older
// document than the node.
type Recover struct{}
