package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// Times and bounds.
const (
	// Interval is the period of the exchange with random peers.
	Interval = 500 * time.Millisecond
	// exchangePeers is the number of peers of each periodic exchange.
	exchangePeers = 2
	// pushAll is the largest number of peers to which a notice is pushed
	// directly; above it, pushSome random peers receive it.
	pushAll  = 8
	pushSome = 4
	// silence is how long a member may be silent before it is dropped.
	silence = 5 * time.Second
	// contactEvery is the number of rounds between messages to an address that
	// is not a live member: a seed or a lost member. They heal partitions.
	contactEvery = 4
	// lostTime is how long a lost member's address is tried; longer than the
	// region partitions of an hour that the tier must outlast.
	lostTime = 2 * time.Hour
	// buriedTime is how long a dropped life is remembered, and replacedTime a
	// replaced one, which may be a paused process that wakes late.
	buriedTime   = 10 * time.Minute
	replacedTime = 24 * time.Hour
	// messageBudget bounds the estimated size of a periodic message in bytes.
	// A node sends four per second and receives four on average, so 8 x 440
	// stays under 4 KB/s with the occasional contact message and push.
	messageBudget = 440
	// noticeBudget is the part of messageBudget that notices may take.
	noticeBudget = 200
	// coldBudget is the part of noticeBudget for notices that are not new.
	coldBudget = 70
	// hotRounds is how many periodic rounds repeat a new notice first.
	hotRounds = 8
	// noticeLimit bounds the notices held.
	noticeLimit = 4_096
	// joinBudget bounds the bytes of a periodic message that newly joined members
	// take beyond messageBudget. It is used for seconds after a join only; a
	// whole fleet that starts at once needs it to be known within a minute.
	joinBudget = 4_096
	// joinRounds is how many messages of each node tell a new member.
	joinRounds = 8
	// bulkEntries is the length above which a received list is a welcome, whose
	// members are not news for others.
	bulkEntries = 100
	// incomplete is how long refreshes of members that are not listed are seen
	// before the whole list is asked for. A new member is usually known
	// everywhere sooner.
	incomplete = 5 * time.Second
	// welcomeNotices bounds the notices in the answer to a node that knows no
	// members yet, which holds the whole list.
	welcomeNotices = 16_384
	// sampleSize is the number of members of which a message takes those heard
	// last.
	sampleSize = 40
	// fullEntries is the number of complete member entries that a message to a
	// large group carries; the rest are refreshes of life and heartbeat only.
	fullEntries = 1
	// sightings is how many refreshes of each member a node should receive
	// within the time after which it drops a silent one.
	sightings = 14
)

// Seed is an address to try when no member is known.
type Seed struct {
	Name    api.EntryName
	Address string
}

// VM is one row of the platform's VM list. An entry whose name equals that of
// a leaving VM counts as leaving. The list lags, so it never removes a member.
type VM struct {
	Name    api.VMName
	Leaving bool
}

// Send is a message for a peer. The node fills in the configuration fields of
// Message before it hands it to the driver.
type Send struct {
	Peer    api.EntryName
	Address string
	Message Message
}

// Received is what a message brought. Sends forward the fresh notices.
type Received struct {
	Fresh          []Notice
	Sends          []Send
	MembersChanged bool
}

// Exchange keeps the member list and the notices of one node. It is not safe
// for concurrent use.
type Exchange struct {
	self      Member
	seeds     []Seed
	rng       *rand.Rand
	counts    *count.Set
	peers     map[api.EntryName]*peer
	names     []api.EntryName // keys of peers in ascending order
	byLife    map[api.Life]api.EntryName
	byAddress map[string]api.EntryName
	lost      []lostPeer
	buried    map[api.Life]burial
	notices   notices
	next      time.Time // next periodic exchange
	round     uint64
	leaving   map[api.EntryName]bool
	// unknownFirst and unknownLast are the first and last time of a series of
	// refreshes of members that are not listed.
	unknownFirst, unknownLast time.Time
}

