package relay

import (
	"slices"
	"testing"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/routing"
)

// Guards against home regions that are lost on the way to the node that runs a range, and against
// a range without any that becomes restricted.
func TestHomeRegionsReachTheNodeThatRunsARange(t *testing.T) {
	n := NewNodes(make(events, 1), testHeaders, testCallBytes)
	for _, regions := range [][]api.Region{nil, {"eu", "uk"}} {
		q := n.shardsRequest(forward.CallPeer{
			Message: &forward.Message{Path: "/x", Wire: &wireRequest{}}, Subset: forward.Subset{HomeRegions: regions},
		})
		if got := arrivedEvent(testHeaders, 1, q).Subset.HomeRegions; !slices.Equal(got, regions) {
			t.Errorf("%v become %v", regions, got)
		}
	}
}

// Guards against a merge rule that is lost on the way to the node that runs a range or back, so
// that records are missing, and against one that a node of an older version seems to name.
func TestMergeRuleReachesTheNodeThatRunsARangeAndComesBack(t *testing.T) {
	n := NewNodes(make(events, 1), testHeaders, testCallBytes)
	for _, rule := range []routing.Merge{{}, {RecordBytes: 16, Records: 50}, {RecordBytes: 16}} {
		q := n.shardsRequest(forward.CallPeer{
			Message: &forward.Message{Path: "/x", Wire: &wireRequest{}}, Subset: forward.Subset{Merge: rule},
		})
		if got := arrivedEvent(testHeaders, 1, q).Subset.Merge; got != rule {
			t.Errorf("%+v becomes %+v", rule, got)
		}
		a := forward.Answer{Merged: &forward.Merged{Proofs: []string{"p"}, Rule: rule}}
		if got := callRepliedEvent(1, shardsReply(&a)).Rule; got != rule {
			t.Errorf("%+v comes back as %+v", rule, got)
		}
	}
}
