package routing

import "github.com/baobabsail/baobabsail/core/api"

// Splitter deals the requests of weighted routes to their services so that the
// counts follow the weights closely in every short span: the smooth weighted
// round robin. It is not safe for concurrent use.
type Splitter struct {
	credits map[string]map[api.ServiceName]float64
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter {
	return &Splitter{credits: make(map[string]map[api.ServiceName]float64)}
}

// Choose returns the service of the next request of a route. A route without
// positive weights takes its first service.
func (s *Splitter) Choose(r *Route) api.ServiceName {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	credits := s.of(r)
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

// of returns the credits of a route; they start anew if its services changed.
func (s *Splitter) of(r *Route) map[api.ServiceName]float64 {
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
