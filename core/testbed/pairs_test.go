package testbed

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
)

var matrixPair = flag.Int("matrix.pairs", 700, "runs with two faults")

// Guards against a promise that is broken only by two faults together.
func TestMatrixOfPairs(t *testing.T) {
	m := newMatrix(t)
	_, n := steps(*matrixSeed)
	w := New(*matrixSeed+1, 0, Document()) // only for its random numbers
	all := Faults()
	for i := range *matrixPair {
		a := all[i%len(all)]
		b := all[w.rng.IntN(len(all))]
		if i%10 == 0 {
			b = a
		}
		at := []int{w.rng.IntN(n), w.rng.IntN(n)}
		slices.Sort(at)
		if strings.Contains(a.Name, *matrixOnly) {
			m.add(a.Name, fmt.Sprintf("seed %d, %d:%s,%d:%s", *matrixSeed+uint64(i), at[0], a.Name, at[1], b.Name), run(*matrixSeed+uint64(i), []Fault{a, b}, at))
		}
	}
	m.print()
}
