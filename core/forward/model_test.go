package forward

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed and number of checks; -rapid.seed and -rapid.checks on the
// command line override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// trackedRequest is what the caller and the replicas know about one request.
type trackedRequest struct {
	path       string
	deadline   time.Time
	services   map[api.ServiceName]bool // services that may run it
	sends      []*trackedAttempt
	answer     *Answer
	callerGone bool
}

// trackedAttempt is what a replica knows about one attempt.
type trackedAttempt struct {
	Send
	service api.ServiceName
	// processStart identifies the process of the replica, sentAt is when it was sent.
	processStart int64
	sentAt       time.Time
	// open is set until the attempt is answered, lost or cancelled.
	open bool
	// reached is set unless no part of the request arrived at the replica.
	reached bool
	// mayRun is set unless the replica certainly did not run the request.
	mayRun bool
	proof  string
}

// model drives an Engine and checks its actions against what callers and replicas
// observe.
type model struct {
	t        *rapid.T
	h        *harness
	requests map[string]*trackedRequest
	byID     map[api.RequestID]*trackedRequest
	attempts map[AttemptID]*trackedAttempt
	replicas map[api.ReplicaName]Registration
	used     map[api.ReplicaName]int
	opened   map[api.ReplicaName]int
	// pendingChecks lists the replicas whose liveness check has no result yet.
	pendingChecks []api.ReplicaName
	version       uint64
	shards        int
	// stated holds what replicas have stated about themselves.
	stated map[api.ReplicaName]*modelStatements
	// permitRequests holds the requests for permits that have no response yet.
	permitRequests []RequestPermits
}

const modelServices = 5

func newModel(t *rapid.T) *model {
	h := newHarness(nil, nil)
	h.accepted = rapid.IntRange(1, 8).Draw(t, "connections")
	m := &model{
		t: t, h: h,
		requests: make(map[string]*trackedRequest), byID: make(map[api.RequestID]*trackedRequest),
		attempts: make(map[AttemptID]*trackedAttempt), replicas: make(map[api.ReplicaName]Registration),
		used: make(map[api.ReplicaName]int), opened: make(map[api.ReplicaName]int),
		stated: make(map[api.ReplicaName]*modelStatements),
	}
	m.configure(modelServices)
	for s := range modelServices {
		for i := range 2 {
			m.register(registration(s, i))
		}
	}
	return m
}

func (m *model) configure(shards int) {
	m.version++
	m.shards = shards
	m.step(TableRead{Table: m.h.newTable(m.version, shards)})
}

func (m *model) register(r Registration) {
	m.replicas[r.Replica] = r
	m.statements(r.Replica) // a restart ends what the former process stated
	m.step(ReplicaRegistered{Registration: r})
}

func (m *model) step(ev Event) {
	for _, a := range slices.Clone(m.h.e.Step(m.h.now, ev)) {
		m.handleAction(a)
	}
	m.check()
}

func (m *model) handleAction(a Action) {
	switch a := a.(type) {
	case Send:
		m.sent(a)
	case Cancel:
		m.end(a.Attempt)
	case CheckReplica:
		m.pendingChecks = append(m.pendingChecks, a.Replica)
	case RequestPermits:
		m.permitRequests = append(m.permitRequests, a)
	case Answer:
		m.answered(a)
	}
}

// advance moves the clock forward and fires the timers that are due, in order.
func (m *model) advance(d time.Duration) {
	end := m.h.now.Add(d)
	for {
		wake := m.h.e.NextTick()
		if wake.IsZero() || wake.After(end) {
			break
		}
		m.h.now = later(m.h.now, wake)
		m.step(Timer{})
	}
	m.h.now = end
}

func (m *model) arrive(path string, callerTimeout time.Duration) {
	m.h.lastRequest++
	id := fmt.Sprint("id-", m.h.lastRequest)
	r := &trackedRequest{path: path, services: make(map[api.ServiceName]bool)}
	timeout := 2 * time.Second
	r.services[shard(0)] = true
	if path == "/all/" {
		timeout = 800 * time.Millisecond
		for i := range m.shards {
			r.services[shard(i)] = true
		}
	}
	r.deadline = m.h.now.Add(min(timeout, callerTimeout))
	m.requests[id], m.byID[m.h.lastRequest] = r, r
	m.step(Arrived{
		Request: m.h.lastRequest, CallerTimeout: callerTimeout,
		Message: &Message{Host: "h", Path: path, CallerRequest: id, Fingerprint: api.Fingerprint(m.h.lastRequest)},
	})
}

