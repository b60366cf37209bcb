package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against an example file that no longer loads: operators copy it.
func TestExampleHasNoProblems(t *testing.T) {
	s, problems := Load("../../examples/entry.json")
	if len(problems) != 0 {
		t.Fatalf("problems: %v", problems)
	}
	if s.Name != "entry-1" || s.Limits.MaxRequestBytes != 1<<20 || s.Shutdown.AcceptFor.Std() != 10*time.Second ||
		s.Peers.List[0].Address != "127.0.0.1:8092" || s.Platform.Stores[0] != "http://127.0.0.1:2379" {
		t.Errorf("got %+v", s)
	}
}

const invalidSettings = `{ // line 1
  "name": "",
  "data_center": "dc-a", /* not the
     spelling of this file */
  "callers": {"listen": "localhost"},
  "operators": {},
  "peers": {
    "listen": "0.0.0.0:80",
    "list": [
      {"name": "p", "address": "h:1"},
      {"name": "p", "address": "h:0"},
      {"address": 5},
    ],
  },
  "platform": {"stores": [], "poll_interval": "5 parsecs"},
  "limits": {
    "max_request_bytes": "1 parsec",
    "max_concurrent_requests": 0,
    "read_timeout": "-1s",
    "read_timeout": "1s",
  },
  "shutdown": {"accept_for": "2m"},
  "telemetry": [],
  "log_level": "loud",
  "seed": 1.5,
}
`

// Every problem must be reported in one run, with its line and key.
func TestAllProblemsInOneRun(t *testing.T) {
	want := []string{
		"f:1: data_centre: is missing",
		"f:1: vm: is missing",
		"f:2: name: is empty",
		"f:3: data_center: is not a known key",
		`f:5: callers.listen: "localhost" is not IP:port`,
		"f:6: operators.listen: is missing",
		`f:8: peers.listen: "0.0.0.0:80" is not an address that other nodes can connect to`,
		`f:11: peers.list[1].address: "h:0" has no port from 1 to 65535`,
		"f:11: peers.list[1].name: names a peer that is listed before",
		"f:12: peers.list[2].address: must be a string, not a number",
		"f:12: peers.list[2].name: is missing",
		`f:15: platform.poll_interval: "5 parsecs" is not a duration with a unit of ms, s, m or h`,
		"f:15: platform.stores: is empty",
		`f:17: limits.max_request_bytes: "1 parsec" is not a size with a unit of B, KiB or MiB`,
		"f:18: limits.max_concurrent_requests: must be above 0",
		"f:19: limits.read_timeout: must be above 0",
		"f:20: limits.read_timeout: is given twice",
		"f:22: shutdown.total_limit: is shorter than shutdown.accept_for",
		"f:23: telemetry: must be an object, not a list",
		`f:24: log_level: "loud" is not one of debug, info, warn, error`,
		"f:25: seed: 1.5 is not a whole number in range",
	}
	s, problems := Parse("f", []byte(invalidSettings))
	if s != nil {
		t.Error("settings with problems are returned")
	}
	var got []string
	for _, p := range problems {
		got = append(got, p.String())
	}
	if g, w := strings.Join(got, "\n"), strings.Join(want, "\n"); g != w {
		t.Errorf("got\n%s\n\nwant\n%s", g, w)
	}
}

// If a section is missing, the problems must name the required keys inside it.
func TestEmptyObjectNamesEveryRequiredKey(t *testing.T) {
	_, problems := Parse("f", []byte(`{}`))
	var keys []string
	for _, p := range problems {
		keys = append(keys, p.Key)
	}
	if got := strings.Join(keys, " "); got != "name data_centre vm callers.listen operators.listen peers.listen platform.stores" {
		t.Errorf("got %s", got)
	}
}

// Problems without a key must still name the file position: the line of a syntax
// error, or 0 if the file could not be read.
func TestSyntaxErrorAndUnreadableFile(t *testing.T) {
	_, problems := Parse("f", []byte("{\n  \"name\": \"a\"\n  \"vm\": \"b\"\n}"))
	if len(problems) != 1 || problems[0].Line != 3 {
		t.Errorf("got %v, want one problem in line 3", problems)
	}
	_, problems = Load(filepath.Join(t.TempDir(), "absent"))
	if len(problems) != 1 || problems[0].Line != 0 {
		t.Errorf("got %v", problems)
	}
}

// Guards against accepting two listeners with the same address.
func TestSameListenerTwice(t *testing.T) {
	text, err := os.ReadFile("../../examples/entry.json")
	if err != nil {
		t.Fatal(err)
	}
	_, problems := Parse("f", []byte(strings.Replace(string(text), "127.0.0.1:8081", "127.0.0.1:8080", 1)))
	if len(problems) != 1 || problems[0].Key != "operators.listen" || problems[0].Line != 12 {
		t.Errorf("got %v", problems)
	}
}
