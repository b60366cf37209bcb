package routing

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
)

// weighted returns a route that is split among the services a, b, c and so on.
func weighted(weights ...float64) *Route {
	r := &Route{Name: "r"}
	for i, w := range weights {
		r.Services = append(r.Services, WeightedService{Service: api.ServiceName(rune('a' + i)), Weight: w})
	}
	return r
}

func newTestSplitter(seed uint64) *Splitter { return NewSplitter(rand.New(rand.NewPCG(seed, 1))) }

// Guards against requests that a service gets by credits from before a change of the weights: one
// that was withdrawn with weight 0, and one whose share became small or changed its unit. The
// number of requests before the change decides about the credits.
func TestSplitForgetsTheWeightsBeforeAChange(t *testing.T) {
	for name, c := range map[string]struct{ before, after *Route }{
		"withdrawn":         {weighted(5, 995), weighted(0, 1)},
		"withdrawn, others": {weighted(5, 995, 1000), weighted(0, 1, 1)},
		"smaller":           {weighted(500, 500), weighted(1, 9)},
		"another unit":      {weighted(5, 995), weighted(0.005, 0.995)},
		"larger unit":       {weighted(0.3, 0.7), weighted(300, 700)},
	} {
		total := 0.0
		for _, w := range c.after.Services {
			total += w.Weight
		}
		for requests := range 220 {
			s := newTestSplitter(uint64(requests))
			for range requests {
				s.Choose(c.before)
			}
			counts := map[api.ServiceName]float64{}
			for n := 1; n <= 200; n++ {
				counts[s.Choose(c.after)]++
				for _, w := range c.after.Services {
					if got, want := counts[w.Service], w.Weight/total*float64(n); math.Abs(got-want) > 1.5 || w.Weight == 0 && got > 0 {
						t.Fatalf("%s, after %d requests: %v of %d go to %s, want %.1f", name, requests, got, n, w.Service, want)
					}
				}
			}
		}
	}
}

// Guards against nodes that all send their first requests after a change of the weights to the same
// service: with many nodes, most of the requests of the next seconds are such ones.
func TestSplitOverManyNodesFollowsTheWeightsAtOnce(t *testing.T) {
	const nodes = 300
	for _, weights := range [][2]float64{{0.4, 0.6}, {30, 70}, {5, 995}} {
		before, after := weighted(1, 1), weighted(weights[0], weights[1])
		splitters := make([]*Splitter, nodes)
		for i := range splitters {
			splitters[i] = newTestSplitter(uint64(i))
			for range i % 5 {
				splitters[i].Choose(before)
			}
		}
		first := 0.0
		for round := 1; round <= 3; round++ {
			for _, s := range splitters {
				if s.Choose(after) == "a" {
					first++
				}
			}
			got, want := first/float64(nodes*round), weights[0]/(weights[0]+weights[1])
			if math.Abs(got-want) > 0.1 {
				t.Errorf("weights %v: a share of %.3f in the first %d requests of each node, want %.3f", weights, got, round, want)
			}
		}
	}
}

// Guards against the state of routes that no longer exist.
func TestSplitterForgetsRemovedRoutes(t *testing.T) {
	s := newTestSplitter(1)
	kept, removed := weighted(1, 1), weighted(1, 1)
	removed.Name = "removed"
	s.Choose(kept)
	s.Choose(removed)
	s.Retain(func(route string) bool { return route == kept.Name })
	if len(s.splits) != 1 || s.splits["r"] == nil {
		t.Errorf("state of %d routes is kept", len(s.splits))
	}
}
