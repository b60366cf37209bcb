package lang

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

// Guards against a statement that is parsed with another meaning than its text has.
func TestParseStatements(t *testing.T) {
	cases := []struct{ text, want string }{
		{`search tickets`, `[{"Search":{"Query":{"Service":"tickets","Conditions":null,"OrderBy":"","Descending":false,"Limit":0},"Coverage":0,"EarlyReturn":null,"Pin":null},"Deadline":0}]`},
		{`SEARCH "1st" WHERE a >= -1.5 AND b contains "x\"y" ORDER BY a DESC limit 5 deadline 1m30s coverage 99.5% early return off`,
			`[{"Search":{"Query":{"Service":"1st","Conditions":[{"Field":"a","Operator":6,"Value":"-1.5"},{"Field":"b","Operator":7,"Value":"x\"y"}],"OrderBy":"a","Descending":true,"Limit":5},"Coverage":995000,"EarlyReturn":false,"Pin":null},"Deadline":90000000000}]`},
		{`create service t kind work max rows 7 canary off`, `[{"Op":{"create_service":{"name":"t","kind":"work","settings":{"canary":false,"max_rows":7}}}}]`},
		{`alter service t deadline 80ms, extra load 2.5%`, `[{"Op":{"alter_service":{"name":"t","settings":{"deadline_ns":80000000,"extra_load_ppm":25000}}}}]`},
		{`create replica r of t address [::1]:9 data centre dc vm v slots 2 connections 25 drained`,
			`[{"Op":{"create_replica":{"name":"r","replica":{"service":"t","address":"[::1]:9","data_centre":"dc","vm":"v","slots":2,"connections":25,"drained":true}}}}]`},
		{`split shard s of t at 0x80000000 into a on r1, r2 and b`,
			`[{"Op":{"split_shard":{"service":"t","name":"s","at":2147483648,"low":{"name":"a","replicas":["r1","r2"]},"high":{"name":"b","replicas":null}}}}]`},
		{`merge shards a, b of t into c on r1; drop shard s of t;`,
			`[{"Op":{"merge_shards":{"service":"t","names":["a","b"],"into":{"name":"c","replicas":["r1"]}}}},{"Op":{"drop_shard":{"service":"t","name":"s"}}}]`},
		{`alter shard s of t on none`, `[{"Op":{"alter_shard":{"service":"t","name":"s","replicas":null}}}]`},
		{`alter shard s of t on "none"`, `[{"Op":{"alter_shard":{"service":"t","name":"s","replicas":["none"]}}}]`},
		{`undrain vm v`, `[{"Op":{"drain":{"vm":"v","drained":false}}}]`},
		{`recover configuration`, `[{"Op":{"recover":{}}}]`},
		{`show replicas of t; show history limit 3 # newest`, `[{"Subject":"replicas","Service":"t","Limit":0},{"Subject":"history","Service":"","Limit":3}]`},
	}
	for _, c := range cases {
		s, err := Parse(c.text)
		if err != nil {
			t.Errorf("%s: %v", c.text, err)
			continue
		}
		got, _ := json.Marshal(s.Statements)
		if string(got) != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.text, got, c.want)
		}
	}
}

// Guards against expect revision and because being lost before a list of changes.
func TestHead(t *testing.T) {
	s, err := Parse("because \"CHG-7\"; expect revision 12;\ndrain replica r1; drain replica r2")
	if err != nil || s.Why != "CHG-7" || s.Expected == nil || *s.Expected != 12 || len(s.Ops()) != 2 {
		t.Errorf("got %+v, %v", s, err)
	}
}

