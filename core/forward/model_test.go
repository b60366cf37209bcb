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

// Fixed seed and number of checks; -rapid.seed and -rapid.checks on the command
// line replace them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// asked is what a caller and the replicas know of one request.
type asked struct {
	path     string
	deadline time.Time
	services map[api.ServiceName]bool // that may run it
	sends    []*attempted
	answer   *Answer
	gone     bool
}

// attempted is a sending as the replica side knows it.
type attempted struct {
	Send
	service api.ServiceName
	// open is set until the attempt is answered, lost or cancelled.
	open bool
	// reached is set unless nothing of the request arrived at the replica.
	reached bool
	// mayRun is set unless the replica certainly did not run the request.
	mayRun bool
	proof  string
}

// model drives an engine and checks what it does against what callers and
// replicas see.
type model struct {
	t        *rapid.T
	h        *harness
	requests map[string]*asked
	byID     map[api.RequestID]*asked
	attempts map[AttemptID]*attempted
	replicas map[api.ReplicaName]Registration
	used     map[api.ReplicaName]int
	opened   map[api.ReplicaName]int
	// checked are the replicas whose check has no result yet.
	checked []api.ReplicaName
	version uint64
	shards  int
}

const modelServices = 5

func newModel(t *rapid.T) *model {
	h := newHarness(nil, nil)
	h.accepted = rapid.IntRange(1, 8).Draw(t, "connections")
	m := &model{
		t: t, h: h,
		requests: make(map[string]*asked), byID: make(map[api.RequestID]*asked),
		attempts: make(map[AttemptID]*attempted), replicas: make(map[api.ReplicaName]Registration),
		used: make(map[api.ReplicaName]int), opened: make(map[api.ReplicaName]int),
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
	m.step(ReplicaSeen{Registration: r})
}

func (m *model) step(ev Event) {
	for _, a := range slices.Clone(m.h.e.Step(m.h.now, ev)) {
		m.act(a)
	}
	m.check()
}

func (m *model) act(a Action) {
	switch a := a.(type) {
	case Send:
		m.sent(a)
	case Cancel:
		m.end(a.Attempt)
	case CheckReplica:
		m.checked = append(m.checked, a.Replica)
	case Answer:
		m.answered(a)
	}
}

// advance moves the clock, firing timers in order.
func (m *model) advance(d time.Duration) {
	end := m.h.now.Add(d)
	for {
		wake := m.h.e.Wake()
		if wake.IsZero() || wake.After(end) {
			break
		}
		m.h.now = later(m.h.now, wake)
		m.step(Timer{})
	}
	m.h.now = end
}

func (m *model) arrive(path string, patience time.Duration) {
	m.h.next++
	id := fmt.Sprint("id-", m.h.next)
	r := &asked{path: path, services: make(map[api.ServiceName]bool)}
	timeout := 2 * time.Second
	r.services[shard(0)] = true
	if path == "/all/" {
		timeout = 800 * time.Millisecond
		for i := range m.shards {
			r.services[shard(i)] = true
		}
	}
	r.deadline = m.h.now.Add(min(timeout, patience))
	m.requests[id], m.byID[m.h.next] = r, r
	m.step(Arrived{
		Request: m.h.next, Patience: patience,
		Message: &Message{Host: "h", Path: path, CallerRequest: id, Fingerprint: api.Fingerprint(m.h.next)},
	})
}

// sent checks that an attempt is allowed.
func (m *model) sent(s Send) {
	r := m.requests[s.Message.CallerRequest]
	replica, known := m.replicas[s.Replica]
	a := &attempted{Send: s, service: replica.Service, open: true, reached: true, mayRun: true}
	switch {
	case r.answer != nil || r.gone:
		m.t.Fatalf("%s is sent after its end", s.Message.CallerRequest)
	case !known || replica.Draining:
		m.t.Fatalf("%s is sent to %s, which is gone or draining", s.Message.CallerRequest, s.Replica)
	case !r.services[replica.Service]:
		m.t.Fatalf("%s %s is sent to service %s", s.Message.CallerRequest, r.path, replica.Service)
	case s.Left <= 0 || m.h.now.Add(s.Left).After(r.deadline):
		m.t.Fatalf("%s is sent with %v left, it has until %v", s.Message.CallerRequest, s.Left, r.deadline.Sub(m.h.now))
	}
	reached := map[api.ReplicaName]int{s.Replica: 1}
	total := 1
	for _, before := range r.sends {
		if before.service == a.service && before.reached {
			reached[before.Replica]++
			total++
		}
		if r.path == "/order/" && before.mayRun {
			m.t.Fatalf("%s must not run twice and is sent again", s.Message.CallerRequest)
		}
	}
	if len(reached) > 2 {
		m.t.Fatalf("%s is sent to %d replicas of %s", s.Message.CallerRequest, len(reached), a.service)
	}
	if r.path != "/all/" && total > len(reached) || total > 2+mostRepeats {
		m.t.Fatalf("%s is sent to %s for the %dth time", s.Message.CallerRequest, a.service, total)
	}
	r.sends = append(r.sends, a)
	m.attempts[s.Attempt] = a
	if m.used[s.Replica]++; m.used[s.Replica] > m.h.accepted {
		m.t.Fatalf("%d connections to %s, which accepts %d", m.used[s.Replica], s.Replica, m.h.accepted)
	}
}

// end frees the connection of an attempt.
func (m *model) end(id AttemptID) *attempted {
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
	case r.answer != nil || r.gone:
		m.t.Fatalf("request %d is answered again or after its caller left", answer.Request)
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

func (m *model) notRun(r *asked) {
	for _, a := range r.sends {
		if a.mayRun {
			m.t.Fatalf("%s is called not run and was sent to %s", a.Message.CallerRequest, a.Replica)
		}
	}
	if r.answer.RetryAfter <= 0 && r.answer.Reason != api.ReasonDeadline {
		m.t.Fatalf("refused for %s without a time to come back", r.answer.Reason)
	}
}

func (m *model) merged(r *asked, merged *Merged) {
	if got := len(merged.Proofs) + merged.Missing; got != len(r.services) {
		m.t.Fatalf("%d parts for %d shards", got, len(r.services))
	}
	if 4*len(merged.Proofs) < 3*len(r.services) {
		m.t.Fatalf("%d of %d parts are called a success", len(merged.Proofs), len(r.services))
	}
	left := maps.Clone(r.services)
	for _, proof := range merged.Proofs {
		i := slices.IndexFunc(r.sends, func(a *attempted) bool { return a.proof == proof })
		if i < 0 || !left[r.sends[i].service] {
			m.t.Fatalf("proof %q is not of this request, or the second of its shard", proof)
		}
		delete(left, r.sends[i].service)
	}
}

// check looks for parts that wait although a replica has room.
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
				allowed := !slices.Contains(p.tried, name) && (!w.extra || p.mayMove(w.request))
				if slices.Contains(p.failed, name) {
					allowed = w.extra && p.mayRepeat(w.request)
				}
				usable := !entry.Draining && allowed && !e.silent[name]
				if usable && e.connections(name).hasRoom(m.h.now, e.quota(service, entry.Slots)) {
					m.t.Fatalf("%s waits for %s although %s has room", w.request.message.CallerRequest, service, name)
				}
			}
		}
	}
}

