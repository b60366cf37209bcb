package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// Intervals and limits of the gossip protocol.
const (
	// Interval is the period of the exchange with random peers.
	Interval = 500 * time.Millisecond
	// exchangePeers is the number of random peers that each periodic exchange sends to.
	exchangePeers = 2
	// pushAllLimit is the largest number of peers for which a new notice is pushed to
	// all of them. With more peers, it is pushed to pushFanout random ones.
	pushAllLimit = 8
	pushFanout   = 4
	// minMemberTimeout is the shortest time without a new heartbeat after which a
	// member is dropped. Large groups use a longer one, see memberTimeout.
	minMemberTimeout = 5 * time.Second
	// reconnectRounds is the number of rounds between messages to an address that no
	// live member has, which is a seed or a dropped member. These messages reconnect
	// the two sides of a partition.
	reconnectRounds = 4
	// droppedAddressRetention is how long messages are sent to the address of a dropped
	// member. It exceeds the region partitions of an hour that the tier must survive.
	droppedAddressRetention = 2 * time.Hour
	// droppedLifeRetention is how long the tombstone of a timed-out life is kept, and
	// replacedLifeRetention that of a replaced life. A replaced life may be a paused
	// process that resumes much later.
	droppedLifeRetention  = 10 * time.Minute
	replacedLifeRetention = 24 * time.Hour
	// messageBudget limits the estimated size of a periodic message in bytes. A node
	// sends four messages per second and receives four on average, so 8 x 440 stays
	// under 4 KB/s with the occasional reconnect message and push.
	messageBudget = 440
	// noticeBudget is the part of messageBudget that notices may use.
	noticeBudget = 200
	// oldNoticeBudget is the part of noticeBudget for notices that are no longer new.
	oldNoticeBudget = 70
	// newNoticeRounds is the number of periodic rounds in which a notice counts as new
	// and is sent before older ones.
	newNoticeRounds = 8
	// noticeLimit is the maximum number of notices stored.
	noticeLimit = 4_096
	// joinBudget limits the bytes that newly joined members may add to a periodic
	// message beyond messageBudget. It is used only for seconds after a join. When a
	// whole fleet starts at once, every node has to be known within a minute, which
	// needs this much.
	joinBudget = 4_096
	// joinAnnouncements is the number of messages in which each node announces a new
	// member.
	joinAnnouncements = 8
	// fullSyncThreshold is the number of members above which a received list is taken
	// for a full sync, whose members are not announced to others. In groups with more
	// peers, a peer that joins gets no full sync unless its message lists no members.
	fullSyncThreshold = 100
	// listRequestDelay is how long heartbeats of unlisted members must keep arriving
	// before the full list is requested. A new member is usually known everywhere
	// sooner.
	listRequestDelay = 5 * time.Second
	// fullSyncNoticeBudget limits the bytes of notices in a full sync, which also holds
	// the whole member list, and in the message of resendNotices.
	fullSyncNoticeBudget = 16_384
	// sampleSize is the number of random members from which a message takes those with
	// the most recent heartbeats.
	sampleSize = 40
	// completeEntries is the number of complete member entries in a periodic message,
	// besides newly joined members. The other entries carry only the life, the
	// heartbeat and the leaving flag.
	completeEntries = 1
	// heartbeatsPerTimeout is the number of heartbeats of each member that a node
	// should receive within memberTimeout.
	heartbeatsPerTimeout = 14
)

// Seed is an address to contact while no live member has it, such as at startup.
type Seed struct {
	Name    api.EntryName
	Address string
}

// VM is one row of the platform's VM list. A member counts as leaving if its name
// equals that of a leaving VM. The list may be out of date, so it never removes a
// member.
type VM struct {
	Name    api.VMName
	Leaving bool
}

// Send is a message to a peer. The node sets the configuration fields of Message before
// it passes the message to the driver.
type Send struct {
	Peer    api.EntryName
	Address string
	Message Message
}

// Received is the result of a received message. Fresh holds the notices that are new to
// this node, and Sends includes the messages that forward them.
type Received struct {
	NewNotices     []Notice
	Sends          []Send
	MembersChanged bool
}

