package testbed

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/event"
)

// Crash ends the process of the target and starts a new one after downtime.
func (t *Target) Crash(downtime time.Duration) {
	t.exit(event.ConnReset)
	t.sim.After(downtime, t.Boot)
}

// exit ends the process with all its requests and connections.
func (t *Target) exit(how event.ConnEnd) {
	if !t.up {
		return
	}
	t.up = false
	t.running, t.queued = nil, nil
	for _, c := range slices.Clone(t.conns) {
		c.end(how)
	}
}

// Boot starts a new process, which is slow during its first second.
func (t *Target) Boot() {
	if t.up {
		return
	}
	t.up, t.Draining, t.Frozen, t.HideDrain = true, false, false, false
	t.incarnation++
	t.coldUntil = t.sim.now.Add(time.Second)
	if doc := t.sim.Store.document(); doc != nil {
		t.setShards(doc)
	}
}

// Drain announces that the target is draining. The target exits after stopAfter,
// when it has to be idle, and starts again after downtime.
func (t *Target) Drain(downtime time.Duration) {
	if !t.up || t.Draining {
		return
	}
	t.Draining = true
	incarnation := t.incarnation
	t.sim.After(stopAfter, func() {
		if t.incarnation != incarnation || !t.up {
			return
		}
		if n := len(t.running) + len(t.queued); n > 0 {
			t.sim.Trace.recordViolation("P7", "target %s exits with %d requests in flight", t.Name, n)
		}
		t.exit(event.ConnClosed)
		t.sim.After(downtime, t.Boot)
	})
}
