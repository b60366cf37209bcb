package convert

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	counters "github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/wire/peerpb"
	"github.com/baobabsail/baobabsail/wire/targetpb"
	"google.golang.org/protobuf/proto"
)

var (
	now      = time.Unix(1_800_000_000, 0)
	deadline = now.Add(250 * time.Millisecond)
	query    = api.Query{
		Service:    "alarms",
		Conditions: []api.Condition{{Field: "level", Operator: api.GreaterOrEqual, Value: "3"}},
		OrderBy:    "level", Descending: true, Limit: 7,
	}
	load = api.TargetLoad{
		Incarnation: 9, Slots: 2, Running: 1, Queued: 3, Draining: true,
		Held: []api.ShardVersions{{Epoch: 1, Shard: "s1", Versions: []uint64{4, 5}}},
	}
	rows    = []api.Row{{Key: "k", Fields: []api.Field{{Name: "level", Value: "3"}}}}
	attempt = api.AttemptID{Life: 77, Seq: 3}
)

// checkRoundTrip fails the test if encoding and decoding changed a value. A field
// that the conversion forgets would be missing from every message without an error.
func checkRoundTrip[T any](t *testing.T, want T, got T, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	if !reflect.DeepEqual(want, got) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Guards against a field that one direction of a conversion leaves out.
func TestRoundTripKeepsEveryField(t *testing.T) {
	search := api.SearchRequest{Attempt: attempt, Shard: "s1", Snapshot: api.Snapshot{Epoch: 1, Version: 5}, Query: query, Deadline: deadline}
	gotSearch, err := SearchRequestFromProto(SearchRequestToProto(search, now), now)
	checkRoundTrip(t, search, gotSearch, err)

	reply := api.SearchReply{Attempt: attempt, Shard: "s1", Snapshot: search.Snapshot, Outcome: api.TargetOK, RowCount: 2, Rows: rows, LimitReached: true, Load: load, RetryAfter: time.Second}
	gotReply, err := SearchReplyFromProto(SearchReplyToProto(reply))
	checkRoundTrip(t, reply, gotReply, err)

	work := api.WorkRequest{Attempt: attempt, Service: "orders", Key: api.IdempotencyKey{1, 2, 15: 9}, Payload: []byte{0, 255}, Deadline: deadline}
	gotWork, err := WorkRequestFromProto(WorkRequestToProto(work, now), now)
	checkRoundTrip(t, work, gotWork, err)

	done := api.WorkReply{Attempt: attempt, Outcome: api.TargetError, Result: []byte("no"), Load: load, RetryAfter: time.Second}
	gotDone, err := WorkReplyFromProto(WorkReplyToProto(done))
	checkRoundTrip(t, done, gotDone, err)

	member := gossip.Member{Name: "n1", Life: 5, Address: "127.0.0.1:1", DataCentre: "dc1", Heartbeat: 8, Leaving: true}
	message := gossip.Message{
		// The second entry has no name and address: messages in large groups list most
		// members by life and heartbeat only.
		From: member, Members: []gossip.Member{member, {Life: 6, Heartbeat: 9, Leaving: true}},
		Notices:    []gossip.Notice{{Kind: gossip.NoticeConvicted, Replica: "r1", Incarnation: 4, Fingerprint: 6, Crashes: 2, Version: 3, TimeToLive: time.Minute}},
		Generation: 1, Revision: 2, Changes: [][]byte{{1}}, Document: []byte{2},
		WantAfter: &gossip.Position{Generation: 1, Revision: 1},
	}
	gotMessage, err := MessageFromProto(MessageToProto(message))
	checkRoundTrip(t, message, gotMessage, err)

	part := Part{Caller: "c", Search: api.Search{Query: query, Pin: &api.Pin{Snapshot: search.Snapshot, Shards: []api.ShardName{"s1"}}}, Deadline: deadline}
	encoded, err := PartRequestToProto(part, now)
	if err != nil {
		t.Fatal(err)
	}
	gotPart, err := PartRequestFromProto(encoded, now)
	checkRoundTrip(t, part, gotPart, err)

	answer := api.SearchAnswer{
		Outcome: api.Answered, Rows: rows, LimitReached: true, RetryAfter: time.Second,
		Coverage: api.Coverage{
			Snapshot: search.Snapshot, Covered: []api.ShardName{"s1"},
			Missing: []api.MissingShard{{Shard: "s2", Reason: api.ReasonDeadline}},
		},
	}
	gotAnswer, err := PartReplyFromProto(PartReplyToProto(answer))
	checkRoundTrip(t, answer, gotAnswer, err)

	forwarded := ForwardedWork{
		Caller: "c", Deadline: deadline,
		Work: api.Work{Service: "crews", Key: api.IdempotencyKey{1, 2, 3}, Payload: []byte("drain 7")},
	}
	gotForwarded, err := ForwardedWorkFromProto(ForwardedWorkToProto(forwarded, now), now)
	checkRoundTrip(t, forwarded, gotForwarded, err)
	workAnswer := api.WorkAnswer{
		Outcome: api.Failed, Reason: api.ReasonFailed, Result: []byte("r"), Replayed: true, RetryAfter: time.Second,
	}
	gotWorkAnswer, err := WorkAnswerFromProto(WorkAnswerToProto(workAnswer))
	checkRoundTrip(t, workAnswer, gotWorkAnswer, err)
}

// Guards against a deadline in the past that wraps around to a very large value: it
// must reach the target as 0.
func TestRemainingMillis(t *testing.T) {
	for _, c := range []struct {
		left time.Duration
		want uint32
	}{{-time.Hour, 0}, {0, 0}, {999 * time.Microsecond, 0}, {1500 * time.Microsecond, 1}, {10000 * time.Hour, 4294967295}} {
		if got := RemainingMillis(now.Add(c.left), now); got != c.want {
			t.Errorf("%v left: got %d ms, want %d", c.left, got, c.want)
		}
	}
}

// Guards against malformed messages that are accepted: the core packages would
// receive values that they do not handle.
func TestMalformedIsRejected(t *testing.T) {
	valid := func() *targetpb.SearchReply {
		return SearchReplyToProto(api.SearchReply{Attempt: attempt, Shard: "s", Outcome: api.TargetOK, Load: load})
	}
	corruptions := map[string]func(*targetpb.SearchReply){
		"no attempt":        func(m *targetpb.SearchReply) { m.Attempt = nil },
		"no snapshot":       func(m *targetpb.SearchReply) { m.Snapshot = nil },
		"no outcome":        func(m *targetpb.SearchReply) { m.Outcome = 0 },
		"unknown outcome":   func(m *targetpb.SearchReply) { m.Outcome = 99 },
		"negative outcome":  func(m *targetpb.SearchReply) { m.Outcome = -1 },
		"no load":           func(m *targetpb.SearchReply) { m.Load = nil },
		"unordered version": func(m *targetpb.SearchReply) { m.Load.Held[0].Versions = []uint64{5, 4} },
		"nil held":          func(m *targetpb.SearchReply) { m.Load.Held[0] = nil },
	}
	for name, corrupt := range corruptions {
		m := valid()
		corrupt(m)
		if _, err := SearchReplyFromProto(m); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got error %v, want ErrMalformed", name, err)
		}
	}
	if _, err := PartReplyFromProto(&peerpb.PartReply{Outcome: 257, Snapshot: &targetpb.Snapshot{}}); !errors.Is(err, ErrMalformed) {
		t.Errorf("outcome 257: got error %v, want ErrMalformed: it must not wrap around to a known outcome", err)
	}
	if _, err := WorkRequestFromProto(&targetpb.ExecuteRequest{Attempt: &targetpb.AttemptID{}, Service: "s", Key: []byte{1}}, now); !errors.Is(err, ErrMalformed) {
		t.Errorf("key of 1 byte: got error %v, want ErrMalformed", err)
	}
}

