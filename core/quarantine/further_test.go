package quarantine

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Guards against an innocent request that is refused since two nodes saw targets fall
// silent under it, which may all have one other cause.
func TestSilenceAtTwoNodesDoesNotConvict(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := New(count.NewSet()), New(count.NewSet())
	fps := []api.Fingerprint{7}
	fromA, fromB := a.FellSilent(now, fps), b.FellSilent(now, fps)
	for _, r := range []*Registry{a, b} {
		for _, n := range append(append([]gossip.Notice(nil), fromA...), fromB...) {
			r.Learn(now, n)
			if out := r.Respond(now, n); len(out) > 0 {
				t.Errorf("notices %+v", out)
			}
		}
		if v := r.Admit(now, 7, Options{}); v.Kind != RunAlone {
			t.Errorf("verdict %d, want a run alone", v.Kind)
		}
	}
	a.Placed(now, 7, "r1")
	if out := a.Crashed(now, "r1", 1, fps); len(out) != 1 || out[0].Kind != gossip.NoticeConvicted {
		t.Errorf("notices %+v after silence in a run alone", out)
	}
}

// Guards against a request that is blamed for a target that ended under another request,
// beside the one that counts; and against further ends that convict.
func TestFurtherEndsExplainAndDoNotCount(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := New(count.NewSet())
	r.Crashed(now, "r1", 1, []api.Fingerprint{666})
	if out := r.EndedToo(now, "r2", 1, []api.Fingerprint{666}); len(out) != 1 || out[0].Kind != gossip.NoticeEndedToo {
		t.Fatalf("notices %+v", out)
	}
	if v := r.Admit(now, 666, Options{}); v.Kind != RunAlone {
		t.Errorf("verdict %d, want a run alone", v.Kind)
	}
	peer := New(count.NewSet())
	for _, n := range r.Active(now) {
		peer.Learn(now, n)
	}
	peer.Learn(now, gossip.Notice{Kind: gossip.NoticeEndedToo, Fingerprint: 666, Replica: "r2", Incarnation: 1, Version: 1 << 60, TimeToLive: time.Minute})
	if !r.Explained("r2", 1, 7) || !peer.Explained("r2", 1, 7) {
		t.Error("the second end is not explained")
	}
	if r.Explained("r2", 2, 7) || r.Explained("r2", 1, 666) {
		t.Error("another end is explained, or the request by itself")
	}
}