// drawOpen returns an attempt that is on its way, or nil.
func (m *model) drawOpen(t *rapid.T) *attempted {
	var open []*attempted
	for _, id := range slices.Sorted(maps.Keys(m.attempts)) {
		if a := m.attempts[id]; a.open {
			open = append(open, a)
		}
	}
	if len(open) == 0 {
		t.Skip("nothing is on its way")
	}
	return rapid.SampledFrom(open).Draw(t, "attempt")
}

func (m *model) reply(a *attempted, kind ReplyKind) {
	if m.opened[a.Replica] < m.used[a.Replica] {
		m.opened[a.Replica]++
		m.step(ConnOpened{Replica: a.Replica})
	}
	m.end(a.Attempt)
	reply := Reply{Kind: kind, Body: []byte("aa")}
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
	m.step(Replied{Attempt: a.Attempt, Reply: reply})
}

func (m *model) lose(a *attempted, loss Loss) {
	m.end(a.Attempt)
	if loss == LostRefused || loss == LostUnsent || loss == LostLimited {
		a.reached, a.mayRun = false, false
	}
	m.step(Lost{Attempt: a.Attempt, Loss: loss})
}

func (m *model) drawReplica(t *rapid.T) Registration {
	return registration(rapid.IntRange(0, modelServices-1).Draw(t, "service"), rapid.IntRange(0, 2).Draw(t, "replica"))
}