type peer struct {
	Member
	heard  time.Time // when the heartbeat last grew
	hot    int       // messages that still tell it as a newly joined member
	missed bool      // a message to it was not delivered since it was last heard
}

type lostPeer struct {
	name    api.EntryName
	address string
	since   time.Time
}

// burial remembers a life that was dropped or replaced.
type burial struct {
	heartbeat uint64
	replaced  bool // another life took its name or address; it never returns
	at        time.Time
}

// New returns an exchange that knows only itself and the seeds. The first Tick
// starts the periodic exchange.
func New(self Member, seeds []Seed, rng *rand.Rand, counts *count.Set) *Exchange {
	return &Exchange{
		self: self, seeds: slices.Clone(seeds), rng: rng, counts: counts,
		peers:     make(map[api.EntryName]*peer),
		byLife:    make(map[api.Life]api.EntryName),
		byAddress: make(map[string]api.EntryName),
		buried:    make(map[api.Life]burial),
		notices:   newNotices(),
		leaving:   make(map[api.EntryName]bool),
	}
}

// beat advances the own heartbeat. It follows the clock so that a new life of
// the same node usually starts above the old one's; only its growth counts for
// the others, so a wrong clock does not matter.
func (x *Exchange) beat(now time.Time) {
	x.self.Heartbeat = max(x.self.Heartbeat+1, uint64(max(now.UnixMilli(), 0)))
}

// ensureBeat sets the heartbeat of a node that answers before its first Tick. A
// heartbeat of 0 would lose against an entry of an earlier life.
func (x *Exchange) ensureBeat(now time.Time) {
	if x.self.Heartbeat == 0 {
		x.beat(now)
	}
}

// Tick runs the periodic exchange when it is due.
func (x *Exchange) Tick(now time.Time) []Send {
	if now.Before(x.next) {
		return nil
	}
	x.next = now.Add(Interval)
	x.round++
	x.dropSilent(now)
	x.notices.expire(now)
	x.beat(now)
	var sends []Send
	for _, name := range x.pick(exchangePeers, "") {
		sends = append(sends, x.send(x.peers[name].Name, x.peers[name].Address, x.periodic(now)))
	}
	if s, ok := x.contact(now); ok {
		sends = append(sends, s)
	}
	x.notices.endRound()
	return sends
}

// Wake returns the time of the next periodic exchange; the zero time before
// the first Tick.
func (x *Exchange) Wake() time.Time { return x.next }

func (x *Exchange) send(name api.EntryName, address string, m Message) Send {
	return Send{Peer: name, Address: address, Message: m}
}

// pick returns up to n random live peers other than except.
func (x *Exchange) pick(n int, except api.EntryName) []api.EntryName {
	pool := slices.Clone(x.names)
	if i, found := slices.BinarySearch(pool, except); found {
		pool = slices.Delete(pool, i, i+1)
	}
	n = min(n, len(pool))
	for i := range n {
		j := i + x.rng.IntN(len(pool)-i)
		pool[i], pool[j] = pool[j], pool[i]
	}
	return pool[:n]
}

// contact returns a message to a random address that no live member has. With
// no live peer it is due in every round.
func (x *Exchange) contact(now time.Time) (Send, bool) {
	if x.round%contactEvery != 0 && len(x.names) > 0 {
		return Send{}, false
	}
	x.lost = slices.DeleteFunc(x.lost, func(l lostPeer) bool { return now.Sub(l.since) > lostTime })
	if len(x.seeds) == 0 && len(x.lost) == 0 {
		return Send{}, false
	}
	live := map[string]bool{x.self.Address: true}
	for _, name := range x.names {
		live[x.peers[name].Address] = true
	}
	var pool []Seed
	for _, s := range x.seeds {
		if !live[s.Address] {
			pool = append(pool, s)
		}
	}
	for _, l := range x.lost {
		if !live[l.address] {
			pool = append(pool, Seed{Name: l.name, Address: l.address})
		}
	}
	if len(pool) == 0 {
		return Send{}, false
	}
	s := pool[x.rng.IntN(len(pool))]
	return x.send(s.Name, s.Address, x.periodic(now)), true
}

