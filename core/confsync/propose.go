package confsync

import (
	"fmt"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
)

// proposal is an operator's change on its way to the store. It starts with a
// read, which gives the newest document and the store revision to compare with,
// and continues with a write.
type proposal struct {
	arrived  event.ChangeArrived
	change   config.Change
	deadline time.Time
	started  bool
	done     bool
	rereads  int
	rebases  int
	// The current attempt: the document to write, its encoding, and the store
	// revision to compare with.
	doc        *config.Document
	value      []byte
	ifRevision int64
	// maybe means that a write of the current attempt may be applied already or
	// later. The attempt must then be repeated byte for byte at the same store
	// revision until its fate is known: at most one copy can be applied.
	maybe   bool
	copies  int       // writes of the current attempt
	retryAt time.Time // of the next read; zero if none is planned
	// lost is the position of an attempt that lost to another change; zero if
	// none did or the loss has been dealt with.
	lost   config.Position
	winner *config.Change
}

// Propose takes an operator's change. Its answer follows within OperatorWait.
func (s *Syncer) Propose(now time.Time, ev event.ChangeArrived) []event.Action {
	p := &proposal{arrived: ev, deadline: now.Add(OperatorWait)}
	p.change = config.Change{
		ID:   config.ChangeID(fmt.Sprintf("%016x%016x", s.rng.Uint64(), s.rng.Uint64())),
		Who:  ev.Who,
		Why:  ev.Why,
		When: now.UTC().Round(0),
		Text: ev.Text,
		Ops:  ev.Ops,
	}
	if len(s.proposals) >= maxQueued {
		s.answer(p, event.AnswerChange{Outcome: event.ChangeRefused, Reason: api.ReasonOverloaded, RetryAfter: OpTimeout})
		return s.flush()
	}
	s.proposals = append(s.proposals, p)
	s.startNext(now)
	return s.flush()
}

// startNext starts the first proposal of the queue, unless the entry has just
// started.
func (s *Syncer) startNext(now time.Time) {
	if len(s.proposals) == 0 || s.proposals[0].started || now.Before(s.changesFrom()) {
		return
	}
	s.proposals[0].started = true
	s.read(now, s.proposals[0])
}

// tickProposals ends proposals whose operators no longer wait and makes the
// reads that are due.
func (s *Syncer) tickProposals(now time.Time) {
	for len(s.proposals) > 0 && !now.Before(s.proposals[0].deadline) {
		s.giveUp(now, s.proposals[0])
	}
	s.startNext(now)
	if len(s.proposals) == 0 {
		return
	}
	p := s.proposals[0]
	if !p.retryAt.IsZero() && !now.Before(p.retryAt) {
		p.retryAt = time.Time{}
		s.read(now, p)
	}
}

// giveUp ends a proposal that cannot be decided any further: unknown if a write
// may be applied, conflict if another change is known to have won, else refused.
func (s *Syncer) giveUp(now time.Time, p *proposal) {
	if p.maybe {
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeUnknown, Reason: api.ReasonStoreUnavailable, RetryAfter: OperatorWait})
		return
	}
	if p.lost != (config.Position{}) {
		s.conflict(now, p, nil, "another change came first")
		return
	}
	s.finish(now, p, event.AnswerChange{Outcome: event.ChangeRefused, Reason: api.ReasonStoreUnavailable, RetryAfter: OperatorWait})
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
	s.startNext(now)
}

var outcomeCounts = map[event.ChangeOutcome]api.Reason{
	event.ChangeAccepted: countAccepted,
	event.ChangeInvalid:  countInvalid,
	event.ChangeConflict: countConflict,
	event.ChangeRefused:  countRefused,
	event.ChangeUnknown:  countUnknown,
}

func (s *Syncer) answer(p *proposal, a event.AnswerChange) {
	p.done = true
	a.Request = p.arrived.Request
	a.ID = p.change.ID
	if a.Revision == 0 {
		a.Revision = s.doc.Position().Revision
	}
	s.counts.Inc(count.Config, outcomeCounts[a.Outcome])
	s.log("config_change", "outcome", string(outcomeCounts[a.Outcome]), "reason", string(a.Reason), "id", string(a.ID), "who", p.arrived.Who, "revision", decimal(a.Revision))
	s.emit(a)
}

// proposalReadFailed handles a read without an answer. Nothing was written
// unless an earlier write was lost.
func (s *Syncer) proposalReadFailed(now time.Time, p *proposal) {
	if p.done {
		return
	}
	if p.maybe {
		p.retryAt = now.Add(s.jitter(recheckDelay))
		return
	}
	s.giveUp(now, p)
}

// proposalRead continues with what the store holds.
func (s *Syncer) proposalRead(now time.Time, p *proposal, got seen) {
	switch {
	case p.done:
	case p.maybe:
		s.resolve(now, p, got)
	case got.stale:
		p.rereads++
		if p.rereads > maxRebases {
			s.giveUp(now, p)
			return
		}
		p.retryAt = now.Add(s.jitter(recheckDelay))
	case s.alarm != api.ReasonNone && !p.change.IsRecover():
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeRefused, Reason: s.alarm})
	case s.doc == nil && p.change.IsRecover():
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeRefused, Reason: api.ReasonNoConfiguration})
	case p.lost != (config.Position{}):
		s.rebase(now, p, got.revision)
	default:
		s.attempt(now, p, got.revision)
	}
}

