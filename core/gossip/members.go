package gossip

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// Members returns the live members including this node, ordered by name.
// Leaving ones are included and marked as long as they are heard of.
func (x *Exchange) Members(now time.Time) []Member {
	out := make([]Member, 0, len(x.names)+1)
	out = append(out, x.self)
	for _, name := range x.names {
		p := x.peers[name]
		if now.Sub(p.heard) >= x.dropAfter() {
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

// Self returns this node as its peers should know it.
func (x *Exchange) Self() Member { return x.self }

// SetVMs takes the platform's VM list.
func (x *Exchange) SetVMs(now time.Time, vms []VM) {
	clear(x.leaving)
	for _, vm := range vms {
		if vm.Leaving {
			x.leaving[api.EntryName(vm.Name)] = true
		}
	}
}

// dropAfter returns how long a member may be silent. It is silence for groups
// small enough that each message refreshes most of the list. In larger groups
// the traffic bound limits the refreshes per second, and the time grows with
// the number of members so that each is still expected sightings times.
func (x *Exchange) dropAfter() time.Duration {
	perMessage := (messageBudget - coldBudget - sizeOfMember(x.self)) / refreshSize
	perSecond := float64(exchangePeers*(perMessage+1)) / Interval.Seconds()
	need := time.Duration(sightings * float64(len(x.names)) / perSecond * float64(time.Second))
	return max(silence, need)
}

// hear takes what a message says about a member and reports whether the list
// changed in more than a heartbeat. hot is the number of messages that pass a
// new member on. A life replaced by one that spoke itself is gone for good; one
// replaced by an entry of a list, which may be old, can return.
func (x *Exchange) hear(now time.Time, m Member, hot int, direct bool) bool {
	if m.Name == "" || m.Address == "" || m.Life == x.self.Life {
		return false
	}
	if m.Name == x.self.Name || m.Address == x.self.Address {
		return false // an earlier life of this node
	}
	if b, ok := x.buried[m.Life]; ok && (b.replaced || m.Heartbeat <= b.heartbeat) {
		return false
	}
	if known := x.peers[m.Name]; known != nil && known.Life == m.Life {
		delete(x.byAddress, known.Address)
		x.byAddress[m.Address] = m.Name
		return known.refresh(now, m)
	}
	for _, old := range x.rivals(m) {
		if m.Heartbeat <= old.Heartbeat {
			return false
		}
	}
	for _, old := range x.rivals(m) {
		x.bury(now, old, direct)
	}
	delete(x.buried, m.Life)
	x.peers[m.Name] = &peer{Member: m, heard: now, hot: hot}
	x.byLife[m.Life] = m.Name
	x.byAddress[m.Address] = m.Name
	i, _ := slices.BinarySearch(x.names, m.Name)
	x.names = slices.Insert(x.names, i, m.Name)
	x.counts.Inc(count.Peer, "joined")
	return true
}

// rivals returns the live members that have the name or the address of m.
func (x *Exchange) rivals(m Member) []*peer {
	var out []*peer
	if p := x.peers[m.Name]; p != nil {
		out = append(out, p)
	}
	if p := x.peers[x.byAddress[m.Address]]; p != nil && p.Name != m.Name {
		out = append(out, p)
	}
	return out
}

func (p *peer) refresh(now time.Time, m Member) bool {
	if m.Heartbeat <= p.Heartbeat {
		return false
	}
	changed := m.Leaving != p.Leaving
	p.Member = m
	p.heard = now
	return changed
}

// bury removes a member from the list.
func (x *Exchange) bury(now time.Time, p *peer, replaced bool) {
	i, _ := slices.BinarySearch(x.names, p.Name)
	x.names = slices.Delete(x.names, i, i+1)
	delete(x.peers, p.Name)
	delete(x.byLife, p.Life)
	delete(x.byAddress, p.Address)
	x.buried[p.Life] = burial{heartbeat: p.Heartbeat, replaced: replaced, at: now}
	if !replaced {
		x.lost = slices.DeleteFunc(x.lost, func(l lostPeer) bool { return l.address == p.Address })
		x.lost = append(x.lost, lostPeer{p.Name, p.Address, now})
	}
}

// dropSilent removes members that were silent for too long.
func (x *Exchange) dropSilent(now time.Time) {
	limit := x.dropAfter()
	for _, name := range slices.Clone(x.names) {
		if p := x.peers[name]; now.Sub(p.heard) >= limit {
			x.counts.Inc(count.Peer, "dropped")
			x.bury(now, p, false)
		}
	}
	for life, b := range x.buried {
		if b.replaced && now.Sub(b.at) > replacedTime || !b.replaced && now.Sub(b.at) > buriedTime {
			delete(x.buried, life)
		}
	}
}

// complete fills in a refresh, which has only a life and a heartbeat.
func (x *Exchange) complete(now time.Time, m Member) Member {
	if m.Name != "" {
		return m
	}
	name, ok := x.byLife[m.Life]
	if !ok {
		x.missing(now, m)
		return Member{}
	}
	full := x.peers[name].Member
	full.Heartbeat = m.Heartbeat
	full.Leaving = full.Leaving || m.Leaving
	return full
}

// missing notes a refresh of a member that is not listed.
func (x *Exchange) missing(now time.Time, m Member) {
	b, gone := x.buried[m.Life]
	if m.Life == x.self.Life || gone && (b.replaced || m.Heartbeat <= b.heartbeat) {
		return
	}
	if now.Sub(x.unknownLast) > max(incomplete, x.dropAfter()/4) {
		x.unknownFirst = now
	}
	x.unknownLast = now
}

// asksForList reports whether the list has been incomplete for a while. It does
// so once for each series of refreshes.
func (x *Exchange) asksForList(now time.Time) bool {
	if x.unknownLast.IsZero() || x.unknownLast.Sub(x.unknownFirst) < incomplete {
		return false
	}
	x.unknownFirst, x.unknownLast = time.Time{}, time.Time{}
	return true
}

// periodic returns the message of the periodic exchange. Members that joined
// lately come first and complete, within joinBudget; the rest stays within
// messageBudget.
func (x *Exchange) periodic(now time.Time) Message {
	m := Message{From: x.self}
	m.Notices = x.notices.choose(now, noticeBudget, coldBudget, x.rng)
	m.Members = x.joined()
	size := sizeOfMember(x.self)
	for _, n := range m.Notices {
		size += sizeOfNotice(n)
	}
	// What was heard last is the most likely to be news for the receiver.
	pool := make([]*peer, 0, sampleSize)
	for _, name := range x.pick(sampleSize, "") {
		if p := x.peers[name]; p.hot == 0 {
			pool = append(pool, p)
		}
	}
	slices.SortStableFunc(pool, func(a, b *peer) int { return b.heard.Compare(a.heard) })
	full := fullEntries
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

// joined returns members that joined lately, those told least often first.
func (x *Exchange) joined() []Member {
	var pool []*peer
	for _, name := range x.names {
		if p := x.peers[name]; p.hot > 0 {
			pool = append(pool, p)
		}
	}
	x.rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	slices.SortStableFunc(pool, func(a, b *peer) int { return cmp.Compare(b.hot, a.hot) })
	var out []Member
	size := 0
	for _, p := range pool {
		if size += sizeOfMember(p.Member); size > joinBudget {
			break
		}
		p.hot--
		out = append(out, p.Member)
	}
	return out
}

// welcome returns the whole list for a node that knows no members yet.
func (x *Exchange) welcome(now time.Time, to Member) []Send {
	m := Message{From: x.self, Notices: x.notices.choose(now, welcomeNotices, welcomeNotices, x.rng)}
	for _, name := range x.names {
		if p := x.peers[name]; name != to.Name {
			m.Members = append(m.Members, p.Member)
		}
	}
	if len(m.Members) == 0 {
		return nil
	}
	return []Send{x.send(to.Name, to.Address, m)}
}

// direct returns a message outside the periodic exchange. It names its receiver
// as a member, since an empty list asks for a welcome.
func (x *Exchange) direct(to *peer) Message {
	return Message{From: x.self, Members: []Member{{Life: to.Life, Heartbeat: to.Heartbeat}}}
}

// Sizes of the protobuf encoding in bytes: tags, lengths and fixed-width
// fields. Varints are counted at the width that real values have.
const (
	// refreshSize is life (9), heartbeat (7), leaving (2) and the field's tag
	// and length (2).
	refreshSize = 20
	noticeSize  = 2 + 2 + 2 + 9 + 9 + 2 + 7 + 6
)

func sizeOfMember(m Member) int {
	n := refreshSize
	for _, s := range []string{string(m.Name), m.Address, string(m.DataCentre)} {
		if s != "" {
			n += 2 + len(s)
		}
	}
	return n
}

func sizeOfNotice(n Notice) int { return noticeSize + len(n.Replica) }

// EstimateSize returns an upper estimate of the encoded size of a message
// without its configuration fields.
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
