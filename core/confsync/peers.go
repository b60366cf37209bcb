package confsync

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

const (
	// unaskedChanges is the largest number of changes sent to a peer that is
	// behind but did not ask.
	unaskedChanges = 16
	// refusedPause is how long a peer's document that was refused is not asked
	// for again; it may be 250 KB at the planned scale.
	refusedPause = 10 * time.Second
)

// Exchange is the outcome of a message from a peer.
type Exchange struct {
	// Adopted says that the adopted document changed.
	Adopted bool
	// Want, if not nil, goes into the WantAfter of a message to the sender.
	Want *gossip.Position
	// Changes and Document go to the sender, which lacks them. At most one is set.
	Changes  [][]byte
	Document []byte
}

// Receive takes the configuration part of a message from a peer.
func (s *Syncer) Receive(now time.Time, msg gossip.Message) Exchange {
	before := s.adoptions
	s.heardPeer = true
	theirs := config.Position{Generation: msg.Generation, Revision: msg.Revision}
	if msg.Document != nil {
		s.takeDocument(now, theirs, msg.Document)
	}
	s.takeChanges(now, msg.Changes)
	out := Exchange{Adopted: s.adoptions != before}
	if out.Adopted {
		s.adoptedFromPeer(now)
	}
	ours := s.doc.Position()
	switch {
	case s.doc != nil && theirs == ours:
		s.confirmedAt = now
	case theirs.Compare(ours) > 0:
		out.Want = s.want(now, theirs)
	}
	switch {
	case msg.WantAfter != nil:
		out.Changes, out.Document = s.After(*msg.WantAfter)
	case theirs.Compare(ours) < 0:
		out.Changes = s.unasked(theirs)
	}
	return out
}

// adoptedFromPeer plans the next read. Before the first read, the document of a
// peer replaces it for one interval, so that entries that start together do not
// all read the store. Under an alarm, the news may be a recovery.
func (s *Syncer) adoptedFromPeer(now time.Time) {
	if s.alarm != api.ReasonNone {
		s.pollSoon(now)
		return
	}
	if s.started && s.adoptions == 1 && s.failures == 0 && s.polling == nil {
		s.nextPoll = now.Add(s.jitter(s.interval()))
	}
}

func (s *Syncer) takeDocument(now time.Time, theirs config.Position, data []byte) {
	doc, err := decodeDocument(data)
	if err != nil {
		s.refuse(now, theirs, countPeerInvalid)
		s.log("config_peer_invalid", "error", config.Message(err))
		return
	}
	if doc.Position().Compare(s.doc.Position()) <= 0 {
		return
	}
	if !s.sameLine(doc) {
		s.refuse(now, doc.Position(), countDiverged)
		s.log("config_peer_diverged", "generation", decimal(doc.Generation), "revision", decimal(doc.Revision))
		return
	}
	s.adopt(now, doc, countFromPeer)
}

func (s *Syncer) refuse(now time.Time, p config.Position, reason api.Reason) {
	s.refused = p
	s.refusedUntil = now.Add(refusedPause)
	s.counts.Inc(count.Config, reason)
}

// takeChanges applies the changes that follow the adopted document. Each must
// lead to the digest that it names.
func (s *Syncer) takeChanges(now time.Time, changes [][]byte) {
	for _, data := range changes {
		c, err := config.DecodeChange(data)
		if err != nil || c.Digest == 0 || c.Position() == (config.Position{}) {
			s.counts.Inc(count.Config, countPeerInvalid)
			return
		}
		if s.doc == nil {
			return
		}
		if c.Position().Compare(s.doc.Position()) <= 0 {
			continue
		}
		doc, err := config.Apply(s.doc, c)
		if err != nil {
			if !errorx.IsOfType(err, config.ErrSequence) {
				s.wantWhole = true
				s.counts.Inc(count.Config, countPeerInvalid)
			}
			return
		}
		s.adopt(now, doc, countFromPeer)
	}
}

// want returns what to ask a peer for that is further on.
func (s *Syncer) want(now time.Time, theirs config.Position) *gossip.Position {
	if theirs == s.refused && now.Before(s.refusedUntil) {
		return nil
	}
	if s.wantWhole {
		return &gossip.Position{}
	}
	p := s.Position()
	return &p
}

// After returns what a peer at the given position lacks: encoded changes, or
// the encoded document if the history does not connect the two or is larger.
func (s *Syncer) After(p gossip.Position) (changes [][]byte, document []byte) {
	from := config.Position(p)
	if s.doc == nil || s.doc.Position().Compare(from) <= 0 {
		return nil, nil
	}
	whole := s.encodedDocument()
	list, ok := s.doc.ChangesAfter(from)
	if !ok {
		return nil, whole
	}
	size := 0
	for _, c := range list {
		data, err := config.EncodeChange(c)
		size += len(data)
		if err != nil || size > len(whole) {
			return nil, whole
		}
		changes = append(changes, data)
	}
	return changes, nil
}

// unasked returns the changes that a peer lacks if they are few.
func (s *Syncer) unasked(theirs config.Position) [][]byte {
	list, ok := s.doc.ChangesAfter(theirs)
	if !ok || len(list) > unaskedChanges {
		return nil
	}
	changes, _ := s.After(gossip.Position(theirs))
	return changes
}

func (s *Syncer) encodedDocument() []byte {
	if s.encoded != nil {
		return s.encoded
	}
	data, err := config.Encode(s.doc)
	if err != nil {
		// Apply and Decode bound the size of every adopted document.
		panic(err)
	}
	s.encoded = data
	return data
}
