package relay

import (
	"slices"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
)

// Guards against home regions that are lost on the way to the node that runs a range, and against
// a range without any that becomes restricted.
func TestHomeRegionsReachTheNodeThatRunsARange(t *testing.T) {
	n := NewNodes(make(events, 1), testHeaders)
	for _, regions := range [][]api.Region{nil, {"eu", "uk"}} {
		q := n.shardsRequest(forward.CallPeer{
			Message: &forward.Message{Path: "/x", Wire: &wireRequest{}}, Subset: forward.Subset{HomeRegions: regions},
		})
		if got := arrivedEvent(testHeaders, 1, q).Subset.HomeRegions; !slices.Equal(got, regions) {
			t.Errorf("%v become %v", regions, got)
		}
	}
}
