package target

// Echo names the part of a search reply that a target echoes wrongly.
type Echo string

// Parts of a reply that can be wrong.
const (
	EchoAttempt Echo = "attempt"
	EchoShard   Echo = "shard"
	EchoVersion Echo = "version"
)

// Always makes a counted fault apply to every further answer.
const Always = -1

// Faults is the set of fault switches. The zero value has no faults.
type Faults struct {
	// Frozen stops every byte on every connection, as a paused process does.
	Frozen bool `json:"frozen"`
	// Stalled keeps running requests in their slots; admission goes on.
	Stalled bool `json:"stalled"`
	// CrashOn crashes the target when it starts to run a search with a
	// condition of this value, or a work order with this payload. Empty is off.
	CrashOn string `json:"crash_on"`
	// Truncate cuts the rows of the next n search answers but announces all.
	Truncate int `json:"truncate"`
	// Echo names what the next WrongEcho answers echo wrongly; empty means EchoAttempt.
	Echo      Echo `json:"echo"`
	WrongEcho int  `json:"wrong_echo"`
	// Fail makes the next n requests run and report an error.
	Fail int `json:"fail"`
	// Shed refuses the next n requests for load.
	Shed int `json:"shed"`
	// Lie replaces the load in all answers; nil tells the truth.
	Lie *Lie `json:"lie"`
	// StragglerShare and StragglerFactor add stragglers to those of the settings.
	StragglerShare  float64 `json:"straggler_share"`
	StragglerFactor float64 `json:"straggler_factor"`
	// SlowFactor multiplies every service time; 0 counts as 1.
	SlowFactor float64 `json:"slow_factor"`
}

// Lie is a misleading load status.
type Lie struct {
	Running  int  `json:"running"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
	// Versions, if not empty, replaces the versions held of every shard.
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

// take uses up one application of a counted fault.
func take(n *int) bool {
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

// ChangeFaults changes the fault switches in one step.
func (t *Target) ChangeFaults(change func(*Faults)) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := t.faults
	change(&next)
	if err := next.validate(); err != nil {
		return err
	}
	t.faults = next
	// Load.held counts as changed, because the lie may have changed.
	t.heldChanges++
	t.frozen.set(next.Frozen)
	t.stalled.set(next.Stalled)
	return nil
}

// Faults returns the fault switches.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SilenceConnections makes n of the open connections silent for good and
// returns how many it found. They keep counting towards the connection limit.
func (t *Target) SilenceConnections(n int) int {
	if l := t.currentLife(); l != nil {
		return l.listener.silence(n)
	}
	return 0
}

// CutSilentConnections closes the connections that are silent.
func (t *Target) CutSilentConnections() {
	if l := t.currentLife(); l != nil {
		l.listener.cut(true)
	}
}

// takeFault uses up one application of the counted fault that field selects.
func (t *Target) takeFault(field func(*Faults) *int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return take(field(&t.faults))
}
