package changefeed

import (
	"flag"
	"fmt"
	"iter"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"pgregory.net/rapid"
)

// Fixed seed and number of checks; -rapid.seed and -rapid.checks on the command line
// replace them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.steps", "40")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	modelTick   = 100 * time.Millisecond
	modelKnown  = 6 * time.Second
	modelWait   = 2 * time.Second
	modelAnswer = 20 // changes in one answer of the store
	modelNodes  = 20
)

// modelStore is the store: its newest changes and what of them it still keeps.
type modelStore struct {
	era       uint64
	revision  int64
	items     map[string]Change
	history   []Change
	compacted int64
	down      bool
	calls     int
}

func (s *modelStore) put(key string) {
	s.revision++
	s.add(Change{Key: key, Value: []byte(fmt.Sprint(s.era, s.revision)), Revision: s.revision})
}

func (s *modelStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		s.add(Change{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *modelStore) add(c Change) {
	s.history = append(s.history, c)
	if c.Deleted {
		delete(s.items, c.Key)
	} else {
		s.items[c.Key] = c
	}
}

// restore puts the store back to an older copy.
func (s *modelStore) restore(old modelStore) {
	*s = old
	s.items, s.history = maps.Clone(old.items), slices.Clone(old.history)
}

// after returns the changes of one answer, and up to which revision it goes.
func (s *modelStore) after(revision int64) ([]Change, int64) {
	i := slices.IndexFunc(s.history, func(c Change) bool { return c.Revision > revision })
	if i < 0 {
		return nil, s.revision
	}
	if found := s.history[i:]; len(found) > modelAnswer {
		return found[:modelAnswer], found[modelAnswer-1].Revision
	}
	return s.history[i:], s.revision
}

// modelNode is a node as the product's feed drives it, with steps in place of calls.
type modelNode struct {
	Member
	log       *Log
	chooser   *Chooser
	listed    bool
	gone      bool // the history that the node needs
	confirmed time.Time
	failing   bool
	direct    bool
	source    string
	heard     time.Time
	// cut nodes reach no other node, refused ones not the store; paused ones do nothing.
	cut, refused, paused bool
	// nextCall is when the store is called again, nextProbe when it is asked whether it
	// answers.
	nextCall, nextProbe time.Time
}

// model is a system with its faults.
type model struct {
	t     *rapid.T
	now   time.Time
	store *modelStore
	nodes map[string]*modelNode
	// copies are what the store held at some moments.
	copies []modelStore
	next   int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: time.Unix(0, 0), nodes: make(map[string]*modelNode),
		store: &modelStore{era: 1, revision: 1, items: make(map[string]Change)},
	}
	for range modelNodes {
		m.start()
	}
	return m
}

// start adds a node and lists it.
func (m *model) start() {
	name := fmt.Sprintf("n%02d", m.next)
	self := Member{Node: name, DataCentre: api.DataCentre(fmt.Sprintf("dc-%d", m.next%3)), Address: name}
	m.next++
	m.nodes[name] = &modelNode{Member: self, log: NewLog(), chooser: NewChooser(self, NewBounds(modelKnown, modelWait))}
	m.store.put("members/" + name + "/" + string(self.DataCentre))
}

// lose removes a node; its entry is removed later.
func (m *model) lose(name string) { delete(m.nodes, name) }

func (m *model) names() []string { return slices.Sorted(maps.Keys(m.nodes)) }

// tick lets time pass and each node do its work.
func (m *model) tick() {
	m.now = m.now.Add(modelTick)
	for _, name := range m.names() {
		if n := m.nodes[name]; !n.paused {
			before := n.log.Position()
			m.work(n)
			if n.log.Position().Before(before) {
				m.t.Fatalf("%s goes back from %+v to %+v", name, before, n.log.Position())
			}
		}
	}
}

func (n *modelNode) age(now time.Time) time.Duration { return now.Sub(n.confirmed) }

func (m *model) work(n *modelNode) {
	if !n.listed {
		m.call(n)
		return
	}
	source, ok := n.chooser.Next(m.now, n.age(m.now))
	if !ok {
		n.source = ""
		m.call(n)
		return
	}
	if n.source != source.Node {
		n.source, n.heard = source.Node, m.now
	}
	m.probe(n)
	m.follow(n, m.nodes[source.Node])
}

// probe asks the store whether it answers a node that would watch.
func (m *model) probe(n *modelNode) {
	if !n.chooser.Impaired(m.now) {
		return
	}
	if m.now.Before(n.nextProbe) {
		n.chooser.StoreFailed(m.now)
		return
	}
	n.nextProbe = m.now.Add(n.chooser.Bounds().Silence)
	m.store.calls++
	if !m.store.down && !n.refused {
		n.chooser.StoreAnswered(m.now)
	}
}

// call lists or watches.
func (m *model) call(n *modelNode) {
	if m.now.Before(n.nextCall) {
		return
	}
	m.store.calls++
	if m.store.down || n.refused {
		n.chooser.StoreFailed(m.now)
		n.failing, n.direct = true, false
		n.nextCall = m.now.Add(modelTick)
		return
	}
	p := n.log.Position()
	switch {
	case !n.listed || n.gone || p.Era != m.store.era:
		n.log.Replace(slices.Collect(maps.Values(m.store.items)), Position{m.store.era, m.store.revision})
		n.listed, n.gone = true, false
	case p.Revision < m.store.compacted:
		n.gone = true
		return
	default:
		changes, to := m.store.after(p.Revision)
		n.log.Append(Batch{Changes: changes, To: Position{p.Era, to}})
	}
	n.chooser.StoreAnswered(m.now)
	n.confirmed, n.failing, n.direct = m.now, false, true
	n.setMembers()
}

// follow receives from another node, if there is a path to it.
func (m *model) follow(n, source *modelNode) {
	if source == nil || source.paused || source.cut || n.cut || !source.listed {
		if m.now.Sub(n.heard) >= n.chooser.Bounds().Silence || source == nil {
			n.chooser.SourceLeft(m.now, n.source)
		}
		return
	}
	n.heard = m.now
	b := source.log.Since(n.log.Position())
	h := Health{Age: source.age(m.now), Failing: source.failing, Direct: source.direct}
	if b.To.Before(n.log.Position()) && b.To.Era < n.log.Position().Era {
		n.chooser.SourceLeft(m.now, n.source)
		return
	}
	if n.chooser.Heard(m.now, n.source, h) {
		if at := m.now.Add(-h.Age); at.After(n.confirmed) {
			n.confirmed = at
		}
		n.failing, n.direct = false, false
	} else {
		n.failing, n.direct = true, false
	}
	switch {
	case b.To.Before(n.log.Position()):
	case b.Complete:
		n.log.Replace(b.Changes, b.To)
	default:
		n.log.Append(b)
	}
	n.setMembers()
}

func (n *modelNode) setMembers() {
	var members []Member
	for _, c := range n.log.all() {
		if parts := strings.Split(c.Key, "/"); parts[0] == "members" {
			members = append(members, Member{Node: parts[1], DataCentre: api.DataCentre(parts[2]), Address: parts[1]})
		}
	}
	n.chooser.SetMembers(members)
}

// heal ends all faults.
func (m *model) heal() {
	m.store.down = false
	for _, n := range m.nodes {
		n.cut, n.refused, n.paused = false, false, false
	}
}

func (m *model) pass(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.tick()
	}
}

