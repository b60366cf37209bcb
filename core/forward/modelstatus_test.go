package forward

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/ratelimit"
	"pgregory.net/rapid"
)

// modelPermitTTL is how long a permit is valid.
const modelPermitTTL = 500 * time.Millisecond

// modelStatements is what a process of a replica has stated about itself.
type modelStatements struct {
	processStart int64
	leaving      bool
	backoffUntil time.Time
	limited      bool
	limitAt      time.Time
	// permits holds the times at which the unused permits were granted.
	permits []time.Time
}

// statements returns what the registered process of a replica has stated.
func (m *model) statements(name api.ReplicaName) *modelStatements {
	s, process := m.stated[name], m.replicas[name].ProcessStart
	if s == nil || s.processStart != process {
		next := &modelStatements{processStart: process}
		if s != nil {
			next.backoffUntil = s.backoffUntil
		}
		s = next
		m.stated[name] = s
	}
	return s
}

// checkStatements fails the test if an attempt disregards what its replica has stated.
func (m *model) checkStatements(s Send) {
	stated := m.statements(s.Replica)
	switch {
	case stated.leaving:
		m.t.Fatalf("%s is sent to %s, which is leaving", s.Message.CallerRequest, s.Replica)
	case m.h.now.Before(stated.backoffUntil):
		m.t.Fatalf("%s is sent to %s, which wants none for %v", s.Message.CallerRequest, s.Replica, stated.backoffUntil.Sub(m.h.now))
	case !stated.limited:
		return
	}
	for len(stated.permits) > 0 && m.h.now.Sub(stated.permits[0]) >= modelPermitTTL {
		stated.permits = stated.permits[1:]
	}
	if len(stated.permits) == 0 {
		m.t.Fatalf("%s is sent to %s, which names a rate limit, without a permit", s.Message.CallerRequest, s.Replica)
	}
	stated.permits = stated.permits[1:]
}

// recordStatus records what a replica states in the response to an attempt.
func (m *model) recordStatus(a *trackedAttempt, status ReplicaStatus) {
	stated := m.statements(a.Replica)
	stated.leaving = stated.leaving || status.Leaving
	stated.backoffUntil = later(stated.backoffUntil, m.h.now.Add(status.Backoff))
	switch {
	case status.HasRateLimit:
		stated.limited, stated.limitAt = true, m.h.now
	case stated.limited && a.sentAt.After(stated.limitAt):
		stated.limited, stated.permits = false, nil
	}
}

// grant responds to the oldest request for permits.
func (m *model) grant(t *rapid.T) {
	if len(m.permitRequests) == 0 {
		t.Skip("no permits are requested")
	}
	r := m.permitRequests[0]
	m.permitRequests = m.permitRequests[1:]
	if r.Wanted == 0 {
		return
	}
	g := ratelimit.Grant{Replica: r.Replica, Statement: r.Statement, Permits: rapid.IntRange(0, r.Wanted).Draw(t, "permits")}
	g.Statement.Age += time.Second // nothing newer than the node knows
	if g.Permits == 0 {
		g.RetryAfter = 200 * time.Millisecond
	}
	if stated := m.stated[r.Replica]; stated != nil && stated.limited {
		for range g.Permits {
			stated.permits = append(stated.permits, m.h.now)
		}
	}
	m.step(PermitsGranted{Grant: g})
}

func drawStatus(t *rapid.T) ReplicaStatus {
	return ReplicaStatus{
		HasRateLimit: rapid.IntRange(0, 1).Draw(t, "limited") == 0, RateLimit: 5,
		Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		Backoff: time.Duration(rapid.IntRange(0, 3).Draw(t, "backoff")/3*rapid.IntRange(1, 3000).Draw(t, "backoff ms")) * time.Millisecond,
	}
}

// TestRandomStatements guards against the faults that TestRandomEvents looks for while replicas
// state rate limits, pauses and their leave, and against attempts that disregard these
// statements. Another node grants the permits.
func TestRandomStatements(t *testing.T) {
	peers := []Peer{{Node: "n1", DataCentre: "dc-a", Address: "n1:1"}}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.step(Members{Nodes: 2, Peers: peers})
		m.run(t, map[string]func(*rapid.T){
			"ok":       func(t *rapid.T) { m.replyWith(m.drawOpen(t), ReplyOK, drawStatus(t)) },
			"grant":    m.grant,
			"grant 2":  m.grant,
			"members":  func(t *rapid.T) { m.step(Members{Nodes: rapid.IntRange(1, 6).Draw(t, "nodes"), Peers: peers}) },
			"oversize": func(t *rapid.T) { m.lose(m.drawOpen(t), LostOversized) },
			"reply": func(t *rapid.T) {
				kinds := []ReplyKind{ReplyError, ReplyRefused, ReplyMisdirected, ReplyInvalid}
				m.replyWith(m.drawOpen(t), rapid.SampledFrom(kinds).Draw(t, "kind"), drawStatus(t))
			},
		})
	})
}
