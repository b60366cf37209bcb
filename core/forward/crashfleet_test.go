package forward

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// The pattern of these tests: many nodes, each of which sends a replica a request
// every few seconds, and a request that ends the process of each replica that begins
// to run it. It comes again once a second, at another node each time.

// crashSeed replaces the seed of the tests with random troubles, for longer runs by hand.
var crashSeed = flag.Uint64("crash.seed", 2, "seed of the tests of ending replicas")

const (
	// fatalAllowed is the number of retries of a fatal request that may reach
	// replicas later than stabilityWindow after it has crashed the third.
	fatalAllowed    = 3
	stabilityWindow = 4 * time.Second
	// reportLag is the time from a change of a registration until nodes read it, and
	// usualNoticeLag that of a notice in the store.
	reportLag      = 300 * time.Millisecond
	usualNoticeLag = 100 * time.Millisecond
	// lapseTime is the silence after which the store removes a registration.
	lapseTime = 3600 * time.Millisecond
	// dialTime is how long a node waits for a connection.
	dialTime = time.Second
	// checkTime is how long a check waits for one.
	checkTime = 500 * time.Millisecond
	// workTime is how long a replica works on a request.
	workTime = 5 * time.Millisecond
)

// crashKind is how a replica's process ends.
type crashKind struct {
	// silent is set if the ends of connections are not heard.
	silent bool
	back   time.Duration
}

func (k crashKind) String() string {
	if k.silent {
		return fmt.Sprint("silent, back after ", k.back)
	}
	return fmt.Sprint("reset, back after ", k.back)
}

// crashFleet is a fleet in front of replicas whose processes end.
type crashFleet struct {
	*fleet
	kind     crashKind
	replicas map[api.ReplicaName]*crashReplica
	// attempts are those that were sent, by node and number.
	attempts map[string]*heldAttempt
	// conns are the open connections, by node and replica.
	conns map[string]*crashConns
	// storeAway is set while the store answers nobody; delayed is what nodes read at
	// its return.
	storeAway   bool
	storeBackAt time.Time
	delayed     []func()
	// published lists all notices in the store, by node.
	published map[int][]gossip.Notice
	// noticeLag is the time until the other nodes read a notice in the store.
	noticeLag time.Duration
	// boots counts the processes that were started again.
	boots int
	// harmless is set while the fatal request is answered.
	harmless bool
	// checks is the number of checks of replicas.
	checks int
	// third is when the fatal request crashed its third replica, late the number of its
	// retries that reached a replica too long after that.
	crashes int
	third   time.Time
	late    map[string]bool
	// refused counts refusals as quarantined, by fingerprint, of other requests.
	asked   map[string]api.Fingerprint
	refused map[api.Fingerprint]int
}

// crashReplica is a replica and what it works on.
type crashReplica struct {
	reg       Registration
	downUntil time.Time
	// slow is set while it answers nothing.
	slow    bool
	working map[*heldAttempt]bool
}

// crashConns are the connections of a node to one process of a replica.
type crashConns struct {
	node    int
	replica api.ReplicaName
	born    int64
	idle    int
}

type heldAttempt struct {
	node    int
	attempt AttemptID
	conns   *crashConns
	// connected is set once it has a connection.
	connected bool
	// over is set once nothing more is reported about it.
	over bool
}

func newCrashFleet(t *testing.T, seed uint64, size fleetSize, kind crashKind) *crashFleet {
	return newCrashFleetIn(t, seed, size, kind, func(int) api.DataCentre { return "dc-a" })
}

// newCrashFleetIn returns a fleet of which each node is in a given data centre.
func newCrashFleetIn(t *testing.T, seed uint64, size fleetSize, kind crashKind, dataCentre func(node int) api.DataCentre) *crashFleet {
	f := &crashFleet{
		fleet: newFleetOf(t, seed, size, dataCentre), kind: kind, noticeLag: usualNoticeLag,
		replicas: map[api.ReplicaName]*crashReplica{}, published: map[int][]gossip.Notice{}, late: map[string]bool{},
		attempts: map[string]*heldAttempt{}, conns: map[string]*crashConns{},
		asked: map[string]api.Fingerprint{}, refused: map[api.Fingerprint]int{},
	}
	for s := range size.shards {
		for i := range size.replicas {
			f.replicas[replicaOf(s, i)] = &crashReplica{reg: registration(s, i), working: map[*heldAttempt]bool{}}
		}
	}
	f.sendTo, f.others = f.sendToReplica, f.otherAction
	return f
}

