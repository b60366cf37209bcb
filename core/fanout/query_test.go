package fanout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/snapshot"
)

const (
	hedgeDelay = 10 * time.Millisecond
	timeLimit  = 100 * time.Millisecond
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// sentRequest is one request that the search sent through Env.Send.
type sentRequest struct {
	id      api.AttemptID
	part    int
	replica api.ReplicaName
}

// fakeEnv records each request and assigns it to the first replica that is not
// excluded. It reports ReasonOverloaded if that replica is busy.
type fakeEnv struct {
	sent      []sentRequest
	cancelled []api.AttemptID
	tokens    int
	busy      map[api.ReplicaName]bool
	next      *snapshot.Choice
	counts    *count.Set
}

func (e *fakeEnv) Send(_ time.Time, q *Query, part int, exclude []api.ReplicaName, only api.ReplicaName) (SentAttempt, api.Reason) {
	for _, r := range q.Shards[part].Replicas {
		if slices.Contains(exclude, r) || (only != "" && r != only) {
			continue
		}
		if e.busy[r] {
			return SentAttempt{}, api.ReasonOverloaded
		}
		id := api.AttemptID{Life: 7, Seq: uint64(len(e.sent) + 1)}
		e.sent = append(e.sent, sentRequest{id: id, part: part, replica: r})
		return SentAttempt{Attempt: id, Replica: r}, api.ReasonNone
	}
	return SentAttempt{}, api.ReasonNoReplica
}

func (e *fakeEnv) Cancel(id api.AttemptID) { e.cancelled = append(e.cancelled, id) }

func (e *fakeEnv) SpendRetryToken(time.Time, api.ServiceName) bool {
	e.tokens--
	return e.tokens >= 0
}

func (e *fakeEnv) RefundRetryToken(api.ServiceName) { e.tokens++ }

func (e *fakeEnv) ReselectSnapshot(time.Time, *Query) (snapshot.Choice, []Canary, bool) {
	if e.next == nil {
		return snapshot.Choice{}, nil, false
	}
	return *e.next, nil, true
}

func (e *fakeEnv) MayRetryCanary(time.Time, *Query) bool { return true }

func (e *fakeEnv) Count(kind count.Kind, detail api.Reason) { e.counts.Inc(kind, detail) }

func partitionMap(epoch uint64, shards int) *config.PartitionMap {
	m := &config.PartitionMap{Epoch: epoch}
	width := uint32(1<<32/uint64(shards) - 1)
	for i := range shards {
		m.Shards = append(m.Shards, config.Shard{
			Name:     api.ShardName(fmt.Sprintf("e%ds%d", epoch, i)),
			First:    uint32(i) * (width + 1),
			Last:     uint32(i)*(width+1) + width,
			Replicas: []api.ReplicaName{"a", "b"},
		})
	}
	return m
}

func choice(epoch, version uint64, shards int) snapshot.Choice {
	return snapshot.Choice{
		Snapshot: api.Snapshot{Epoch: epoch, Version: version},
		Map:      partitionMap(epoch, shards),
		Share:    api.Whole,
	}
}

func startQuery(t *testing.T, shards int, change func(*Plan)) (*Query, *fakeEnv) {
	t.Helper()
	env := &fakeEnv{tokens: 100, busy: map[api.ReplicaName]bool{}, counts: count.NewSet()}
	c := choice(1, 5, shards)
	plan := Plan{
		Query: api.Query{Service: "alarm"}, Choice: c, Shards: c.Map.Shards,
		Wanted: api.Whole, Limit: 100, Start: start, Deadline: start.Add(timeLimit),
		HedgeDelay: hedgeDelay,
	}
	if change != nil {
		change(&plan)
	}
	q := New(plan, env)
	q.Begin(start)
	return q, env
}

// reply builds a valid reply to a request.
func reply(q *Query, s sentRequest, rows ...string) *api.SearchReply {
	r := &api.SearchReply{
		Attempt: s.id, Shard: q.Shards[s.part].Name, Snapshot: q.Snapshot(),
		Outcome: api.TargetOK, RowCount: len(rows),
	}
	for _, k := range rows {
		r.Rows = append(r.Rows, api.Row{Key: k})
	}
	return r
}

func answerOf(t *testing.T, q *Query) api.SearchAnswer {
	t.Helper()
	answer, done := q.Done()
	if !done {
		t.Fatal("search has not ended")
	}
	return answer
}

func keys(rows []api.Row) string {
	out := ""
	for _, r := range rows {
		out += r.Key
	}
	return out
}

// Guards against rows that are lost or out of order when the rows of several
// shards are merged.
func TestMergesRowsOfAllShardsInOrder(t *testing.T) {
	q, env := startQuery(t, 3, func(p *Plan) { p.Limit = 4 })
	q.Replied(start, 0, env.sent[0].id, reply(q, env.sent[0], "b", "e"))
	q.Replied(start, 1, env.sent[1].id, reply(q, env.sent[1], "a", "f"))
	q.Replied(start, 2, env.sent[2].id, reply(q, env.sent[2], "d", "c")) // out of order
	answer := answerOf(t, q)
	if got := keys(answer.Rows); got != "abcd" || !answer.LimitReached {
		t.Fatalf("rows %q, limit reached %v", got, answer.LimitReached)
	}
	if answer.Coverage.Share != api.Whole {
		t.Fatalf("share %d", answer.Coverage.Share)
	}
}

// Guards against an answer that counts a shard as covered although its reply was
// truncated, read another snapshot, or came from another shard (P1, P2, P3).
func TestUnverifiedAnswersDoNotCount(t *testing.T) {
	cases := map[string]func(*api.SearchReply){
		"truncated":      func(r *api.SearchReply) { r.RowCount = 9 },
		"other version":  func(r *api.SearchReply) { r.Snapshot.Version++ },
		"other epoch":    func(r *api.SearchReply) { r.Snapshot.Epoch++ },
		"other shard":    func(r *api.SearchReply) { r.Shard = "e1s1" },
		"target's error": func(r *api.SearchReply) { r.Outcome = api.TargetError },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			q, env := startQuery(t, 2, nil)
			env.tokens = 0
			bad := reply(q, env.sent[0], "x")
			corrupt(bad)
			q.Replied(start, 0, env.sent[0].id, bad)
			q.Replied(start, 1, env.sent[1].id, reply(q, env.sent[1], "y"))
			answer := answerOf(t, q)
			if keys(answer.Rows) != "y" || len(answer.Coverage.Missing) != 1 {
				t.Fatalf("answer %+v", answer)
			}
		})
	}
}