// Guards against messages that a node sends and its peers reject, which would lose
// the notices in them. Entries of member lists are complete or have only life and
// heartbeat; both forms must be accepted.
func TestMessagesOfNodesAreReadable(t *testing.T) {
	nodes := map[api.EntryName]*gossip.Exchange{}
	for i, name := range []api.EntryName{"a", "b", "c", "d"} {
		self := gossip.Member{Name: name, Life: api.Life(i + 1), Address: string(name) + ":1"}
		nodes[name] = gossip.New(self, []gossip.Seed{{Name: "a", Address: "a:1"}}, rand.New(rand.NewPCG(1, uint64(i))), counters.NewSet())
	}
	delivered := 0
	var deliver func(now time.Time, sends []gossip.Send)
	deliver = func(now time.Time, sends []gossip.Send) {
		for _, s := range sends {
			got, err := MessageFromProto(MessageToProto(s.Message))
			checkRoundTrip(t, s.Message, got, err)
			received := nodes[s.Peer].Receive(now, got)
			delivered += len(received.NewNotices)
			deliver(now, received.Sends)
		}
	}
	for round := range 20 {
		at := now.Add(time.Duration(round) * gossip.Interval)
		for _, name := range []api.EntryName{"a", "b", "c", "d"} {
			deliver(at, nodes[name].Tick(at))
		}
	}
	deliver(now, nodes["a"].Publish(now, gossip.Notice{Kind: gossip.NoticeCleared, Fingerprint: 6, Version: 3, TimeToLive: time.Minute}))
	if delivered != 3 {
		t.Errorf("the notice reached %d peers, want 3", delivered)
	}
}

