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

// sampleDocument returns a document with a search service of two shards and a work
// service.
func sampleDocument(t testing.TB) *Document {
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

// Guards against invalid operations being accepted, and against error messages that
// do not say what is wrong.
func TestApplyRejectsInvalidChanges(t *testing.T) {
	ms := time.Millisecond
	extraLoad, coverage, maxRows, zero := api.PPM(100_001), api.PPM(1_000_001), 0, time.Duration(0)
	hostAddress := "host:80"
	portZero := replica("tickets", "10.0.0.1:0")
	noSlots := replica("tickets", "10.0.0.1:1")
	noSlots.Slots = 0
	cases := []struct {
		name string
		ops  []Op
		want string
	}{
		{"duplicate service", []Op{opService("tickets", KindSearch)}, "exists already"},
		{"invalid service name", []Op{opService("-x", KindSearch)}, "name"},
		{"unknown kind", []Op{opService("x", "graph")}, "kind"},
		{"extra load too large", []Op{{AlterService: &AlterService{Name: "tickets", Settings: RuleSettings{ExtraLoad: &extraLoad}}}}, "at most 10%"},
		{"coverage too large", []Op{{AlterService: &AlterService{Name: "tickets", Settings: RuleSettings{Coverage: &coverage}}}}, "0% to 100%"},
		{"max rows 0", []Op{{AlterService: &AlterService{Name: "tickets", Settings: RuleSettings{MaxRows: &maxRows}}}}, "max_rows"},
		{"deadline 0", []Op{{AlterService: &AlterService{Name: "tickets", Settings: RuleSettings{Deadline: &zero}}}}, "deadline"},
		{"unknown service", []Op{{AlterService: &AlterService{Name: "x", Settings: RuleSettings{Deadline: &ms}}}}, `service "x" does not exist`},
		{"drop service with shards", []Op{{DropService: &DropService{Name: "tickets"}}}, "still has 2 shards"},
		{"drop service with replica", []Op{{DropService: &DropService{Name: "dispatch"}}}, "still has 1 replicas"},
		{"duplicate replica", []Op{opReplica("t1", "tickets")}, "exists already"},
		{"replica of unknown service", []Op{opReplica("t9", "nowhere")}, "does not exist"},
		{"port 0", []Op{{CreateReplica: &CreateReplica{Name: "t9", Replica: portZero}}}, "IP:port"},
		{"no slots", []Op{{CreateReplica: &CreateReplica{Name: "t9", Replica: noSlots}}}, "slots"},
		{"host name as address", []Op{{AlterReplica: &AlterReplica{Name: "t1", Address: &hostAddress}}}, "IP:port"},
		{"drop replica that serves a shard", []Op{{DropReplica: &DropReplica{Name: "t2"}}}, `still serves shard "s0"`},
		{"gap in hash ranges", []Op{{DropShard: &DropShard{Service: "tickets", Name: "s0"}}}, "no shard covers the hashes 0 to 2147483647"},
		{"overlapping hash ranges", []Op{opShard("tickets", "s2", 5, 6)}, "covered by another shard"},
		{"shard of work service", []Op{opShard("dispatch", "s2", 0, maxHash)}, "only search services"},
		{"replica of another service", []Op{{AlterShard: &AlterShard{Service: "tickets", Name: "s0", Replicas: []api.ReplicaName{"d1"}}}}, `belongs to service "dispatch"`},
		{"reused shard name", []Op{{SplitShard: &SplitShard{Service: "tickets", Name: "s0", At: 7, Low: ShardSpec{Name: "s0"}, High: ShardSpec{Name: "s9"}}}}, "expected a new name"},
		{"split outside the range", []Op{{SplitShard: &SplitShard{Service: "tickets", Name: "s0", At: 0, Low: ShardSpec{Name: "a"}, High: ShardSpec{Name: "b"}}}}, "cannot be split at 0"},
		{"merge of one shard", []Op{{MergeShards: &MergeShards{Service: "tickets", Names: []api.ShardName{"s0"}, Into: ShardSpec{Name: "a"}}}}, "at least two"},
		{"drain VM without replicas", []Op{{Drain: &Drain{VM: "vm9", Drained: true}}}, "no replicas"},
		{"recover with other operations", []Op{{Recover: &Recover{}}, opService("x", KindWork)}, "only operation"},
		{"operation with two fields set", []Op{{Recover: &Recover{}, DropShard: &DropShard{}}}, "exactly one"},
		{"no operations", nil, "no operations"},
		{"second operation fails", []Op{opService("x", KindWork), opService("x", KindWork)}, "operation 2 (create service)"},
	}
	doc := sampleDocument(t)
	before, _ := Encode(doc)
	for _, c := range cases {
		out, err := Apply(doc, change("c2", c.ops...))
		if err == nil || out != nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %q", c.name, err, c.want)
		}
	}
	if after, _ := Encode(doc); !bytes.Equal(before, after) {
		t.Error("a rejected change modified the document")
	}
}