func (f *crashFleet) after(d time.Duration, do func()) {
	f.events = append(f.events, fleetEvent{at: f.now.Add(d), do: do})
}

// tell delivers an event unless the attempt is over by then.
func (f *crashFleet) tell(d time.Duration, a *heldAttempt, ev Event) {
	f.after(d, func() {
		if !a.over {
			a.over = true
			f.step(a.node, ev)
		}
	})
}

// lose ends the connection of an attempt.
func (f *crashFleet) lose(a *heldAttempt, loss Loss) {
	f.later(time.Millisecond, a.node, ConnEnded{Replica: a.conns.replica})
	f.tell(time.Millisecond, a, Lost{Attempt: a.attempt, Loss: loss})
}

func (f *crashFleet) held(node int, id AttemptID) *heldAttempt {
	a := &heldAttempt{node: node, attempt: id}
	f.attempts[heldKey(node, id)] = a
	return a
}

// sendToReplica writes an attempt on an idle connection or opens one first.
func (f *crashFleet) sendToReplica(node int, s Send) {
	a := f.held(node, s.Attempt)
	a.conns = f.connsOf(node, s.Replica)
	if s.Fresh && a.conns.idle > 0 {
		a.conns.idle--
		f.later(0, node, ConnEnded{Replica: s.Replica})
	} else if a.conns.idle > 0 {
		a.conns.idle--
		a.connected = true
		f.write(a, s)
		return
	}
	r := f.replicas[s.Replica]
	switch {
	case f.now.Before(r.downUntil) && f.kind.silent:
		f.tell(dialTime, a, Lost{Attempt: s.Attempt, Loss: LostUnsent})
	case f.now.Before(r.downUntil):
		f.tell(time.Millisecond, a, Lost{Attempt: s.Attempt, Loss: LostRefused})
	default:
		f.after(time.Millisecond, func() {
			f.step(node, ConnOpened{Replica: s.Replica, Attempt: s.Attempt})
			if a.over {
				a.conns.idle++
				return
			}
			a.connected = true
			f.write(a, s)
		})
	}
}

// write hands an attempt to its replica. One that has fallen silent never gets it.
func (f *crashFleet) write(a *heldAttempt, s Send) {
	r := f.replicas[s.Replica]
	switch {
	case f.now.Before(r.downUntil) || a.conns.born != r.reg.Born:
		return
	case s.Message.Fingerprint == fatal && !f.harmless:
		f.fatalArrived(s.Message.CallerRequest)
		r.working[a] = true
		f.crash(s.Replica)
	default:
		r.working[a] = true
		if r.slow {
			return
		}
		f.after(workTime, func() {
			if r.working[a] {
				delete(r.working, a)
				a.conns.idle++
				f.tell(0, a, Replied{Attempt: s.Attempt, Reply: Reply{
					Kind: ReplyOK, Proof: fmt.Sprint("proof-", s.Replica), Body: []byte("aa"),
				}})
			}
		})
	}
}

// connsOf returns the connections of a node to a replica's present process.
func (f *crashFleet) connsOf(node int, name api.ReplicaName) *crashConns {
	key := fmt.Sprint(node, "/", name)
	if f.conns[key] == nil {
		f.conns[key] = &crashConns{node: node, replica: name, born: f.replicas[name].reg.Born}
	}
	return f.conns[key]
}

func (f *crashFleet) closeIdle(c *crashConns) {
	for range c.idle {
		f.later(time.Millisecond, c.node, ConnEnded{Replica: c.replica})
	}
	c.idle = 0
	c.born = f.replicas[c.replica].reg.Born
}

// endConns ends the connections to a replica whose process has ended. Those to one that
// fell silent stay until they are used.
func (f *crashFleet) endConns(name api.ReplicaName) {
	for key, c := range f.conns {
		if c.replica != name || f.kind.silent {
			continue
		}
		f.closeIdle(c)
		delete(f.conns, key)
	}
}

func (f *crashFleet) fatalArrived(id string) {
	f.crashes++
	if f.crashes == 3 {
		f.third = f.now
	}
	if !f.third.IsZero() && f.now.Sub(f.third) > stabilityWindow && f.counts() {
		f.late[id] = true
	}
}

// counts reports whether a late retry counts. By the rule it does not until the store has
// been back for the stability window; it does here as well where the ends are heard.
func (f *crashFleet) counts() bool {
	return !f.kind.silent || !f.storeAway && f.now.Sub(f.storeBackAt) > stabilityWindow
}

