package confsync

import (
	"bytes"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
)

type opKind uint8

const (
	opRead opKind = iota + 1
	opWrite
	opWatch
)

// operation is an outstanding store operation.
type operation struct {
	id       api.OpID
	kind     opKind
	deadline time.Time
	// timedOut is set once the Syncer has stopped waiting for the answer. A late
	// answer is still recognised, and a late success of a write is still used.
	timedOut bool
	// adoptionsAtIssue is the number of adoptions when the operation was issued.
	// Every adopted document was in the store first, so a read returns a document
	// at least as new as the one adopted when it was issued. It need not be as new
	// as documents adopted after that.
	adoptionsAtIssue uint64
	proposal         *proposal // nil for polls and watches
	// revisionOnly is set for a poll that reads the store revision of the key but
	// not its value.
	revisionOnly bool
	written      *config.Document // document of a write; nil for other operations
}

func (s *Syncer) startOp(now time.Time, kind opKind, p *proposal) *operation {
	op := &operation{id: s.newOpID(), kind: kind, deadline: now.Add(StoreTimeout), adoptionsAtIssue: s.adoptions, proposal: p}
	s.ops = append(s.ops, op)
	return op
}

// takeOp removes and returns the outstanding operation with the given ID and
// kind, or returns nil.
func (s *Syncer) takeOp(id api.OpID, kind opKind) *operation {
	op := s.findOp(id, kind)
	if op != nil {
		s.removeOp(op)
	}
	return op
}

func (s *Syncer) findOp(id api.OpID, kind opKind) *operation {
	for _, op := range s.ops {
		if op.id == id && op.kind == kind {
			return op
		}
	}
	return nil
}

func (s *Syncer) removeOp(op *operation) {
	s.ops = slices.DeleteFunc(s.ops, func(o *operation) bool { return o == op })
}

// expireOps times out operations that have passed their deadline. Timed-out
// operations and closed watches are removed after another lateAnswerWindow.
func (s *Syncer) expireOps(now time.Time) {
	for _, op := range slices.Clone(s.ops) {
		switch {
		case op.kind == opWatch && op == s.watch:
			continue
		case op.timedOut || op.kind == opWatch:
			if now.Sub(op.deadline) > lateAnswerWindow {
				s.removeOp(op)
			}
		case !now.Before(op.deadline):
			op.timedOut = true
			s.opFailed(now, op)
		}
	}
}

// opFailed handles a failed or timed-out operation.
func (s *Syncer) opFailed(now time.Time, op *operation) {
	switch {
	case op.kind == opRead && op == s.pendingPoll:
		s.pollFailed(now)
	case op.kind == opRead && op.proposal != nil:
		s.counts.Inc(count.Store, countReadFailed)
		s.proposalReadFailed(now, op.proposal)
	case op.kind == opWrite:
		s.proposalWriteDone(now, op, event.WriteUnknown)
	}
}

func (s *Syncer) readDocument(now time.Time, p *proposal) *operation {
	return s.issueRead(now, p, false)
}

func (s *Syncer) issueRead(now time.Time, p *proposal, revisionOnly bool) *operation {
	op := s.startOp(now, opRead, p)
	op.revisionOnly = revisionOnly
	s.counts.Inc(count.Store, countRead)
	s.emit(event.ReadStore{Op: op.id, Key: Key, RevisionOnly: revisionOnly})
	return op
}

// poll reads the store. Most polls read only the revision of the key: at the
// planned scale, reading the whole document in every poll would take 11.8 KB/s
// per node.
func (s *Syncer) poll(now time.Time) {
	s.pollCount++
	if s.canPollRevision() {
		s.pendingPoll = s.issueRead(now, nil, true)
		return
	}
	s.pendingPoll = s.readDocument(now, nil)
}