// Publish takes new notices of this node and pushes them. Notices that are not
// new are ignored.
func (x *Exchange) Publish(now time.Time, ns ...Notice) []Send {
	x.ensureBeat(now)
	var fresh []Notice
	for _, n := range ns {
		if x.notices.add(now, n) {
			fresh = append(fresh, n)
		}
	}
	return x.push(fresh, "")
}

// Draining returns the notices of drains that are in force.
func (x *Exchange) Draining(now time.Time) []Notice { return x.notices.ofKind(now, NoticeDraining) }

// Refresh takes notices that are still valid, without pushing them: they ride
// on the periodic exchange. It serves to keep the time to live up to date.
func (x *Exchange) Refresh(now time.Time, ns ...Notice) {
	for _, n := range ns {
		x.notices.refresh(now, n)
	}
}

func (x *Exchange) push(fresh []Notice, except api.EntryName) []Send {
	if len(fresh) == 0 {
		return nil
	}
	n := len(x.names)
	if n > pushAll {
		n = pushSome
	}
	var sends []Send
	for _, name := range x.pick(n, except) {
		m := x.direct(x.peers[name])
		m.Notices = slices.Clone(fresh)
		sends = append(sends, x.send(name, x.peers[name].Address, m))
	}
	return sends
}

// Receive takes a message of a peer.
func (x *Exchange) Receive(now time.Time, m Message) Received {
	var out Received
	if m.From.Life == x.self.Life || m.From.Name == "" {
		return out
	}
	x.ensureBeat(now)
	joined := x.hear(now, m.From, joinRounds, true)
	out.MembersChanged = joined
	hot := joinRounds
	if len(m.Members) > bulkEntries {
		hot = 0
	}
	for _, member := range m.Members {
		if x.hear(now, x.complete(now, member), hot, false) {
			out.MembersChanged = true
		}
	}
	for _, n := range m.Notices {
		if x.notices.add(now, n) {
			out.Fresh = append(out.Fresh, n)
		}
	}
	out.Sends = append(x.push(out.Fresh, m.From.Name), x.catchUp(now, m.From.Name)...)
	// A member that was apart for long has as much to learn as one that knows
	// nobody. Of a large group the list is left to the periodic exchange.
	if len(m.Members) == 0 || joined && len(x.names) <= bulkEntries {
		out.Sends = append(out.Sends, x.welcome(now, m.From)...)
	}
	if x.asksForList(now) {
		out.Sends = append(out.Sends, x.send(m.From.Name, m.From.Address, Message{From: x.self}))
	}
	if out.MembersChanged {
		x.notices.heatAll()
	}
	return out
}

// Failed reports that a message to a peer was not delivered. A member is
// dropped only for its silence, since one failure may be of the path.
func (x *Exchange) Failed(name api.EntryName) {
	x.counts.Inc(count.Peer, "failed")
	if p := x.peers[name]; p != nil {
		p.missed = true
	}
}

// catchUp tells a peer that is heard again after a failed message all notices:
// it may have missed a push, and the periodic exchange repeats a few at a time.
func (x *Exchange) catchUp(now time.Time, name api.EntryName) []Send {
	p := x.peers[name]
	if p == nil || !p.missed {
		return nil
	}
	p.missed = false
	m := x.direct(p)
	m.Notices = x.notices.choose(now, welcomeNotices, welcomeNotices, x.rng)
	if len(m.Notices) == 0 {
		return nil
	}
	return []Send{x.send(p.Name, p.Address, m)}
}

// Leave marks this node as leaving and pushes that to its peers.
func (x *Exchange) Leave(now time.Time) []Send {
	x.self.Leaving = true
	x.beat(now)
	n := len(x.names)
	if n > pushAll {
		n = pushSome
	}
	var sends []Send
	for _, name := range x.pick(n, "") {
		sends = append(sends, x.send(name, x.peers[name].Address, x.direct(x.peers[name])))
	}
	return sends
}
