package testbed

import (
	"time"

	"github.com/baobabsail/baobabsail/core/config"
)

// Scenario is the base run of the fault matrix.
type Scenario struct {
	World *World
	// settled is when each request has to be answered in full again; promise is
	// broken otherwise.
	settled time.Time
	promise string
	popular string
}

const (
	// warmUp is when the nodes have found each other and opened connections.
	warmUp = 2500 * time.Millisecond
	// busy is the part of the run in which faults are injected; at least calm
	// follows, and afterSettled from when the faults have settled.
	busy         = 50 * time.Millisecond
	calm         = 2700 * time.Millisecond
	afterSettled = 2500 * time.Millisecond
)

// NewScenario returns a base run of three nodes that has warmed up.
func NewScenario(seed uint64) *Scenario {
	w := New(seed, 3, Document())
	w.Trace.Hosts = len(w.Hosts)
	s := &Scenario{World: w, popular: "popular"}
	w.RunUntil(Start.Add(warmUp))
	for _, h := range w.Hosts { // the popular search is known at each node
		w.Search(h, s.popular, "")
	}
	w.RunUntil(Start.Add(warmUp + 100*time.Millisecond))
	s.schedule()
	return s
}

func (s *Scenario) at(d time.Duration, f func()) { s.World.After(d, f) }

// must returns the promise that a request sent now has to keep.
func (s *Scenario) must() string {
	if s.World.now.Before(s.settled) {
		return ""
	}
	return s.promise
}

// schedule plans the requests of the run.
func (s *Scenario) schedule() {
	w := s.World
	for i := range 6 {
		s.at(time.Duration(i*10+1)*time.Millisecond, func() {
			tag := s.popular
			if i%2 == 0 {
				tag = w.Tag()
			}
			w.Search(w.Pick(), tag, "")
		})
	}
	for i := range 2 {
		s.at(time.Duration(i*24+6)*time.Millisecond, func() {
			key := w.Key()
			payload := "order " + w.Tag()
			w.Work(w.Pick(), key, payload, "")
			for _, d := range []time.Duration{300 * time.Millisecond, 1700 * time.Millisecond, 4 * time.Second} {
				s.at(d, func() { w.Work(w.Pick(), key, payload, "") })
			}
		})
	}
	for i, d := range []time.Duration{14 * time.Millisecond, 2500 * time.Millisecond} {
		s.at(d, func() {
			rows := 200 + i
			w.Change(w.Pick(), config.Op{AlterService: &config.AlterService{Name: Crews, Settings: config.RuleSettings{MaxRows: &rows}}})
		})
	}
	s.at(busy, s.background)
}

// background sends one request of each kind now and then until the run ends.
func (s *Scenario) background() {
	w := s.World
	if !w.now.Before(s.end().Add(-workDeadline / 2)) {
		return
	}
	w.Search(w.Pick(), s.popular, s.must())
	s.at(40*time.Millisecond, func() { w.Search(w.Pick(), w.Tag(), s.must()) })
	s.at(90*time.Millisecond, func() { w.Work(w.Pick(), w.Key(), "payload "+w.Tag(), s.must()) })
	s.at(270*time.Millisecond, s.background)
}

// end returns when the run ends: some time after everything has settled.
func (s *Scenario) end() time.Time {
	end := Start.Add(warmUp + 100*time.Millisecond + busy + calm)
	if at := s.settled.Add(afterSettled); at.After(end) {
		return at
	}
	return end
}

// Inject injects a fault now.
func (s *Scenario) Inject(f Fault) {
	f.Inject(s.World)
	if at := s.World.now.Add(f.Settled); at.After(s.settled) {
		s.settled, s.promise = at, f.Promise
	}
}

// Busy reports whether the part of the run that takes faults is still on.
func (s *Scenario) Busy() bool {
	w := s.World
	return len(w.queue) > 0 && !w.queue[0].at.After(Start.Add(warmUp+100*time.Millisecond+busy))
}

// Finish completes the run and returns the broken promises.
func (s *Scenario) Finish() []Violation {
	w := s.World
	for w.now.Before(s.end()) {
		w.RunUntil(s.end())
	}
	w.Trace.End = w.now
	return Check(&w.Trace)
}