// crash ends the process of a replica, which starts again later.
func (f *crashFleet) crash(name api.ReplicaName) {
	r := f.replicas[name]
	r.downUntil = f.now.Add(f.kind.back)
	for a := range r.working {
		if !f.kind.silent {
			f.lose(a, LostBroken)
		}
	}
	clear(r.working)
	f.endConns(name)
	if f.kind.back > lapseTime {
		f.after(lapseTime+reportLag, func() { f.fromStore(ReplicaGone{Replica: name}) })
	}
	f.after(f.kind.back, func() {
		r.reg.Born++
		for key, c := range f.conns {
			if c.replica == name && c.idle == 0 {
				delete(f.conns, key)
			}
		}
	})
	f.after(f.kind.back+reportLag, func() { f.fromStore(ReplicaSeen{Registration: r.reg}) })
}

// fromStore tells all nodes a change, at the return of the store if it is away.
func (f *crashFleet) fromStore(ev Event) {
	if f.storeAway {
		f.delayed = append(f.delayed, func() { f.fromStore(ev) })
		return
	}
	for i := range f.engines {
		f.step(i, ev)
	}
}

// storeBack ends an outage of the store.
func (f *crashFleet) storeBack() {
	f.storeAway, f.storeBackAt = false, f.now
	delayed := f.delayed
	f.delayed = nil
	for i := range f.engines {
		f.step(i, StoreBack{})
	}
	for _, do := range delayed {
		do()
	}
}

func (f *crashFleet) otherAction(node int, a Action) {
	switch a := a.(type) {
	case Cancel:
		f.cancelled(node, a.Attempt)
	case CloseIdle:
		f.closeIdle(f.connsOf(node, a.Replica))
	case CheckReplica:
		f.checked(node, a)
	case TellNodes:
		f.told(a)
	case Publish:
		f.published[node] = append(f.published[node], a.Notices...)
		f.after(f.noticeLag, func() { f.spread(node, a.Notices) })
	}
}

// checked answers the check of a replica.
func (f *crashFleet) checked(node int, c CheckReplica) {
	f.checks++
	result, took := CheckAccepted, time.Millisecond
	if f.now.Before(f.replicas[c.Replica].downUntil) {
		result = CheckRefused
		if f.kind.silent {
			result, took = CheckUnanswered, checkTime
		}
	} else {
		f.connsOf(node, c.Replica).idle++
		f.later(took, node, ConnOpened{Replica: c.Replica})
	}
	f.later(took, node, ReplicaChecked{Replica: c.Replica, Result: result})
}

// told delivers what a node tells others directly.
func (f *crashFleet) told(a TellNodes) {
	for _, address := range a.Addresses {
		name := strings.TrimSuffix(address, ":1")
		to := slices.IndexFunc(f.peers(), func(p Peer) bool { return p.Node == name })
		if !f.unreachable[name] {
			f.later(2*time.Millisecond, to, NoticesRead{Notices: a.Notices, PassOn: a.PassOn})
		}
	}
}

// spread lets the other nodes read notices in the store.
func (f *crashFleet) spread(from int, notices []gossip.Notice) {
	if f.storeAway {
		f.delayed = append(f.delayed, func() { f.spread(from, notices) })
		return
	}
	for i := range f.engines {
		if i != from {
			f.step(i, NoticesRead{Notices: notices})
		}
	}
}

func heldKey(node int, id AttemptID) string { return fmt.Sprint(node, "/", id) }

func (f *crashFleet) cancelled(node int, id AttemptID) {
	a := f.attempts[heldKey(node, id)]
	if a == nil {
		return
	}
	a.over = true
	if !a.connected {
		return // the connection is kept once it is open
	}
	f.later(time.Millisecond, node, ConnEnded{Replica: a.conns.replica})
	for _, r := range f.replicas {
		delete(r.working, a)
	}
}

// ask sends a request of a caller and notes whether it is refused as quarantined.
func (f *crashFleet) ask(node int, path string, fingerprint api.Fingerprint) {
	id := f.requestWith(node, path, fingerprint)
	f.asked[id] = fingerprint
}

// refusals counts the requests that were refused as quarantined.
func (f *crashFleet) refusals() int {
	total := 0
	for id, fingerprint := range f.asked {
		if f.answers[id].Reason == api.ReasonQuarantined {
			f.refused[fingerprint]++
			total++
		}
	}
	return total
}

// counted returns a counter of the quarantine over all nodes.
func (f *crashFleet) counted(detail api.Reason) uint64 {
	var total uint64
	for _, e := range f.engines {
		total += e.Counts().Get(count.Quarantine, detail)
	}
	return total
}

