package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// Members returns the live members including this node, ordered by name. Leaving
// members are included and marked until they time out.
func (x *Exchange) Members(now time.Time) []Member {
	out := make([]Member, 0, len(x.names)+1)
	out = append(out, x.self)
	for _, name := range x.names {
		p := x.peers[name]
		if now.Sub(p.heartbeatAt) >= x.memberTimeout() {
			continue
		}
		m := p.Member
		m.Leaving = m.Leaving || x.leaving[name]
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Self returns the entry of this node for its peers.
func (x *Exchange) Self() Member { return x.self }

// SetVMs replaces the set of leaving VMs with that of the platform's VM list.
func (x *Exchange) SetVMs(now time.Time, vms []VM) {
	clear(x.leaving)
	for _, vm := range vms {
		if vm.Leaving {
			x.leaving[api.EntryName(vm.Name)] = true
		}
	}
}

// memberTimeout returns the time without a new heartbeat after which a member is
// dropped. It is minMemberTimeout for groups small enough that each message carries the
// heartbeats of most members. In larger groups the traffic limit bounds the heartbeats
// per second, so the timeout grows with the number of members until
// heartbeatsPerTimeout heartbeats of each are expected within it.
func (x *Exchange) memberTimeout() time.Duration {
	perMessage := (messageBudget - oldNoticeBudget - sizeOfMember(x.self)) / heartbeatEntrySize
	perSecond := float64(exchangePeers*(perMessage+1)) / Interval.Seconds()
	need := time.Duration(heartbeatsPerTimeout * float64(len(x.names)) / perSecond * float64(time.Second))
	return max(minMemberTimeout, need)
}

// updateMember applies a received member entry and reports whether the list changed in
// more than a heartbeat. announcements is the number of messages in which a new member
// is announced. direct is set if the member sent the entry itself: the lives that it
// replaces can never rejoin. Lives replaced by an entry of a list, which may be out of
// date, can rejoin.
func (x *Exchange) updateMember(now time.Time, m Member, announcements int, direct bool) bool {
	if m.Name == "" || m.Address == "" || m.Life == x.self.Life {
		return false
	}
	if m.Name == x.self.Name || m.Address == x.self.Address {
		return false // an earlier life of this node
	}
	if t, ok := x.tombstones[m.Life]; ok && (t.replaced || m.Heartbeat <= t.heartbeat) {
		return false
	}
	if known := x.peers[m.Name]; known != nil && known.Life == m.Life {
		delete(x.byAddress, known.Address)
		x.byAddress[m.Address] = m.Name
		return known.update(now, m)
	}
	for _, old := range x.conflictingPeers(m) {
		if m.Heartbeat <= old.Heartbeat {
			return false
		}
	}
	for _, old := range x.conflictingPeers(m) {
		x.removePeer(now, old, direct)
	}
	delete(x.tombstones, m.Life)
	x.peers[m.Name] = &peer{Member: m, heartbeatAt: now, announcementsLeft: announcements}
	x.byLife[m.Life] = m.Name
	x.byAddress[m.Address] = m.Name
	i, _ := slices.BinarySearch(x.names, m.Name)
	x.names = slices.Insert(x.names, i, m.Name)
	x.counts.Inc(count.Peer, "joined")
	return true
}

// conflictingPeers returns the live peers that have the name or the address of m.
func (x *Exchange) conflictingPeers(m Member) []*peer {
	var out []*peer
	if p := x.peers[m.Name]; p != nil {
		out = append(out, p)
	}
	if p := x.peers[x.byAddress[m.Address]]; p != nil && p.Name != m.Name {
		out = append(out, p)
	}
	return out
}

func (p *peer) update(now time.Time, m Member) bool {
	if m.Heartbeat <= p.Heartbeat {
		return false
	}
	changed := m.Leaving != p.Leaving
	p.Member = m
	p.heartbeatAt = now
	return changed
}

// removePeer removes a peer from the list and records a tombstone for its life. Unless
// replaced is set, its address is kept for reconnect.
func (x *Exchange) removePeer(now time.Time, p *peer, replaced bool) {
	i, _ := slices.BinarySearch(x.names, p.Name)
	x.names = slices.Delete(x.names, i, i+1)
	delete(x.peers, p.Name)
	delete(x.byLife, p.Life)
	delete(x.byAddress, p.Address)
	x.tombstones[p.Life] = tombstone{heartbeat: p.Heartbeat, replaced: replaced, removedAt: now}
	if !replaced {
		x.dropped = slices.DeleteFunc(x.dropped, func(d droppedPeer) bool { return d.address == p.Address })
		x.dropped = append(x.dropped, droppedPeer{p.Name, p.Address, now})
	}
}

// dropTimedOut removes peers without a new heartbeat for memberTimeout, and expired
// tombstones.
func (x *Exchange) dropTimedOut(now time.Time) {
	limit := x.memberTimeout()
	for _, name := range slices.Clone(x.names) {
		if p := x.peers[name]; now.Sub(p.heartbeatAt) >= limit {
			x.counts.Inc(count.Peer, "dropped")
			x.removePeer(now, p, false)
		}
	}
	for life, t := range x.tombstones {
		if t.replaced && now.Sub(t.removedAt) > replacedLifeRetention || !t.replaced && now.Sub(t.removedAt) > droppedLifeRetention {
			delete(x.tombstones, life)
		}
	}
}

// completeEntry fills in an entry that has only a life, a heartbeat and the leaving
// flag. It returns an empty Member if the life is not listed.
func (x *Exchange) completeEntry(now time.Time, m Member) Member {
	if m.Name != "" {
		return m
	}
	name, ok := x.byLife[m.Life]
	if !ok {
		x.noteUnlisted(now, m)
		return Member{}
	}
	full := x.peers[name].Member
	full.Heartbeat = m.Heartbeat
	full.Leaving = full.Leaving || m.Leaving
	return full
}

// noteUnlisted records a heartbeat of a member that is not listed.
func (x *Exchange) noteUnlisted(now time.Time, m Member) {
	t, found := x.tombstones[m.Life]
	if m.Life == x.self.Life || found && (t.replaced || m.Heartbeat <= t.heartbeat) {
		return
	}
	if now.Sub(x.lastUnlistedAt) > max(listRequestDelay, x.memberTimeout()/4) {
		x.firstUnlistedAt = now
	}
	x.lastUnlistedAt = now
}

// shouldRequestList reports whether heartbeats of unlisted members have been arriving
// for listRequestDelay. It reports true once for each series of them.
func (x *Exchange) shouldRequestList(now time.Time) bool {
	if x.lastUnlistedAt.IsZero() || x.lastUnlistedAt.Sub(x.firstUnlistedAt) < listRequestDelay {
		return false
	}
	x.firstUnlistedAt, x.lastUnlistedAt = time.Time{}, time.Time{}
	return true
}

// periodicMessage returns a message of the periodic exchange. Recently joined members
// come first, as complete entries within joinBudget; the rest of the message stays
// within messageBudget.
func (x *Exchange) periodicMessage(now time.Time) Message {
	m := Message{From: x.self}
	m.Notices = x.notices.choose(now, noticeBudget, oldNoticeBudget, x.rng)
	m.Members = x.joinedMembers()
	size := sizeOfMember(x.self)
	for _, n := range m.Notices {
		size += sizeOfNotice(n)
	}
	// The members with the most recent heartbeats are the most likely to be news for
	// the receiver.
	pool := make([]*peer, 0, sampleSize)
	for _, name := range x.pickPeers(sampleSize, "") {
		if p := x.peers[name]; p.announcementsLeft == 0 {
			pool = append(pool, p)
		}
	}
	slices.SortStableFunc(pool, func(a, b *peer) int { return b.heartbeatAt.Compare(a.heartbeatAt) })
	full := completeEntries
	for _, p := range pool {
		entry := p.Member
		if full--; full < 0 {
			entry = Member{Life: p.Life, Heartbeat: p.Heartbeat, Leaving: p.Leaving}
		}
		if size += sizeOfMember(entry); size > messageBudget {
			break
		}
		m.Members = append(m.Members, entry)
	}
	return m
}

// joinedMembers returns recently joined members, those announced least often first.
func (x *Exchange) joinedMembers() []Member {
	var pool []*peer
	for _, name := range x.names {
		if p := x.peers[name]; p.announcementsLeft > 0 {
			pool = append(pool, p)
		}
	}
	x.rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	slices.SortStableFunc(pool, func(a, b *peer) int { return cmp.Compare(b.announcementsLeft, a.announcementsLeft) })
	var out []Member
	size := 0
	for _, p := range pool {
		if size += sizeOfMember(p.Member); size > joinBudget {
			break
		}
		p.announcementsLeft--
		out = append(out, p.Member)
	}
	return out
}

// fullSync returns a message with the whole member list for a node that lacks most of
// it.
func (x *Exchange) fullSync(now time.Time, to Member) []Send {
	m := Message{From: x.self, Notices: x.notices.choose(now, fullSyncNoticeBudget, fullSyncNoticeBudget, x.rng)}
	for _, name := range x.names {
		if p := x.peers[name]; name != to.Name {
			m.Members = append(m.Members, p.Member)
		}
	}
	if len(m.Members) == 0 {
		return nil
	}
	return []Send{x.newSend(to.Name, to.Address, m)}
}

// directMessage returns a message outside the periodic exchange. It lists the receiver
// as a member, since an empty list requests a full sync.
func (x *Exchange) directMessage(to *peer) Message {
	return Message{From: x.self, Members: []Member{{Life: to.Life, Heartbeat: to.Heartbeat}}}
}

// Sizes of the protobuf encoding in bytes: tags, lengths and fixed-width fields.
// Varints are counted at the width of realistic values.
const (
	// heartbeatEntrySize is the size of life (9), heartbeat (7), leaving (2), and the
	// tag and length of the entry (2).
	heartbeatEntrySize = 20
	noticeBaseSize     = 2 + 2 + 2 + 9 + 9 + 2 + 7 + 6
)

func sizeOfMember(m Member) int {
	n := heartbeatEntrySize
	for _, s := range []string{string(m.Name), m.Address, string(m.DataCentre)} {
		if s != "" {
			n += 2 + len(s)
		}
	}
	return n
}

func sizeOfNotice(n Notice) int { return noticeBaseSize + len(n.Replica) }

// EstimateSize returns an upper estimate of the encoded size of a message without its
// configuration fields.
func EstimateSize(m Message) int {
	n := sizeOfMember(m.From)
	for _, member := range m.Members {
		n += sizeOfMember(member)
	}
	for _, notice := range m.Notices {
		n += sizeOfNotice(notice)
	}
	return n
}
