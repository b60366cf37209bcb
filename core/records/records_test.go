package records

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/baobabsail/baobabsail/core/routing"
	"pgregory.net/rapid"
)

// Guards against answers that lack records: a selection of what arrives in pieces must merge to the
// same as the whole.
func TestSelectionMergesLikeTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := routing.Merge{RecordBytes: rapid.IntRange(1, 5).Draw(t, "record"), Records: rapid.IntRange(1, 7).Draw(t, "records")}
		// Few different bytes, so that many records are equal.
		body := rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 300).Draw(t, "body")
		s := NewSelector(rule)
		for rest := body; len(rest) > 0; {
			n := rapid.IntRange(1, min(len(rest), 40)).Draw(t, "piece")
			_, _ = s.Write(rest[:n]) // never fails
			rest = rest[n:]
		}
		want := Greatest(rule, AppendSplit(nil, rule.RecordBytes, body))
		if got := Greatest(rule, AppendSplit(nil, rule.RecordBytes, s.Bytes())); !bytes.Equal(got, want) {
			t.Fatalf("selected %v, want %v", got, want)
		}
	})
}

// Guards against a selection that grows with what is written.
func TestSelectionStaysSmall(t *testing.T) {
	rule := routing.Merge{RecordBytes: 16, Records: 50}
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewSelector(rule)
	piece := make([]byte, 2000)
	most := 0
	for range 5000 {
		for i := range piece {
			piece[i] = byte(rng.Uint32())
		}
		_, _ = s.Write(piece) // never fails
		most = max(most, len(s.Bytes()))
	}
	if limit := keptFactor*rule.Records*rule.RecordBytes + rule.RecordBytes; most > limit {
		t.Errorf("%d bytes are held, want %d at most", most, limit)
	}
	if !Selectable(rule) || Selectable(routing.Merge{}) || Selectable(routing.Merge{RecordBytes: 16, Records: 1 << 40}) {
		t.Error("wrong rules are selectable")
	}
	if got := AppendSplit(nil, 16, s.Bytes()); !slices.IsSortedFunc(got[:rule.Records], func(a, b []byte) int { return bytes.Compare(b, a) }) {
		t.Error("the selected records are not sorted")
	}
}
