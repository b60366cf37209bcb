// Package gossip maintains the list of live entry nodes and spreads notices between
// them: which targets are shutting down, which requests are suspected of crashing
// targets, and which configuration is the newest.
package gossip

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Member describes one entry node to its peers.
type Member struct {
	Name       api.EntryName
	Life       api.Life
	Address    string
	DataCentre api.DataCentre
	// Heartbeat grows while the node runs. An entry with a higher heartbeat replaces
	// one with a lower heartbeat of the same life.
	Heartbeat uint64
	// Leaving is set by a node that is shutting down.
	Leaving bool
}

// NoticeKind is the kind of fact that a notice reports.
type NoticeKind uint8

const (
	// NoticeDraining reports that a replica is draining.
	NoticeDraining NoticeKind = iota + 1
	// NoticeSuspect reports that a request was in flight when a target crashed.
	NoticeSuspect
	// NoticeCleared reports that a target has answered a suspected request.
	NoticeCleared
	// NoticeConvicted reports that a request has crashed targets and is refused.
	NoticeConvicted
	// NoticeAnsweredBefore reports that a target had answered a suspected request before its
	// first crash.
	NoticeAnsweredBefore
	// NoticeFurtherCrash names a further target that ended while it ran a suspected
	// request, in addition to the one in the NoticeSuspect of that request.
	NoticeFurtherCrash
	// NoticeReplicaEnded reports that no process listens at the address of a replica whose
	// service limits the requests to cold replicas.
	NoticeReplicaEnded
)

// Notice is a fact that every node should learn soon. A notice replaces one of the same
// kind and subject that has a lower Version.
type Notice struct {
	Kind NoticeKind
	// Replica and Incarnation identify the draining replica in NoticeDraining and the
	// crashed target in NoticeSuspect, NoticeConvicted and NoticeFurtherCrash. In
	// NoticeReplicaEnded, Incarnation is the start time of the process that has ended.
	Replica     api.ReplicaName
	Incarnation api.Incarnation
	// Fingerprint identifies the request. It is set for all kinds except
	// NoticeDraining and NoticeReplicaEnded.
	Fingerprint api.Fingerprint
	// Crashes is the number of distinct target incarnations that crashed. In
	// NoticeCleared it is not zero if a conviction was revoked: those crashes count
	// until a target answers the request.
	Crashes int
	// Version orders notices of the same kind and subject.
	Version uint64
	// TimeToLive is the remaining validity at the time of sending. It is a duration
	// because the clocks of two VMs may differ.
	TimeToLive time.Duration
}

// Message is sent from one node to another. Every field except From is optional.
type Message struct {
	From    Member
	Members []Member
	Notices []Notice
	// Generation and Revision identify the sender's configuration document.
	Generation uint64
	Revision   uint64
	// Changes holds encoded config.Change values that the receiver lacks.
	Changes [][]byte
	// Document is an encoded config.Document. It is sent if Changes cannot bring the
	// receiver up to date.
	Document []byte
	// WantAfter asks for the changes after the given position. It is nil if nothing is
	// requested.
	WantAfter *Position
}

// Position identifies a revision in the sequence of configuration documents.
type Position struct {
	Generation uint64
	Revision   uint64
}
