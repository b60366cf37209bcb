package gossip

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, which -rapid.seed on the command line overrides.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against member lists and notices that do not converge after any sequence of
// stopped nodes, new lives, partitions and notices. 20 s after the last action, every
// live node must list exactly the live nodes under their current lives, and know every
// notice that any live node knows. The check uses only member lists and the notices
// reported as new.
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
				f.sideOf = func(i int) int { return min(1, i/(cut+1)) }
			},
			"heal": func(t *rapid.T) { f.sideOf = func(int) int { return 0 } },
			"run":  func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second) },
			"publish": func(t *rapid.T) {
				if i := node(); f.nodes[i] != nil {
					next++
					f.publish(i, suspectNotice(next))
				}
			},
		})
		f.sideOf = func(int) int { return 0 }
		f.start(0) // at least one seed must run
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
				t.Fatalf("node %d lists %s under a life that has ended", i, m.Name)
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
			t.Fatalf("notice %d is known to %d of %d live nodes", fp, n, len(lives))
		}
	}
}
