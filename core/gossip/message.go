// Package gossip keeps the list of live entries and spreads notices between
// them: which targets are leaving, which requests are suspected of crashing
// targets, and which configuration is the newest.
package gossip

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Member is one entry as its peers know it.
type Member struct {
	Name       api.EntryName
	Life       api.Life
	Address    string
	DataCentre api.DataCentre
	// Heartbeat grows while the entry lives; a higher one replaces a lower one
	// of the same life.
	Heartbeat uint64
	// Leaving is set by an entry that shuts down.
	Leaving bool
}

// NoticeKind tells what a notice is about.
type NoticeKind uint8

const (
	// NoticeDraining says that a replica is leaving.
	NoticeDraining NoticeKind = iota + 1
	// NoticeSuspect says that a request was in flight when a target crashed.
	NoticeSuspect
	// NoticeCleared says that a suspected request was answered by a target.
	NoticeCleared
	// NoticeConvicted says that a request crashed targets and is refused.
	NoticeConvicted
	// NoticeVouched says that a target had answered a suspected request before
	// its first crash.
	NoticeVouched
	// NoticeEndedToo names a further target that ended under a suspected request, beside
	// the one in its NoticeSuspect.
	NoticeEndedToo
)

// Notice is one fact that every entry should know soon. Notices with the same
// kind and subject replace one another by Version.
type Notice struct {
	Kind NoticeKind
	// Replica and Incarnation are set for NoticeDraining, and name the crashed
	// target in NoticeSuspect, NoticeConvicted and NoticeEndedToo.
	Replica     api.ReplicaName
	Incarnation api.Incarnation
	// Fingerprint is set for the other kinds.
	Fingerprint api.Fingerprint
	// Crashes counts the distinct target incarnations that crashed.
	Crashes int
	// Version orders notices of the same kind and subject.
	Version uint64
	// TimeToLive is the remaining validity at the time of sending; a duration,
	// because the clocks of two VMs may differ.
	TimeToLive time.Duration
}

// Message is what one entry sends to another. All parts are optional but From.
type Message struct {
	From    Member
	Members []Member
	Notices []Notice
	// Generation and Revision are those of the sender's document.
	Generation uint64
	Revision   uint64
	// Changes holds encoded config.Change values that the receiver lacks.
	Changes [][]byte
	// Document is an encoded config.Document, sent if Changes cannot close the gap.
	Document []byte
	// WantAfter asks for what follows the given revision; nil if nothing is wanted.
	WantAfter *Position
}

// Position is a place in the sequence of documents.
type Position struct {
	Generation uint64
	Revision   uint64
}