// fatalRounds sends the fatal request once a second, at another node each time.
func (f *crashFleet) fatalRounds(rounds int, path string) {
	for i := range rounds {
		f.requestWith(i%f.size.nodes, path, fatal)
		f.run(time.Second)
	}
}

func (f *crashFleet) storeGone() {
	f.storeAway = true
	for i := range f.engines {
		f.step(i, StoreLost{})
	}
}

func (f *crashFleet) anyReplica() api.ReplicaName {
	return replicaOf(f.rng.IntN(f.size.shards), f.rng.IntN(f.size.replicas))
}

// resetConnections breaks what a node has on its way, at replicas that go on.
func (f *crashFleet) resetConnections(node int) {
	for _, r := range f.replicas {
		for a := range r.working {
			if a.node == node {
				delete(r.working, a)
				f.lose(a, LostBroken)
			}
		}
	}
}

// restartNode replaces a node's process, which reads the notices in the store.
func (f *crashFleet) restartNode(node int) {
	for _, a := range f.attempts {
		a.over = a.over || a.node == node
	}
	f.events = slices.DeleteFunc(f.events, func(ev fleetEvent) bool { return ev.do == nil && ev.node == node })
	f.boots++
	maps.DeleteFunc(f.conns, func(_ string, c *crashConns) bool { return c.node == node })
	maps.DeleteFunc(f.used, func(key string, _ bool) bool { return strings.HasPrefix(key, fmt.Sprint(node, "/")) })
	maps.DeleteFunc(f.handed, func(key string, c fleetCall) bool {
		return c.node == node || strings.HasPrefix(key, fmt.Sprint(node, "/"))
	})
	f.engines[node] = f.newEngine(node, uint64(1000+f.boots))
	f.inform(node, f.peers())
	for _, r := range f.replicas {
		f.step(node, ReplicaSeen{Registration: r.reg})
	}
	for from := range f.size.nodes {
		f.step(node, NoticesRead{Notices: f.published[from]})
	}
}

// traffic sends innocent requests for a while, at the rates of a site with many nodes:
// one a second and node, a third of them with contents that come again and again.
func (f *crashFleet) traffic(d time.Duration) {
	interval := time.Second / time.Duration(f.size.nodes)
	for end := f.now.Add(d); f.now.Before(end); f.run(interval) {
		path, fingerprint := "/all/x", api.Fingerprint(1_000_000+f.next)
		if f.rng.IntN(5) == 0 {
			path = "/one/x"
		}
		if f.rng.IntN(3) == 0 {
			fingerprint = api.Fingerprint(100 + f.rng.IntN(10))
			path = []string{"/all/x", "/one/x"}[fingerprint%2]
		}
		f.ask(f.rng.IntN(f.size.nodes), path, fingerprint)
	}
}

func (f *crashFleet) checkFatal() {
	f.t.Helper()
	if f.crashes == 0 {
		f.t.Error("no replica has crashed: nothing was tested")
	}
	if len(f.late) > fatalAllowed {
		f.t.Errorf("%d retries reach replicas later than %v after the third crash, allowed are %d; %d crashes in all",
			len(f.late), stabilityWindow, fatalAllowed, f.crashes)
	}
	f.t.Logf("%d crashes; losses: %v", f.crashes, f.losses())
}

// losses returns what became of lost attempts at all nodes.
func (f *crashFleet) losses() map[api.Reason]uint64 {
	out := map[api.Reason]uint64{}
	for _, e := range f.engines {
		for _, total := range e.Counts().Totals() {
			if total.Key.Kind == count.Loss {
				out[total.Key.Detail] += total.Value
			}
		}
	}
	return out
}

// checkInnocent checks that innocent requests are hardly refused as quarantined, and
// none of them for long.
func (f *crashFleet) checkInnocent() {
	f.t.Helper()
	refused := f.refusals()
	if most := len(f.asked) / 100; refused > most {
		f.t.Errorf("%d of %d innocent requests are refused as quarantined, by content: %v", refused, len(f.asked), f.refused)
	}
	if alone := f.counted("probation"); alone > 100 {
		f.t.Errorf("%d requests are tried alone", alone)
	}
	f.t.Logf("%d of %d innocent requests refused, %d runs alone, %d of them answered, %d convictions, %d checks",
		refused, len(f.asked), f.counted("probation"), f.counted("cleared"), f.counted("convicted"), f.checks)
}
