package quarantine

import (
	"testing"
	"time"

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
