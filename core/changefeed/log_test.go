package changefeed

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func put(key string, revision int64) Change {
	return Change{Key: key, Value: []byte(fmt.Sprint(key, "@", revision)), Revision: revision}
}

func deletion(key string, revision int64) Change {
	return Change{Key: key, Revision: revision, Deleted: true}
}

func keysOf(b Batch) []string {
	var out []string
	for _, c := range b.Changes {
		text := fmt.Sprint(c.Key, "@", c.Revision)
		if c.Deleted {
			text = "-" + text
		}
		out = append(out, text)
	}
	return out
}

func expectBatch(t *testing.T, b Batch, complete bool, want ...string) {
	t.Helper()
	if got := keysOf(b); b.Complete != complete || !slices.Equal(got, want) {
		t.Errorf("got changes %v (complete %v), want %v (complete %v)", got, b.Complete, want, complete)
	}
}

// Guards against a log that sends followers too few or too many changes, or sends them
// out of order.
func TestSinceReturnsLaterChanges(t *testing.T) {
	l := NewLog()
	l.Replace([]Change{put("b", 4), put("a", 7)}, Position{1, 10})
	l.Append(Batch{Changes: []Change{put("c", 11), put("a", 12)}, To: Position{1, 12}})
	l.Append(Batch{Changes: []Change{deletion("b", 13), put("c", 14)}, To: Position{1, 15}, Waited: time.Second})
	expectBatch(t, l.Since(Position{1, 10}), false, "a@12", "-b@13", "c@14")
	expectBatch(t, l.Since(Position{1, 12}), false, "-b@13", "c@14")
	expectBatch(t, l.Since(Position{1, 15}), false)
	expectBatch(t, l.Since(Position{1, 99}), false)
	expectBatch(t, l.Since(Position{1, 9}), true, "a@12", "c@14")
	expectBatch(t, l.Since(Position{2, 12}), true, "a@12", "c@14")
	if waited := l.Since(Position{1, 12}).Waited; waited != time.Second {
		t.Errorf("Waited of the last batch is %v, want 1s", waited)
	}
	if waited := l.Since(Position{1, 11}).Waited; waited != 0 {
		t.Errorf("Waited of changes from several batches is %v, want 0", waited)
	}
}

// Guards against a follower that keeps keys deleted while the source had no history of
// the store, and against sending every follower all keys after that.
func TestReplaceYieldsTheDifference(t *testing.T) {
	l := NewLog()
	l.Replace([]Change{put("a", 1), put("b", 2), put("c", 3)}, Position{1, 10})
	l.Replace([]Change{put("a", 1), put("c", 14), put("d", 15)}, Position{1, 20})
	expectBatch(t, l.Since(Position{1, 10}), false, "c@14", "d@15", "-b@20")
	l.Replace(nil, Position{1, 19})
	expectBatch(t, l.Since(Position{1, 10}), false, "c@14", "d@15", "-b@20")
}

// Guards against a follower that keeps a key which was created and deleted while the
// source had no history of the store (model test, seed 30452).
func TestSinceReturnsAllKeysWithinAGap(t *testing.T) {
	l := NewLog()
	l.Replace([]Change{put("a", 1)}, Position{1, 10})
	l.Replace([]Change{put("a", 1)}, Position{1, 20}) // another key existed from revision 12 to 18 only
	expectBatch(t, l.Since(Position{1, 15}), true, "a@1")
	expectBatch(t, l.Since(Position{1, 10}), false)
	expectBatch(t, l.Since(Position{1, 20}), false)
	for r := int64(21); r < 21+2*maxGaps; r++ {
		l.Replace([]Change{put("a", 1)}, Position{1, r})
	}
	expectBatch(t, l.Since(Position{1, 15}), true, "a@1")
	if len(l.gaps) > maxGaps {
		t.Errorf("log holds %d gaps", len(l.gaps))
	}
}