// canPollRevision reports whether an unchanged store revision confirms the
// adopted document: the last full read returned it, and no other document has
// been adopted since. Every fullReadEvery-th poll reads the value anyway, because
// a restored store may reach the same revision with different content.
func (s *Syncer) canPollRevision() bool {
	return s.fullReadRevision != 0 && s.fullReadAdoptions == s.adoptions && s.alarm == api.ReasonNone && s.pollCount%fullReadEvery != 0
}

// confirmByRevision handles the answer to a revision-only poll. It returns false
// if the value must be read.
func (s *Syncer) confirmByRevision(now time.Time, ev event.StoreRead) bool {
	if ev.Revision != s.fullReadRevision || s.fullReadAdoptions != s.adoptions {
		return false
	}
	s.confirmedAt = now
	return true
}

// pollInterval returns the poll interval before jitter. It grows with the number
// of nodes, so that all nodes together make about storeReadRate reads per
// second.
func (s *Syncer) pollInterval() time.Duration {
	return max(minPollInterval, time.Duration(s.memberCount)*time.Second/storeReadRate)
}

func (s *Syncer) pollFailed(now time.Time) {
	s.pendingPoll = nil
	s.failedPolls++
	s.counts.Inc(count.Store, countReadFailed)
	delay := s.pollInterval()
	limit := max(maxBackoff, 2*delay)
	for i := 0; i < s.failedPolls && delay < limit; i++ {
		delay *= 2
	}
	s.nextPoll = now.Add(s.jitter(min(delay, limit)))
}

// pollSoon brings the next poll forward, to verify by a read what a watch or a
// peer reported.
func (s *Syncer) pollSoon(now time.Time) {
	if soon := now.Add(s.jitter(recheckDelay)); soon.Before(s.nextPoll) {
		s.nextPoll = soon
	}
}

// StoreRead handles the result of a read. handled is false if the operation is
// not an outstanding read of the Syncer, but belongs to another package.
func (s *Syncer) StoreRead(now time.Time, ev event.StoreRead) (handled bool, actions []event.Action) {
	op := s.takeOp(ev.Op, opRead)
	if op == nil {
		return false, nil
	}
	if op.timedOut {
		return true, nil
	}
	if ev.Result == event.ReadFailed {
		s.opFailed(now, op)
		return true, s.flush()
	}
	if op == s.pendingPoll {
		s.pendingPoll = nil
	}
	s.failedPolls = 0
	s.nextPoll = now.Add(s.jitter(s.pollInterval()))
	if op.revisionOnly && ev.Result == event.ReadFound && ev.Value == nil {
		if !s.confirmByRevision(now, ev) {
			s.pendingPoll = s.readDocument(now, nil)
		} else if s.shouldWatch && s.watch == nil {
			s.openWatch(now, ev.Revision)
		}
		return true, s.flush()
	}
	result := s.processRead(now, op, ev)
	if s.shouldWatch && s.watch == nil {
		s.openWatch(now, result.revision)
	}
	if op.proposal != nil {
		s.proposalReadDone(now, op.proposal, result)
	}
	return true, s.flush()
}

// StoreWritten handles the result of a write. handled is false if the operation
// is not an outstanding write of the Syncer.
func (s *Syncer) StoreWritten(now time.Time, ev event.StoreWritten) (handled bool, actions []event.Action) {
	op := s.takeOp(ev.Op, opWrite)
	if op == nil {
		return false, nil
	}
	if op.timedOut && ev.Result != event.WriteApplied {
		return true, nil // the timeout has already handled it as WriteUnknown
	}
	s.proposalWriteDone(now, op, ev.Result)
	return true, s.flush()
}

// readResult is the outcome of a read of the store.
type readResult struct {
	// doc is nil if the key is absent or holds no valid document.
	doc      *config.Document
	revision int64 // store revision of the key; 0 if it is absent
	// stale is set if the document is older than one that was adopted after the
	// read was issued.
	stale bool
}

