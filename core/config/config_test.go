package config

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/api"
)

var testNow = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func change(id string, ops ...Op) Change {
	return Change{ID: ChangeID(id), Who: "ada", Why: "CHG-1", When: testNow, Ops: ops}
}

func replica(service, address string) Replica {
	return Replica{Service: api.ServiceName(service), Address: address, DataCentre: "dc1", VM: "vm1", Slots: 2, Connections: 25}
}

func opReplica(name, service string) Op {
	return Op{CreateReplica: &CreateReplica{Name: api.ReplicaName(name), Replica: replica(service, "10.0.0.1:9000")}}
}

func opService(name string, kind Kind) Op {
	return Op{CreateService: &CreateService{Name: api.ServiceName(name), Kind: kind}}
}

func opShard(service, name string, first, last uint32, reps ...api.ReplicaName) Op {
	return Op{CreateShard: &CreateShard{Service: api.ServiceName(service), Shard: Shard{Name: api.ShardName(name), First: first, Last: last, Replicas: reps}}}
}

const maxHash = 1<<32 - 1

// sample has a search service with two shards and a work service.
func sample(t testing.TB) *Document {
	t.Helper()
	doc, err := Apply(Empty(testNow), change("c1",
		opService("tickets", KindSearch), opService("dispatch", KindWork),
		opReplica("t1", "tickets"), opReplica("t2", "tickets"), opReplica("d1", "dispatch"),
		opShard("tickets", "s0", 0, 1<<31-1, "t2", "t1"), opShard("tickets", "s1", 1<<31, maxHash, "t2")))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// Guards against operations that are accepted although they break a rule, and
// against messages that do not name the fault.
func TestApplyRefuses(t *testing.T) {
	ms := time.Millisecond
	extra, cover, rows, zero := api.PPM(100_001), api.PPM(1_000_001), 0, time.Duration(0)
	addr := "host:80"
	bad := replica("tickets", "10.0.0.1:0")
	far := replica("tickets", "10.0.0.1:1")
	far.Slots = 0
	cases := []struct {
		name string
		ops  []Op
		want string
	}{
		{"duplicate service", []Op{opService("tickets", KindSearch)}, "exists already"},
		{"bad name", []Op{opService("-x", KindSearch)}, "name"},
		{"bad kind", []Op{opService("x", "graph")}, "kind"},
		{"extra load", []Op{{AlterService: &AlterService{Name: "tickets", Settings: RuleSettings{ExtraLoad: &extra}}}}, "at most 10%"},
		{"coverage", []Op{{AlterService: &AlterService{Name: "tickets", Settings: RuleSettings{Coverage: &cover}}}}, "0% to 100%"},
		{"max rows", []Op{{AlterService: &AlterService{Name: "tickets", Settings: RuleSettings{MaxRows: &rows}}}}, "max_rows"},
		{"deadline", []Op{{AlterService: &AlterService{Name: "tickets", Settings: RuleSettings{Deadline: &zero}}}}, "deadline"},
		{"unknown service", []Op{{AlterService: &AlterService{Name: "x", Settings: RuleSettings{Deadline: &ms}}}}, `service "x" does not exist`},
		{"drop service in use", []Op{{DropService: &DropService{Name: "tickets"}}}, "still has 2 shards"},
		{"drop service with replica", []Op{{DropService: &DropService{Name: "dispatch"}}}, "still has 1 replicas"},
		{"duplicate replica", []Op{opReplica("t1", "tickets")}, "exists already"},
		{"replica of nothing", []Op{opReplica("t9", "nowhere")}, "does not exist"},
		{"port 0", []Op{{CreateReplica: &CreateReplica{Name: "t9", Replica: bad}}}, "IP:port"},
		{"slots", []Op{{CreateReplica: &CreateReplica{Name: "t9", Replica: far}}}, "slots"},
		{"host name", []Op{{AlterReplica: &AlterReplica{Name: "t1", Address: &addr}}}, "IP:port"},
		{"replica serves", []Op{{DropReplica: &DropReplica{Name: "t2"}}}, `still serves shard "s0"`},
		{"gap", []Op{{DropShard: &DropShard{Service: "tickets", Name: "s0"}}}, "no shard covers the hashes 0 to 2147483647"},
		{"overlap", []Op{opShard("tickets", "s2", 5, 6)}, "covered by another shard"},
		{"work shard", []Op{opShard("dispatch", "s2", 0, maxHash)}, "only search services"},
		{"foreign replica", []Op{{AlterShard: &AlterShard{Service: "tickets", Name: "s0", Replicas: []api.ReplicaName{"d1"}}}}, `belongs to service "dispatch"`},
		{"reused shard name", []Op{{SplitShard: &SplitShard{Service: "tickets", Name: "s0", At: 7, Low: SplitPart{Name: "s0"}, High: SplitPart{Name: "s9"}}}}, "expected a new name"},
		{"split outside", []Op{{SplitShard: &SplitShard{Service: "tickets", Name: "s0", At: 0, Low: SplitPart{Name: "a"}, High: SplitPart{Name: "b"}}}}, "cannot be split at 0"},
		{"merge of one", []Op{{MergeShards: &MergeShards{Service: "tickets", Names: []api.ShardName{"s0"}, Into: SplitPart{Name: "a"}}}}, "at least two"},
		{"drain nothing", []Op{{Drain: &Drain{VM: "vm9", Drained: true}}}, "no replicas"},
		{"recover with others", []Op{{Recover: &Recover{}}, opService("x", KindWork)}, "only operation"},
		{"two fields", []Op{{Recover: &Recover{}, DropShard: &DropShard{}}}, "exactly one"},
		{"no operations", nil, "no operations"},
		{"second of list", []Op{opService("x", KindWork), opService("x", KindWork)}, "operation 2 (create service)"},
	}
	doc := sample(t)
	before, _ := Encode(doc)
	for _, c := range cases {
		out, err := Apply(doc, change("c2", c.ops...))
		if err == nil || out != nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want an error with %q", c.name, err, c.want)
		}
	}
	if after, _ := Encode(doc); !bytes.Equal(before, after) {
		t.Error("a refused change altered the document")
	}
}