// Guards against a sequence of requests, answers, losses and changes after
// which a request runs twice, is called "not run" although it may have run, is
// answered twice or late or not at all, goes where it must not, or waits for
// nothing.
func TestRandomEvents(t *testing.T) { rapid.Check(t, randomEvents) }

// Guards against a part that is sent again although the answer to another one has just
// ended the request: the course of one seed of TestRandomEvents.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	restore := setFlags(t, map[string]string{"rapid.seed": "137257677", "rapid.checks": "1"})
	defer restore()
	rapid.Check(t, randomEvents)
}

// setFlags sets flags of rapid and returns what sets them back.
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

func randomEvents(t *rapid.T) {
	m := newModel(t)
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
			if len(m.checked) == 0 {
				t.Skip("no check is on its way")
			}
			name := m.checked[0]
			m.checked = m.checked[1:]
			results := []CheckResult{CheckAccepted, CheckRefused, CheckUnanswered}
			m.step(ReplicaChecked{Replica: name, Result: rapid.SampledFrom(results).Draw(t, "result")})
		},
		"advance": func(t *rapid.T) { m.advance(duration(t, 400)) },
		"leave": func(t *rapid.T) {
			id := api.RequestID(rapid.Uint64Range(1, uint64(m.h.next)+1).Draw(t, "request"))
			if r := m.byID[id]; r != nil && r.answer == nil {
				r.gone = true
				m.step(CallerGone{Request: id})
			}
		},
		"configure": func(t *rapid.T) { m.configure(rapid.IntRange(2, modelServices).Draw(t, "shards")) },
		"register": func(t *rapid.T) {
			r := m.drawReplica(t)
			r.Draining = rapid.IntRange(0, 3).Draw(t, "draining") == 0
			r.Born = int64(rapid.IntRange(1, 2).Draw(t, "born"))
			m.register(r)
		},
		"remove": func(t *rapid.T) {
			r := m.drawReplica(t)
			delete(m.replicas, r.Replica)
			m.step(ReplicaGone{Replica: r.Replica})
		},
		"members": func(t *rapid.T) { m.step(Members{Nodes: rapid.IntRange(1, 6).Draw(t, "nodes")}) },
		"notice": func(t *rapid.T) {
			m.step(NoticesRead{Notices: []gossip.Notice{{
				Kind:        rapid.SampledFrom([]gossip.NoticeKind{gossip.NoticeSuspect, gossip.NoticeConvicted, gossip.NoticeCleared}).Draw(t, "kind"),
				Fingerprint: api.Fingerprint(m.h.next + 1), Crashes: 1, Version: m.version, TimeToLive: time.Minute,
			}}})
		},
	}
	t.Repeat(actions)
	m.advance(longestTimeout + time.Minute)
	for id, r := range m.requests {
		if r.answer == nil && !r.gone {
			t.Fatalf("%s has no answer", id)
		}
	}
	if e := m.h.e; len(e.requests)+len(e.attempts) != 0 {
		t.Fatalf("%d requests and %d attempts are left", len(e.requests), len(e.attempts))
	}
}
