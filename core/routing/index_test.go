package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// linearMatch is the definition of Match: the first of the longest prefixes.
func linearMatch(routes []Route, path string) *Route {
	var best *Route
	for i := range routes {
		r := &routes[i]
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Guards against an index that finds another route than the longest prefix, with random
// prefixes of a small alphabet, which are often nested or equal.
func TestIndexFindsTheLongestPrefix(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		text := func() string {
			b := []byte("/")
			for range rng.IntN(8) {
				b = append(b, "ab/"[rng.IntN(3)])
			}
			return string(b)
		}
		routes := make([]Route, rng.IntN(40))
		for i := range routes {
			routes[i] = Route{Name: fmt.Sprint(i), Host: "h", Prefix: text()}
		}
		tab := table(routes...)
		for range 100 {
			path := text()
			if got, want := tab.Match("h", path), linearMatch(tab.Routes, path); got != want {
				t.Fatalf("seed %d, %s: route %+v, want %+v", seed, path, got, want)
			}
		}
	}
}

// growth returns configurations of n routes: as operators write them, and with prefixes that
// are all nested, where a walk over the shorter prefixes would be linear.
func growth(n int) map[string][]Route {
	flat, nested := make([]Route, n), make([]Route, n)
	for i := range n {
		flat[i] = Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/plates/%d/", i)}
		nested[i] = Route{Name: fmt.Sprint(i), Host: "h", Prefix: "/" + strings.Repeat("a", i)}
	}
	return map[string][]Route{"flat": flat, "nested": nested}
}

// Guards against a lookup whose steps grow faster than the logarithm of the number of routes,
// as when the configuration grows by 1,500 routes: 90 routes become 1,590.
func TestLookupStepsAreLogarithmic(t *testing.T) {
	for _, n := range []int{10, 90, 100, 1_500, 1_590, 10_000} {
		for kind, routes := range growth(n) {
			index := table(routes...).byHost["h"]
			most := 0
			for i := range routes {
				// The second path leaves a chain of nested prefixes at its middle.
				for _, path := range []string{routes[i].Prefix + "x", routes[i].Prefix[:len(routes[i].Prefix)/2] + "b"} {
					_, steps := index.find(path)
					most = max(most, steps)
				}
			}
			// A binary search takes log2(n)+1 steps, a walk over jump pointers 3*log2(n)+2 at most.
			if limit := 4*math.Log2(float64(n)) + 3; float64(most) > limit {
				t.Errorf("%d routes, %s: up to %d steps, more than %.0f", n, kind, most, limit)
			} else {
				t.Logf("%d routes, %s: up to %d steps", n, kind, most)
			}
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 100, 1_500, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tab := table(growth(n)["flat"]...)
			path := fmt.Sprintf("/plates/%d/search", n/2)
			b.ReportAllocs()
			for b.Loop() {
				if tab.Match("h", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{10, 100, 1_500, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			routes := growth(n)["flat"]
			for b.Loop() {
				table(routes...)
			}
		})
	}
}
