package forward

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabsail/baobabsail/core/api"
)

// evacuationModel drives an Engine with random events and knows which data centres must not be
// reached: those that the operator has evacuated in the store, of which the node has heard.
type evacuationModel struct {
	t        *rapid.T
	h        *harness
	revision int64
	// written holds the evacuations in the store, forbidden the data centres that the node must
	// not send to.
	written, forbidden map[api.DataCentre]int64
	// heldUntil holds the forbidden data centres that the store lacks since a restore.
	heldUntil map[api.DataCentre]time.Time
	copies    []map[api.DataCentre]int64
	storeLost bool
	replicas  map[api.ReplicaName]Registration
	open      []AttemptID
	last      api.RequestID
}

var modelCentres = []api.DataCentre{"dc-a", "dc-b", "dc-c"}

func (m *evacuationModel) step(ev Event) {
	for _, a := range m.h.e.Step(m.h.now, ev) {
		switch a := a.(type) {
		case Send:
			m.reached("a request", a.Replica)
			m.open = append(m.open, a.Attempt)
		case CheckReplica:
			m.reached("a check", a.Replica)
		}
	}
}

func (m *evacuationModel) reached(what string, name api.ReplicaName) {
	if _, forbidden := m.forbidden[m.replicas[name].DataCentre]; forbidden {
		m.t.Fatalf("%s reaches %s in %s", what, name, m.replicas[name].DataCentre)
	}
}

func (m *evacuationModel) advance(d time.Duration) {
	end := m.h.now.Add(d)
	for {
		wake := m.h.e.NextTick()
		if wake.IsZero() || wake.After(end) {
			break
		}
		m.moveTo(wake)
		m.step(Timer{})
	}
	m.moveTo(end)
}

// moveTo moves the clock. A held evacuation may end when its time is over.
func (m *evacuationModel) moveTo(at time.Time) {
	if at.After(m.h.now) {
		m.h.now = at
	}
	for dc, until := range m.heldUntil {
		if !m.storeLost && !m.h.now.Before(until) {
			delete(m.heldUntil, dc)
			delete(m.forbidden, dc)
		}
	}
}

// readAll delivers a complete list of the store.
func (m *evacuationModel) readAll(restored bool) {
	list := RegistryRead{Restored: restored}
	for s := range 2 {
		for i := range 3 {
			list.Registrations = append(list.Registrations, m.replicas[replicaOf(s, i)])
		}
	}
	for _, dc := range modelCentres {
		if revision, ok := m.written[dc]; ok {
			list.Evacuations = append(list.Evacuations, Evacuation{DataCentre: dc, Revision: revision})
			m.forbidden[dc] = revision
			delete(m.heldUntil, dc)
		} else if _, forbidden := m.forbidden[dc]; forbidden {
			if _, held := m.heldUntil[dc]; restored {
				m.heldUntil[dc] = m.h.now.Add(testEvacuationHold)
			} else if !held {
				delete(m.forbidden, dc)
			}
		}
	}
	m.step(list)
}

