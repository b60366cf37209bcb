package quarantine

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/gossip"
)

// Guards against a conviction that is lost because a suspicion that its sender
// did not know of arrived first, with a higher version.
func TestConvictionCountsInEitherOrder(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	suspicion := gossip.Notice{Kind: gossip.NoticeSuspect, Fingerprint: 1, Replica: "r1", Incarnation: 2, Crashes: 1, Version: 20, TimeToLive: time.Hour}
	conviction := gossip.Notice{Kind: gossip.NoticeConvicted, Fingerprint: 1, Replica: "r2", Incarnation: 1, Crashes: 2, Version: 10, TimeToLive: time.Hour}
	for _, order := range [][]gossip.Notice{{suspicion, conviction}, {conviction, suspicion}} {
		r := New(count.NewSet())
		for _, n := range order {
			r.Learn(now, n)
		}
		if v := r.Admit(now, 1, Options{Work: true}); v.Kind != Refuse || v.RetryAfter == 0 {
			t.Errorf("kind %d first: %+v", order[0].Kind, v)
		}
	}
}

// Guards against the conviction of a popular request that shares the target of
// its isolated run with the request that crashes it.
func TestInnocentBesideTheCauseIsNotConvicted(t *testing.T) {
	const innocent, cause = 1, 2
	now := time.UnixMilli(1_800_000_000_000)
	other := gossip.Notice{Kind: gossip.NoticeConvicted, Fingerprint: cause, Replica: "r2", Incarnation: 7, Crashes: 2, Version: 10, TimeToLive: time.Hour}
	for _, c := range []struct {
		what     string
		learned  bool // the cause was sent by another node
		inFlight []api.Fingerprint
		want     Kind
	}{
		{"sent by another node", true, []api.Fingerprint{innocent}, RunAlone},
		{"sent by this node", false, []api.Fingerprint{innocent, cause}, RunAlone},
		{"alone on the target", false, []api.Fingerprint{innocent}, Refuse},
	} {
		r := New(count.NewSet())
		r.Answered(now, innocent)
		r.Crashed(now, "r1", 5, []api.Fingerprint{innocent})
		if v := r.Admit(now, innocent, Options{}); v.Kind != RunAlone {
			t.Fatalf("not on probation: %+v", v)
		}
		r.Placed(now, innocent, "r2")
		if c.learned {
			r.Learn(now, other)
		}
		r.Crashed(now, "r2", 7, c.inFlight)
		if v := r.Admit(now, innocent, Options{}); v.Kind != c.want {
			t.Errorf("%s: %+v, want %d", c.what, v, c.want)
		}
	}
}
