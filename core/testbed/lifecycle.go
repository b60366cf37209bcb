package testbed

import (
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/event"
)

// Crash ends the process of the target; it is back as a new one after a time.
func (t *Target) Crash(back time.Duration) {
	t.exit(event.ConnReset)
	t.w.After(back, t.Boot)
}

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

// Boot starts a new process, which is slow at first.
func (t *Target) Boot() {
	if t.up {
		return
	}
	t.up, t.Draining, t.Frozen, t.Mute = true, false, false, false
	t.incarnation++
	t.coldUntil = t.w.now.Add(time.Second)
	if doc := t.w.Store.document(); doc != nil {
		t.hold(doc)
	}
}

// Drain announces that the target leaves; it exits when it is idle.
func (t *Target) Drain(back time.Duration) {
	if !t.up || t.Draining {
		return
	}
	t.Draining = true
	incarnation := t.incarnation
	t.w.After(stopAfter, func() {
		if t.incarnation != incarnation || !t.up {
			return
		}
		if n := len(t.running) + len(t.queued); n > 0 {
			t.w.Trace.broke("P7", "target %s leaves with %d requests in flight", t.Name, n)
		}
		t.exit(event.ConnClosed)
		t.w.After(back, t.Boot)
	})
}