// TestRandomEventsReachNoEvacuatedDataCentre guards against requests and checks at evacuated data
// centres under any sequence of requests, replies, losses, registrations, outages and restores of
// the store, and removals that arrive twice or late.
func TestRandomEventsReachNoEvacuatedDataCentre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &evacuationModel{
			t: t, h: newHarness(nil, func(s *Settings) { s.EvacuationHold = testEvacuationHold }), written: map[api.DataCentre]int64{},
			forbidden: map[api.DataCentre]int64{}, heldUntil: map[api.DataCentre]time.Time{}, replicas: map[api.ReplicaName]Registration{},
		}
		m.h.accepted = rapid.IntRange(1, 8).Draw(t, "connections")
		m.step(TableRead{Table: m.h.newTable(1, 2)})
		for s := range 2 {
			for i := range 3 {
				r := registration(s, i).in(modelCentres[i])
				m.replicas[r.Replica] = r
				m.step(ReplicaRegistered{Registration: r})
			}
		}
		centre := func() api.DataCentre { return rapid.SampledFrom(modelCentres).Draw(t, "dc") }
		replica := func() Registration {
			return m.replicas[replicaOf(rapid.IntRange(0, 1).Draw(t, "service"), rapid.IntRange(0, 2).Draw(t, "replica"))]
		}
		attempt := func() AttemptID {
			if len(m.open) == 0 {
				return 0
			}
			return rapid.SampledFrom(m.open).Draw(t, "attempt")
		}
		actions := map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				m.last++
				path := rapid.SampledFrom([]string{"/all/x", "/one/x", "/order/x"}).Draw(t, "path")
				m.step(Arrived{Request: m.last, CallerTimeout: 800 * time.Millisecond, Message: &Message{
					Host: "h", Path: path, Fingerprint: api.Fingerprint(m.last % 5),
				}})
			},
			"reply": func(t *rapid.T) {
				kind := ReplyKind(rapid.IntRange(int(ReplyOK), int(ReplyInvalid)).Draw(t, "kind"))
				m.step(Replied{Attempt: attempt(), Reply: Reply{Kind: kind, Proof: "p", Body: []byte("ab")}})
			},
			"loss": func(t *rapid.T) {
				m.step(Lost{Attempt: attempt(), Loss: Loss(rapid.IntRange(int(LostRefused), int(LostOversized)).Draw(t, "loss"))})
			},
			"check": func(t *rapid.T) {
				result := CheckResult(rapid.IntRange(int(CheckAccepted), int(CheckUnanswered)).Draw(t, "result"))
				m.step(ReplicaChecked{Replica: replica().Replica, Result: result})
			},
			"time": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"long time": func(*rapid.T) { m.advance(testEvacuationHold) },
			"evacuate": func(*rapid.T) {
				if m.storeLost {
					return
				}
				dc := centre()
				m.revision++
				m.written[dc], m.forbidden[dc] = m.revision, m.revision
				delete(m.heldUntil, dc)
				m.step(DataCentreEvacuated{Evacuation: Evacuation{DataCentre: dc, Revision: m.revision}})
			},
			"end": func(*rapid.T) {
				dc := centre()
				if _, ok := m.written[dc]; !ok || m.storeLost {
					return
				}
				m.revision++
				delete(m.written, dc)
				delete(m.forbidden, dc)
				m.step(DataCentreRestored{DataCentre: dc, Revision: m.revision})
			},
			"old removal": func(*rapid.T) {
				if dc := centre(); m.written[dc] > 1 {
					m.step(DataCentreRestored{DataCentre: dc, Revision: m.written[dc] - 1})
				}
			},
			"register":   func(*rapid.T) { m.step(ReplicaRegistered{Registration: replica()}) },
			"unregister": func(*rapid.T) { m.step(ReplicaUnregistered{Replica: replica().Replica}) },
			"restart": func(*rapid.T) {
				r := replica()
				r.ProcessStart++
				m.replicas[r.Replica] = r
				m.step(ReplicaRegistered{Registration: r})
			},
			"outage":     func(*rapid.T) { m.storeLost = true; m.step(StoreLost{}) },
			"store back": func(*rapid.T) { m.storeLost = false; m.step(StoreBack{}); m.moveTo(m.h.now) },
			"read all":   func(*rapid.T) { m.storeLost = false; m.step(StoreBack{}); m.readAll(false) },
			"copy": func(*rapid.T) {
				c := map[api.DataCentre]int64{}
				for dc, revision := range m.written {
					c[dc] = revision
				}
				m.copies = append(m.copies, c)
			},
			"restore": func(t *rapid.T) {
				if len(m.copies) == 0 {
					return
				}
				m.written = map[api.DataCentre]int64{}
				for dc, revision := range rapid.SampledFrom(m.copies).Draw(t, "copy") {
					m.written[dc] = revision
				}
				m.storeLost = false
				m.step(StoreBack{})
				m.readAll(true)
			},
		}
		t.Repeat(actions)
	})
}
