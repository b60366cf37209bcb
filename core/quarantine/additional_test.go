package quarantine

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Guards against refusing a harmless request because targets stopped responding
// to it at two nodes: one other cause may explain both.
func TestUnresponsiveTargetsAtTwoNodesDoNotConvict(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := New(count.NewSet()), New(count.NewSet())
	fps := []api.Fingerprint{7}
	fromA, fromB := a.RequestsUnanswered(now, fps), b.RequestsUnanswered(now, fps)
	for _, r := range []*Registry{a, b} {
		for _, n := range append(append([]gossip.Notice(nil), fromA...), fromB...) {
			r.Learn(now, n)
			if out := r.Respond(now, n); len(out) > 0 {
				t.Errorf("notices %+v", out)
			}
		}
		if v := r.Admit(now, 7, Options{}); v.Kind != RunProbation {
			t.Errorf("Admit returned kind %d, want a probation run", v.Kind)
		}
	}
	a.ProbationStarted(now, 7, "r1")
	if out := a.Crashed(now, "r1", 1, fps); len(out) != 1 || out[0].Kind != gossip.NoticeConvicted {
		t.Errorf("notices %+v after a crash of the probation run, want one conviction", out)
	}
}

// Guards against attributing a crash to a request although an additional crash
// is recorded there for another one that has more crashes, and against
// additional crashes that convict.
func TestAdditionalCrashIsAttributedAndDoesNotCount(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := New(count.NewSet())
	r.Crashed(now, "r1", 1, []api.Fingerprint{666})
	if out := r.AdditionalCrash(now, "r2", 1, []api.Fingerprint{666}); len(out) != 1 || out[0].Kind != gossip.NoticeFurtherCrash {
		t.Fatalf("notices %+v", out)
	}
	if v := r.Admit(now, 666, Options{}); v.Kind != RunProbation {
		t.Errorf("Admit returned kind %d, want a probation run", v.Kind)
	}
	peer := New(count.NewSet())
	for _, n := range r.Active(now) {
		peer.Learn(now, n)
	}
	peer.Learn(now, gossip.Notice{Kind: gossip.NoticeFurtherCrash, Fingerprint: 666, Replica: "r2", Incarnation: 1, Version: 1 << 60, TimeToLive: time.Minute})
	if !r.AttributedToOther("r2", 1, 7) || !peer.AttributedToOther("r2", 1, 7) {
		t.Error("the additional crash is not attributed to the other request")
	}
	if r.AttributedToOther("r2", 2, 7) || r.AttributedToOther("r2", 1, 666) {
		t.Error("the crash of another process, or that of the given request itself, is attributed to another request")
	}
}
