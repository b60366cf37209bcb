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
		if v := r.Admit(now.Add(explanationTime), 1, Options{Work: true}); v.Kind != Refuse || v.RetryAfter == 0 {
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
		if v := r.Admit(now.Add(explanationTime), innocent, Options{}); v.Kind != c.want {
			t.Errorf("%s: %+v, want %d", c.what, v, c.want)
		}
	}
}

// Guards against an innocent request that stays shut out because it ran alone
// on the target that another node's fatal request crashed, and that node's
// notice came after the conviction.
func TestLateNoticeOfTheCauseClearsTheInnocent(t *testing.T) {
	const popular, fatal = fp, api.Fingerprint(2)
	r := newRegistry()
	r.Answered(epoch, popular)
	crashOf(r, epoch, "a", popular)
	want(t, r, epoch, RunAlone)
	r.Placed(epoch, popular, "b")
	crashOf(r, epoch, "b", popular)
	want(t, r, epoch.Add(explanationTime), Refuse)
	notice := gossip.Notice{
		Kind: gossip.NoticeSuspect, Fingerprint: fatal, Replica: "b", Incarnation: 1, Crashes: 1,
		Version: 1, TimeToLive: time.Minute,
	}
	other := notice
	other.Replica = "c"
	r.Learn(epoch, other)
	if got := r.Respond(epoch, other); len(got) != 0 {
		t.Fatalf("cleared by the crash of another target: %+v", got)
	}
	r.Learn(epoch, notice)
	got := r.Respond(epoch, notice)
	// Its second crash convicts the fatal request.
	if len(got) != 2 || got[0].Kind != gossip.NoticeConvicted || got[0].Fingerprint != fatal ||
		got[1].Kind != gossip.NoticeCleared || got[1].Fingerprint != popular {
		t.Fatalf("notices %+v", got)
	}
	want(t, r, epoch, Run)
}

// Guards against the conviction of a popular request by a node that has just
// begun to run it, although a target answered it for another node before.
func TestPeerVouchesForAnAnsweredRequest(t *testing.T) {
	elsewhere, here := newRegistry(), newRegistry()
	elsewhere.Answered(epoch, fp)
	crashOf(here, epoch, "a", fp)
	convicted := crashOf(here, epoch, "b", fp)
	want(t, here, epoch.Add(explanationTime), Refuse)
	elsewhere.Learn(epoch, convicted[0])
	vouched := elsewhere.Respond(epoch, convicted[0])
	if len(vouched) != 1 || vouched[0].Kind != gossip.NoticeVouched {
		t.Fatalf("notices %+v", vouched)
	}
	if again := elsewhere.Respond(epoch, convicted[0]); len(again) != 0 {
		t.Fatalf("vouched twice: %+v", again)
	}
	cleared := here.Respond(epoch, vouched[0])
	if len(cleared) != 1 || cleared[0].Kind != gossip.NoticeCleared {
		t.Fatalf("notices %+v", cleared)
	}
	want(t, here, epoch, Run)
	elsewhere.Learn(epoch, cleared[0])
	want(t, elsewhere, epoch, Run)
}

// Guards against a conviction that stays although its node took it back, at a
// node with a later suspicion of its own: the conviction counts beside that
// suspicion, and so must its end, in whichever order the two notices arrive.
func TestTakenBackConvictionEndsBesideALaterSuspicion(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	convicted := gossip.Notice{
		Kind: gossip.NoticeConvicted, Fingerprint: fp, Replica: "r1", Incarnation: 1, Crashes: 2,
		Version: uint64(start.UnixMilli()), TimeToLive: time.Hour,
	}
	back := gossip.Notice{Kind: gossip.NoticeCleared, Fingerprint: fp, Version: convicted.Version + 1, TimeToLive: time.Hour}
	for _, order := range [][]gossip.Notice{{convicted, back}, {back, convicted}} {
		r := newRegistry()
		later := start.Add(50 * time.Millisecond)
		crashOf(r, later, "r2", fp)
		for _, n := range order {
			r.Learn(later, n)
		}
		want(t, r, later, RunAlone)
	}
}

// Guards against a popular request that is refused, if only until the notice
// comes, because it ran alone on the target that another node's fatal request
// crashed. The same at a node that learns the conviction, and for a request
// that only a peer knows to be answered before.
func TestConvictionThatIsSoonExplainedRefusesNothing(t *testing.T) {
	const fatal = api.Fingerprint(2)
	soon := epoch.Add(explanationTime - time.Millisecond)
	here, elsewhere := newRegistry(), newRegistry()
	here.Answered(epoch, fp)
	crashOf(here, epoch, "a", fp)
	want(t, here, epoch, RunAlone)
	here.Placed(epoch, fp, "b")
	convicted := crashOf(here, epoch, "b", fp)
	here.Released(epoch, fp)
	elsewhere.Learn(epoch, convicted[0])
	want(t, here, soon, Wait)
	want(t, elsewhere, soon, Wait)
	cause := gossip.Notice{
		Kind: gossip.NoticeSuspect, Fingerprint: fatal, Replica: "b", Incarnation: 1, Crashes: 1,
		Version: 1, TimeToLive: time.Minute,
	}
	here.Learn(soon, cause)
	back := here.Respond(soon, cause)
	if len(back) != 1 || !elsewhere.Learn(soon, back[0]) {
		t.Fatalf("notices %+v", back)
	}
	want(t, here, soon, Run)
	want(t, elsewhere, soon, Run)

	newcomer := newRegistry()
	crashOf(newcomer, epoch, "a", fp)
	crashOf(newcomer, epoch, "b", fp)
	want(t, newcomer, soon, Wait)
	newcomer.Respond(soon, gossip.Notice{Kind: gossip.NoticeVouched, Fingerprint: fp, Version: 1, TimeToLive: time.Minute})
	want(t, newcomer, soon, Run)
}

