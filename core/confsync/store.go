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
	// timedOut means that the Syncer no longer waits; a late answer is still
	// recognised, and a late success of a write is still used.
	timedOut bool
	// adoptions is the number of adoptions before the issue. A read shows at
	// least what had been adopted by then, because every adopted document was in
	// the store before; what was adopted since says nothing about it.
	adoptions uint64
	proposal  *proposal // nil for polls and watches
	// revisionOnly is set for a poll that asks only whether the value changed.
	revisionOnly bool
	written      *config.Document // for writes
}

func (s *Syncer) start(now time.Time, kind opKind, p *proposal) *operation {
	op := &operation{id: s.newOp(), kind: kind, deadline: now.Add(OpTimeout), adoptions: s.adoptions, proposal: p}
	s.ops = append(s.ops, op)
	return op
}

// take returns the outstanding operation with the ID and kind and forgets it.
func (s *Syncer) take(id api.OpID, kind opKind) *operation {
	op := s.find(id, kind)
	if op != nil {
		s.forget(op)
	}
	return op
}

func (s *Syncer) find(id api.OpID, kind opKind) *operation {
	for _, op := range s.ops {
		if op.id == id && op.kind == kind {
			return op
		}
	}
	return nil
}

func (s *Syncer) forget(op *operation) {
	s.ops = slices.DeleteFunc(s.ops, func(o *operation) bool { return o == op })
}

// expireOps ends the wait for operations that take too long.
func (s *Syncer) expireOps(now time.Time) {
	for _, op := range slices.Clone(s.ops) {
		switch {
		case op.kind == opWatch && op == s.watch:
			continue
		case op.timedOut || op.kind == opWatch:
			if now.Sub(op.deadline) > lateAnswers {
				s.forget(op)
			}
		case !now.Before(op.deadline):
			op.timedOut = true
			s.failed(now, op)
		}
	}
}

// failed handles an operation without an answer.
func (s *Syncer) failed(now time.Time, op *operation) {
	switch {
	case op.kind == opRead && op == s.polling:
		s.pollFailed(now)
	case op.kind == opRead && op.proposal != nil:
		s.counts.Inc(count.Store, countReadFailed)
		s.proposalReadFailed(now, op.proposal)
	case op.kind == opWrite:
		s.proposalWritten(now, op, event.WriteUnknown)
	}
}

func (s *Syncer) read(now time.Time, p *proposal) *operation {
	return s.readAs(now, p, false)
}

func (s *Syncer) readAs(now time.Time, p *proposal, revisionOnly bool) *operation {
	op := s.start(now, opRead, p)
	op.revisionOnly = revisionOnly
	s.counts.Inc(count.Store, countRead)
	s.emit(event.ReadStore{Op: op.id, Key: Key, RevisionOnly: revisionOnly})
	return op
}

// poll reads the store. Most polls ask for the revision of the key only: at the
// planned scale the whole document at each poll is 11.8 KB/s for each node.
func (s *Syncer) poll(now time.Time) {
	s.polls++
	if s.mayPollRevision() {
		s.polling = s.readAs(now, nil, true)
		return
	}
	s.polling = s.read(now, nil)
}

// mayPollRevision reports whether an unchanged revision would confirm the
// adopted document: the last whole read showed it, and nothing was adopted
// since. Every fullPollEvery-th poll reads the value all the same, in case a
// restored store comes back to the same revision with other content.
func (s *Syncer) mayPollRevision() bool {
	return s.readRevision != 0 && s.readAdoptions == s.adoptions && s.alarm == api.ReasonNone && s.polls%fullPollEvery != 0
}

// confirmedByRevision handles the answer to a poll for the revision. It returns
// false if the value has to be read.
func (s *Syncer) confirmedByRevision(now time.Time, ev event.StoreRead) bool {
	if ev.Revision != s.readRevision || s.readAdoptions != s.adoptions {
		return false
	}
	s.confirmedAt = now
	return true
}

// interval is the poll interval before jitter. It grows with the number of
// entries, so that the store sees about storeReadRate reads per second in all.
func (s *Syncer) interval() time.Duration {
	return max(minPoll, time.Duration(s.members)*time.Second/storeReadRate)
}

func (s *Syncer) pollFailed(now time.Time) {
	s.polling = nil
	s.failures++
	s.counts.Inc(count.Store, countReadFailed)
	delay := s.interval()
	limit := max(maxBackoff, 2*delay)
	for i := 0; i < s.failures && delay < limit; i++ {
		delay *= 2
	}
	s.nextPoll = now.Add(s.jitter(min(delay, limit)))
}

