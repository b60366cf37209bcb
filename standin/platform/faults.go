package platform

import "time"

// HoldDelayed as Faults.DelayApplyMS keeps writes back until ApplyDelayed.
const HoldDelayed = -1

// Faults is the set of fault switches. The zero value has no faults.
type Faults struct {
	// Down closes the listener and cuts all connections: calls are refused.
	Down bool `json:"down"`
	// Hang accepts store calls and never answers them.
	Hang bool `json:"hang"`
	// StoreFails answers store calls with status 503 before applying anything.
	StoreFails bool `json:"store_fails"`
	// VMsFail answers the VM list with status 503.
	VMsFail bool `json:"vms_fail"`
	// LatencyMS is added before each call is looked at.
	LatencyMS int64 `json:"latency_ms"`
	// LoseWrites cuts the connection of the next n transactions instead of
	// answering them; they are applied all the same.
	LoseWrites int `json:"lose_writes"`
	// DelayApplyMS delays the compare and the write of a transaction whose
	// answer is lost; HoldDelayed keeps it until ApplyDelayed.
	DelayApplyMS int64 `json:"delay_apply_ms"`
	// WatchesFrozen makes the open watches, and those opened while it is set,
	// silent for good: they stay open and report nothing.
	WatchesFrozen bool `json:"watches_frozen"`
}

func (f *Faults) validate() error {
	if f.LatencyMS < 0 || f.LoseWrites < 0 || f.DelayApplyMS < HoldDelayed {
		return ErrState.New("latency_ms and lose_writes must not be negative, delay_apply_ms must be at least -1")
	}
	return nil
}

// SetFaults replaces all fault switches.
func (p *Platform) SetFaults(f Faults) error {
	return p.ChangeFaults(func(current *Faults) { *current = f })
}

// ChangeFaults changes the fault switches in one step.
func (p *Platform) ChangeFaults(change func(*Faults)) error {
	p.switching.Lock()
	defer p.switching.Unlock()
	p.mu.Lock()
	before := p.faults
	next := before
	change(&next)
	if err := next.validate(); err != nil {
		p.mu.Unlock()
		return err
	}
	p.faults = next
	if next.WatchesFrozen {
		for w := range p.watches {
			w.silent = true
		}
	}
	if before.Hang && !next.Hang {
		close(p.hangEnded)
		p.hangEnded = make(chan struct{})
	}
	p.mu.Unlock()
	switch {
	case next.Down && !before.Down:
		p.stopServing()
	case before.Down && !next.Down:
		return p.serve()
	}
	return nil
}

// Faults returns the fault switches.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ApplyDelayed applies the transactions that HoldDelayed keeps back, in order
// of arrival, and returns how many there were.
func (p *Platform) ApplyDelayed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.delayed
	p.delayed = nil
	for _, request := range held {
		p.applyLocked(request)
	}
	return len(held)
}

// delayLocked schedules a transaction whose answer is lost.
func (p *Platform) delayLocked(request *txnRequest) {
	if p.faults.DelayApplyMS == HoldDelayed {
		p.delayed = append(p.delayed, request)
		return
	}
	time.AfterFunc(time.Duration(p.faults.DelayApplyMS)*time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyLocked(request)
	})
}

// Save keeps a copy of the store's content under a name.
func (p *Platform) Save(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved[name] = p.state.clone()
}

// Restore replaces the store's content by a saved copy; its revision goes back
// too. Open watches are cut, as a restored server would cut them.
func (p *Platform) Restore(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	copied := p.saved[name]
	if copied == nil {
		return ErrState.New("no saved copy is named %q", name)
	}
	p.state = copied.clone()
	for w := range p.watches {
		w.cancel()
	}
	return nil
}