// Guards against changes in place of an adopted document, lost epochs and maps
// that are kept for too long.
func TestApplyKeepsOldDocumentAndTwoMaps(t *testing.T) {
	doc := sample(t)
	before, _ := Encode(doc)
	lists := [][]Op{
		{{SplitShard: &SplitShard{Service: "tickets", Name: "s0", At: 100, Low: SplitPart{Name: "a", Replicas: []api.ReplicaName{"t1"}}, High: SplitPart{Name: "b"}}},
			{AlterShard: &AlterShard{Service: "tickets", Name: "b", Replicas: []api.ReplicaName{"t1"}}}},
		{{MergeShards: &MergeShards{Service: "tickets", Names: []api.ShardName{"b", "a"}, Into: SplitPart{Name: "c", Replicas: []api.ReplicaName{"t1"}}}}},
		{{AlterShard: &AlterShard{Service: "tickets", Name: "s1", Replicas: []api.ReplicaName{"t1"}}}, {DropReplica: &DropReplica{Name: "t2"}}},
		{{Drain: &Drain{VM: "vm1", Drained: true}}},
	}
	next := doc
	for i, ops := range lists {
		var err error
		if next, err = Apply(next, change(fmt.Sprint("n", i), ops...)); err != nil {
			t.Fatalf("list %d: %v", i, err)
		}
		if err := Verify(next); err != nil {
			t.Fatalf("list %d: %v", i, err)
		}
	}
	s := next.Services["tickets"]
	if len(s.Maps) != 2 || s.Newest().Epoch != 3 || s.Maps[0].Epoch != 2 || s.Map(1) != nil {
		t.Errorf("maps %+v, want epochs 2 and 3", s.Maps)
	}
	for i := range s.Maps {
		if got := s.Maps[i].Shard("s1").Replicas; !slices.Equal(got, []api.ReplicaName{"t1"}) {
			t.Errorf("epoch %d: replicas of s1 %v, want t1 in both kept maps", s.Maps[i].Epoch, got)
		}
	}
	if !next.Replicas["d1"].Drained || !next.Replicas["t1"].Drained || next.Replicas["t2"] != nil {
		t.Error("drain of a VM or drop of a replica did not take effect")
	}
	if next.Revision != 5 || next.Generation != 1 {
		t.Errorf("position %+v", next.Position())
	}
	if after, _ := Encode(doc); !bytes.Equal(before, after) {
		t.Error("Apply altered the old document")
	}
}

