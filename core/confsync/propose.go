package confsync

import (
	"fmt"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
)

// proposal is an operator's change that has not been answered yet. It is
// processed by a read, which returns the newest document and its store revision,
// followed by a write that is conditional on that revision.
type proposal struct {
	request  event.ChangeArrived
	change   config.Change
	deadline time.Time
	started  bool
	answered bool
	rereads  int
	rebases  int
	// The current attempt: the document to write, its encoding, and the store
	// revision that the write is conditional on.
	doc        *config.Document
	value      []byte
	ifRevision int64
	// mayBeApplied is set while a write of the current attempt may have been
	// applied or may still be. The write must then be repeated byte for byte at the
	// same store revision until its outcome is known, because the store applies at
	// most one of these writes.
	mayBeApplied bool
	writes       int       // number of writes issued for the current attempt
	nextReadAt   time.Time // when to read again; zero if no read is scheduled
	// conflictPosition is the position of an attempt that another change preceded;
	// zero if there is none or the change has been rebased since.
	conflictPosition config.Position
	winner           *config.Change
}

// Propose queues an operator's change. It is answered by an event.AnswerChange
// within ChangeTimeout, at once if the queue is full.
func (s *Syncer) Propose(now time.Time, ev event.ChangeArrived) []event.Action {
	p := &proposal{request: ev, deadline: now.Add(ChangeTimeout)}
	p.change = config.Change{
		ID:   config.ChangeID(fmt.Sprintf("%016x%016x", s.rng.Uint64(), s.rng.Uint64())),
		Who:  ev.Who,
		Why:  ev.Why,
		When: now.UTC().Round(0),
		Text: ev.Text,
		Ops:  ev.Ops,
	}
	if len(s.proposals) >= maxQueuedChanges {
		s.answer(p, event.AnswerChange{Outcome: event.ChangeRefused, Reason: api.ReasonOverloaded, RetryAfter: StoreTimeout})
		return s.flush()
	}
	s.proposals = append(s.proposals, p)
	s.startNextProposal(now)
	return s.flush()
}

// startNextProposal starts the first proposal of the queue, unless it is too soon
// after the start of the node.
func (s *Syncer) startNextProposal(now time.Time) {
	if len(s.proposals) == 0 || s.proposals[0].started || now.Before(s.changesAllowedFrom()) {
		return
	}
	s.proposals[0].started = true
	s.readDocument(now, s.proposals[0])
}

// tickProposals ends proposals that have timed out, starts the next one and
// issues a scheduled read that is due.
func (s *Syncer) tickProposals(now time.Time) {
	for len(s.proposals) > 0 && !now.Before(s.proposals[0].deadline) {
		s.giveUp(now, s.proposals[0])
	}
	s.startNextProposal(now)
	if len(s.proposals) == 0 {
		return
	}
	p := s.proposals[0]
	if !p.nextReadAt.IsZero() && !now.Before(p.nextReadAt) {
		p.nextReadAt = time.Time{}
		s.readDocument(now, p)
	}
}

// giveUp ends a proposal without a further attempt. The outcome is unknown if a
// write may have been applied, conflict if another change is known to have
// preceded it, and refused otherwise.
func (s *Syncer) giveUp(now time.Time, p *proposal) {
	if p.mayBeApplied {
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeUnknown, Reason: api.ReasonStoreUnavailable, RetryAfter: ChangeTimeout})
		return
	}
	if p.conflictPosition != (config.Position{}) {
		s.finishConflict(now, p, nil, "another change came first")
		return
	}
	s.finish(now, p, event.AnswerChange{Outcome: event.ChangeRefused, Reason: api.ReasonStoreUnavailable, RetryAfter: ChangeTimeout})
}

// finish answers a proposal and starts the next one.
func (s *Syncer) finish(now time.Time, p *proposal, a event.AnswerChange) {
	s.answer(p, a)
	for i, q := range s.proposals {
		if q == p {
			s.proposals = append(s.proposals[:i:i], s.proposals[i+1:]...)
			break
		}
	}
	s.startNextProposal(now)
}