// sent checks that the engine may send an attempt.
func (m *model) sent(s Send) {
	r := m.requests[s.Message.CallerRequest]
	replica, known := m.replicas[s.Replica]
	a := &trackedAttempt{Send: s, service: replica.Service, open: true, reached: true, mayRun: true}
	switch {
	case r.answer != nil || r.callerGone:
		m.t.Fatalf("%s is sent after the request has ended", s.Message.CallerRequest)
	case !known || replica.Draining:
		m.t.Fatalf("%s is sent to %s, which is not registered or is draining", s.Message.CallerRequest, s.Replica)
	case !r.services[replica.Service]:
		m.t.Fatalf("%s %s is sent to service %s", s.Message.CallerRequest, r.path, replica.Service)
	case s.Remaining <= 0 || m.h.now.Add(s.Remaining).After(r.deadline):
		m.t.Fatalf("%s is sent with a remaining time of %v; its deadline is in %v", s.Message.CallerRequest, s.Remaining, r.deadline.Sub(m.h.now))
	}
	reached := map[api.ReplicaName]int{s.Replica: 1}
	total := 1
	for _, before := range r.sends {
		if before.service == a.service && before.reached {
			reached[before.Replica]++
			total++
		}
		if r.path == "/order/" && before.mayRun {
			m.t.Fatalf("%s must not run twice but is sent again", s.Message.CallerRequest)
		}
	}
	if len(reached) > 2 {
		m.t.Fatalf("%s is sent to %d replicas of %s", s.Message.CallerRequest, len(reached), a.service)
	}
	if r.path != "/all/" && total > len(reached) || total > 2+maxRepeats {
		m.t.Fatalf("%s is sent to %s for the %dth time", s.Message.CallerRequest, a.service, total)
	}
	m.checkStatements(s)
	a.processStart, a.sentAt = replica.ProcessStart, m.h.now
	r.sends = append(r.sends, a)
	m.attempts[s.Attempt] = a
	if m.used[s.Replica]++; m.used[s.Replica] > m.h.accepted {
		m.t.Fatalf("%d connections to %s, which accepts %d", m.used[s.Replica], s.Replica, m.h.accepted)
	}
}

// end marks an attempt as ended and its connection as free.
func (m *model) end(id AttemptID) *trackedAttempt {
	a := m.attempts[id]
	if a == nil || !a.open {
		m.t.Fatalf("attempt %d ends twice or was never sent", id)
	}
	a.open = false
	m.used[a.Replica]--
	return a
}

func (m *model) answered(answer Answer) {
	r := m.byID[answer.Request]
	switch {
	case r.answer != nil || r.callerGone:
		m.t.Fatalf("request %d is answered twice or after its caller left", answer.Request)
	case m.h.now.After(r.deadline):
		m.t.Fatalf("request %d is answered %v late", answer.Request, m.h.now.Sub(r.deadline))
	}
	r.answer = &answer
	switch {
	case answer.Outcome == api.NotRun:
		m.notRun(r)
	case answer.Merged != nil:
		m.merged(r, answer.Merged)
	}
}

func (m *model) notRun(r *trackedRequest) {
	for _, a := range r.sends {
		if a.mayRun {
			m.t.Fatalf("%s is reported as not run but may have run on %s", a.Message.CallerRequest, a.Replica)
		}
	}
	if r.answer.RetryAfter <= 0 && r.answer.Reason != api.ReasonDeadline {
		m.t.Fatalf("refused with reason %s but without a RetryAfter", r.answer.Reason)
	}
}

