package forward

import (
	"slices"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/routing"
)

// homeRegions are the regions that a request may reach. The zero value stands for all of them.
type homeRegions struct {
	// restricted is set if only the listed regions may be reached, which may be none.
	restricted bool
	regions    []api.Region
}

// intersect returns the regions that are also in a list. An empty list restricts nothing.
func (h homeRegions) intersect(regions []api.Region) homeRegions {
	switch {
	case len(regions) == 0:
		return h
	case !h.restricted:
		return homeRegions{restricted: true, regions: regions}
	}
	both := homeRegions{restricted: true}
	for _, region := range h.regions {
		if slices.Contains(regions, region) {
			both.regions = append(both.regions, region)
		}
	}
	return both
}

// homeRegionsOf returns the regions that a request may reach: those that its route, its account
// and, for a range of another node's request, that node all name.
func (e *Engine) homeRegionsOf(ev Arrived, route *routing.Route) homeRegions {
	h := homeRegions{}.intersect(route.HomeRegions)
	if e.table.Accounts != nil && ev.Message.Account != "" {
		if a := e.table.Accounts.ByName(ev.Message.Account); a != nil {
			h = h.intersect(a.HomeRegions)
		}
	}
	if ev.Subset != nil {
		h = h.intersect(ev.Subset.HomeRegions)
	}
	return h
}

// mayReach reports whether a request with the given home regions may reach a data centre. One whose
// region is not known is outside all of them.
func (e *Engine) mayReach(h homeRegions, dc api.DataCentre) bool {
	return !h.restricted || slices.Contains(h.regions, e.settings.Regions[dc])
}