var outcomeCounts = map[event.ChangeOutcome]api.Reason{
	event.ChangeAccepted: countAccepted,
	event.ChangeInvalid:  countInvalid,
	event.ChangeConflict: countConflict,
	event.ChangeRefused:  countRefused,
	event.ChangeUnknown:  countUnknown,
}

func (s *Syncer) answer(p *proposal, a event.AnswerChange) {
	p.answered = true
	a.Request = p.request.Request
	a.ID = p.change.ID
	if a.Revision == 0 {
		a.Revision = s.doc.Position().Revision
	}
	s.counts.Inc(count.Config, outcomeCounts[a.Outcome])
	s.log("config_change", "outcome", string(outcomeCounts[a.Outcome]), "reason", string(a.Reason), "id", string(a.ID), "who", p.request.Who, "revision", decimal(a.Revision))
	s.emit(a)
}

// proposalReadFailed handles a proposal's read that failed or timed out. Nothing
// has been written unless an earlier write has an unknown result.
func (s *Syncer) proposalReadFailed(now time.Time, p *proposal) {
	if p.answered {
		return
	}
	if p.mayBeApplied {
		p.nextReadAt = now.Add(s.jitter(recheckDelay))
		return
	}
	s.giveUp(now, p)
}

// proposalReadDone continues a proposal after a successful read of the store.
func (s *Syncer) proposalReadDone(now time.Time, p *proposal, result readResult) {
	switch {
	case p.answered:
	case p.mayBeApplied:
		s.resolveUnknownWrite(now, p, result)
	case result.stale:
		p.rereads++
		if p.rereads > maxRebases {
			s.giveUp(now, p)
			return
		}
		p.nextReadAt = now.Add(s.jitter(recheckDelay))
	case s.alarm != api.ReasonNone && !p.change.IsRecover():
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeRefused, Reason: s.alarm})
	case s.doc == nil && p.change.IsRecover():
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeRefused, Reason: api.ReasonNoConfiguration})
	case p.conflictPosition != (config.Position{}):
		s.rebase(now, p, result.revision)
	default:
		s.startAttempt(now, p, result.revision)
	}
}

// startAttempt applies the change to the adopted document and writes the result.
// The store holds the adopted document, unless the change is a recovery.
func (s *Syncer) startAttempt(now time.Time, p *proposal, storeRevision int64) {
	base := s.doc
	if base == nil {
		base = config.Empty(now)
	}
	if e := p.request.Expected; e != nil && *e != base.Revision {
		s.finishConflict(now, p, s.winnerAfter(*e), fmt.Sprintf("the configuration is at revision %d, the change expects revision %d", base.Revision, *e))
		return
	}
	doc, err := config.Apply(base, p.change)
	if err != nil && p.winner != nil {
		s.finishConflict(now, p, p.winner, config.Message(err))
		return
	}
	if err != nil {
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeInvalid, Reason: api.ReasonMalformed, Message: config.Message(err)})
		return
	}
	value, err := config.Encode(doc)
	if err != nil {
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeInvalid, Reason: api.ReasonMalformed, Message: config.Message(err)})
		return
	}
	p.doc = doc
	p.value = value
	p.ifRevision = storeRevision
	p.writes = 0
	s.issueWrite(now, p)
}

func (s *Syncer) issueWrite(now time.Time, p *proposal) {
	op := s.startOp(now, opWrite, p)
	op.written = p.doc
	p.mayBeApplied = true
	p.writes++
	s.counts.Inc(count.Store, countWrite)
	s.emit(event.WriteStore{Op: op.id, Key: Key, Value: p.value, IfRevision: p.ifRevision})
}

