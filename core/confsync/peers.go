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
	// maxUnrequestedChanges is the largest number of changes sent to a peer that
	// is behind but did not request them.
	maxUnrequestedChanges = 16
	// rejectedRetryDelay is how long a rejected document is not requested again
	// from a peer. A document may take 250 KB at the planned scale.
	rejectedRetryDelay = 10 * time.Second
)

// Received is the result of a message from a peer and the parts of the reply.
type Received struct {
	// Adopted is set if a newer document was adopted.
	Adopted bool
	// Want, if not nil, is the value of WantAfter in a message to the sender.
	Want *gossip.Position
	// Changes or Document is to be sent to the sender, which is behind. At most one
	// of them is set.
	Changes  [][]byte
	Document []byte
}

// Receive handles the configuration part of a message from a peer.
func (s *Syncer) Receive(now time.Time, msg gossip.Message) Received {
	before := s.adoptions
	s.receivedFromPeer = true
	theirs := config.Position{Generation: msg.Generation, Revision: msg.Revision}
	if msg.Document != nil {
		s.receiveDocument(now, theirs, msg.Document)
	}
	s.receiveChanges(now, msg.Changes)
	out := Received{Adopted: s.adoptions != before}
	if out.Adopted {
		s.scheduleReadAfterPeer(now)
	}
	ours := s.doc.Position()
	switch {
	case s.doc != nil && theirs == ours:
		s.confirmedAt = now
	case theirs.Compare(ours) > 0:
		out.Want = s.wantAfter(now, theirs)
	}
	switch {
	case msg.WantAfter != nil:
		out.Changes, out.Document = s.ChangesAfter(*msg.WantAfter)
	case theirs.Compare(ours) < 0:
		out.Changes = s.unrequestedChanges(theirs)
	}
	return out
}

// scheduleReadAfterPeer schedules the next read after an adoption from a peer.
// A document that arrives before the first read postpones that read by one poll
// interval, so that nodes that start together do not all read the store. While
// the alarm is set, the document may come from a recovery, so the store is read
// soon.
func (s *Syncer) scheduleReadAfterPeer(now time.Time) {
	if s.alarm != api.ReasonNone {
		s.pollSoon(now)
		return
	}
	if s.started && s.adoptions == 1 && s.failedPolls == 0 && s.pendingPoll == nil {
		s.nextPoll = now.Add(s.jitter(s.pollInterval()))
	}
}

func (s *Syncer) receiveDocument(now time.Time, theirs config.Position, data []byte) {
	doc, err := decodeDocument(data)
	if err != nil {
		s.rejectPeerDocument(now, theirs, countPeerInvalid)
		s.log("config_peer_invalid", "error", config.Message(err))
		return
	}
	if doc.Position().Compare(s.doc.Position()) <= 0 {
		return
	}
	if !s.continuesAdopted(doc) {
		s.rejectPeerDocument(now, doc.Position(), countDiverged)
		s.log("config_peer_diverged", "generation", decimal(doc.Generation), "revision", decimal(doc.Revision))
		return
	}
	s.adopt(now, doc, countFromPeer)
}

func (s *Syncer) rejectPeerDocument(now time.Time, p config.Position, reason api.Reason) {
	s.rejectedPosition = p
	s.rejectedUntil = now.Add(rejectedRetryDelay)
	s.counts.Inc(count.Config, reason)
}

// receiveChanges applies the changes that follow the adopted document. Applying
// a change must produce the digest that the change carries.
func (s *Syncer) receiveChanges(now time.Time, changes [][]byte) {
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
				s.needFullDocument = true
				s.counts.Inc(count.Config, countPeerInvalid)
			}
			return
		}
		s.adopt(now, doc, countFromPeer)
	}
}

// wantAfter returns the position after which to request changes from a peer that
// is ahead. It returns nil to request nothing, and the zero position to request
// the whole document.
func (s *Syncer) wantAfter(now time.Time, theirs config.Position) *gossip.Position {
	if theirs == s.rejectedPosition && now.Before(s.rejectedUntil) {
		return nil
	}
	if s.needFullDocument {
		return &gossip.Position{}
	}
	p := s.Position()
	return &p
}

// ChangesAfter returns what a peer at the given position needs to catch up: the
// encoded changes after that position, or the encoded document if the history does
// not contain all of them or if they are larger than the document.
func (s *Syncer) ChangesAfter(p gossip.Position) (changes [][]byte, document []byte) {
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

// unrequestedChanges returns the changes that a peer lacks, or nil if there are
// more than maxUnrequestedChanges or the history does not contain all of them.
func (s *Syncer) unrequestedChanges(theirs config.Position) [][]byte {
	list, ok := s.doc.ChangesAfter(theirs)
	if !ok || len(list) > maxUnrequestedChanges {
		return nil
	}
	changes, _ := s.ChangesAfter(gossip.Position(theirs))
	return changes
}

func (s *Syncer) encodedDocument() []byte {
	if s.encoded != nil {
		return s.encoded
	}
	data, err := config.Encode(s.doc)
	if err != nil {
		// Cannot happen: Apply and Decode limit the size of every adopted document.
		panic(err)
	}
	s.encoded = data
	return data
}