// restartedQuery returns a search of two shards that restarted at another
// snapshot: its first part was answered, and the replicas of the second had
// dropped the version.
func restartedQuery(t *testing.T) (*Query, *fakeEnv) {
	t.Helper()
	q, env := startQuery(t, 2, nil)
	next := choice(2, 6, 4)
	q.Replied(start, 0, env.sent[0].id, reply(q, env.sent[0], "old"))
	env.next = &next
	for len(env.sent) < 3 { // both replicas of shard 1 have dropped the version
		s := env.sent[len(env.sent)-1]
		gone := reply(q, s)
		gone.Outcome = api.TargetVersionGone
		q.Replied(start, 1, s.id, gone)
	}
	s := env.sent[2]
	gone := reply(q, s)
	gone.Outcome = api.TargetVersionGone
	q.Replied(start, 1, s.id, gone)
	for n := 0; q.Snapshot().Epoch == 1 && n < 10; n++ {
		q.Tick(q.NextTick())
		s = env.sent[len(env.sent)-1]
		gone = reply(q, s)
		gone.Outcome = api.TargetVersionGone
		q.Replied(q.nextScan, 1, s.id, gone)
	}
	if q.Snapshot() != next.Snapshot {
		t.Fatalf("snapshot %+v", q.Snapshot())
	}
	return q, env
}

// Guards against an answer that mixes rows of two snapshots after a restart (P1).
func TestRestartDiscardsAllReplies(t *testing.T) {
	q, env := restartedQuery(t)
	for _, s := range env.sent[len(env.sent)-4:] {
		q.Replied(start, s.part, s.id, reply(q, s, "new"))
	}
	answer := answerOf(t, q)
	if got := keys(answer.Rows); got != "newnewnewnew" {
		t.Fatalf("rows %q", got)
	}
}