// Guards against a message that is rejected as a whole because it has a notice of a
// kind that only newer versions know.
func TestUnknownNoticeKindIsSkipped(t *testing.T) {
	m := MessageToProto(gossip.Message{From: gossip.Member{Name: "n", Address: "a:1"}})
	m.Notices = []*peerpb.Notice{{Kind: 200}}
	got, err := MessageFromProto(m)
	if err != nil || len(got.Notices) != 0 {
		t.Errorf("got notices %v and error %v, want neither", got.Notices, err)
	}
}

// FuzzDecode guards against a panic in the decoding of any bytes that unmarshal as a
// protobuf message.
func FuzzDecode(f *testing.F) {
	seed, _ := proto.Marshal(SearchReplyToProto(api.SearchReply{Attempt: attempt, Rows: rows, Load: load}))
	f.Add(seed)
	seed, _ = proto.Marshal(MessageToProto(gossip.Message{From: gossip.Member{Name: "n", Address: "a:1"}, Notices: []gossip.Notice{{Kind: 1}}}))
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		decode := func(m proto.Message, f func()) {
			if proto.Unmarshal(data, m) == nil {
				f()
			}
		}
		sr, sp := new(targetpb.SearchRequest), new(targetpb.SearchReply)
		er, ep := new(targetpb.ExecuteRequest), new(targetpb.ExecuteReply)
		pm, pr, pp := new(peerpb.Message), new(peerpb.PartRequest), new(peerpb.PartReply)
		wr, wa := new(peerpb.WorkRequest), new(peerpb.WorkReply)
		decode(wr, func() { _, _ = ForwardedWorkFromProto(wr, now) })
		decode(wa, func() { _, _ = WorkAnswerFromProto(wa) })
		decode(sr, func() { _, _ = SearchRequestFromProto(sr, now) })
		decode(sp, func() { _, _ = SearchReplyFromProto(sp) })
		decode(er, func() { _, _ = WorkRequestFromProto(er, now) })
		decode(ep, func() { _, _ = WorkReplyFromProto(ep) })
		decode(pm, func() { _, _ = MessageFromProto(pm) })
		decode(pr, func() { _, _ = PartRequestFromProto(pr, now) })
		decode(pp, func() { _, _ = PartReplyFromProto(pp) })
	})
}
