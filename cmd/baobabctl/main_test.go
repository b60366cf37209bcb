package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runAgainstServer runs the program against a test server with the given handler.
func runAgainstServer(t *testing.T, handler http.HandlerFunc, stdin string, args ...string) (code int, out string) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	var stdout, stderr bytes.Buffer
	args = append(args, "--server", server.URL, "--who", "ann")
	code = run(context.Background(), args, strings.NewReader(stdin), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// respondWith returns a handler that gives a fixed response.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// Operators' scripts decide by exit code whether to repeat a statement. Guards
// against confusing "node unreachable" (nothing was run) with "outcome unknown"
// (the statement may have been run).
func TestExitCodes(t *testing.T) {
	abortConnection := func(w http.ResponseWriter, r *http.Request) { panic(http.ErrAbortHandler) }
	cases := []struct {
		name    string
		handler http.HandlerFunc
		code    int
		out     string
	}{
		{"ok", respondWith(200, `{"outcome":"ok","results":[{"outcome":"ok","change":{"id":"c1","revision":7}}]}`), exitOK, "accepted: change c1, revision 7"},
		{"invalid", respondWith(400, `{"outcome":"invalid","message":"line 1"}`), exitRefused, "invalid: line 1"},
		{"conflict", respondWith(409, `{"outcome":"conflict","results":[{"outcome":"conflict","change":{"revision":8,"winner":{"id":"c2","who":"eve","revision":8,"why":"CHG"}}}]}`), exitRefused, "change c2 by eve came first at revision 8: CHG"},
		{"refused", respondWith(503, `{"outcome":"refused","reason":"store_unavailable","results":[{"outcome":"refused","reason":"store_unavailable","retry_after_ms":500}]}`), exitRefused, "refused: store_unavailable\nretry after 500 ms"},
		{"unknown", respondWith(504, `{"outcome":"unknown"}`), exitUnknown, "unknown"},
		{"aborted connection", abortConnection, exitUnknown, "outcome unknown"},
		{"another server", respondWith(200, `hello`), exitUnknown, "outcome unknown"},
	}
	for _, c := range cases {
		code, out := runAgainstServer(t, c.handler, "", "exec", "show services")
		if code != c.code || !strings.Contains(out, c.out) {
			t.Errorf("%s: got code %d and %q, want %d and %q", c.name, code, out, c.code, c.out)
		}
	}
	var out bytes.Buffer
	server := httptest.NewServer(nil)
	server.Close()
	for args, want := range map[string]int{
		"exec x --server " + server.URL: exitUnreachable,
		"exec x --server ftp://a":       exitUnreachable,
		"exec x --output xml":           exitUsage,
		"exec x -f y":                   exitUsage,
		"exec -f /absent/file":          exitUsage,
		"start":                         exitUsage,
	} {
		if code := run(context.Background(), strings.Fields(args), strings.NewReader(""), &out, &out); code != want {
			t.Errorf("%s: got code %d, want %d", args, code, want)
		}
	}
}

// Guards against statements that are lost or altered between their source (argument,
// file or standard input) and the request.
func TestStatementSources(t *testing.T) {
	file := filepath.Join(t.TempDir(), "statements")
	if err := os.WriteFile(file, []byte("show status"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, args := range map[string][]string{
		"argument": {"exec", "show status"},
		"file":     {"exec", "-f", file},
		"stdin":    {"exec"},
		"dash":     {"exec", "-f", "-"},
	} {
		var body string
		handler := func(w http.ResponseWriter, r *http.Request) {
			text, _ := io.ReadAll(r.Body)
			body = string(text)
			_, _ = io.WriteString(w, `{"outcome":"ok"}`)
		}
		if code, out := runAgainstServer(t, handler, "show status", args...); code != 0 || !strings.Contains(body, `"text":"show status","who":"ann"`) {
			t.Errorf("%s: code %d, output %s, body %s", name, code, out, body)
		}
	}
}

// Guards against a table broken by line breaks in values, and against output that
// hides incomplete coverage or a reached row limit.
func TestOutputFormats(t *testing.T) {
	answer := respondWith(200, `{"outcome":"ok","results":[{"outcome":"ok","columns":["key","x"],"rows":[["long key","1\n2"]],
		"coverage":{"epoch":2,"version":3,"share_percent":99.5,"covered_shards":4,"missing":[{"shard":"s1","reason":"deadline"}]},"limit_reached":true}]}`)
	want := "key       x\nlong key  1 2\ncoverage 99.5%: 4 shards of epoch 2 at version 3\nmissing s1: deadline\nmore rows match; the limit is reached\n"
	if _, out := runAgainstServer(t, answer, "", "exec", "search s"); out != want {
		t.Errorf("got\n%s\nwant\n%s", out, want)
	}
	if _, out := runAgainstServer(t, answer, "", "exec", "search s", "-o", "json"); !strings.Contains(out, `"share_percent": 99.5`) {
		t.Errorf("got %s", out)
	}
}
