package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// runExplain runs the command against a server and returns the exit code, the output and the query
// that the server got.
func runExplain(t *testing.T, handler http.HandlerFunc, args ...string) (code int, out, query string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.Method + " " + r.URL.String()
		handler(w, r)
	}))
	defer server.Close()
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), append([]string{"explain", "--server", server.URL}, args...), strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String() + stderr.String(), query
}

const explanationBody = `{"node":"n1","data_centre":"dc-a","version":7,"evacuated":["dc-c"],
"route":{"name":"all","host":"h","prefix":"/all/","sharded":true,"idempotent":true,"max_attempts":2,"min_coverage":0.95},
"account":{"name":"one","priority":2,"per_second":7,"burst":9},"decision":"sent","admission":{"share":0.6,"next":true},
"summary":{"parts":2,"by_decision":{"sent":1,"waits":1},"by_reason":{"overloaded":1},"no_local":["s1","s2"],"no_replica":["s2"],"data_centres":{"dc-b":0.5}},
"groups":[{"group":0,"first":"s1","last":"s2","shards":2,"nodes":["n3","n4"],"reason":"group_in_data_centre"}],
"parts":[{"service":"s1","weight":1,"decision":"sent","group":0,"replicas":[
{"replica":"r1","data_centre":"dc-a","local":true,"registered":true,"reason":"cold","candidate":"with_permit","cold_ms":4000,"cold_rate":3,"ramp":0.25,"connections_quota":4},
{"replica":"r2","data_centre":"dc-b","registered":true,"eligible":true,"candidate":"now","share":1,"ramp":1,"connections_open":2,"connections_used":1,"connections_quota":4,"latency_ms":12.5,"load":{"wait":0.5,"age_ms":80}}]},
{"service":"s2","weight":1,"decision":"waits","reason":"overloaded","group":0,"replicas":[]}]}`

// Guards against an exit code that a script takes for an explanation although the names are unknown
// or the node gave none, and against a message without the reason.
func TestExplainExitCodes(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		args    []string
		code    int
		out     string
	}{
		{"explained", respondWith(200, explanationBody), []string{"h/all/x"}, exitOK, "decision"},
		{"unknown route", respondWith(404, `{"reason":"unknown_route","error":"no route"}`), []string{"h/x"}, exitRefused, "unknown_route: no route"},
		{"unknown account", respondWith(404, `{"reason":"unknown_account","error":"no account"}`), []string{"h/x", "--account", "a"}, exitRefused, "unknown_account"},
		{"no configuration", respondWith(503, `{"reason":"no_configuration","error":"none"}`), []string{"h/x"}, exitRefused, "no_configuration"},
		{"an older node", respondWith(404, "404 page not found\n"), []string{"h/x"}, exitUnreachable, "not that of a node that explains"},
		{"another server", respondWith(200, "hello"), []string{"h/x"}, exitUnreachable, "not that of a node that explains"},
		{"no host", respondWith(200, explanationBody), []string{"/x"}, exitUsage, "HOST/PATH"},
		{"no target", respondWith(200, explanationBody), nil, exitUsage, "target"},
		{"an unknown flag", respondWith(200, explanationBody), []string{"h/x", "--key", "k"}, exitUsage, "key"},
	} {
		if code, out, _ := runExplain(t, c.handler, c.args...); code != c.code || !strings.Contains(out, c.out) {
			t.Errorf("%s: code %d, output %q", c.name, code, out)
		}
	}
	var out bytes.Buffer
	server := httptest.NewServer(nil)
	server.Close()
	if code := run(context.Background(), []string{"explain", "h/x", "--server", server.URL}, strings.NewReader(""), &out, &out); code != exitUnreachable || !strings.Contains(out.String(), "cannot be reached") {
		t.Errorf("unreachable: code %d, output %s", code, out.String())
	}
}

// Guards against a query that names another request than the operator asked about.
func TestExplainQuery(t *testing.T) {
	for args, want := range map[string]string{
		"h.example/one/x":               "GET /explain?host=h.example&path=%2Fone%2Fx",
		"http://h.example:80/one/x?q=1": "GET /explain?host=h.example%3A80&path=%2Fone%2Fx",
		"h.example":                     "GET /explain?host=h.example&path=%2F",
		"h/a%2Fb --account one --data-centre dc-b --shards": "GET /explain?account=one&data_centre=dc-b&host=h&path=%2Fa%252Fb&shards=1",
		"h/x --account a&b --json":                          "GET /explain?account=a%26b&host=h&path=%2Fx",
	} {
		if _, _, query := runExplain(t, respondWith(200, explanationBody), strings.Fields(args)...); query != want {
			t.Errorf("%s: got %s, want %s", args, query, want)
		}
	}
}

// Guards against text that leaves out why a replica is not used, and against JSON that is not that of
// the node.
func TestExplainOutput(t *testing.T) {
	want := `decision     sent
node         n1 in dc-a, configuration version 7
route        all (h/all/), priority 0, idempotent, up to 2 attempts, at least 95% of the shards
account      one, priority 2, quota 7/s, burst 9, remainder not known here
evacuated    dc-c
admission    60% of the requests are admitted, the next one is
shards       2 (1 sent, 1 waits, reason overloaded: 1)
attempts     50% to dc-b
no local     2 without a usable replica in dc-a: s1 s2
no replica   1 without any usable replica: s2
range        0: 2 shards s1 to s2 run at one of n3 n4 (group_in_data_centre)

service  decision           replica  data centre   use                  share  state                                        connections     latency  load
s1       sent               r1       dc-a (local)  with a permit: cold  0%     cold for 4000 ms (3/s); 0 permits; ramp 25%  0 of 4, 0 open  unknown  none
s1       sent               r2       dc-b          candidate            100%   ok                                           1 of 4, 2 open  12.5 ms  0.50, 80 ms ago
s2       waits: overloaded  none     -             -                    -      -                                            -               -        -
`
	if _, out, _ := runExplain(t, respondWith(200, explanationBody), "h/all/x", "--shards"); out != want {
		t.Errorf("got\n%s\nwant\n%s", out, want)
	}
	if _, out, _ := runExplain(t, respondWith(200, explanationBody), "h/all/x", "--json"); !strings.Contains(out, `"candidate": "with_permit"`) {
		t.Errorf("got %s", out)
	}
}