// Exchange holds the member list and the notices of one node. It is not safe for
// concurrent use.
type Exchange struct {
	self         Member
	seeds        []Seed
	rng          *rand.Rand
	counts       *count.Set
	peers        map[api.EntryName]*peer
	names        []api.EntryName // keys of peers in ascending order
	byLife       map[api.Life]api.EntryName
	byAddress    map[string]api.EntryName
	dropped      []droppedPeer
	tombstones   map[api.Life]tombstone
	notices      noticeStore
	nextExchange time.Time // time of the next periodic exchange
	round        uint64
	leaving      map[api.EntryName]bool
	// firstUnlistedAt and lastUnlistedAt are the times of the first and the last
	// heartbeat in a series of heartbeats of unlisted members.
	firstUnlistedAt, lastUnlistedAt time.Time
}

type peer struct {
	Member
	heartbeatAt       time.Time // when Heartbeat last grew
	announcementsLeft int       // messages in which it is still announced as newly joined
	deliveryFailed    bool      // a message to it failed since its last message
}

type droppedPeer struct {
	name      api.EntryName
	address   string
	droppedAt time.Time
}

// tombstone records a life that was dropped or replaced, so that an older entry does
// not add it again.
type tombstone struct {
	heartbeat uint64
	replaced  bool // another life sent a message under its name or address; this one can never rejoin
	removedAt time.Time
}

// New returns an Exchange that knows only itself and the seeds. The first Tick starts
// the periodic exchange.
func New(self Member, seeds []Seed, rng *rand.Rand, counts *count.Set) *Exchange {
	return &Exchange{
		self: self, seeds: slices.Clone(seeds), rng: rng, counts: counts,
		peers:      make(map[api.EntryName]*peer),
		byLife:     make(map[api.Life]api.EntryName),
		byAddress:  make(map[string]api.EntryName),
		tombstones: make(map[api.Life]tombstone),
		notices:    newNoticeStore(),
		leaving:    make(map[api.EntryName]bool),
	}
}

// advanceHeartbeat increases the heartbeat of this node. It follows the clock so that a
// new life of the node usually starts above the previous one. Peers only check that it
// grows, so a wrong clock does no harm.
func (x *Exchange) advanceHeartbeat(now time.Time) {
	x.self.Heartbeat = max(x.self.Heartbeat+1, uint64(max(now.UnixMilli(), 0)))
}

// ensureHeartbeat sets the heartbeat of a node that sends before its first Tick. With a
// heartbeat of 0, its entry would lose against one of an earlier life.
func (x *Exchange) ensureHeartbeat(now time.Time) {
	if x.self.Heartbeat == 0 {
		x.advanceHeartbeat(now)
	}
}

// Tick runs the periodic exchange if it is due.
func (x *Exchange) Tick(now time.Time) []Send {
	if now.Before(x.nextExchange) {
		return nil
	}
	x.nextExchange = now.Add(Interval)
	x.round++
	x.dropTimedOut(now)
	x.notices.expire(now)
	x.advanceHeartbeat(now)
	var sends []Send
	for _, name := range x.pickPeers(exchangePeers, "") {
		sends = append(sends, x.newSend(x.peers[name].Name, x.peers[name].Address, x.periodicMessage(now)))
	}
	if s, ok := x.reconnect(now); ok {
		sends = append(sends, s)
	}
	x.notices.endRound()
	return sends
}

// NextTick returns the time of the next periodic exchange, or the zero time before the
// first Tick.
func (x *Exchange) NextTick() time.Time { return x.nextExchange }

func (x *Exchange) newSend(name api.EntryName, address string, m Message) Send {
	return Send{Peer: name, Address: address, Message: m}
}

