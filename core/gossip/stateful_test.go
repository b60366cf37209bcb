package gossip

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"pgregory.net/rapid"
)

// Fixed seed; a -rapid.seed on the command line replaces it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards the end state after any sequence of losses, new lives, partitions and
// notices: 20 s after the last one, every live node lists exactly the live
// nodes under their present lives, and knows every notice that a live node has
// known since. The oracle sees only lists and fresh notices.
func TestStateful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 5
		f := newFleet(n, 17, 0.1)
		f.run(3 * time.Second)
		next := api.Fingerprint(0)
		node := func() int { return rapid.IntRange(0, n-1).Draw(t, "node") }
		t.Repeat(map[string]func(*rapid.T){
			"lose":  func(t *rapid.T) { f.nodes[node()] = nil },
			"start": func(t *rapid.T) { f.start(node()) },
			"split": func(t *rapid.T) {
				cut := rapid.IntRange(0, n-1).Draw(t, "cut")
				f.side = func(i int) int { return min(1, i/(cut+1)) }
			},
			"heal": func(t *rapid.T) { f.side = func(int) int { return 0 } },
			"run":  func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second) },
			"publish": func(t *rapid.T) {
				if i := node(); f.nodes[i] != nil {
					next++
					f.publish(i, suspicion(next))
				}
			},
		})
		f.side = func(int) int { return 0 }
		f.start(0) // at least one seed must live
		f.run(20 * time.Second)
		checkAgreement(t, f, next)
	})
}

func checkAgreement(t *rapid.T, f *fleet, notices api.Fingerprint) {
	lives := make(map[api.Life]bool)
	for _, x := range f.nodes {
		if x != nil {
			lives[x.self.Life] = true
		}
	}
	known := make(map[api.Fingerprint]int)
	for i, x := range f.nodes {
		if x == nil {
			continue
		}
		members := x.Members(f.clock(i))
		for _, m := range members {
			if !lives[m.Life] {
				t.Fatalf("node %d lists %s, which is gone", i, m.Name)
			}
		}
		if len(members) != len(lives) {
			t.Fatalf("node %d lists %d of %d members", i, len(members), len(lives))
		}
		for fp := range f.fresh[i] {
			known[fp]++
		}
	}
	for fp := range notices + 1 {
		if n := known[fp]; n != 0 && n != len(lives) {
			t.Fatalf("notice %d is known to %d of %d nodes", fp, n, len(lives))
		}
	}
}
