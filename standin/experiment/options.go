package experiment

import (
	"slices"
	"strings"
	"time"
)

// Options describe one experiment.
type Options struct {
	// Programs is the directory of the project's programs.
	Programs string
	// Directory receives settings and logs. It must exist.
	Directory string
	// Deployments, Scenarios and Policies are names; empty stands for all.
	Deployments []string
	Scenarios   []string
	Policies    []string
	Seed        uint64
	WarmUp      time.Duration
	Measure     time.Duration
	// Limit bounds the whole experiment.
	Limit time.Duration
	// Repeat is how often each cell is measured.
	Repeat int
	// Distinct is the number of different searches of each service.
	Distinct int
	// Share replaces the usual share of the capacity if not 0.
	Share float64
	// Progress is told about each finished cell; it may be nil.
	Progress func(Cell)
}

// cellOf is one combination to measure.
type cellOf struct {
	deployment Deployment
	scenario   Scenario
	policy     Policy
}

// cells returns the combinations in the order of the table: policies of one
// scenario next to each other, so that they meet the same state of the machine.
func (o *Options) cells() ([]cellOf, error) {
	deployments, err := chosen("deployment", Deployments(), o.Deployments, func(d Deployment) string { return d.Name })
	if err != nil {
		return nil, err
	}
	scenarios, err := chosen("scenario", Scenarios(), o.Scenarios, func(s Scenario) string { return s.Name })
	if err != nil {
		return nil, err
	}
	policies, err := chosen("policy", Policies(), o.Policies, func(p Policy) string { return p.Name })
	if err != nil {
		return nil, err
	}
	var out []cellOf
	for _, d := range deployments {
		for _, s := range scenarios {
			for _, p := range policies {
				for range max(1, o.Repeat) {
					out = append(out, cellOf{d, s, p})
				}
			}
		}
	}
	return out, nil
}

// chosen returns the items with the given names in the order of the list.
func chosen[T any](what string, list []T, names []string, name func(T) string) ([]T, error) {
	if len(names) == 0 {
		return list, nil
	}
	var out []T
	var known []string
	for _, item := range list {
		known = append(known, name(item))
		if slices.Contains(names, name(item)) {
			out = append(out, item)
		}
	}
	for _, n := range names {
		if !slices.Contains(known, n) {
			return nil, ErrOptions.New("no %s %q; known are %s", what, n, strings.Join(known, ", "))
		}
	}
	return out, nil
}

func (o *Options) check() error {
	if o.Programs == "" || o.Directory == "" {
		return ErrOptions.New("the directories of the programs and of the files are needed")
	}
	if o.Measure <= 0 || o.WarmUp <= 0 || o.Limit <= 0 || o.Distinct <= 0 || o.Share < 0 {
		return ErrOptions.New("warm-up, measured time, limit and distinct searches must be positive, and the share not negative")
	}
	return nil
}
