package routing

import "github.com/baobabsail/baobabsail/core/api"

// Splitter distributes the requests of a route among its services by smooth
// weighted round robin, so that the counts follow the weights closely even over
// short sequences of requests. It is not safe for concurrent use.
type Splitter struct {
	// credits holds the current weights of the services, by route name.
	credits map[string]map[api.ServiceName]float64
}

// NewSplitter returns a splitter without state.
func NewSplitter() *Splitter {
	return &Splitter{credits: make(map[string]map[api.ServiceName]float64)}
}

// Choose returns the service for the next request of a route. If no service has
// a positive weight, it returns the first one.
func (s *Splitter) Choose(r *Route) api.ServiceName {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	credits := s.creditsFor(r)
	total := 0.0
	best := r.Services[0].Service
	for _, w := range r.Services {
		if w.Weight <= 0 {
			continue
		}
		total += w.Weight
		credits[w.Service] += w.Weight
		if credits[w.Service] > credits[best] {
			best = w.Service
		}
	}
	credits[best] -= total
	return best
}

// creditsFor returns the credits of a route. They are reset if the services of
// the route have changed.
func (s *Splitter) creditsFor(r *Route) map[api.ServiceName]float64 {
	credits := s.credits[r.Name]
	same := len(credits) == len(r.Services)
	for _, w := range r.Services {
		_, known := credits[w.Service]
		same = same && known
	}
	if !same {
		credits = make(map[api.ServiceName]float64, len(r.Services))
		for _, w := range r.Services {
			credits[w.Service] = 0
		}
		s.credits[r.Name] = credits
	}
	return credits
}
