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
	retryAt time.Time // of the next read; zero if none is planned
	winner  *config.Change
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

// startNext starts the first proposal of the queue.
func (s *Syncer) startNext(now time.Time) {
	if len(s.proposals) == 0 || s.proposals[0].started {
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
	if len(s.proposals) == 0 {
		return
	}
	p := s.proposals[0]
	if !p.retryAt.IsZero() && !now.Before(p.retryAt) {
		p.retryAt = time.Time{}
		s.read(now, p)
	}
}

// giveUp ends a proposal whose fate is not decided: unknown if a write may be
// applied, else refused.
func (s *Syncer) giveUp(now time.Time, p *proposal) {
	if p.maybe {
		s.finish(now, p, event.AnswerChange{Outcome: event.ChangeUnknown, Reason: api.ReasonStoreUnavailable, RetryAfter: OperatorWait})
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
		s.conflict(now, p, s.winnerAfter(p, *e), fmt.Sprintf("the configuration is at revision %d, the change expects revision %d", base.Revision, *e))
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
	s.write(now, p)
}

func (s *Syncer) write(now time.Time, p *proposal) {
	op := s.start(now, opWrite, p)
	op.written = p.doc
	p.maybe = true
	s.counts.Inc(count.Store, countWrite)
	s.emit(event.WriteStore{Op: op.id, Key: Key, Value: p.value, IfRevision: p.ifRevision})
}

// proposalWritten takes the result of a write; WriteUnknown also stands for no
// answer in time.
func (s *Syncer) proposalWritten(now time.Time, op *operation, result event.WriteResult) {
	p := op.proposal
	if result == event.WriteApplied {
		s.writeApplied(now, op)
		return
	}
	if p.done {
		return
	}
	first := p.retryAt.IsZero() && !p.repeated()
	if result == event.WriteNotSent && first {
		p.maybe = false
		s.giveUp(now, p)
		return
	}
	if result == event.WriteConflict && first {
		p.maybe = false
		s.lost(now, p)
		return
	}
	if result == event.WriteUnknown {
		s.counts.Inc(count.Store, countWriteLost)
	}
	s.read(now, p)
}
