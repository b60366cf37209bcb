package testbed

import (
	"time"

	"github.com/baobabsail/baobabsail/core/config"
)

// Scenario is the base run of the fault matrix.
type Scenario struct {
	Sim *Simulation
	// settledAt is the time from which each request has to be answered in full
	// again. promise is the promise that is broken otherwise.
	settledAt time.Time
	promise   string
	// popularTag is the tag of a search that is sent repeatedly.
	popularTag string
}

const (
	// warmUp is the time that the nodes need to find each other and to open
	// connections.
	warmUp = 2500 * time.Millisecond
	// faultWindow is the part of the run in which faults are injected. The run goes
	// on for at least quietPeriod after it, and for at least runAfterSettled after
	// the faults have settled.
	faultWindow     = 50 * time.Millisecond
	quietPeriod     = 2700 * time.Millisecond
	runAfterSettled = 2500 * time.Millisecond
)

// NewScenario returns a base run of three nodes that has completed its warm-up.
func NewScenario(seed uint64) *Scenario {
	sim := New(seed, 3, Document())
	sim.Trace.Hosts = len(sim.Hosts)
	s := &Scenario{Sim: sim, popularTag: "popular"}
	sim.RunUntil(Start.Add(warmUp))
	for _, h := range sim.Hosts { // so that each node has seen the popular search
		sim.Search(h, s.popularTag, "")
	}
	sim.RunUntil(Start.Add(warmUp + 100*time.Millisecond))
	s.scheduleRequests()
	return s
}

func (s *Scenario) after(d time.Duration, f func()) { s.Sim.After(d, f) }

// requiredPromise returns the promise that is broken unless a request sent now is
// answered in full, or "" before the faults have settled.
func (s *Scenario) requiredPromise() string {
	if s.Sim.now.Before(s.settledAt) {
		return ""
	}
	return s.promise
}

// scheduleRequests schedules the requests and changes of the run.
func (s *Scenario) scheduleRequests() {
	sim := s.Sim
	for i := range 6 {
		s.after(time.Duration(i*10+1)*time.Millisecond, func() {
			tag := s.popularTag
			if i%2 == 0 {
				tag = sim.NewTag()
			}
			sim.Search(sim.PickHost(), tag, "")
		})
	}
	for i := range 2 {
		s.after(time.Duration(i*24+6)*time.Millisecond, func() {
			key := sim.NewKey()
			payload := "order " + sim.NewTag()
			sim.Work(sim.PickHost(), key, payload, "")
			for _, d := range []time.Duration{300 * time.Millisecond, 1700 * time.Millisecond, 4 * time.Second} {
				s.after(d, func() { sim.Work(sim.PickHost(), key, payload, "") })
			}
		})
	}
	for i, d := range []time.Duration{14 * time.Millisecond, 2500 * time.Millisecond} {
		s.after(d, func() {
			rows := 200 + i
			sim.Change(sim.PickHost(), config.Op{AlterService: &config.AlterService{Name: Crews, Settings: config.RuleSettings{MaxRows: &rows}}})
		})
	}
	s.after(faultWindow, s.sendBackground)
}

// sendBackground sends a popular search, a new search and a work order, and repeats
// that every 270 ms until shortly before the end of the run.
func (s *Scenario) sendBackground() {
	sim := s.Sim
	if !sim.now.Before(s.end().Add(-workDeadline / 2)) {
		return
	}
	sim.Search(sim.PickHost(), s.popularTag, s.requiredPromise())
	s.after(40*time.Millisecond, func() { sim.Search(sim.PickHost(), sim.NewTag(), s.requiredPromise()) })
	s.after(90*time.Millisecond, func() { sim.Work(sim.PickHost(), sim.NewKey(), "payload "+sim.NewTag(), s.requiredPromise()) })
	s.after(270*time.Millisecond, s.sendBackground)
}

// end returns the time at which the run ends.
func (s *Scenario) end() time.Time {
	end := Start.Add(warmUp + 100*time.Millisecond + faultWindow + quietPeriod)
	if at := s.settledAt.Add(runAfterSettled); at.After(end) {
		return at
	}
	return end
}

// Inject injects a fault now.
func (s *Scenario) Inject(f Fault) {
	f.Inject(s.Sim)
	if at := s.Sim.now.Add(f.SettlesAfter); at.After(s.settledAt) {
		s.settledAt, s.promise = at, f.Promise
	}
}

// InFaultWindow reports whether the next event falls into the part of the run in
// which faults are injected.
func (s *Scenario) InFaultWindow() bool {
	sim := s.Sim
	return len(sim.queue) > 0 && !sim.queue[0].at.After(Start.Add(warmUp+100*time.Millisecond+faultWindow))
}

// Finish completes the run and returns the broken promises.
func (s *Scenario) Finish() []Violation {
	sim := s.Sim
	for sim.now.Before(s.end()) {
		sim.RunUntil(s.end())
	}
	sim.Trace.End = sim.now
	return Check(&sim.Trace)
}
