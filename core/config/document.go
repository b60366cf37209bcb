// Package config holds the operators' configuration: the document kept in the
// platform's store, the operations that change it, and the checks that each
// change must pass. A Document is immutable once it has been adopted; Apply
// returns a new one.
package config

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Kind tells what a service does with a request.
type Kind string

const (
	// KindSearch services answer searches over shards.
	KindSearch Kind = "search"
	// KindWork services run non-idempotent work orders.
	KindWork Kind = "work"
)

// Document is the whole configuration. Its JSON form is the value in the store.
type Document struct {
	// Generation changes only when an operator recovers the configuration after
	// the store was restored from an older copy. Documents are ordered by
	// (Generation, Revision).
	Generation uint64 `json:"generation"`
	// Revision grows by one with each change.
	Revision uint64 `json:"revision"`
	// ClaimPartitions is the number of claim records for work orders. It never
	// changes after creation, because a change would lose claims.
	ClaimPartitions int `json:"claim_partitions"`
	// ClaimWindow is how long a claim of a work order is kept.
	ClaimWindow time.Duration                `json:"claim_window_ns"`
	Services    map[api.ServiceName]*Service `json:"services"`
	Replicas    map[api.ReplicaName]*Replica `json:"replicas"`
	History     []Change                     `json:"history"`
}

// Service is one service with its rule and partition maps.
type Service struct {
	Kind Kind `json:"kind"`
	Rule Rule `json:"rule"`
	// Maps holds the newest partition maps in ascending order of epoch; empty
	// for work services.
	Maps []PartitionMap `json:"maps,omitempty"`
}

// Rule governs how a service may be queried.
type Rule struct {
	// Deadline is the longest time that a request may take.
	Deadline time.Duration `json:"deadline_ns"`
	// Coverage is the wanted share of the index.
	Coverage api.PPM `json:"coverage_ppm"`
	// EarlyReturn answers once Coverage is reached and two hedge delays have passed.
	EarlyReturn bool `json:"early_return"`
	// ExtraLoad is the budget for retries and hedges as a share of first attempts.
	ExtraLoad api.PPM `json:"extra_load_ppm"`
	// Canary sends a request with an unknown fingerprint to one target first.
	Canary bool `json:"canary"`
	// MaxRows is the largest number of rows in an answer.
	MaxRows int `json:"max_rows"`
}

// PartitionMap divides the hash range 0..2^32-1 among shards, each position
// exactly once.
type PartitionMap struct {
	Epoch  uint64  `json:"epoch"`
	Shards []Shard `json:"shards"`
}

// Shard is one part of the hash range with the replicas that serve it.
type Shard struct {
	Name api.ShardName `json:"name"`
	// First and Last are the inclusive ends of the hash range.
	First    uint32            `json:"first"`
	Last     uint32            `json:"last"`
	Replicas []api.ReplicaName `json:"replicas"`
}

// Width returns the number of hash positions in the shard.
func (s Shard) Width() uint64 { return uint64(s.Last) - uint64(s.First) + 1 }

// Replica is a target that serves a service.
type Replica struct {
	Service    api.ServiceName `json:"service"`
	Address    string          `json:"address"`
	DataCentre api.DataCentre  `json:"data_centre"`
	VM         api.VMName      `json:"vm"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections"`
	// Drained is set by an operator: no new work goes to the replica.
	Drained bool `json:"drained,omitempty"`
}

// ChangeID identifies a change; drawn at random by the entry that proposes it.
type ChangeID string

// Change is one accepted list of operations, with who asked for it and why.
type Change struct {
	ID         ChangeID  `json:"id"`
	Generation uint64    `json:"generation"`
	Revision   uint64    `json:"revision"`
	Who        string    `json:"who"`
	Why        string    `json:"why"`
	When       time.Time `json:"when"`
	// Text is the statement list as the operator wrote it.
	Text string `json:"text"`
	Ops  []Op   `json:"ops"`
	// Digest is the digest of the document after the change, without history.
	Digest uint64 `json:"digest"`
}

// Op is one operation on the document. Exactly one field is set.
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

// CreateService adds a service without shards and replicas.
type CreateService struct {
	Name api.ServiceName `json:"name"`
	Kind Kind            `json:"kind"`
	// Settings override DefaultRule.
	Settings RuleSettings `json:"settings"`
}

// AlterService changes the rule of a service.
type AlterService struct {
	Name     api.ServiceName `json:"name"`
	Settings RuleSettings    `json:"settings"`
}

// RuleSettings holds the rule values that an operation sets; nil leaves a value.
type RuleSettings struct {
	Deadline    *time.Duration `json:"deadline_ns,omitempty"`
	Coverage    *api.PPM       `json:"coverage_ppm,omitempty"`
	EarlyReturn *bool          `json:"early_return,omitempty"`
	ExtraLoad   *api.PPM       `json:"extra_load_ppm,omitempty"`
	Canary      *bool          `json:"canary,omitempty"`
	MaxRows     *int           `json:"max_rows,omitempty"`
}

// DropService removes a service; it must have no replicas and no shards.
type DropService struct {
	Name api.ServiceName `json:"name"`
}

// CreateReplica adds a replica.
type CreateReplica struct {
	Name    api.ReplicaName `json:"name"`
	Replica Replica         `json:"replica"`
}

// AlterReplica changes the place or the limits of a replica; nil leaves a value.
type AlterReplica struct {
	Name        api.ReplicaName `json:"name"`
	Address     *string         `json:"address,omitempty"`
	DataCentre  *api.DataCentre `json:"data_centre,omitempty"`
	VM          *api.VMName     `json:"vm,omitempty"`
	Slots       *int            `json:"slots,omitempty"`
	Connections *int            `json:"connections,omitempty"`
}

// DropReplica removes a replica; no shard of the newest partition map may name it.
type DropReplica struct {
	Name api.ReplicaName `json:"name"`
}

// CreateShard adds a shard to the newest partition map.
type CreateShard struct {
	Service api.ServiceName `json:"service"`
	Shard   Shard           `json:"shard"`
}

// AlterShard sets the replicas of a shard.
type AlterShard struct {
	Service  api.ServiceName   `json:"service"`
	Name     api.ShardName     `json:"name"`
	Replicas []api.ReplicaName `json:"replicas"`
}

// SplitShard replaces a shard by two; At is the first hash of the second.
type SplitShard struct {
	Service api.ServiceName `json:"service"`
	Name    api.ShardName   `json:"name"`
	At      uint32          `json:"at"`
	// Low and High give names and replicas; their ranges follow from At.
	Low  SplitPart `json:"low"`
	High SplitPart `json:"high"`
}

// SplitPart is one of the two shards that a split creates.
type SplitPart struct {
	Name     api.ShardName     `json:"name"`
	Replicas []api.ReplicaName `json:"replicas"`
}

// MergeShards replaces adjacent shards by one.
type MergeShards struct {
	Service api.ServiceName `json:"service"`
	Names   []api.ShardName `json:"names"`
	Into    SplitPart       `json:"into"`
}

// DropShard removes a shard from the newest partition map.
type DropShard struct {
	Service api.ServiceName `json:"service"`
	Name    api.ShardName   `json:"name"`
}

// Drain sets or clears the drained flag of one replica or of all replicas on a VM.
type Drain struct {
	Replica api.ReplicaName `json:"replica,omitempty"`
	VM      api.VMName      `json:"vm,omitempty"`
	Drained bool            `json:"drained"`
}

// Recover starts a new generation with the content of the newest adopted
// document. It is the only operation accepted while the store holds an older
// document than the entry.
type Recover struct{}