// Guards against syntax errors that report a wrong position or do not tell the operator
// what was expected.
func TestSyntaxErrors(t *testing.T) {
	cases := []struct {
		text         string
		line, column int
		expected     string
	}{
		{"", 1, 1, "search, explain, show"},
		{"serch x", 1, 1, "search, explain, show"},
		{"search", 1, 7, "a service name"},
		{"search t where a = 1\nlimit x", 2, 7, "a number"},
		{"expect 3 drain vm v", 1, 8, "revision"},
		{"because x drain vm v", 1, 9, "double quotes"},
		{"create replica x", 1, 17, "of"},
		{"search t where a 1", 1, 18, "comparison"},
		{"search t limit 1 limit 2", 1, 18, "only once"},
		{"search t coverage 101%", 1, 19, "0% to 100%"},
		{"search t deadline 0ms", 1, 19, "above 0"},
		{"search t deadline 80", 1, 19, "a duration such as 80ms"},
		{"search t sideways", 1, 10, "order by, limit"},
		{"drain machine x", 1, 7, "replica or vm"},
		{"create service s kind graph", 1, 23, "work"},
		{"create service s kind work speed 3", 1, 28, "max rows"},
		{"create replica r of s slots 2", 1, 1, "each of address"},
		{"create shard s of t range 0 to 4294967296", 1, 32, "4294967295"},
		{"alter replica r drained", 1, 15, "drain replica"},
		{"drain vm v; show status", 1, 13, "a list of changes only"},
		{"expect revision 3 show status", 1, 1, "a list of changes"},
		{"because \"a\" because \"b\" drain vm v", 1, 13, "only once"},
		{"search t where a = 'x'", 1, 20, "double quotes"},
		{`drain vm "\q"`, 1, 10, "escapes"},
		{"drop service 9lives", 1, 14, "double quotes"},
	}
	for _, c := range cases {
		_, err := Parse(c.text)
		f, ok := DiagnosticOf(err)
		if !ok || f.Line != c.line || f.Column != c.column || !strings.Contains(f.Expected, c.expected) {
			t.Errorf("%q: got %+v (%v), want %d:%d and %q", c.text, f, err, c.line, c.column, c.expected)
		}
	}
}

// Guards against examples in docs/language.md that do not parse, and against statements
// that have no example there.
func TestReferenceExamples(t *testing.T) {
	page, err := os.ReadFile("../docs/language.md")
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[string]bool{}
	for i, block := range strings.Split(string(page), "```baobab\n") {
		if i == 0 {
			continue
		}
		text, _, _ := strings.Cut(block, "```")
		s, err := Parse(text)
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		for _, st := range s.Statements {
			words := strings.Fields(FormatStatement(st))
			kinds[words[0]+" "+words[1]] = true
		}
	}
	for _, want := range []string{"create service", "create replica", "create shard", "alter service", "alter replica", "alter shard", "drop service", "drop replica", "drop shard", "split shard", "merge shards", "drain replica", "drain vm", "undrain replica", "undrain vm", "recover configuration", "show services", "show service", "show replicas", "show shards", "show history", "show status", "show configuration", "explain search"} {
		if !kinds[want] {
			t.Errorf("the page has no example of %q", want)
		}
	}
}