// attempt applies the change to the adopted document, which the store holds
// unless the change is a recovery, and writes the result.
func (s *Syncer) attempt(now time.Time, p *proposal, storeRevision int64) {
	base := s.doc
	if base == nil {
		base = config.Empty(now)
	}
	if e := p.arrived.Expected; e != nil && *e != base.Revision {
		s.conflict(now, p, s.winnerAfter(*e), fmt.Sprintf("the configuration is at revision %d, the change expects revision %d", base.Revision, *e))
		return
	}
	doc, err := config.Apply(base, p.change)
	if err != nil && p.winner != nil {
		s.conflict(now, p, p.winner, config.Message(err))
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
	p.copies = 0
	s.write(now, p)
}

func (s *Syncer) write(now time.Time, p *proposal) {
	op := s.start(now, opWrite, p)
	op.written = p.doc
	p.maybe = true
	p.copies++
	s.counts.Inc(count.Store, countWrite)
	s.emit(event.WriteStore{Op: op.id, Key: Key, Value: p.value, IfRevision: p.ifRevision})
}

// proposalWritten takes the result of a write; WriteUnknown also stands for no
// answer in time. A refusal of the only copy is final. A refusal of a later
// copy says nothing about the earlier ones.
func (s *Syncer) proposalWritten(now time.Time, op *operation, result event.WriteResult) {
	p := op.proposal
	if result == event.WriteApplied {
		s.writeApplied(now, op)
		return
	}
	if p.done {
		return
	}
	final := p.copies == 1 && result != event.WriteUnknown
	switch {
	case final && result == event.WriteNotSent:
		p.maybe = false
		s.giveUp(now, p)
	case final:
		p.maybe = false
		p.lost = p.doc.Position()
		s.read(now, p)
	case p.copies == 1:
		s.counts.Inc(count.Store, countWriteLost)
		s.read(now, p)
	default:
		p.retryAt = now.Add(s.jitter(recheckDelay))
	}
}

// writeApplied adopts what the store is known to hold, or to have held if the
// answer is late.
func (s *Syncer) writeApplied(now time.Time, op *operation) {
	if s.adopt(now, op.written, countFromStore) && !op.timedOut {
		s.setAlarm(api.ReasonNone, op.written)
	}
	if p := op.proposal; !p.done && s.doc.FindChange(p.change.ID) == nil {
		// Another change was adopted at this place: the store was restored from
		// an older copy before this write, and a recovery may drop the change.
		s.setAlarm(api.ReasonStoreRegressed, op.written)
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeUnknown, Reason: api.ReasonStoreRegressed, RetryAfter: OperatorWait})
	} else if !p.done {
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeAccepted, Revision: op.written.Revision})
	}
}

// resolve decides the fate of a write whose answer was lost, from a read that
// was issued after it.
func (s *Syncer) resolve(now time.Time, p *proposal, got seen) {
	if c := got.doc.FindChange(p.change.ID); c != nil {
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeAccepted, Revision: c.Revision})
		return
	}
	if got.stale {
		p.retryAt = now.Add(s.jitter(recheckDelay))
		return
	}
	if s.alarm != api.ReasonNone && !p.change.IsRecover() {
		s.giveUp(now, p)
		return
	}
	if got.revision == p.ifRevision {
		// The lost write may still be applied later. A copy at the same store
		// revision settles it: whichever comes second fails.
		s.write(now, p)
		return
	}
	w := got.doc.ChangeAt(p.doc.Position())
	if w == nil {
		// The history no longer reaches back to the attempt, or the store was
		// restored since: the change may have been there.
		s.giveUp(now, p)
		return
	}
	p.maybe = false
	p.lost = p.doc.Position()
	s.rebase(now, p, got.revision)
}

// rebase continues after another change has taken the place of the attempt.
func (s *Syncer) rebase(now time.Time, p *proposal, storeRevision int64) {
	p.winner = s.doc.ChangeAt(p.lost)
	if p.winner == nil {
		p.winner = s.doc.Head()
	}
	p.lost = config.Position{}
	p.rebases++
	if p.arrived.Expected != nil || p.change.IsRecover() || p.rebases > maxRebases {
		s.conflict(now, p, p.winner, "another change came first")
		return
	}
	s.counts.Inc(count.Config, countRebased)
	s.attempt(now, p, storeRevision)
}

func (s *Syncer) conflict(now time.Time, p *proposal, winner *config.Change, message string) {
	s.finish(now, p, event.AnswerChange{Outcome: event.ChangeConflict, Reason: api.ReasonConflict, Winner: winner, Message: message})
}

// winnerAfter returns the change that followed the revision expected by the
// operator, or the newest if the history no longer holds it.
func (s *Syncer) winnerAfter(expected uint64) *config.Change {
	if s.doc == nil {
		return nil
	}
	if c := s.doc.ChangeAt(config.Position{Generation: s.doc.Generation, Revision: expected + 1}); c != nil {
		return c
	}
	return s.doc.Head()
}