// expectAgreement checks that the nodes for which of holds believe what is in the store.
func (m *model) expectAgreement(when string, of func(*modelNode) bool) {
	want := m.store.items
	for _, name := range m.names() {
		n := m.nodes[name]
		if !of(n) {
			continue
		}
		got := make(map[string]Change)
		for _, c := range n.log.all() {
			got[c.Key] = c
		}
		if !maps.EqualFunc(got, want, func(a, b Change) bool { return string(a.Value) == string(b.Value) }) {
			m.t.Fatalf("%s: %s at %+v knows %d keys, the store at %d/%d holds %d; source %q, watches %v", when, name,
				n.log.Position(), len(got), m.store.era, m.store.revision, len(want), n.source, n.chooser.Watches())
		}
	}
}

// settleTime is the time in which a node knows again what the store holds after
// faults: the bound that the settings give.
const settleTime = modelKnown

func (m *model) anyNode() *modelNode {
	names := m.names()
	return m.nodes[rapid.SampledFrom(names).Draw(m.t, "node")]
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"change": func(t *rapid.T) {
			for range rapid.IntRange(1, 60).Draw(t, "changes") {
				m.store.put(fmt.Sprint("replicas/", rapid.IntRange(0, 40).Draw(t, "key")))
			}
		},
		"delete":  func(t *rapid.T) { m.store.remove(fmt.Sprint("replicas/", rapid.IntRange(0, 40).Draw(t, "key"))) },
		"pass":    func(t *rapid.T) { m.pass(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * modelTick) },
		"compact": func(*rapid.T) { m.store.compacted, m.store.history = m.store.revision, nil },
		"down":    func(*rapid.T) { m.store.down = true },
		"up":      func(*rapid.T) { m.store.down = false },
		"refuse": func(t *rapid.T) {
			for _, name := range m.names() {
				m.nodes[name].refused = rapid.IntRange(0, 2).Draw(t, "refused") == 0
			}
		},
		"refuse watchers": func(*rapid.T) {
			for _, n := range m.nodes {
				n.refused = n.refused || n.chooser.Watches()
			}
		},
		"cut":   func(*rapid.T) { n := m.anyNode(); n.cut = !n.cut },
		"pause": func(*rapid.T) { n := m.anyNode(); n.paused = !n.paused },
		"lose a node": func(*rapid.T) {
			if len(m.nodes) > modelNodes/2 {
				m.lose(m.anyNode().Node)
			}
		},
		"lose the watchers": func(*rapid.T) {
			for _, name := range m.names() {
				if n := m.nodes[name]; n.chooser.Watches() && len(m.nodes) > modelNodes/2 {
					m.lose(name)
				}
			}
		},
		"start a node": func(*rapid.T) {
			if len(m.nodes) < 2*modelNodes {
				m.start()
			}
		},
		"lapse": func(*rapid.T) {
			for _, key := range slices.Sorted(maps.Keys(m.store.items)) {
				if parts := strings.Split(key, "/"); parts[0] == "members" && m.nodes[parts[1]] == nil {
					m.store.remove(key)
				}
			}
		},
		"copy": func(*rapid.T) {
			old := *m.store
			old.items, old.history = maps.Clone(old.items), slices.Clone(old.history)
			m.copies = append(m.copies, old)
		},
		"restore": func(*rapid.T) {
			if len(m.copies) == 0 {
				return
			}
			era, calls, down := m.store.era+1, m.store.calls, m.store.down
			m.store.restore(m.copies[len(m.copies)-1])
			m.store.era, m.store.calls, m.store.down = era, calls, down
			for _, name := range m.names() { // the nodes register again
				m.store.put("members/" + name + "/" + string(m.nodes[name].DataCentre))
			}
		},
	}
}