// Guards against an index out of range in ResumePart when resuming a part
// restarts the search at a snapshot with fewer shards.
func TestResumedPartMayRestartTheSearch(t *testing.T) {
	env := &fakeEnv{busy: map[api.ReplicaName]bool{"c": true}, counts: count.NewSet()}
	first, next := choice(1, 5, 2), choice(2, 6, 1)
	first.Map.Shards[1].Replicas = []api.ReplicaName{"c"} // part 1 waits for capacity
	q := New(Plan{
		Query: api.Query{Service: "alarm"}, Choice: first, Shards: first.Map.Shards,
		Wanted: api.Whole, Limit: 100, Start: start, Deadline: start.Add(timeLimit), HedgeDelay: hedgeDelay,
	}, env)
	q.Begin(start)
	for n := 0; n < 10 && q.versionMisses == 0; n++ {
		s := env.sent[len(env.sent)-1]
		gone := reply(q, s)
		gone.Outcome = api.TargetVersionGone
		q.Replied(start, 0, s.id, gone)
		q.Tick(q.NextTick())
	}
	if q.Snapshot() != first.Snapshot || q.parts[1].state != partAwaitingCapacity {
		t.Fatalf("snapshot %+v, part %+v", q.Snapshot(), q.parts[1])
	}
	env.next = &next
	if !q.ResumePart(start, 1) || q.Snapshot() != next.Snapshot {
		t.Fatalf("snapshot %+v after the part was resumed, want the one of the restart", q.Snapshot())
	}
}

// Guards against the outcome NotRun for a search that restarted after a target
// had answered one of its parts (P4).
func TestRestartedSearchIsNotCalledNotRun(t *testing.T) {
	q, env := restartedQuery(t)
	env.busy["a"], env.busy["b"] = true, true
	for _, s := range slices.Clone(env.sent[len(env.sent)-4:]) {
		q.Lost(start, s.part, s.id, false)
	}
	for n := 0; n < 1000; n++ {
		if _, done := q.Done(); done {
			break
		}
		q.Tick(q.NextTick())
	}
	if a := answerOf(t, q); a.Outcome == api.NotRun {
		t.Fatalf("answer %+v", a)
	}
}

// Guards against a late or repeated reply to an attempt that has ended (P3).
func TestLateAndRepeatedAnswersAreIgnored(t *testing.T) {
	q, env := startQuery(t, 1, nil)
	q.Tick(start.Add(hedgeDelay)) // hedge
	if len(env.sent) != 2 || env.sent[1].replica != "b" {
		t.Fatalf("sent %+v", env.sent)
	}
	q.Replied(start, 0, env.sent[1].id, reply(q, env.sent[1], "x"))
	q.Replied(start, 0, env.sent[0].id, reply(q, env.sent[0], "late"))
	q.Replied(start, 0, env.sent[1].id, reply(q, env.sent[1], "again"))
	if got := keys(answerOf(t, q).Rows); got != "x" {
		t.Fatalf("rows %q", got)
	}
	if !slices.Contains(env.cancelled, env.sent[0].id) {
		t.Fatal("the attempt that lost was not cancelled")
	}
}

// Guards against hedges and retries that exceed the budget (P11).
func TestNoHedgeAndNoRetryWithoutBudget(t *testing.T) {
	q, env := startQuery(t, 2, nil)
	env.tokens = 0
	q.Tick(start.Add(hedgeDelay))
	q.Lost(start.Add(hedgeDelay), 0, env.sent[0].id, true)
	if len(env.sent) != 2 {
		t.Fatalf("sent %d requests", len(env.sent))
	}
	q.Tick(q.Deadline)
	answer := answerOf(t, q)
	if answer.Outcome != api.Unknown {
		t.Fatalf("outcome %v", answer.Outcome)
	}
}