// Guards against requests that go on waiting when nothing explains the
// conviction: Tick says, once and in time, from when on they are refused.
func TestUnexplainedConvictionIsReportedWhenItRefuses(t *testing.T) {
	r := newRegistry()
	crashOf(r, epoch, "a", fp)
	crashOf(r, epoch, "b", fp)
	at := r.Wake()
	if at.Sub(epoch) != explanationTime {
		t.Fatalf("wakes after %s", at.Sub(epoch))
	}
	if got := r.Tick(at.Add(-time.Millisecond)); len(got) != 0 {
		t.Fatalf("reported early: %v", got)
	}
	if got := r.Tick(at); len(got) != 1 || got[0] != fp {
		t.Fatalf("reported %v", got)
	}
	want(t, r, at, Refuse)
	if got := r.Tick(at); len(got) != 0 {
		t.Fatalf("reported twice: %v", got)
	}
}

// Guards against a third crash by a request that crashed one target for each of
// two nodes which could not talk: when they hear of one another's crash, the
// request is convicted. The crash that both know counts once, and a request that
// was answered before needs an isolated run.
func TestCrashesSeenByTwoNodesConvict(t *testing.T) {
	for _, c := range []struct {
		what   string
		second api.ReplicaName
		good   bool
		want   Kind
	}{
		{"two crashes", "b", false, Refuse},
		{"one crash seen twice", "a", false, RunAlone},
		{"answered before", "b", true, RunAlone},
	} {
		here, elsewhere := newRegistry(), newRegistry()
		if c.good {
			here.Answered(epoch, fp)
		}
		crashOf(here, epoch, "a", fp)
		for _, n := range crashOf(elsewhere, epoch, c.second, fp) {
			here.Learn(epoch, n)
			for _, answer := range here.Respond(epoch, n) {
				elsewhere.Learn(epoch, answer)
				elsewhere.Respond(epoch, answer)
			}
		}
		for _, r := range []*Registry{here, elsewhere} {
			if v := r.Admit(epoch.Add(explanationTime), fp, search); v.Kind != c.want {
				t.Errorf("%s: %+v, want %d", c.what, v, c.want)
			}
		}
	}
}

// Guards against the conviction of an innocent request that was in flight at
// the same two crashes as the cause, before either was suspected: both are tried
// alone, which clears the one and convicts the other.
func TestTwoSuspectsOfTheSameCrashesAreTriedAlone(t *testing.T) {
	const cause = api.Fingerprint(2)
	r := newRegistry()
	crashOf(r, epoch, "a", fp, cause)
	crashOf(r, epoch, "b", fp, cause)
	crashOf(r, epoch, "d", 3, 4)
	crashOf(r, epoch, "e", 3, 5)
	if v := r.Admit(epoch, 3, search); v.Kind != Wait {
		t.Errorf("the only request that was there at both crashes: %+v", v)
	}
	for _, suspected := range []api.Fingerprint{fp, cause} {
		if v := r.Admit(epoch, suspected, search); v.Kind != RunAlone {
			t.Fatalf("fingerprint %d: %+v", suspected, v)
		}
		r.Placed(epoch, suspected, "c")
	}
	r.Answered(epoch, fp)
	crashOf(r, epoch, "c", cause)
	later := epoch.Add(explanationTime)
	want(t, r, later, Run)
	if v := r.Admit(later, cause, search); v.Kind != Refuse {
		t.Errorf("the cause: %+v", v)
	}
}

// Guards against a conviction by a node that only hears of the crashes: the
// node that saw both has judged the request itself, with all that ran beside it.
func TestCrashesReportedByOneNodeAreJudgedThere(t *testing.T) {
	const cause = api.Fingerprint(2)
	saw, heard := newRegistry(), newRegistry()
	notices := crashOf(saw, epoch, "a", fp, 3)
	notices = append(notices, crashOf(saw, epoch, "c", cause)...)
	notices = append(notices, crashOf(saw, epoch, "b", fp, cause)...)
	for _, n := range notices {
		heard.Learn(epoch, n)
		if out := heard.Respond(epoch, n); len(out) != 0 {
			t.Fatalf("responds %+v", out)
		}
	}
	want(t, heard, epoch.Add(explanationTime), RunAlone)
}

// Guards against the conviction of a popular request by a node that has just
// started: its isolated run shared the target with another request that was
// never answered, and a peer vouches for it afterwards.
func TestVouchedRequestBesideAnotherSuspectIsTakenBack(t *testing.T) {
	const cause = api.Fingerprint(2)
	for _, beside := range []bool{true, false} {
		r := newRegistry()
		crashOf(r, epoch, "a", fp)
		want(t, r, epoch, RunAlone)
		r.Placed(epoch, fp, "b")
		if beside {
			r.Learn(epoch, crashOf(newRegistry(), epoch, "b", cause)[0])
		}
		crashOf(r, epoch, "b", fp)
		r.Respond(epoch, gossip.Notice{Kind: gossip.NoticeVouched, Fingerprint: fp, Version: 1, TimeToLive: time.Minute})
		expected := Refuse
		if beside {
			expected = Run
		}
		want(t, r, epoch.Add(explanationTime), expected)
	}
}