// Guards against any order of changes, losses, pauses, cuts, refusals, outages and
// restores after which a node believes something that is not in the store, goes back,
// or calls the store like a fleet without watchers.
func TestNodesKnowWhatTheStoreHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.pass(modelKnown)
		t.Repeat(m.actions())
		m.heal()
		m.pass(settleTime)
		m.expectAgreement("after the faults", func(*modelNode) bool { return true })
		m.store.put("replicas/last")
		m.pass(settleTime)
		m.expectAgreement("after one more change", func(*modelNode) bool { return true })
		m.expectFewCalls()
	})
}

// members returns the nodes that run.
func (m *model) members() iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, n := range m.nodes {
			if !yield(n.Member) {
				return
			}
		}
	}
}

// expectFewCalls checks that in quiet times only the watchers call the store.
func (m *model) expectFewCalls() {
	watchers := 0
	for _, r := range Rankings(slices.Collect(m.members())) {
		watchers += r.Watching
	}
	if watchers == 0 {
		return // a fleet so small that each node watches
	}
	m.actions()["lapse"](m.t)
	m.pass(settleTime)
	before := m.store.calls
	const ticks = 10
	m.pass(ticks * modelTick)
	if calls := m.store.calls - before; calls > watchers*ticks {
		m.t.Fatalf("%d calls of %d nodes in %d steps, %d watch", calls, len(m.nodes), ticks, watchers)
	}
}

// Guards against a node that serves from old knowledge while the store refuses it but
// not all others: a third of the nodes, the watching ones among them, and changes that
// go on.
func TestRefusedNodesKnowWhatOthersKnow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.pass(modelKnown)
		spared := m.anyNode().Node
		for _, name := range m.names() {
			n := m.nodes[name]
			n.refused = name != spared && (n.chooser.Watches() || rapid.IntRange(0, 2).Draw(t, "refused") == 0)
		}
		for range 20 {
			m.store.put("replicas/changing")
			m.pass(modelTick)
		}
		m.pass(settleTime)
		m.expectAgreement("while the store refuses all watchers but one", func(*modelNode) bool { return true })
	})
}