// Guards against Apply modifying the document that it is given, against epochs that
// are skipped, and against keeping more than two partition maps.
func TestApplyLeavesInputUnchangedAndKeepsTwoMaps(t *testing.T) {
	doc := sampleDocument(t)
	before, _ := Encode(doc)
	changes := [][]Op{
		{{SplitShard: &SplitShard{Service: "tickets", Name: "s0", At: 100, Low: ShardSpec{Name: "a", Replicas: []api.ReplicaName{"t1"}}, High: ShardSpec{Name: "b"}}},
			{AlterShard: &AlterShard{Service: "tickets", Name: "b", Replicas: []api.ReplicaName{"t1"}}}},
		{{MergeShards: &MergeShards{Service: "tickets", Names: []api.ShardName{"b", "a"}, Into: ShardSpec{Name: "c", Replicas: []api.ReplicaName{"t1"}}}}},
		{{AlterShard: &AlterShard{Service: "tickets", Name: "s1", Replicas: []api.ReplicaName{"t1"}}}, {DropReplica: &DropReplica{Name: "t2"}}},
		{{Drain: &Drain{VM: "vm1", Drained: true}}},
	}
	next := doc
	for i, ops := range changes {
		var err error
		if next, err = Apply(next, change(fmt.Sprint("n", i), ops...)); err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
		if err := Verify(next); err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
	}
	s := next.Services["tickets"]
	if len(s.Maps) != 2 || s.NewestMap().Epoch != 3 || s.Maps[0].Epoch != 2 || s.MapAtEpoch(1) != nil {
		t.Errorf("partition maps are %+v, want epochs 2 and 3", s.Maps)
	}
	for i := range s.Maps {
		if got := s.Maps[i].Shard("s1").Replicas; !slices.Equal(got, []api.ReplicaName{"t1"}) {
			t.Errorf("epoch %d: replicas of s1 are %v, want t1 in both kept maps", s.Maps[i].Epoch, got)
		}
	}
	if !next.Replicas["d1"].Drained || !next.Replicas["t1"].Drained || next.Replicas["t2"] != nil {
		t.Error("drain of a VM or drop of a replica did not take effect")
	}
	if next.Revision != 5 || next.Generation != 1 {
		t.Errorf("position is %+v, want generation 1, revision 5", next.Position())
	}
	if after, _ := Encode(doc); !bytes.Equal(before, after) {
		t.Error("Apply modified the old document")
	}
}

// Guards against nodes whose documents diverge: applying a change received from
// another node must produce the same bytes, and a change with a wrong position or
// digest must be rejected.
func TestReplayReproducesDocument(t *testing.T) {
	doc := sampleDocument(t)
	final, err := Apply(doc, change("c2", Op{Recover: &Recover{}}))
	if err != nil {
		t.Fatal(err)
	}
	if final.Position() != (Position{Generation: 2, Revision: 2}) {
		t.Errorf("position after recovery is %+v, want generation 2, revision 2", final.Position())
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
	replayed, err := Apply(doc, got)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := Encode(final)
	b, _ := Encode(replayed)
	if !bytes.Equal(a, b) {
		t.Errorf("replaying the change gives another document:\n%s\n%s", a, b)
	}
	changes, ok := final.ChangesAfter(doc.Position())
	if !ok || len(changes) != 1 || changes[0].ID != "c2" {
		t.Errorf("changes after %+v: got %v, %v, want only c2", doc.Position(), changes, ok)
	}
	c.Digest++
	if _, err := Apply(doc, c); !errorx.IsOfType(err, ErrDigest) {
		t.Errorf("change with wrong digest: got error %v, want ErrDigest", err)
	}
	c.Digest--
	if _, err := Apply(final, c); !errorx.IsOfType(err, ErrSequence) {
		t.Errorf("change with wrong position: got error %v, want ErrSequence", err)
	}
	tampered := *final
	tampered.ClaimWindow++
	if err := Verify(&tampered); !errorx.IsOfType(err, ErrDigest) {
		t.Errorf("document with wrong digest: got error %v, want ErrDigest", err)
	}
}

// Guards against a history that grows without limit, which would make the document
// exceed the store's limit for a value.
func TestHistoryIsBounded(t *testing.T) {
	doc := sampleDocument(t)
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
			t.Fatalf("history has %d changes and %d bytes, which exceeds a limit", len(doc.History), size)
		}
		if i == 279 && len(doc.History) != MaxHistory {
			t.Fatalf("history has %d changes, want %d", len(doc.History), MaxHistory)
		}
	}
	if len(doc.History) != 6 {
		t.Errorf("history has %d large changes, want 6", len(doc.History))
	}
	c := change("big", Op{Drain: &Drain{Replica: "t1"}})
	c.Text = strings.Repeat("x", MaxHistoryBytes)
	if _, err := Apply(doc, c); !errorx.IsOfType(err, ErrTooLarge) {
		t.Errorf("oversized change: got error %v, want ErrTooLarge", err)
	}
}

// Guards against lenient decoding, which would accept data of a newer or different
// format.
func TestDecodeIsStrict(t *testing.T) {
	for _, text := range []string{"", "null", " ", "{", "[]", `{"x":1}`, `{"revision":1} {}`, `{"revision":-1}`, strings.Repeat(" ", MaxEncodedBytes) + "{}"} {
		if _, err := Decode([]byte(text)); err == nil {
			t.Errorf("document %.20q was accepted", text)
		}
		if _, err := DecodeChange([]byte(text)); err == nil {
			t.Errorf("change %.20q was accepted", text)
		}
	}
}

// Guards against decoding that panics on arbitrary input, and against a valid document
// that changes when it is encoded and decoded.
func FuzzDecode(f *testing.F) {
	data, _ := Encode(sampleDocument(f))
	f.Add(data)
	f.Add([]byte(`{"generation":1,"claim_partitions":1,"claim_window_ns":1,"services":{"a":null},"replicas":{"b":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Decode(data)
		if err != nil || Verify(doc) != nil {
			return
		}
		out, err := Encode(doc)
		if err != nil {
			return // escaping made the encoding exceed the size limit
		}
		decoded, err := Decode(out)
		if err != nil || Digest(decoded) != Digest(doc) {
			t.Fatalf("document changes when it is encoded and decoded: %v", err)
		}
	})
}

// Guards against a change that Apply accepts although the resulting document is invalid.
func FuzzDecodeChange(f *testing.F) {
	doc := sampleDocument(f)
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
				t.Fatalf("an accepted change results in an invalid document: %v", Verify(out))
			}
		}
	})
}