// Guards against shards that are left out of the answer because a target drains
// while more parts are in flight than the budget has tokens (P7).
func TestDrainCostsNoBudget(t *testing.T) {
	q, env := startQuery(t, 4, nil)
	env.tokens = 0
	for i := range 4 {
		refusal := reply(q, env.sent[i])
		refusal.Outcome = api.TargetDraining
		q.Replied(start, i, env.sent[i].id, refusal)
	}
	if len(env.sent) != 8 {
		t.Fatalf("sent %d requests, want 8", len(env.sent))
	}
	if env.counts.Get(count.Retried, api.ReasonDraining) != 4 {
		t.Error("the retries are not counted")
	}
}

// Guards against tokens spent on hedges that no replica has the capacity to take
// (P11).
func TestHedgeThatIsNotSentCostsNoToken(t *testing.T) {
	q, env := startQuery(t, 2, nil)
	env.tokens = 1
	env.busy["b"] = true
	q.Tick(start.Add(hedgeDelay))
	if len(env.sent) != 2 || env.tokens != 1 {
		t.Fatalf("%d requests sent, %d tokens left", len(env.sent), env.tokens)
	}
	clear(env.busy)
	q.Tick(q.NextTick())
	if len(env.sent) != 3 || env.tokens > 0 {
		t.Fatalf("%d requests sent, %d tokens left with capacity at the other replica", len(env.sent), env.tokens)
	}
}

// Guards against a search that waits for slow parts although its service enables
// early return, and against an early answer that does not list the missing
// shards.
func TestEarlyReturnNamesWhatIsMissing(t *testing.T) {
	q, env := startQuery(t, 4, func(p *Plan) { p.EarlyReturn = true; p.Wanted = 700_000 })
	for i := range 3 {
		q.Replied(start, i, env.sent[i].id, reply(q, env.sent[i], "r"))
	}
	if _, done := q.Done(); done {
		t.Fatal("ended before the hedge delay")
	}
	q.Tick(start.Add(hedgeDelay))
	if _, done := q.Done(); done || len(env.sent) != 5 {
		t.Fatalf("ended %v after %d requests, before a hedge could be answered", done, len(env.sent))
	}
	sent := len(env.sent)
	q.Tick(start.Add(earlyReturnDelays * hedgeDelay))
	answer := answerOf(t, q)
	if len(env.sent) != sent {
		t.Error("a hedge was sent for a search that ended at the same time")
	}
	if len(answer.Coverage.Missing) != 1 || answer.Coverage.Missing[0].Reason != api.ReasonEarlyReturn {
		t.Fatalf("missing %+v", answer.Coverage.Missing)
	}
}

// Guards against the outcome NotRun for a search that a target may have run (P4).
func TestNotRunOnlyIfNothingWasSent(t *testing.T) {
	q, env := startQuery(t, 1, nil)
	env.tokens = 0
	shed := reply(q, env.sent[0])
	shed.Outcome = api.TargetShed
	q.Replied(start, 0, env.sent[0].id, shed)
	if a := answerOf(t, q); a.Outcome != api.NotRun || a.Reason != api.ReasonShed || a.RetryAfter == 0 {
		t.Fatalf("answer after shed: %+v", a)
	}
	q, _ = startQuery(t, 1, nil)
	q.Tick(q.Deadline)
	if a := answerOf(t, q); a.Outcome != api.Unknown {
		t.Fatalf("answer after the deadline: %+v", a)
	}
}

// Guards against a search that crashes targets and reaches more than two of them
// (P9).
func TestCanariesReachTwoTargetsAtMost(t *testing.T) {
	canaries := []Canary{{Part: 0, Replica: "a"}, {Part: 1, Replica: "b"}, {Part: 2, Replica: "a"}}
	for mode, want := range map[CanaryMode]int{CanaryFirst: 2, Probation: 1} {
		q, env := startQuery(t, 8, func(p *Plan) { p.Mode = mode; p.Canaries = canaries })
		if len(env.sent) != 1 {
			t.Fatalf("sent %d before a canary was answered", len(env.sent))
		}
		for n := 0; n < len(env.sent); n++ {
			q.Lost(start, env.sent[n].part, env.sent[n].id, true)
		}
		if len(env.sent) != want {
			t.Fatalf("mode %v: reached %d targets, want %d", mode, len(env.sent), want)
		}
		if a := answerOf(t, q); a.Outcome == api.NotRun {
			t.Fatalf("answer %+v", a)
		}
	}
}