// pollSoon moves the next poll ahead, to check news that a read must confirm.
func (s *Syncer) pollSoon(now time.Time) {
	if soon := now.Add(s.jitter(recheckDelay)); soon.Before(s.nextPoll) {
		s.nextPoll = soon
	}
}

// StoreRead takes the result of a read. handled is false if the operation
// belongs to another package.
func (s *Syncer) StoreRead(now time.Time, ev event.StoreRead) (handled bool, actions []event.Action) {
	op := s.take(ev.Op, opRead)
	if op == nil {
		return false, nil
	}
	if op.timedOut {
		return true, nil
	}
	if ev.Result == event.ReadFailed {
		s.failed(now, op)
		return true, s.flush()
	}
	if op == s.polling {
		s.polling = nil
	}
	s.failures = 0
	s.nextPoll = now.Add(s.jitter(s.interval()))
	if op.revisionOnly && ev.Result == event.ReadFound && ev.Value == nil {
		if !s.confirmedByRevision(now, ev) {
			s.polling = s.read(now, nil)
		} else if s.watcher && s.watch == nil {
			s.openWatch(now, ev.Revision)
		}
		return true, s.flush()
	}
	seen := s.observe(now, op, ev)
	if s.watcher && s.watch == nil {
		s.openWatch(now, seen.revision)
	}
	if op.proposal != nil {
		s.proposalRead(now, op.proposal, seen)
	}
	return true, s.flush()
}

// StoreWritten takes the result of a write.
func (s *Syncer) StoreWritten(now time.Time, ev event.StoreWritten) (handled bool, actions []event.Action) {
	op := s.take(ev.Op, opWrite)
	if op == nil {
		return false, nil
	}
	if op.timedOut && ev.Result != event.WriteApplied {
		return true, nil // the proposal reads back already
	}
	s.proposalWritten(now, op, ev.Result)
	return true, s.flush()
}

// seen is what a read showed.
type seen struct {
	// doc is nil if the key is absent or holds no valid document.
	doc      *config.Document
	revision int64 // of the store; 0 if the key is absent
	// stale means that a newer document was adopted after the read was issued.
	stale bool
}

// observe adopts what a read shows and sets or clears the alarm.
func (s *Syncer) observe(now time.Time, op *operation, ev event.StoreRead) seen {
	out := seen{}
	valid := true
	if ev.Result == event.ReadFound {
		out.revision = ev.Revision
		doc, err := s.decodeRead(ev.Value)
		valid = err == nil
		if !valid {
			s.log("config_store_invalid", "error", config.Message(err))
		}
		out.doc = doc
	}
	older := out.doc.Position().Compare(s.doc.Position()) < 0
	switch {
	case valid && !older && s.sameLine(out.doc):
		s.adopt(now, out.doc, countFromStore)
		s.confirmedAt = now
		s.setAlarm(api.ReasonNone, out.doc)
		s.readRevision, s.readAdoptions = ev.Revision, s.adoptions
	case valid && older && op.adoptions != s.adoptions:
		out.stale = true
	default:
		s.setAlarm(api.ReasonStoreRegressed, out.doc)
	}
	return out
}

// sameLine reports whether a document that is not older continues the adopted
// one: the same change at the adopted revision, as far as its history shows. A
// document of a newer generation always does, because an operator decided so.
// The comparison is by revision alone: two recoveries of different copies give
// the same generation to different lines.
func (s *Syncer) sameLine(doc *config.Document) bool {
	if s.doc == nil || doc.Generation > s.doc.Generation {
		return true
	}
	head := s.doc.Head()
	if head == nil {
		return true
	}
	for i := range doc.History {
		if c := &doc.History[i]; c.Revision == head.Revision {
			return c.Position() == head.Position() && c.ID == head.ID && c.Digest == head.Digest
		}
	}
	return doc.Revision > s.doc.Revision
}

// adopt moves to a newer document. Documents at or before the adopted position
// change nothing.
func (s *Syncer) adopt(now time.Time, doc *config.Document, source api.Reason) bool {
	if doc == nil || s.doc != nil && doc.Position().Compare(s.doc.Position()) <= 0 {
		return false
	}
	s.doc = doc
	s.encoded = nil
	s.adoptions++
	s.confirmedAt = now
	s.wantWhole = false
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

// decodeRead decodes what a read showed. Most reads show the same bytes as the
// one before, whose document is used again: decoding one of 2,500 replicas at
// each poll took 1 % of a core.
func (s *Syncer) decodeRead(value []byte) (*config.Document, error) {
	if s.lastRead != nil && bytes.Equal(value, s.lastValue) {
		return s.lastRead, nil
	}
	doc, err := decodeDocument(value)
	s.lastValue, s.lastRead = value, doc
	return doc, err
}

// decodeDocument decodes and checks a document from outside.
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
