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

// TestMain sets a fixed seed and number of checks. -rapid.seed and -rapid.checks on
// the command line override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.steps", "25")
	_ = flag.Set("rapid.nofailfile", "true")
	debug.SetGCPercent(400) // reduces the garbage collector's share of thousands of short runs
	os.Exit(m.Run())
}

// Guards against a promise that only a longer sequence of faults and requests
// breaks. rapid shrinks a failure to a short list of actions.
func TestRandomFaults(t *testing.T) {
	var names []string
	faults := make(map[string]Fault)
	for _, f := range Faults() {
		names = append(names, f.Name)
		faults[f.Name] = f
	}
	rapid.Check(t, func(t *rapid.T) {
		s := NewScenario(uint64(rapid.IntRange(1, 1000).Draw(t, "seed")))
		sim := s.Sim
		sim.Show = showLine
		var log []string
		logf := func(format string, args ...any) {
			log = append(log, fmt.Sprintf("%7.1f ms ", float64(sim.Now().Sub(Start).Microseconds())/1000)+fmt.Sprintf(format, args...))
		}
		host := func(t *rapid.T) *Host { return sim.Hosts[rapid.IntRange(0, len(sim.Hosts)-1).Draw(t, "host")] }
		tag := func(t *rapid.T) string { return fmt.Sprint("t", rapid.IntRange(1, 3).Draw(t, "tag")) }
		keys := []struct {
			key  [16]byte
			what string
		}{{sim.NewKey(), "p1"}, {sim.NewKey(), "p2"}, {sim.NewKey(), "p3"}}
		actions := map[string]func(*rapid.T){
			"steps": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "n") {
					sim.Step()
				}
			},
			"wait": func(t *rapid.T) {
				sim.RunUntil(sim.Now().Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond))
			},
			"search": func(t *rapid.T) {
				h, q := host(t), tag(t)
				logf("search %s at %s", q, h.name)
				sim.Search(h, q, "")
			},
			"work": func(t *rapid.T) {
				h, k := host(t), keys[rapid.IntRange(0, len(keys)-1).Draw(t, "key")]
				logf("work %s at %s", k.what, h.name)
				sim.Work(h, k.key, k.what, "")
			},
			"fault": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "fault")
				logf("fault %s", name)
				s.Inject(Fault{Inject: faults[name].Inject})
			},
		}
		t.Repeat(actions)
		// The effects of a sequence of faults can last as long as the longest
		// backoff. Full answers are required only after that.
		s.settledAt, s.promise = sim.Now().Add(calmAfterFaults), "recovery"
		logf("calm")
		if found := s.Finish(); len(found) > 0 {
			t.Fatalf("%v\n%s", found, strings.Join(log, "\n"))
		}
	})
}

// calmAfterFaults is the longest fault (8 s) plus the longest backoff of a
// connection (10 s).
const calmAfterFaults = 18 * time.Second