var (
	nameGen     = rapid.SampledFrom([]string{"a", "tickets", "none", "and", "9x", "x y", `q"\`, "order", "on", "Ä", "vm"})
	shareGen    = rapid.Uint32Range(1, uint32(api.Whole))
	durationGen = rapid.Int64Range(1, int64(time.Hour))
)

func drawReplicas(t *rapid.T) []api.ReplicaName {
	var out []api.ReplicaName
	for range rapid.IntRange(0, 3).Draw(t, "replicas") {
		out = append(out, api.ReplicaName(nameGen.Draw(t, "replica")))
	}
	return out
}

func drawOp(t *rapid.T) config.Op {
	n := nameGen.Draw(t, "name")
	svc := api.ServiceName(nameGen.Draw(t, "service"))
	d, cov, flag, rows := time.Duration(durationGen.Draw(t, "deadline")), api.PPM(shareGen.Draw(t, "share")), rapid.Bool().Draw(t, "flag"), rapid.IntRange(1, 1000).Draw(t, "rows")
	dc, vm, addr := api.DataCentre(n), api.VMName(n), rapid.SampledFrom([]string{"10.0.0.1:9", "[::1]:80", "nowhere"}).Draw(t, "address")
	part := func() config.ShardSpec {
		return config.ShardSpec{Name: api.ShardName(nameGen.Draw(t, "part")), Replicas: drawReplicas(t)}
	}
	settings := config.RuleSettings{Deadline: &d, Coverage: &cov, EarlyReturn: &flag, ExtraLoad: &cov, Canary: &flag, MaxRows: &rows}
	if rapid.Bool().Draw(t, "few") {
		settings = config.RuleSettings{MaxRows: &rows}
	}
	ops := []config.Op{
		{CreateService: &config.CreateService{Name: svc, Kind: config.KindWork, Settings: settings}},
		{AlterService: &config.AlterService{Name: svc, Settings: settings}},
		{DropService: &config.DropService{Name: svc}},
		{CreateReplica: &config.CreateReplica{Name: api.ReplicaName(n), Replica: config.Replica{Service: svc, Address: addr, DataCentre: dc, VM: vm, Slots: rows, Connections: rows, Drained: flag}}},
		{AlterReplica: &config.AlterReplica{Name: api.ReplicaName(n), Address: &addr, VM: &vm, Slots: &rows}},
		{DropReplica: &config.DropReplica{Name: api.ReplicaName(n)}},
		{CreateShard: &config.CreateShard{Service: svc, Shard: config.Shard{Name: api.ShardName(n), First: 7, Last: uint32(d), Replicas: drawReplicas(t)}}},
		{AlterShard: &config.AlterShard{Service: svc, Name: api.ShardName(n), Replicas: drawReplicas(t)}},
		{SplitShard: &config.SplitShard{Service: svc, Name: api.ShardName(n), At: uint32(d), Low: part(), High: part()}},
		{MergeShards: &config.MergeShards{Service: svc, Names: []api.ShardName{"x", api.ShardName(n)}, Into: part()}},
		{DropShard: &config.DropShard{Service: svc, Name: api.ShardName(n)}},
		{Drain: &config.Drain{VM: vm, Drained: flag}},
		{Drain: &config.Drain{Replica: api.ReplicaName(n), Drained: flag}},
		{Recover: &config.Recover{}},
	}
	return rapid.SampledFrom(ops).Draw(t, "op")
}

func drawSearch(t *rapid.T) Search {
	s := Search{Deadline: time.Duration(durationGen.Draw(t, "deadline"))}
	s.Search.Coverage = api.PPM(shareGen.Draw(t, "coverage"))
	q := &s.Search.Query
	q.Service = api.ServiceName(nameGen.Draw(t, "service"))
	for range rapid.IntRange(0, 3).Draw(t, "conditions") {
		q.Conditions = append(q.Conditions, api.Condition{Field: nameGen.Draw(t, "field"), Operator: api.Operator(rapid.IntRange(1, 7).Draw(t, "operator")), Value: rapid.String().Draw(t, "value")})
	}
	if rapid.Bool().Draw(t, "ordered") {
		q.OrderBy, q.Descending = nameGen.Draw(t, "order"), rapid.Bool().Draw(t, "desc")
		q.Limit = rapid.IntRange(1, 99).Draw(t, "limit")
		v := q.Descending
		s.Search.EarlyReturn = &v
	}
	return s
}

// Guards against formatted text that parses to a different script: the history and
// explanations show formatted statements to operators.
func TestFormatRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &Script{}
		if rapid.Bool().Draw(t, "change") {
			s.Why = rapid.StringMatching(`\S.*`).Draw(t, "why")
			rev := rapid.Uint64Range(0, 1<<62).Draw(t, "revision")
			s.Expected = &rev
			for range rapid.IntRange(1, 4).Draw(t, "ops") {
				s.Statements = append(s.Statements, Change{Op: drawOp(t)})
			}
		} else {
			search := drawSearch(t)
			s.Statements = []Statement{search, Explain{Search: search}, Show{Subject: ShowShards, Service: search.Search.Query.Service}}
		}
		text := Format(s)
		got, err := Parse(text)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if !reflect.DeepEqual(got, s) {
			t.Fatalf("%s is parsed as %s", text, Format(got))
		}
	})
}

// FuzzParse guards against panics of the parser and against formatted text that does not
// parse to the same script.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"", "search t where a = 1", "drain vm \"\\", "create shard s of t range 0 to 0xff on a, b", "because \"x\" recover configuration", "search \"\xff\" where a contains \"\xfe\""} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(Format(s))
		if err != nil || Format(again) != Format(s) {
			t.Fatalf("%q is formatted as %q, which is parsed as %v, error %v", text, Format(s), again, err)
		}
	})
}
