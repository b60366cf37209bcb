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

// matrix counts runs and violations for each fault.
type matrix struct {
	t          *testing.T
	runCounts  map[string]int
	violations map[string]map[string]int
	reported   map[string]int
}

func newMatrix(t *testing.T) *matrix {
	return &matrix{t: t, runCounts: make(map[string]int), violations: make(map[string]map[string]int), reported: make(map[string]int)}
}

func (m *matrix) record(row, where string, found []Violation) {
	m.runCounts[row]++
	if m.violations[row] == nil {
		m.violations[row] = make(map[string]int)
	}
	seen := make(map[string]bool)
	for _, v := range found {
		if key := row + v.Promise; m.reported[key] < *matrixShow {
			m.reported[key]++
			m.t.Errorf("%s at %s: %s: %s", row, where, v.Promise, v.Detail)
		}
		if !seen[v.Promise] {
			m.violations[row][v.Promise]++
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
	rows := make([]string, 0, len(m.runCounts))
	for row := range m.runCounts {
		rows = append(rows, row)
	}
	sort.Strings(rows)
	for _, row := range rows {
		fmt.Fprintf(&b, "| %s | %d |", row, m.runCounts[row])
		for _, p := range promises {
			fmt.Fprintf(&b, " %d |", m.violations[row][p])
		}
		b.WriteString("\n")
	}
	m.t.Logf("fault x promise, runs with a violation; seed %d\n%s", *matrixSeed, b.String())
}

// countSteps returns the number of events of the base run before the fault window,
// and the number of events in it.
func countSteps(seed uint64) (first, n int) {
	s := NewScenario(seed)
	first = s.Sim.StepCount
	for s.InFaultWindow() {
		s.Sim.Step()
		n++
	}
	return first, n
}

// showLine, if set, receives a line for each event and action of a run.
var showLine func(string)

// runWithFaults executes a run that injects faults[i] at[i] steps after the warm-up,
// and returns the broken promises.
func runWithFaults(seed uint64, faults []Fault, at []int) []Violation {
	s := NewScenario(seed)
	s.Sim.Show = showLine
	first := s.Sim.StepCount
	for i, f := range faults {
		for s.Sim.StepCount < first+at[i] {
			s.Sim.Step()
		}
		s.Inject(f)
	}
	return s.Finish()
}

// exampleRun is the run that TestShowRun executes if -matrix.run is not set.
const exampleRun = "22:version dropped,59:version dropped"

// Guards against a promise that the run given by -matrix.run breaks, and against a
// syntax of -matrix.run that can no longer be parsed. If -matrix.run is set, the
// test prints each event and action of the run.
func TestShowRun(t *testing.T) {
	text := *matrixRun
	if text == "" {
		text = exampleRun
	} else {
		showLine = func(line string) { fmt.Println(line) }
		defer func() { showLine = nil }()
	}
	var faults []Fault
	var at []int
	for _, item := range strings.Split(text, ",") {
		step, name, _ := strings.Cut(item, ":")
		n, err := strconv.Atoi(step)
		i := slices.IndexFunc(Faults(), func(f Fault) bool { return f.Name == name })
		if err != nil || i < 0 {
			t.Fatalf("%q in -matrix.run is not of the form step:fault with the name of a fault", item)
		}
		faults, at = append(faults, Faults()[i]), append(at, n)
	}
	for _, v := range runWithFaults(*matrixSeed, faults, at) {
		t.Errorf("%s: %s", v.Promise, v.Detail)
	}
}

// Guards against a promise that a single fault breaks at any step of the fault
// window.
func TestMatrixOfSingleFaults(t *testing.T) {
	m := newMatrix(t)
	_, n := countSteps(*matrixSeed)
	m.record("none", "-", runWithFaults(*matrixSeed, nil, nil))
	for _, f := range Faults() {
		if !strings.Contains(f.Name, *matrixOnly) {
			continue
		}
		for at := 0; at < n; at += *matrixStep {
			m.record(f.Name, fmt.Sprint("step ", at), runWithFaults(*matrixSeed, []Fault{f}, []int{at}))
		}
	}
	m.print()
}
