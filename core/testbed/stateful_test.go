package testbed

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Fixed seed and number of checks; -rapid.seed and -rapid.checks on the command
// line replace them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.steps", "25")
	_ = flag.Set("rapid.nofailfile", "true")
	debug.SetGCPercent(400) // thousands of short runs: less time for the collector
	os.Exit(m.Run())
}

// Guards against a promise that is broken by a longer sequence of faults and
// requests. A failure shrinks to a short list of actions.
func TestRandomFaults(t *testing.T) {
	var names []string
	faults := make(map[string]Fault)
	for _, f := range Faults() {
		names = append(names, f.Name)
		faults[f.Name] = f
	}
	rapid.Check(t, func(t *rapid.T) {
		s := NewScenario(uint64(rapid.IntRange(1, 1000).Draw(t, "seed")))
		w := s.World
		w.Show = show
		var log []string
		said := func(format string, args ...any) {
			log = append(log, fmt.Sprintf("%7.1f ms ", float64(w.Now().Sub(Start).Microseconds())/1000)+fmt.Sprintf(format, args...))
		}
		host := func(t *rapid.T) *Host { return w.Hosts[rapid.IntRange(0, len(w.Hosts)-1).Draw(t, "host")] }
		tag := func(t *rapid.T) string { return fmt.Sprint("t", rapid.IntRange(1, 3).Draw(t, "tag")) }
		keys := []struct {
			key  [16]byte
			what string
		}{{w.Key(), "p1"}, {w.Key(), "p2"}, {w.Key(), "p3"}}
		actions := map[string]func(*rapid.T){
			"steps": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "n") {
					w.Step()
				}
			},
			"wait": func(t *rapid.T) {
				w.RunUntil(w.Now().Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond))
			},
			"search": func(t *rapid.T) {
				h, q := host(t), tag(t)
				said("search %s at %s", q, h.name)
				w.Search(h, q, "")
			},
			"work": func(t *rapid.T) {
				h, k := host(t), keys[rapid.IntRange(0, len(keys)-1).Draw(t, "key")]
				said("work %s at %s", k.what, h.name)
				w.Work(h, k.key, k.what, "")
			},
			"fault": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "fault")
				said("fault %s", name)
				s.Inject(Fault{Inject: faults[name].Inject})
			},
		}
		t.Repeat(actions)
		// What a sequence of faults leaves behind is bounded only by the longest
		// backoff, so that the calm at the end asks for answers after that.
		s.settled, s.promise = w.Now().Add(calmAfterFaults), "recovery"
		said("calm")
		if found := s.Finish(); len(found) > 0 {
			t.Fatalf("%v\n%s", found, strings.Join(log, "\n"))
		}
	})
}

// calmAfterFaults covers the longest fault (8 s) and the longest backoff of a
// connection (10 s).
const calmAfterFaults = 18 * time.Second
