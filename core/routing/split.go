package routing

import (
	"math/rand/v2"
	"slices"

	"github.com/baobabsail/baobabsail/core/api"
)

// maxPhase is the number of steps of the round robin among which the start of a route is drawn.
const maxPhase = 1000

// Splitter distributes the requests of a route among its services by smooth
// weighted round robin, so that the counts follow the weights closely even over
// short sequences of requests. It is not safe for concurrent use.
type Splitter struct {
	rng *rand.Rand
	// splits holds the state of each route with several services, by route name.
	splits map[string]*split
}

// split is the state of the round robin of one route.
type split struct {
	services []WeightedService
	// credits holds the current weights of the services, by index. They are in units of the
	// weights, and so mean nothing for other weights.
	credits []float64
}

// NewSplitter returns a splitter without state.
func NewSplitter(rng *rand.Rand) *Splitter {
	return &Splitter{rng: rng, splits: make(map[string]*split)}
}

// Choose returns the service for the next request of a route. If no service has
// a positive weight, it returns the first one.
func (s *Splitter) Choose(r *Route) api.ServiceName {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	sp := s.splits[r.Name]
	if sp == nil || !slices.Equal(sp.services, r.Services) {
		sp = s.start(r.Services)
		s.splits[r.Name] = sp
	}
	return r.Services[sp.next()].Service
}

// Retain removes the state of the routes for which keep returns false.
func (s *Splitter) Retain(keep func(route string) bool) {
	for name := range s.splits {
		if !keep(name) {
			delete(s.splits, name)
		}
	}
}

// start returns the state of a round robin at a random step. If all nodes started at the first
// one, their first requests after a change of the weights would all go to the same service.
func (s *Splitter) start(services []WeightedService) *split {
	sp := &split{services: services, credits: make([]float64, len(services))}
	for range s.rng.IntN(maxPhase) {
		sp.next()
	}
	return sp
}

// next returns the index of the service with the greatest credit among those with a positive
// weight; 0 if there is none.
func (sp *split) next() int {
	total, best := 0.0, -1
	for i, w := range sp.services {
		if w.Weight <= 0 {
			continue
		}
		total += w.Weight
		sp.credits[i] += w.Weight
		if best < 0 || sp.credits[i] > sp.credits[best] {
			best = i
		}
	}
	if best < 0 {
		return 0
	}
	sp.credits[best] -= total
	return best
}