// Guards against replicas that diverge: replaying the history of another node
// must lead to the same bytes, and a wrong position or digest must not pass.
func TestReplayOfHistory(t *testing.T) {
	doc := sample(t)
	final, err := Apply(doc, change("c2", Op{Recover: &Recover{}}))
	if err != nil {
		t.Fatal(err)
	}
	if final.Position() != (Position{Generation: 2, Revision: 2}) {
		t.Errorf("position after recover %+v", final.Position())
	}
	c := final.History[1]
	data, err := EncodeChange(c)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeChange(data)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Apply(doc, got)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := Encode(final)
	b, _ := Encode(again)
	if !bytes.Equal(a, b) {
		t.Errorf("replay differs:\n%s\n%s", a, b)
	}
	changes, ok := final.ChangesAfter(doc.Position())
	if !ok || len(changes) != 1 || changes[0].ID != "c2" {
		t.Errorf("changes after %+v: %v %v", doc.Position(), changes, ok)
	}
	c.Digest++
	if _, err := Apply(doc, c); !errorx.IsOfType(err, ErrDigest) {
		t.Errorf("wrong digest: %v", err)
	}
	c.Digest--
	if _, err := Apply(final, c); !errorx.IsOfType(err, ErrSequence) {
		t.Errorf("wrong position: %v", err)
	}
	tampered := *final
	tampered.ClaimWindow++
	if err := Verify(&tampered); !errorx.IsOfType(err, ErrDigest) {
		t.Errorf("tampered document: %v", err)
	}
}

// Guards against a document that outgrows the store's limit for a value.
func TestHistoryIsBounded(t *testing.T) {
	doc := sample(t)
	var err error
	for i := range 300 {
		c := change(fmt.Sprint("h", i), Op{Drain: &Drain{Replica: "t1", Drained: i%2 == 0}})
		if i >= 280 {
			c.Text = strings.Repeat("x", 20<<10)
		}
		if doc, err = Apply(doc, c); err != nil {
			t.Fatal(err)
		}
		size, _ := jsonSize(doc.History)
		if len(doc.History) > MaxHistory || size > MaxHistoryBytes {
			t.Fatalf("history of %d changes and %d bytes", len(doc.History), size)
		}
		if i == 279 && len(doc.History) != MaxHistory {
			t.Fatalf("history has %d changes, want %d", len(doc.History), MaxHistory)
		}
	}
	if len(doc.History) != 6 {
		t.Errorf("%d large changes kept, want 6", len(doc.History))
	}
	c := change("big", Op{Drain: &Drain{Replica: "t1"}})
	c.Text = strings.Repeat("x", MaxHistoryBytes)
	if _, err := Apply(doc, c); !errorx.IsOfType(err, ErrTooLarge) {
		t.Errorf("oversized change: %v", err)
	}
}

// Guards against loose decoding, which would hide a newer or foreign format.
func TestDecodeIsStrict(t *testing.T) {
	for _, text := range []string{"", "null", " ", "{", "[]", `{"x":1}`, `{"revision":1} {}`, `{"revision":-1}`, strings.Repeat(" ", MaxEncoded) + "{}"} {
		if _, err := Decode([]byte(text)); err == nil {
			t.Errorf("document %.20q is accepted", text)
		}
		if _, err := DecodeChange([]byte(text)); err == nil {
			t.Errorf("change %.20q is accepted", text)
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, _ := Encode(sample(f))
	f.Add(data)
	f.Add([]byte(`{"generation":1,"claim_partitions":1,"claim_window_ns":1,"services":{"a":null},"replicas":{"b":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Decode(data)
		if err != nil || Verify(doc) != nil {
			return
		}
		out, err := Encode(doc)
		if err != nil {
			return // larger than the limit once escaped
		}
		again, err := Decode(out)
		if err != nil || Digest(again) != Digest(doc) {
			t.Fatalf("document changes when encoded again: %v", err)
		}
	})
}

func FuzzDecodeChange(f *testing.F) {
	doc := sample(f)
	for _, c := range doc.History {
		data, _ := EncodeChange(c)
		f.Add(data)
	}
	f.Add([]byte(`{"id":"x","who":"a","why":"b","ops":[{"merge_shards":{"service":"tickets","names":["s0","s1"],"into":{"name":"z","replicas":["t1"]}}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeChange(data)
		if err != nil {
			return
		}
		for _, base := range []*Document{doc, Empty(testNow)} {
			out, err := Apply(base, c)
			if err == nil && Verify(out) != nil {
				t.Fatalf("an accepted change leads to an invalid document: %v", Verify(out))
			}
		}
	})
}