func (m *model) merged(r *trackedRequest, merged *Merged) {
	if got := len(merged.Proofs) + merged.Missing; got != len(r.services) {
		m.t.Fatalf("%d parts for %d shards", got, len(r.services))
	}
	if 4*len(merged.Proofs) < 3*len(r.services) {
		m.t.Fatalf("%d of %d parts are reported as a success", len(merged.Proofs), len(r.services))
	}
	left := maps.Clone(r.services)
	for _, proof := range merged.Proofs {
		i := slices.IndexFunc(r.sends, func(a *trackedAttempt) bool { return a.proof == proof })
		if i < 0 || !left[r.sends[i].service] {
			m.t.Fatalf("proof %q belongs to another request, or its shard has two proofs", proof)
		}
		delete(left, r.sends[i].service)
	}
}

// check fails the test if a part waits although a replica has capacity for it.
func (m *model) check() {
	e := m.h.e
	for service, queue := range e.waiting {
		for _, w := range queue {
			p := &w.request.parts[w.part]
			if e.requests[w.request.id] != w.request || p.state != partWaiting {
				continue
			}
			for _, name := range e.registry.byService[service] {
				entry := e.registry.entries[name]
				allowed := !slices.Contains(p.tried, name) && (!w.extra || p.mayTryNewReplica(w.request))
				if slices.Contains(p.failed, name) {
					allowed = w.extra && p.mayRetryFailedReplica(w.request)
				}
				usable := !entry.draining() && allowed && !e.stalledReplicas[name] &&
					!m.h.now.Before(entry.stated.backoffUntil) && e.limits.limiter.Permitted(m.h.now, name)
				if usable && e.connections(name).hasCapacity(m.h.now, e.quota(service, entry.Slots)) {
					m.t.Fatalf("%s waits for %s although %s has capacity", w.request.message.CallerRequest, service, name)
				}
			}
		}
	}
}

// drawOpen returns an attempt in flight, and skips the action if there is none.
func (m *model) drawOpen(t *rapid.T) *trackedAttempt {
	var open []*trackedAttempt
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		if a := m.attempts[id]; a.open {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		t.Skip("no attempt is in flight")
	}
	return rapid.SampledFrom(open).Draw(t, "attempt")
}

func (m *model) reply(a *trackedAttempt, kind ReplyKind) { m.replyWith(a, kind, ReplicaStatus{}) }

// replyWith answers an attempt with a status of the replica.
func (m *model) replyWith(a *trackedAttempt, kind ReplyKind, status ReplicaStatus) {
	if m.opened[a.Replica] < m.used[a.Replica] {
		m.opened[a.Replica]++
		m.step(ConnOpened{Replica: a.Replica})
	}
	m.end(a.Attempt)
	reply := Reply{Kind: kind, Body: []byte("aa")}
	if m.replicas[a.Replica].ProcessStart == a.processStart && kind != ReplyMisdirected {
		m.recordStatus(a, status)
	}
	switch kind {
	case ReplyOK:
		a.proof = fmt.Sprint("proof-", a.Attempt)
		reply.Proof = a.proof
	case ReplyRefused, ReplyMisdirected:
		a.mayRun = false
	}
	if kind == ReplyMisdirected {
		delete(m.replicas, a.Replica)
	}
	m.step(Replied{Attempt: a.Attempt, Reply: reply, Status: status})
}

func (m *model) lose(a *trackedAttempt, loss Loss) {
	m.end(a.Attempt)
	if loss == LostRefused || loss == LostUnsent || loss == LostLimited {
		a.reached, a.mayRun = false, false
	}
	m.step(Lost{Attempt: a.Attempt, Loss: loss})
}

func (m *model) drawReplica(t *rapid.T) Registration {
	return registration(rapid.IntRange(0, modelServices-1).Draw(t, "service"), rapid.IntRange(0, 2).Draw(t, "replica"))
}

// Guards against sequences of requests, answers, losses and changes after which a
// request runs twice, is reported as not run although it may have run, is answered
// twice, late or not at all, is sent to a replica that must not get it, or waits
// although a replica has capacity.
func TestRandomEvents(t *testing.T) { rapid.Check(t, randomEvents) }

// Guards against sending a part again after the answer to another part has ended the
// request. Replays a seed of TestRandomEvents that showed this fault.
func TestNothingIsSentAfterRequestEnded(t *testing.T) {
	restore := setFlags(t, map[string]string{"rapid.seed": "137257677", "rapid.checks": "1"})
	defer restore()
	rapid.Check(t, randomEvents)
}

