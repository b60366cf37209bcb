// Package confsync keeps a node's copy of the configuration document in sync
// with the store and its peers, and writes operators' changes to the store
// (section 7.5 of the design page). A Syncer is a state machine without clocks
// or I/O: the caller passes in events with the current time and carries out the
// actions that are returned. It is not safe for concurrent use.
//
// A node adopts a document when it starts to use it as its configuration.
package confsync

import (
	"math/rand/v2"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Key is the store key of the configuration document.
const Key = "baobabsail/config"

// Timeouts, intervals and limits.
const (
	// ChangeTimeout is the time within which an operator's change is answered.
	ChangeTimeout = 5 * time.Second
	// StoreTimeout is the timeout of a store read or write. The store driver may
	// never answer, so the Syncer enforces its own timeouts.
	StoreTimeout = time.Second
	// WatchIdleTimeout is how long a watch may deliver no event before it is
	// closed and reopened.
	WatchIdleTimeout = 10 * time.Second
	// WatchersPerDataCentre is the number of nodes in each data centre that
	// watch the store.
	WatchersPerDataCentre = 3
	// minPollInterval is the shortest poll interval before jitter. storeReadRate is
	// the target number of reads per second by all nodes together.
	minPollInterval = time.Second
	storeReadRate   = 20
	// Every fullReadEvery-th poll reads the whole document.
	fullReadEvery = 60
	// maxBackoff limits the poll interval while the store is unavailable, so that
	// at the current scale nodes notice the end of the outage within 6 s, as
	// promise P8 requires.
	maxBackoff = 4 * time.Second
	// The first read is delayed by a random time below maxFirstReadDelay. This
	// spreads the reads of nodes that start together and gives peers time to
	// send the document.
	maxFirstReadDelay = 500 * time.Millisecond
	// A node that has just started writes no change for minPeerWait, which is
	// two gossip rounds. The store may have been restored from an older copy, and
	// the wait gives peers time to send a newer document. Until a peer has sent a
	// message, the wait is maxPeerWait, because a node that is cut off skips its
	// peers for 2 s.
	minPeerWait = 2 * gossip.Interval
	maxPeerWait = 3 * time.Second
	// recheckDelay is the delay, before jitter, of a read that verifies what a
	// watch or a peer reported, and of the reads that determine whether a write
	// with an unknown result was applied.
	recheckDelay = 200 * time.Millisecond
	// maxRebases limits how often one change is reapplied to a newer document, and
	// how often its read is repeated because it returned a stale document.
	maxRebases = 3
	// maxQueuedChanges limits the operators' changes that one node holds
	// unanswered, the one in progress included.
	maxQueuedChanges = 16
	// lateAnswerWindow is how long a timed-out operation is kept so that a late
	// answer is still recognised.
	lateAnswerWindow = time.Minute
)

// Counter details of this package, in addition to the reasons in package api.
const (
	countRead        api.Reason = "config_read"
	countReadFailed  api.Reason = "config_read_failed"
	countWrite       api.Reason = "config_write"
	countWriteLost   api.Reason = "config_write_lost"
	countWatch       api.Reason = "config_watch"
	countWatchSilent api.Reason = "config_watch_silent"
	countFromStore   api.Reason = "adopted_from_store"
	countFromPeer    api.Reason = "adopted_from_peer"
	countPeerInvalid api.Reason = "peer_document_invalid"
	countDiverged    api.Reason = "diverged"
	countAccepted    api.Reason = "change_accepted"
	countInvalid     api.Reason = "change_invalid"
	countConflict    api.Reason = "change_conflict"
	countRefused     api.Reason = "change_refused"
	countUnknown     api.Reason = "change_unknown"
	countRebased     api.Reason = "change_rebased"
)

// Settings identifies the node and says whether it has peers.
type Settings struct {
	Name       api.EntryName
	Life       api.Life
	DataCentre api.DataCentre
	// HasPeers reports whether other nodes are configured.
	HasPeers bool
}

// Syncer holds the adopted configuration document of one node and the state of
// its store operations.
type Syncer struct {
	settings Settings
	newOpID  func() api.OpID
	rng      *rand.Rand
	counts   *count.Set

	started bool
	doc     *config.Document
	encoded []byte // encoding of doc, computed on first use
	// lastReadValue is the value that was decoded last; lastReadDocument is its
	// document, nil if the value was invalid.
	lastReadValue    []byte
	lastReadDocument *config.Document
	adoptions        uint64 // number of documents adopted so far
	confirmedAt      time.Time
	alarm            api.Reason

	ops         []*operation // outstanding operations, in the order of issue
	pendingPoll *operation
	pollCount   uint64
	// fullReadRevision is the store revision of the last full read that returned
	// the adopted document; fullReadAdoptions is the value of adoptions
	// right after that read.
	fullReadRevision  int64
	fullReadAdoptions uint64
	nextPoll          time.Time
	failedPolls       int // consecutive failed polls

	memberCount   int // number of live nodes, including this one
	shouldWatch   bool
	watch         *operation
	watchActiveAt time.Time
	cancelWatchAt time.Time // when the next Tick closes the watch; zero if it stays open

	startedAt        time.Time
	receivedFromPeer bool

	proposals []*proposal // queue; the first is in progress

	needFullDocument bool // a change from a peer did not apply: request the whole document
	rejectedPosition config.Position
	rejectedUntil    time.Time

	actions []event.Action
}

// New returns a Syncer without a document. newOpID returns operation IDs that are
// unique for as long as the node runs.
func New(settings Settings, newOpID func() api.OpID, rng *rand.Rand, counts *count.Set) *Syncer {
	return &Syncer{settings: settings, newOpID: newOpID, rng: rng, counts: counts, memberCount: 1, shouldWatch: true}
}

// Start schedules the first read of the store after a random delay below
// maxFirstReadDelay.
func (s *Syncer) Start(now time.Time) []event.Action {
	s.started = true
	s.startedAt = now
	s.nextPoll = now.Add(time.Duration(s.rng.Int64N(int64(maxFirstReadDelay))))
	return s.flush()
}

// Tick runs the timeouts, polls and retries that are due. It must be called at
// the time that NextTick returns and may be called at any other time.
func (s *Syncer) Tick(now time.Time) []event.Action {
	if !s.started {
		return nil
	}
	s.expireOps(now)
	s.tickProposals(now)
	s.tickWatch(now)
	if s.pendingPoll == nil && !now.Before(s.nextPoll) {
		s.poll(now)
	}
	return s.flush()
}

// NextTick returns when Tick must be called next, or the zero time before Start.
func (s *Syncer) NextTick() time.Time {
	if !s.started {
		return time.Time{}
	}
	var wake time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	if s.pendingPoll == nil {
		earlier(s.nextPoll)
	}
	for _, op := range s.ops {
		if !op.timedOut && op.kind != opWatch {
			earlier(op.deadline)
		}
	}
	if s.watch != nil {
		earlier(s.watchActiveAt.Add(WatchIdleTimeout))
	}
	earlier(s.cancelWatchAt)
	if len(s.proposals) > 0 && !s.proposals[0].started {
		earlier(s.changesAllowedFrom())
	}
	for _, p := range s.proposals {
		earlier(p.deadline)
		earlier(p.nextReadAt)
	}
	return wake
}

// changesAllowedFrom returns the time from which changes may be processed.
func (s *Syncer) changesAllowedFrom() time.Time {
	if s.settings.HasPeers && !s.receivedFromPeer {
		return s.startedAt.Add(maxPeerWait)
	}
	return s.startedAt.Add(minPeerWait)
}

// Document returns the adopted document, or nil before the first adoption. The
// caller must not modify it.
func (s *Syncer) Document() *config.Document { return s.doc }

// ConfirmedAt returns when the store or a peer last confirmed that the adopted
// document is the current one.
func (s *Syncer) ConfirmedAt() time.Time { return s.confirmedAt }

// Alarm returns api.ReasonStoreRegressed while the store holds neither the
// adopted document nor a successor of it, and api.ReasonNone otherwise.
func (s *Syncer) Alarm() api.Reason { return s.alarm }

// Position returns the generation and revision of the adopted document, for
// messages to peers.
func (s *Syncer) Position() gossip.Position { return gossip.Position(s.doc.Position()) }

func (s *Syncer) emit(a event.Action) { s.actions = append(s.actions, a) }

func (s *Syncer) flush() []event.Action {
	out := s.actions
	s.actions = nil
	return out
}

func (s *Syncer) log(name string, pairs ...string) {
	l := event.Log{Event: name}
	for i := 0; i+1 < len(pairs); i += 2 {
		l.Fields = append(l.Fields, api.Field{Name: pairs[i], Value: pairs[i+1]})
	}
	s.emit(l)
}

// jitter returns a random duration from 75 % to 125 % of d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}
