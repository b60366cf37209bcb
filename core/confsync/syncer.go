// Package confsync owns the adoption and the proposal of the configuration
// (section 7.5 of the design page). A Syncer is a state machine without clocks
// or I/O: its owner passes in events with the time and carries out the actions
// that it returns. It is not safe for concurrent use.
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

// Times and limits.
const (
	// OperatorWait is how long an operator's change may take to be decided.
	OperatorWait = 5 * time.Second
	// OpTimeout is how long a store read or write may take. The driver may never
	// answer, so the Syncer keeps its own time-outs.
	OpTimeout = time.Second
	// WatchSilence is how long a watch may bring no news before it is reopened.
	WatchSilence = 10 * time.Second
	// WatchersPerDataCentre is the number of entries that hold a watch.
	WatchersPerDataCentre = 3
	// minPoll is the shortest poll interval; storeReadRate is the number of reads
	// per second that all entries together make.
	minPoll       = time.Second
	storeReadRate = 20
	// fullPollEvery is the number of polls of which one reads the whole document.
	fullPollEvery = 60
	// maxBackoff bounds the poll interval during an outage of the store, so that
	// its end is noticed within the 6 s of promise P8 at the current scale.
	maxBackoff = 4 * time.Second
	// firstReadSpread spreads the first reads of entries that start together and
	// leaves peers the time to send the document.
	firstReadSpread = 500 * time.Millisecond
	// An entry that has just started makes no change before its peers had the time
	// to show it a newer document than that of a store which was restored from an
	// older copy: two rounds of the exchange, and longer while no peer has been
	// heard, because an entry that is cut off passes over its peers for 2 s.
	peerHearing    = 2 * gossip.Interval
	maxPeerHearing = 3 * time.Second
	// recheckDelay is the pause before a read that checks news from a watch or a
	// peer, and between the reads that resolve a lost write.
	recheckDelay = 200 * time.Millisecond
	// maxRebases bounds how often a change is applied to a newer document.
	maxRebases = 3
	// maxQueued bounds the operators' changes waiting at one entry.
	maxQueued = 16
	// lateAnswers is how long a timed-out operation is remembered for its answer.
	lateAnswers = time.Minute
)

// Counter details of this package, beside the reasons of api.
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

// Settings identify the entry.
type Settings struct {
	Name       api.EntryName
	Life       api.Life
	DataCentre api.DataCentre
	// Peers is set if the settings name other entries.
	Peers bool
}

// Syncer holds the adopted configuration of one entry.
type Syncer struct {
	settings Settings
	newOp    func() api.OpID
	rng      *rand.Rand
	counts   *count.Set

	started bool
	doc     *config.Document
	encoded []byte // encoding of doc, made when first needed
	// lastValue and lastRead are what the last valid read showed.
	lastValue   []byte
	lastRead    *config.Document
	adoptions   uint64 // number of documents adopted so far
	confirmedAt time.Time
	alarm       api.Reason

	ops     []*operation // outstanding, in order of issue
	polling *operation
	polls   uint64
	// readRevision is the store's revision of the document that the last whole
	// read showed; readAdoptions is the number of adoptions by then.
	readRevision  int64
	readAdoptions uint64
	nextPoll      time.Time
	failures      int // consecutive failed polls

	members    int // live entries, this one included
	watcher    bool
	watch      *operation
	watchHeard time.Time
	cancelNow  time.Time // when SetMembers asked to end the watch; zero if not

	startedAt time.Time
	heardPeer bool

	proposals []*proposal // the first is being worked on

	wantWhole    bool // changes from peers did not fit: ask for the document
	refused      config.Position
	refusedUntil time.Time

	out []event.Action
}

// New returns a Syncer without a document. newOp yields operation IDs that are
// unique within the life of the entry.
func New(settings Settings, newOp func() api.OpID, rng *rand.Rand, counts *count.Set) *Syncer {
	return &Syncer{settings: settings, newOp: newOp, rng: rng, counts: counts, members: 1, watcher: true}
}

// Start begins to follow the store. The first read waits for a random part of
// firstReadSpread.
func (s *Syncer) Start(now time.Time) []event.Action {
	s.started = true
	s.startedAt = now
	s.nextPoll = now.Add(time.Duration(s.rng.Int64N(int64(firstReadSpread))))
	return s.flush()
}

// Tick does what is due. It is called at the time given by Wake, and may be
// called at any other time.
func (s *Syncer) Tick(now time.Time) []event.Action {
	if !s.started {
		return nil
	}
	s.expireOps(now)
	s.tickProposals(now)
	s.tickWatch(now)
	if s.polling == nil && !now.Before(s.nextPoll) {
		s.poll(now)
	}
	return s.flush()
}

// Wake returns the time of the next Tick; the zero time before Start.
func (s *Syncer) Wake() time.Time {
	if !s.started {
		return time.Time{}
	}
	var wake time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	if s.polling == nil {
		earlier(s.nextPoll)
	}
	for _, op := range s.ops {
		if !op.timedOut && op.kind != opWatch {
			earlier(op.deadline)
		}
	}
	if s.watch != nil {
		earlier(s.watchHeard.Add(WatchSilence))
	}
	earlier(s.cancelNow)
	if len(s.proposals) > 0 && !s.proposals[0].started {
		earlier(s.changesFrom())
	}
	for _, p := range s.proposals {
		earlier(p.deadline)
		earlier(p.retryAt)
	}
	return wake
}

// changesFrom returns when the first change may be worked on.
func (s *Syncer) changesFrom() time.Time {
	if s.settings.Peers && !s.heardPeer {
		return s.startedAt.Add(maxPeerHearing)
	}
	return s.startedAt.Add(peerHearing)
}

// Document returns the adopted document, or nil before the first adoption. It
// must not be changed.
func (s *Syncer) Document() *config.Document { return s.doc }

// ConfirmedAt returns when the store or a peer last showed the adopted document.
func (s *Syncer) ConfirmedAt() time.Time { return s.confirmedAt }

// Alarm returns ReasonStoreRegressed while the store does not hold the adopted
// document or a successor, else ReasonNone.
func (s *Syncer) Alarm() api.Reason { return s.alarm }

// Position returns the place of the adopted document for messages to peers.
func (s *Syncer) Position() gossip.Position { return gossip.Position(s.doc.Position()) }

func (s *Syncer) emit(a event.Action) { s.out = append(s.out, a) }

func (s *Syncer) flush() []event.Action {
	out := s.out
	s.out = nil
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