// Guards against a search that is refused because all candidates for its canary
// are overloaded at that moment.
func TestCanaryWaitsForCapacity(t *testing.T) {
	env := &fakeEnv{tokens: 9, busy: map[api.ReplicaName]bool{"a": true, "b": true}, counts: count.NewSet()}
	c := choice(1, 5, 2)
	q := New(Plan{
		Choice: c, Shards: c.Map.Shards, Wanted: api.Whole, Start: start, Deadline: start.Add(timeLimit),
		HedgeDelay: hedgeDelay, Mode: CanaryFirst, Canaries: []Canary{{Part: 0, Replica: "a"}, {Part: 1, Replica: "b"}},
	}, env)
	q.Begin(start)
	q.Tick(q.NextTick())
	if _, done := q.Done(); done || len(env.sent) != 0 {
		t.Fatalf("ended %v after %d requests", done, len(env.sent))
	}
	clear(env.busy)
	q.Tick(q.NextTick())
	if len(env.sent) != 1 || env.sent[0].replica != "a" {
		t.Fatalf("sent %+v", env.sent)
	}
}

// Guards against a search that sends no further parts after a canary was
// answered.
func TestAnsweredCanaryReleasesTheRest(t *testing.T) {
	canaries := []Canary{{Part: 3, Replica: "b"}, {Part: 1, Replica: "a"}}
	q, env := startQuery(t, 4, func(p *Plan) { p.Mode = CanaryFirst; p.Canaries = canaries })
	q.Tick(start.Add(hedgeDelay)) // the second canary
	q.Replied(start, 1, env.sent[1].id, reply(q, env.sent[1], "x"))
	if len(env.sent) != 4 {
		t.Fatalf("sent %d requests", len(env.sent))
	}
	for _, s := range env.sent {
		q.Replied(start, s.part, s.id, reply(q, s, "x"))
	}
	if a := answerOf(t, q); a.Coverage.Share != api.Whole {
		t.Fatalf("coverage %+v", a.Coverage)
	}
}

// Guards against parts that wait for capacity and are never sent.
func TestWaitingPartsAreResumed(t *testing.T) {
	env := &fakeEnv{busy: map[api.ReplicaName]bool{"a": true, "b": true}, counts: count.NewSet()}
	c := choice(1, 5, 2)
	q := New(Plan{
		Choice: c, Shards: c.Map.Shards, Wanted: api.Whole, Start: start,
		Deadline: start.Add(timeLimit), HedgeDelay: hedgeDelay,
	}, env)
	q.Begin(start)
	if q.ResumePart(start, 0) {
		t.Fatal("resumed without capacity")
	}
	clear(env.busy)
	if !q.ResumePart(start, 0) || !q.ResumePart(start, 1) || len(env.sent) != 2 {
		t.Fatalf("sent %d parts", len(env.sent))
	}
}

// Guards against spending a token and a target's time on an attempt that cannot
// be answered before the deadline. An attempt reaches its deadline shortly before
// the search's own timer fires, which looks like a lost connection.
func TestNothingIsSentAgainAtTheDeadline(t *testing.T) {
	q, env := startQuery(t, 2, nil)
	q.Replied(start, 0, env.sent[0].id, reply(q, env.sent[0]))
	sent := len(env.sent)
	q.Lost(start.Add(timeLimit-time.Millisecond), 1, env.sent[1].id, true)
	a, done := q.Done()
	if !done || len(env.sent) != sent || env.tokens != 100 {
		t.Fatalf("ended %v, sent %d more, %d tokens left", done, len(env.sent)-sent, env.tokens)
	}
	if m := a.Coverage.Missing; len(m) != 1 || m[0].Reason != api.ReasonDeadline {
		t.Errorf("missing %+v, want one shard for the deadline", m)
	}
}