// Guards against changes of an earlier era, or of an older answer, that replace newer
// ones.
func TestLogNeverGoesBack(t *testing.T) {
	l := NewLog()
	l.Replace([]Change{put("a", 5)}, Position{2, 10})
	l.Append(Batch{Changes: []Change{put("a", 90)}, To: Position{1, 99}})
	l.Append(Batch{Changes: []Change{put("a", 9)}, To: Position{2, 9}})
	l.Append(Batch{Changes: []Change{put("a", 9), put("b", 11)}, To: Position{2, 11}})
	expectBatch(t, l.Since(Position{}), true, "a@5", "b@11")
	if p := l.Position(); p != (Position{2, 11}) {
		t.Errorf("position is %+v, want era 2, revision 11", p)
	}
	l.Replace([]Change{put("z", 3)}, Position{3, 4})
	expectBatch(t, l.Since(Position{2, 11}), true, "z@3")
}

// Guards against a gap that is not passed on with the changes: a follower of a
// follower would keep a key that was created and deleted in the gap (model test, seed 561361).
func TestLogPassesGapsOn(t *testing.T) {
	first, second := NewLog(), NewLog()
	first.Replace([]Change{put("a", 1)}, Position{1, 10})
	second.Replace([]Change{put("a", 1)}, Position{1, 10})
	first.Replace([]Change{put("a", 1)}, Position{1, 20}) // another key existed from revision 12 to 18 only
	second.Append(first.Since(second.Position()))
	expectBatch(t, second.Since(Position{1, 15}), true, "a@1")
	expectBatch(t, second.Since(Position{1, 10}), false)
	first.Append(Batch{Changes: []Change{put("b", 21)}, To: Position{1, 21}})
	second.Append(first.Since(second.Position()))
	if len(second.gaps) != 1 {
		t.Errorf("%d gaps after a change that follows the gap, want 1", len(second.gaps))
	}
}

// Guards against a log that grows with the number of changes, and against followers
// that miss a deletion that the log no longer holds.
func TestLogIsBounded(t *testing.T) {
	l := NewLog()
	l.Replace([]Change{put("kept", 1)}, Position{1, 1})
	for r := int64(2); r < 4*maxDeletions; r += 2 {
		key := fmt.Sprint("k", r)
		l.Append(Batch{Changes: []Change{put(key, r)}, To: Position{1, r}})
		l.Append(Batch{Changes: []Change{deletion(key, r+1)}, To: Position{1, r + 1}})
	}
	if len(l.newest) > maxDeletions+2 || len(l.ordered) > 2*(maxDeletions+2) {
		t.Errorf("log holds %d keys, %d changes", len(l.newest), len(l.ordered))
	}
	expectBatch(t, l.Since(Position{1, 5}), true, "kept@1")
	if b := l.Since(Position{1, l.floor}); b.Complete || len(b.Changes) == 0 {
		t.Errorf("a follower at the floor is sent %d changes, complete %v", len(b.Changes), b.Complete)
	}
}

// Guards against a choice of watchers that depends on the order of the list, and against
// too many watchers, whose calls would load the store.
func TestWatchersAreFewAndTheSameForAll(t *testing.T) {
	var members []Member
	for i := range 295 {
		m := Member{Node: fmt.Sprintf("n%03d", i), DataCentre: "a", Address: "x", Cores: 0.2}
		if i >= 150 {
			m.DataCentre = "b"
		}
		if i%100 == 99 {
			m.Cores = 0.8
		}
		members = append(members, m)
	}
	first := Rankings(members)
	slices.Reverse(members)
	second := Rankings(members)
	for dc, r := range first {
		if !slices.Equal(r.Nodes, second[dc].Nodes) {
			t.Errorf("data centre %s: %v and %v", dc, r, second[dc])
		}
		if r.Watching != 3 || len(r.Nodes) != 3+standbysPerDataCentre {
			t.Errorf("data centre %s: %d of about 150 nodes watch, %d are ranked", dc, r.Watching, len(r.Nodes))
		}
	}
	if got := first["a"].Nodes[0].Node; got != "n099" {
		t.Errorf("the first watcher is %s, want the large node n099", got)
	}
	if Rankings(members[:7]) != nil {
		t.Error("seven nodes have rankings; each should watch the store")
	}
	few := Rankings(members[:20])
	if got := few["a"].Watching + few["b"].Watching; got != minWatchers {
		t.Errorf("%d of 20 nodes watch, want the minimum", got)
	}
}
