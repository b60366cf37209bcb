package testbed

import (
	"flag"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
)

var (
	matrixSeed = flag.Uint64("matrix.seed", 20261203, "seed of the fault matrix")
	matrixStep = flag.Int("matrix.step", 1, "inject at every n-th step")
	matrixOnly = flag.String("matrix.only", "", "only faults with this text in the name")
	matrixRun  = flag.String("matrix.run", "", "one run to show, as step:fault,step:fault")
	matrixShow = flag.Int("matrix.show", 3, "violations shown for each fault and promise")
)

var promises = []string{"P1", "P2", "P3", "P4", "P5", "P6", "P7", "P8", "P9", "P10", "P11", "final"}

// matrix gathers runs and violations for each fault.
type matrix struct {
	t     *testing.T
	runs  map[string]int
	cells map[string]map[string]int
	shown map[string]int
}

func newMatrix(t *testing.T) *matrix {
	return &matrix{t: t, runs: make(map[string]int), cells: make(map[string]map[string]int), shown: make(map[string]int)}
}

func (m *matrix) add(row, where string, found []Violation) {
	m.runs[row]++
	if m.cells[row] == nil {
		m.cells[row] = make(map[string]int)
	}
	seen := make(map[string]bool)
	for _, v := range found {
		if key := row + v.Promise; m.shown[key] < *matrixShow {
			m.shown[key]++
			m.t.Errorf("%s at %s: %s: %s", row, where, v.Promise, v.Detail)
		}
		if !seen[v.Promise] {
			m.cells[row][v.Promise]++
		}
		seen[v.Promise] = true
	}
	if len(found) > 0 {
		m.t.Fail()
	}
}

func (m *matrix) print() {
	var b strings.Builder
	fmt.Fprintf(&b, "| fault | runs | %s |\n|---|---|%s\n", strings.Join(promises, " | "), strings.Repeat("---|", len(promises)))
	rows := make([]string, 0, len(m.runs))
	for row := range m.runs {
		rows = append(rows, row)
	}
	sort.Strings(rows)
	for _, row := range rows {
		fmt.Fprintf(&b, "| %s | %d |", row, m.runs[row])
		for _, p := range promises {
			fmt.Fprintf(&b, " %d |", m.cells[row][p])
		}
		b.WriteString("\n")
	}
	m.t.Logf("fault x promise, runs with a violation; seed %d\n%s", *matrixSeed, b.String())
}

// steps returns the number of events of the base run before the first step
// that takes a fault, and of the steps that do.
func steps(seed uint64) (first, n int) {
	s := NewScenario(seed)
	first = s.World.Position
	for s.Busy() {
		s.World.Step()
		n++
	}
	return first, n
}

// show takes the lines of a run that is shown.
var show func(string)

// run injects faults at some steps after the warm-up.
func run(seed uint64, faults []Fault, at []int) []Violation {
	s := NewScenario(seed)
	s.World.Show = show
	first := s.World.Position
	for i, f := range faults {
		for s.World.Position < first+at[i] {
			s.World.Step()
		}
		s.Inject(f)
	}
	return s.Finish()
}

// exampleRun is played by TestShowRun if no run is given.
const exampleRun = "22:version dropped,59:version dropped"

// Guards against a promise broken by the run given by -matrix.run, of which it prints
// each event and action, and against a form of runs that is no longer understood.
func TestShowRun(t *testing.T) {
	text := *matrixRun
	if text == "" {
		text = exampleRun
	} else {
		show = func(line string) { fmt.Println(line) }
		defer func() { show = nil }()
	}
	var faults []Fault
	var at []int
	for _, item := range strings.Split(text, ",") {
		step, name, _ := strings.Cut(item, ":")
		n, err := strconv.Atoi(step)
		i := slices.IndexFunc(Faults(), func(f Fault) bool { return f.Name == name })
		if err != nil || i < 0 {
			t.Fatalf("%q is not a step and the name of a fault", item)
		}
		faults, at = append(faults, Faults()[i]), append(at, n)
	}
	for _, v := range run(*matrixSeed, faults, at) {
		t.Errorf("%s: %s", v.Promise, v.Detail)
	}
}

// Guards against a promise that is broken by one fault at some step of a run.
func TestMatrixOfSingleFaults(t *testing.T) {
	m := newMatrix(t)
	_, n := steps(*matrixSeed)
	m.add("none", "-", run(*matrixSeed, nil, nil))
	for _, f := range Faults() {
		if !strings.Contains(f.Name, *matrixOnly) {
			continue
		}
		for at := 0; at < n; at += *matrixStep {
			m.add(f.Name, fmt.Sprint("step ", at), run(*matrixSeed, []Fault{f}, []int{at}))
		}
	}
	m.print()
}
