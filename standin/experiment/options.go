package experiment

import (
	"slices"
	"strings"
	"time"
)

// Options configures an experiment.
type Options struct {
	// Programs is the directory that holds the executables of the project.
	Programs string
	// Directory is an existing directory for the settings, logs and reports.
	Directory string
	// Deployments, Scenarios and Policies select what to measure by name; an empty
	// list selects all.
	Deployments []string
	Scenarios   []string
	Policies    []string
	Seed        uint64
	// WarmUp is the time under load before the measurement of a phase, and Measure
	// the measured time.
	WarmUp  time.Duration
	Measure time.Duration
	// Limit is the timeout of the whole experiment.
	Limit time.Duration
	// Repeat is the number of times each cell is measured; values below 1 count as 1.
	Repeat int
	// Distinct is the number of different searches sent to each service.
	Distinct int
	// Share replaces the usual load, as a share of the capacity, if it is not 0.
	Share float64
	// Progress is called with each finished cell; it may be nil.
	Progress func(Cell)
}

// cellSpec is a combination of deployment, scenario and policy to measure.
type cellSpec struct {
	deployment Deployment
	scenario   Scenario
	policy     Policy
}

// cells returns the combinations in the order of the table. The policies of a
// scenario are measured one after another, so that the load of the machine is
// similar for the policies that are compared.
func (o *Options) cells() ([]cellSpec, error) {
	deployments, err := selectByName("deployment", Deployments(), o.Deployments, func(d Deployment) string { return d.Name })
	if err != nil {
		return nil, err
	}
	scenarios, err := selectByName("scenario", Scenarios(), o.Scenarios, func(s Scenario) string { return s.Name })
	if err != nil {
		return nil, err
	}
	policies, err := selectByName("policy", Policies(), o.Policies, func(p Policy) string { return p.Name })
	if err != nil {
		return nil, err
	}
	var out []cellSpec
	for _, d := range deployments {
		for _, s := range scenarios {
			for _, p := range policies {
				for range max(1, o.Repeat) {
					out = append(out, cellSpec{d, s, p})
				}
			}
		}
	}
	return out, nil
}

// selectByName returns the items with the given names in the order of list, or
// the whole list if there are no names. An unknown name is an error; kind names
// the items in its message.
func selectByName[T any](kind string, list []T, names []string, name func(T) string) ([]T, error) {
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
			return nil, ErrOptions.New("unknown %s %q; known names: %s", kind, n, strings.Join(known, ", "))
		}
	}
	return out, nil
}

// validate checks the options other than the selected names.
func (o *Options) validate() error {
	if o.Programs == "" || o.Directory == "" {
		return ErrOptions.New("the program directory and the output directory are required")
	}
	if o.Measure <= 0 || o.WarmUp <= 0 || o.Limit <= 0 || o.Distinct <= 0 || o.Share < 0 {
		return ErrOptions.New("warm-up, measured time, limit and distinct searches must be positive, and the share must not be negative")
	}
	return nil
}
