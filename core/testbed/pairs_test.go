package testbed

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
)

var matrixPairs = flag.Int("matrix.pairs", 700, "runs with two faults")

// Guards against a promise that only two faults together break. The pairs and their
// steps are random.
func TestMatrixOfPairs(t *testing.T) {
	m := newMatrix(t)
	_, n := countSteps(*matrixSeed)
	sim := New(*matrixSeed+1, 0, Document()) // used only for its random number generator
	all := Faults()
	for i := range *matrixPairs {
		a := all[i%len(all)]
		b := all[sim.rng.IntN(len(all))]
		if i%10 == 0 {
			b = a
		}
		at := []int{sim.rng.IntN(n), sim.rng.IntN(n)}
		slices.Sort(at)
		if strings.Contains(a.Name, *matrixOnly) {
			m.record(a.Name, fmt.Sprintf("seed %d, %d:%s,%d:%s", *matrixSeed+uint64(i), at[0], a.Name, at[1], b.Name), runWithFaults(*matrixSeed+uint64(i), []Fault{a, b}, at))
		}
	}
	m.print()
}
