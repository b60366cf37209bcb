package confsync

import (
	"fmt"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// oracle checks the answers to operators, the changes applied in the store and
// the documents that nodes adopt. It keeps the first violation.
type oracle struct {
	violation   error
	lastAdopted map[int]*config.Document
	appliedAt   map[config.ChangeID]config.Position
	rejected    map[config.ChangeID]bool
	accepted    map[config.ChangeID]bool
	byPosition  map[config.Position]config.ChangeID
	unanswered  map[api.RequestID]bool
}

func newOracle() *oracle {
	return &oracle{
		lastAdopted: map[int]*config.Document{},
		appliedAt:   map[config.ChangeID]config.Position{},
		rejected:    map[config.ChangeID]bool{},
		accepted:    map[config.ChangeID]bool{},
		byPosition:  map[config.Position]config.ChangeID{},
		unanswered:  map[api.RequestID]bool{},
	}
}

func (o *oracle) failf(format string, args ...any) {
	if o.violation == nil {
		o.violation = fmt.Errorf(format, args...)
	}
}

func (o *oracle) restarted(node int) { delete(o.lastAdopted, node) }

func (o *oracle) proposed(r api.RequestID) { o.unanswered[r] = true }

// adopted checks that a node adopts only newer documents, and that the new
// document has the old one in its history, as far as the history reaches back.
func (o *oracle) adopted(node int, doc *config.Document) {
	old := o.lastAdopted[node]
	o.lastAdopted[node] = doc
	switch {
	case old == nil || old == doc:
	case doc.Position().Compare(old.Position()) <= 0:
		o.failf("node %d went back from %+v to %+v", node, old.Position(), doc.Position())
	case doc.Generation == old.Generation && doc.History[0].Revision <= old.Revision && doc.FindChange(old.NewestChange().ID) == nil:
		o.failf("node %d adopted a document whose history diverges from %+v", node, old.Position())
	}
}

func (o *oracle) applied(id config.ChangeID, p config.Position) {
	if o.isApplied(id) {
		o.failf("change %s was applied twice", id)
	}
	if o.rejected[id] {
		o.failf("change %s was applied after its operator was told that it was rejected", id)
	}
	o.appliedAt[id] = p
}

func (o *oracle) isApplied(id config.ChangeID) bool { return o.appliedAt[id] != (config.Position{}) }

func (o *oracle) answered(a event.AnswerChange) {
	if !o.unanswered[a.Request] {
		o.failf("request %d was answered twice or never made", a.Request)
	}
	delete(o.unanswered, a.Request)
	switch a.Outcome {
	case event.ChangeAccepted:
		p := o.appliedAt[a.ID]
		if !o.isApplied(a.ID) || p.Revision != a.Revision {
			o.failf("change %s was accepted at revision %d, the store has it at %d", a.ID, a.Revision, p.Revision)
		}
		if other := o.byPosition[p]; other != "" {
			o.failf("changes %s and %s share a position", a.ID, other)
		}
		o.byPosition[p] = a.ID
		o.accepted[a.ID] = true
	case event.ChangeUnknown:
	default:
		if o.isApplied(a.ID) {
			o.failf("change %s is in the store but was answered %d", a.ID, a.Outcome)
		}
		o.rejected[a.ID] = true
	}
}

// end checks the final state, after the faults have ended and the nodes have had
// time to converge.
func (o *oracle) end(store *config.Document, nodes []*config.Document) {
	for id := range o.accepted {
		if store.FindChange(id) == nil {
			o.failf("accepted change %s is not in the final document", id)
		}
	}
	for i, doc := range nodes {
		if doc.Position() != store.Position() {
			o.failf("node %d is at %+v, the store at %+v", i, doc.Position(), store.Position())
		}
	}
	if len(o.unanswered) > 0 {
		o.failf("%d changes have no answer", len(o.unanswered))
	}
}

// Guards against an oracle that misses violations: each check must fail on a
// trace that violates it, and a valid trace must pass.
func TestOracleCanFail(t *testing.T) {
	doc := func(gen, rev uint64, ids ...config.ChangeID) *config.Document {
		d := &config.Document{Generation: gen, Revision: rev}
		for i, id := range ids {
			d.History = append(d.History, config.Change{ID: id, Generation: gen, Revision: rev - uint64(len(ids)-1-i)})
		}
		return d
	}
	at1 := config.Position{Generation: 1, Revision: 1}
	answer := func(o *oracle, id config.ChangeID, out event.ChangeOutcome) {
		o.proposed(1)
		o.answered(event.AnswerChange{Request: 1, ID: id, Outcome: out, Revision: 1})
	}
	traces := map[string]func(o *oracle){
		"":                          func(o *oracle) { o.applied("a", at1); answer(o, "a", event.ChangeAccepted); o.end(doc(1, 1, "a"), nil) },
		"older document adopted":    func(o *oracle) { o.adopted(0, doc(1, 2, "a", "b")); o.adopted(0, doc(1, 1, "a")) },
		"diverged document adopted": func(o *oracle) { o.adopted(0, doc(1, 1, "a")); o.adopted(0, doc(1, 2, "x", "b")) },
		"applied twice":             func(o *oracle) { o.applied("a", at1); o.applied("a", at1) },
		"applied after rejection":   func(o *oracle) { answer(o, "a", event.ChangeConflict); o.applied("a", at1) },
		"accepted but not applied":  func(o *oracle) { answer(o, "a", event.ChangeAccepted) },
		"refused but applied":       func(o *oracle) { o.applied("a", at1); answer(o, "a", event.ChangeRefused) },
		"answered twice":            func(o *oracle) { answer(o, "a", event.ChangeUnknown); o.answered(event.AnswerChange{Request: 1}) },
		"accepted change missing":   func(o *oracle) { o.applied("a", at1); answer(o, "a", event.ChangeAccepted); o.end(doc(1, 1, "b"), nil) },
		"not converged":             func(o *oracle) { o.end(doc(1, 2, "a", "b"), []*config.Document{doc(1, 1, "a")}) },
		"never answered":            func(o *oracle) { o.proposed(7); o.end(nil, nil) },
		"shared position": func(o *oracle) {
			o.applied("a", at1)
			o.applied("b", at1)
			answer(o, "a", event.ChangeAccepted)
			answer(o, "b", event.ChangeAccepted)
		},
	}
	for name, trace := range traces {
		o := newOracle()
		trace(o)
		if (o.violation == nil) != (name == "") {
			t.Errorf("trace %q: violation %v", name, o.violation)
		}
	}
}