// processRead adopts the document that a read returned and sets or clears the
// alarm. The alarm is set if the value is invalid, if its history diverges from
// the adopted one, or if it is older than the adopted document although nothing
// was adopted since the read was issued. An absent value counts as older.
func (s *Syncer) processRead(now time.Time, op *operation, ev event.StoreRead) readResult {
	result := readResult{}
	valid := true
	if ev.Result == event.ReadFound {
		result.revision = ev.Revision
		doc, err := s.decodeRead(ev.Value)
		valid = err == nil
		if !valid {
			s.log("config_store_invalid", "error", config.Message(err))
		}
		result.doc = doc
	}
	older := result.doc.Position().Compare(s.doc.Position()) < 0
	switch {
	case valid && !older && s.continuesAdopted(result.doc):
		s.adopt(now, result.doc, countFromStore)
		s.confirmedAt = now
		s.setAlarm(api.ReasonNone, result.doc)
		s.fullReadRevision, s.fullReadAdoptions = ev.Revision, s.adoptions
	case valid && older && op.adoptionsAtIssue != s.adoptions:
		result.stale = true
	default:
		s.setAlarm(api.ReasonStoreRegressed, result.doc)
	}
	return result
}

// continuesAdopted reports whether a document that is not older than the adopted
// one has the adopted document in its history: it must contain the same change
// at the adopted revision, as far as its history reaches back. A document of a
// newer generation always qualifies, because an operator's recovery created it.
// Changes are looked up by revision alone, because two recoveries of different
// copies give the same generation to different histories.
func (s *Syncer) continuesAdopted(doc *config.Document) bool {
	if s.doc == nil || doc.Generation > s.doc.Generation {
		return true
	}
	newest := s.doc.NewestChange()
	if newest == nil {
		return true
	}
	for i := range doc.History {
		if c := &doc.History[i]; c.Revision == newest.Revision {
			return c.Position() == newest.Position() && c.ID == newest.ID && c.Digest == newest.Digest
		}
	}
	return doc.Revision > s.doc.Revision
}

// adopt makes doc the adopted document and reports whether it did. A document at
// or before the adopted position is ignored.
func (s *Syncer) adopt(now time.Time, doc *config.Document, source api.Reason) bool {
	if doc == nil || s.doc != nil && doc.Position().Compare(s.doc.Position()) <= 0 {
		return false
	}
	s.doc = doc
	s.encoded = nil
	s.adoptions++
	s.confirmedAt = now
	s.needFullDocument = false
	s.counts.Inc(count.Config, source)
	s.log("config_adopted", "generation", decimal(doc.Generation), "revision", decimal(doc.Revision), "source", string(source))
	return true
}

func (s *Syncer) setAlarm(reason api.Reason, store *config.Document) {
	if s.alarm == reason {
		return
	}
	s.alarm = reason
	if reason == api.ReasonNone {
		s.log("config_store_restored", "revision", decimal(s.doc.Position().Revision))
		return
	}
	s.counts.Inc(count.Config, reason)
	s.log(string(reason),
		"adopted_generation", decimal(s.doc.Position().Generation), "adopted_revision", decimal(s.doc.Position().Revision),
		"store_generation", decimal(store.Position().Generation), "store_revision", decimal(store.Position().Revision))
}

// decodeRead decodes the value that a read returned. Most reads return the same
// bytes as the one before, so its document is reused: decoding a document of
// 2,500 replicas at each poll took 1 % of a core.
func (s *Syncer) decodeRead(value []byte) (*config.Document, error) {
	if s.lastReadDocument != nil && bytes.Equal(value, s.lastReadValue) {
		return s.lastReadDocument, nil
	}
	doc, err := decodeDocument(value)
	s.lastReadValue, s.lastReadDocument = value, doc
	return doc, err
}

// decodeDocument decodes and verifies a document from the store or a peer.
func decodeDocument(data []byte) (*config.Document, error) {
	doc, err := config.Decode(data)
	if err != nil {
		return nil, err
	}
	if err := config.Verify(doc); err != nil {
		return nil, err
	}
	return doc, nil
}
