package gossip

import (
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
	perMessage := (messageBudget - noticeBudget - sizeOfMember(x.self)) / refreshSize
	perSecond := float64(exchangePeers*(perMessage+1)) / Interval.Seconds()
	need := time.Duration(sightings * float64(len(x.names)) / perSecond * float64(time.Second))
	return max(silence, need)
}

// hear takes what a message says about a member and reports whether the list
// changed in more than a heartbeat.
func (x *Exchange) hear(now time.Time, m Member) bool {
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
		return known.refresh(now, m)
	}
	for _, old := range x.rivals(m) {
		if m.Heartbeat <= old.Heartbeat {
			return false
		}
	}
	for _, old := range x.rivals(m) {
		x.bury(now, old, true)
	}
	delete(x.buried, m.Life)
	x.peers[m.Name] = &peer{Member: m, heard: now}
	x.byLife[m.Life] = m.Name
	i, _ := slices.BinarySearch(x.names, m.Name)
	x.names = slices.Insert(x.names, i, m.Name)
	x.counts.Inc(count.Peer, "joined")
	return true
}

// rivals returns the live members that have the name or the address of m.
func (x *Exchange) rivals(m Member) []*peer {
	var out []*peer
	for _, name := range x.names {
		if p := x.peers[name]; name == m.Name || p.Address == m.Address {
			out = append(out, p)
		}
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
func (x *Exchange) complete(m Member) Member {
	if m.Name != "" {
		return m
	}
	name, ok := x.byLife[m.Life]
	if !ok {
		return Member{}
	}
	full := x.peers[name].Member
	full.Heartbeat = m.Heartbeat
	full.Leaving = full.Leaving || m.Leaving
	return full
}

// periodic returns the message of the periodic exchange, within messageBudget.
func (x *Exchange) periodic(now time.Time) Message {
	m := Message{From: x.self}
	size := sizeOfMember(x.self)
	m.Notices = x.notices.choose(now, noticeBudget, x.rng)
	for _, n := range m.Notices {
		size += sizeOfNotice(n)
	}
	for i := range x.names {
		p := x.peers[x.names[(x.cursor+i)%len(x.names)]]
		entry := p.Member
		if i >= fullEntries && size+sizeOfMember(entry)+(len(x.names)-i-1)*refreshSize > messageBudget {
			entry = Member{Life: p.Life, Heartbeat: p.Heartbeat, Leaving: p.Leaving}
		}
		if size += sizeOfMember(entry); size > messageBudget {
			break
		}
		m.Members = append(m.Members, entry)
	}
	if n := len(x.names); n > 0 {
		// A random step keeps two nodes from listing the same members in step.
		x.cursor = (x.cursor + max(1, len(m.Members)) + x.rng.IntN(2)) % n
	}
	return m
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
