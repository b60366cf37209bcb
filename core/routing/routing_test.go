package routing

import (
	"math"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
)

func table(routes ...Route) *Table { return NewTable(1, routes, nil, Limits{}) }

// Guards against sending a request to the route of another host or of a shorter
// prefix.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	tab := table(
		Route{Name: "a", Host: "One.example", Prefix: "/a/"},
		Route{Name: "ab", Host: "one.example", Prefix: "/a/b/"},
		Route{Name: "other", Host: "two.example", Prefix: "/a/b/c/"},
	)
	cases := []struct{ host, path, want string }{
		{"one.example", "/a/x", "a"},
		{"ONE.example:8080", "/a/b/c/d", "ab"},
		{"one.example", "/a/b", "a"},
		{"two.example", "/a/b/c/", "other"},
		{"one.example", "/a", ""},
		{"three.example", "/a/x", ""},
	}
	for _, c := range cases {
		got := ""
		if r := tab.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s matches route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against request counts that deviate from the weights over a short
// sequence, also after the weights have changed.
func TestSplitFollowsTheWeights(t *testing.T) {
	s := newTestSplitter(1)
	for _, weights := range [][]float64{{1, 1}, {90, 10}, {5, 3, 2}, {0, 1}} {
		r := Route{Name: "r"}
		total := 0.0
		for i, w := range weights {
			r.Services = append(r.Services, WeightedService{Service: api.ServiceName(rune('a' + i)), Weight: w})
			total += w
		}
		counts := map[api.ServiceName]float64{}
		for n := 1; n <= 300; n++ {
			counts[s.Choose(&r)]++
			for _, w := range r.Services {
				if want := w.Weight / total * float64(n); math.Abs(counts[w.Service]-want) > 1.5 {
					t.Fatalf("weights %v: %v of %d requests to %s, want %.1f", weights, counts[w.Service], n, w.Service, want)
				}
			}
		}
	}
}