// proposalWriteDone handles the result of a write; WriteUnknown also stands for a
// timeout. If the attempt's only write was rejected, the attempt was not applied.
// The rejection of a repeated write says nothing about the earlier ones.
func (s *Syncer) proposalWriteDone(now time.Time, op *operation, result event.WriteResult) {
	p := op.proposal
	if result == event.WriteApplied {
		s.writeApplied(now, op)
		return
	}
	if p.answered {
		return
	}
	final := p.writes == 1 && result != event.WriteUnknown
	switch {
	case final && result == event.WriteNotSent:
		p.mayBeApplied = false
		s.giveUp(now, p)
	case final:
		p.mayBeApplied = false
		p.conflictPosition = p.doc.Position()
		s.readDocument(now, p)
	case p.writes == 1:
		s.counts.Inc(count.Store, countWriteLost)
		s.readDocument(now, p)
	default:
		p.nextReadAt = now.Add(s.jitter(recheckDelay))
	}
}

// writeApplied adopts the document of a successful write. If the answer is late,
// the store may hold another document by now, so the alarm is not cleared.
func (s *Syncer) writeApplied(now time.Time, op *operation) {
	if s.adopt(now, op.written, countFromStore) && !op.timedOut {
		s.setAlarm(api.ReasonNone, op.written)
	}
	if p := op.proposal; !p.answered && s.doc.FindChange(p.change.ID) == nil {
		// The adopted document has another change at this position: the store was
		// restored from an older copy before this write. A recovery writes the
		// adopted document and may drop this change.
		s.setAlarm(api.ReasonStoreRegressed, op.written)
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeUnknown, Reason: api.ReasonStoreRegressed, RetryAfter: ChangeTimeout})
	} else if !p.answered {
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeAccepted, Revision: op.written.Revision})
	}
}

// resolveUnknownWrite determines whether a write with an unknown result was
// applied, from a read that was issued after it.
func (s *Syncer) resolveUnknownWrite(now time.Time, p *proposal, result readResult) {
	if c := result.doc.FindChange(p.change.ID); c != nil {
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeAccepted, Revision: c.Revision})
		return
	}
	if result.stale {
		p.nextReadAt = now.Add(s.jitter(recheckDelay))
		return
	}
	if s.alarm != api.ReasonNone && !p.change.IsRecover() {
		s.giveUp(now, p)
		return
	}
	if result.revision == p.ifRevision {
		// The write may still be applied later. Repeating it at the same store
		// revision is safe: whichever write comes second fails.
		s.issueWrite(now, p)
		return
	}
	other := result.doc.ChangeAt(p.doc.Position())
	if other == nil {
		// The history no longer reaches back to the attempt, or the store was
		// restored since. The change may have been applied in between.
		s.giveUp(now, p)
		return
	}
	p.mayBeApplied = false
	p.conflictPosition = p.doc.Position()
	s.rebase(now, p, result.revision)
}

// rebase handles an attempt that another change preceded. It applies the change
// to the adopted document, or ends the proposal with a conflict if the operator
// expected a revision, the change is a recovery or maxRebases is exceeded.
func (s *Syncer) rebase(now time.Time, p *proposal, storeRevision int64) {
	p.winner = s.doc.ChangeAt(p.conflictPosition)
	if p.winner == nil {
		p.winner = s.doc.NewestChange()
	}
	p.conflictPosition = config.Position{}
	p.rebases++
	if p.request.Expected != nil || p.change.IsRecover() || p.rebases > maxRebases {
		s.finishConflict(now, p, p.winner, "another change came first")
		return
	}
	s.counts.Inc(count.Config, countRebased)
	s.startAttempt(now, p, storeRevision)
}

func (s *Syncer) finishConflict(now time.Time, p *proposal, winner *config.Change, message string) {
	s.finish(now, p, event.AnswerChange{Outcome: event.ChangeConflict, Reason: api.ReasonConflict, Winner: winner, Message: message})
}

// winnerAfter returns the change that followed the revision expected by the
// operator, or the newest change if the history no longer contains it.
func (s *Syncer) winnerAfter(expected uint64) *config.Change {
	if s.doc == nil {
		return nil
	}
	if c := s.doc.ChangeAt(config.Position{Generation: s.doc.Generation, Revision: expected + 1}); c != nil {
		return c
	}
	return s.doc.NewestChange()
}