// setFlags sets flags of rapid and returns a function that restores their previous
// values.
func setFlags(t *testing.T, values map[string]string) (restore func()) {
	before := map[string]string{}
	for name, value := range values {
		before[name] = flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	return func() {
		for name, value := range before {
			_ = flag.Set(name, value) // it was valid before
		}
	}
}

func randomEvents(t *rapid.T) { newModel(t).run(t, nil) }

// run performs random actions, among them the additional ones, which replace those of the same
// name, and checks that every request ends.
func (m *model) run(t *rapid.T, additional map[string]func(*rapid.T)) {
	duration := func(t *rapid.T, most int) time.Duration {
		return time.Duration(rapid.IntRange(1, most).Draw(t, "ms")) * time.Millisecond
	}
	arrive := func(t *rapid.T) {
		m.arrive(rapid.SampledFrom([]string{"/all/", "/one/", "/order/"}).Draw(t, "path"), duration(t, 3000))
	}
	ok := func(t *rapid.T) { m.reply(m.drawOpen(t), ReplyOK) }
	actions := map[string]func(*rapid.T){
		"arrive": arrive, "arrive too": arrive,
		"ok": ok, "ok too": ok,
		"reply": func(t *rapid.T) {
			kinds := []ReplyKind{ReplyError, ReplyRefused, ReplyMisdirected, ReplyInvalid}
			m.reply(m.drawOpen(t), rapid.SampledFrom(kinds).Draw(t, "kind"))
		},
		"lose": func(t *rapid.T) {
			losses := []Loss{LostRefused, LostUnsent, LostBroken, LostLimited, LostStale}
			m.lose(m.drawOpen(t), rapid.SampledFrom(losses).Draw(t, "loss"))
		},
		"check": func(t *rapid.T) {
			if len(m.pendingChecks) == 0 {
				t.Skip("no check is pending")
			}
			name := m.pendingChecks[0]
			m.pendingChecks = m.pendingChecks[1:]
			results := []CheckResult{CheckAccepted, CheckRefused, CheckUnanswered}
			m.step(ReplicaChecked{Replica: name, Result: rapid.SampledFrom(results).Draw(t, "result")})
		},
		"advance": func(t *rapid.T) { m.advance(duration(t, 400)) },
		"leave": func(t *rapid.T) {
			id := api.RequestID(rapid.Uint64Range(1, uint64(m.h.lastRequest)+1).Draw(t, "request"))
			if r := m.byID[id]; r != nil && r.answer == nil {
				r.callerGone = true
				m.step(CallerGone{Request: id})
			}
		},
		"configure": func(t *rapid.T) { m.configure(rapid.IntRange(2, modelServices).Draw(t, "shards")) },
		"register": func(t *rapid.T) {
			r := m.drawReplica(t)
			r.Draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
			r.ProcessStart = int64(rapid.IntRange(1, 2).Draw(t, "born"))
			m.register(r)
		},
		"remove": func(t *rapid.T) {
			r := m.drawReplica(t)
			delete(m.replicas, r.Replica)
			m.step(ReplicaUnregistered{Replica: r.Replica})
		},
		"members": func(t *rapid.T) { m.step(Members{Nodes: rapid.IntRange(1, 6).Draw(t, "nodes")}) },
		"notice": func(t *rapid.T) {
			m.step(NoticesRead{Notices: []gossip.Notice{{
				Kind:        rapid.SampledFrom([]gossip.NoticeKind{gossip.NoticeSuspect, gossip.NoticeConvicted, gossip.NoticeCleared}).Draw(t, "kind"),
				Fingerprint: api.Fingerprint(m.h.lastRequest + 1), Crashes: 1, Version: m.version, TimeToLive: time.Minute,
			}}})
		},
	}
	maps.Copy(actions, additional)
	t.Repeat(actions)
	m.advance(defaultTimeout + time.Minute)
	for id, r := range m.requests {
		if r.answer == nil && !r.callerGone {
			t.Fatalf("%s has no answer", id)
		}
	}
	if e := m.h.e; len(e.requests)+len(e.attempts) != 0 {
		t.Fatalf("%d requests and %d attempts are left", len(e.requests), len(e.attempts))
	}
}