// pickPeers returns the names of up to n random live peers other than except.
func (x *Exchange) pickPeers(n int, except api.EntryName) []api.EntryName {
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

// reconnect returns a message to a random seed or dropped member whose address no live
// member has. A message is due every reconnectRounds rounds, or in every round if there
// is no live peer.
func (x *Exchange) reconnect(now time.Time) (Send, bool) {
	if x.round%reconnectRounds != 0 && len(x.names) > 0 {
		return Send{}, false
	}
	x.dropped = slices.DeleteFunc(x.dropped, func(d droppedPeer) bool { return now.Sub(d.droppedAt) > droppedAddressRetention })
	if len(x.seeds) == 0 && len(x.dropped) == 0 {
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
	for _, d := range x.dropped {
		if !live[d.address] {
			pool = append(pool, Seed{Name: d.name, Address: d.address})
		}
	}
	if len(pool) == 0 {
		return Send{}, false
	}
	s := pool[x.rng.IntN(len(pool))]
	return x.newSend(s.Name, s.Address, x.periodicMessage(now)), true
}

// Publish adds notices of this node and pushes the new ones to peers. It ignores the
// others.
func (x *Exchange) Publish(now time.Time, ns ...Notice) []Send {
	x.ensureHeartbeat(now)
	var fresh []Notice
	for _, n := range ns {
		if x.notices.add(now, n) {
			fresh = append(fresh, n)
		}
	}
	return x.push(fresh, "")
}

// Draining returns the NoticeDraining notices that have not expired.
func (x *Exchange) Draining(now time.Time) []Notice { return x.notices.ofKind(now, NoticeDraining) }

// Refresh adds notices or extends their time to live, without pushing them. They are
// sent with the periodic exchange.
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
	if n > pushAllLimit {
		n = pushFanout
	}
	var sends []Send
	for _, name := range x.pickPeers(n, except) {
		m := x.directMessage(x.peers[name])
		m.Notices = slices.Clone(fresh)
		sends = append(sends, x.newSend(name, x.peers[name].Address, m))
	}
	return sends
}

// Receive processes a message from a peer.
func (x *Exchange) Receive(now time.Time, m Message) Received {
	var out Received
	if m.From.Life == x.self.Life || m.From.Name == "" {
		return out
	}
	x.ensureHeartbeat(now)
	joined := x.updateMember(now, m.From, joinAnnouncements, true)
	out.MembersChanged = joined
	announcements := joinAnnouncements
	if len(m.Members) > fullSyncThreshold {
		announcements = 0
	}
	for _, member := range m.Members {
		if x.updateMember(now, x.completeEntry(now, member), announcements, false) {
			out.MembersChanged = true
		}
	}
	for _, n := range m.Notices {
		if x.notices.add(now, n) {
			out.NewNotices = append(out.NewNotices, n)
		}
	}
	out.Sends = append(x.push(out.NewNotices, m.From.Name), x.resendNotices(now, m.From.Name)...)
	// A member that was unreachable for a long time lacks as much as one that knows no
	// members. In a large group, the periodic exchange brings it up to date.
	if len(m.Members) == 0 || joined && len(x.names) <= fullSyncThreshold {
		out.Sends = append(out.Sends, x.fullSync(now, m.From)...)
	}
	if x.shouldRequestList(now) {
		out.Sends = append(out.Sends, x.newSend(m.From.Name, m.From.Address, Message{From: x.self}))
	}
	if out.MembersChanged {
		x.notices.markAllNew()
	}
	return out
}

// DeliveryFailed reports that a message to a peer was not delivered. The peer is not dropped
// for this, only after memberTimeout without a heartbeat, since a single failure may be
// caused by the network path.
func (x *Exchange) DeliveryFailed(name api.EntryName) {
	x.counts.Inc(count.Peer, "failed")
	if p := x.peers[name]; p != nil {
		p.deliveryFailed = true
	}
}

// resendNotices sends all notices, up to fullSyncNoticeBudget, to a peer that sends
// its first message after a failed delivery. The peer may have missed a push, and the
// periodic exchange repeats only a few notices at a time.
func (x *Exchange) resendNotices(now time.Time, name api.EntryName) []Send {
	p := x.peers[name]
	if p == nil || !p.deliveryFailed {
		return nil
	}
	p.deliveryFailed = false
	m := x.directMessage(p)
	m.Notices = x.notices.choose(now, fullSyncNoticeBudget, fullSyncNoticeBudget, x.rng)
	if len(m.Notices) == 0 {
		return nil
	}
	return []Send{x.newSend(p.Name, p.Address, m)}
}

// Leave marks this node as leaving and pushes its entry to peers.
func (x *Exchange) Leave(now time.Time) []Send {
	x.self.Leaving = true
	x.advanceHeartbeat(now)
	n := len(x.names)
	if n > pushAllLimit {
		n = pushFanout
	}
	var sends []Send
	for _, name := range x.pickPeers(n, "") {
		sends = append(sends, x.newSend(name, x.peers[name].Address, x.directMessage(x.peers[name])))
	}
	return sends
}
