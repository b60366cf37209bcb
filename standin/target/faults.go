package target

// Echo names a field that a search reply repeats from the request and that a fault
// switch can make wrong.
type Echo string

// Fields of a reply that can be made wrong.
const (
	EchoAttempt Echo = "attempt"
	EchoShard   Echo = "shard"
	EchoVersion Echo = "version"
)

// Always is the count that applies a counted fault to every further answer.
const Always = -1

// Faults is the set of fault switches. The zero value has no faults.
type Faults struct {
	// Frozen stops all traffic on all connections, as if the process were paused.
	Frozen bool `json:"frozen"`
	// Stalled keeps running requests in their slots; new requests are still admitted.
	Stalled bool `json:"stalled"`
	// CrashOn crashes the target when it starts to run a search that has a
	// condition with this value, or a work order with this payload. Empty disables
	// the fault.
	CrashOn string `json:"crash_on"`
	// Truncate omits half of the rows of the next n search answers, whose row count
	// still includes them.
	Truncate int `json:"truncate"`
	// Echo names the wrong field of the next WrongEcho search answers; empty means
	// EchoAttempt. In answers to work orders the attempt is always the wrong field.
	Echo      Echo `json:"echo"`
	WrongEcho int  `json:"wrong_echo"`
	// Fail makes the next n requests run to their end and then report an error.
	Fail int `json:"fail"`
	// Shed refuses the next n requests with outcome SHED, as an overloaded target does.
	Shed int `json:"shed"`
	// Lie replaces the load status in all answers; nil reports the real status.
	Lie *Lie `json:"lie"`
	// StragglerShare and StragglerFactor add stragglers to those that the settings
	// define.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// SlowFactor multiplies every service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
}

// Lie is a false load status that the target reports in place of the real one.
type Lie struct {
	Running  int  `json:"running"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
	// Versions, if not empty, replaces the reported versions of every shard.
	Versions []uint64 `json:"versions"`
}

func (f *Faults) validate() error {
	switch f.Echo {
	case "", EchoAttempt, EchoShard, EchoVersion:
	default:
		return ErrState.New("echo %q is none of attempt, shard, version", string(f.Echo))
	}
	for _, n := range []int{f.Truncate, f.WrongEcho, f.Fail, f.Shed} {
		if n < Always {
			return ErrState.New("a counted fault must be -1 (always), 0 or positive, got %d", n)
		}
	}
	if f.StragglerShare < 0 || f.StragglerShare > 1 || f.StragglerFactor < 0 || f.SlowFactor < 0 {
		return ErrState.New("straggler_share must be from 0 to 1, straggler_factor and slow_factor not negative")
	}
	return nil
}

// consume reports whether a counted fault applies, and decrements a positive count.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

// SetFaults replaces all fault switches.
func (t *Target) SetFaults(f Faults) error {
	return t.ChangeFaults(func(current *Faults) { *current = f })
}

// ChangeFaults changes the fault switches atomically. If the result is invalid, it
// returns an error and changes nothing.
func (t *Target) ChangeFaults(change func(*Faults)) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.faults
	change(&next)
	if err := next.validate(); err != nil {
		return err
	}
	t.faults = next
	// The versions sent in Load.held may differ now, because Lie may have changed.
	t.heldRevision++
	t.frozen.set(next.Frozen)
	t.stalled.set(next.Stalled)
	return nil
}

// Faults returns the current fault switches.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SilenceConnections makes up to n open connections silent permanently and returns
// how many it changed. They still count towards the connection limit.
func (t *Target) SilenceConnections(n int) int {
	if inst := t.currentInstance(); inst != nil {
		return inst.listener.silence(n)
	}
	return 0
}

// ResetSilentConnections closes the silent connections with a TCP reset.
func (t *Target) ResetSilentConnections() {
	if inst := t.currentInstance(); inst != nil {
		inst.listener.reset(true)
	}
}

// consumeFault reports whether the counted fault that field selects applies, and
// decrements a positive count.
func (t *Target) consumeFault(field func(*Faults) *int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return consume(field(&t.faults))
}
