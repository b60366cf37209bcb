package platform

import "time"

// HoldDelayed, set as Faults.DelayApplyMS, holds transactions whose answer is
// lost until ApplyDelayed is called.
const HoldDelayed = -1

// Faults is the set of injected faults. The zero value injects none.
type Faults struct {
	// Down closes the listener and all connections, so that new connections are
	// refused.
	Down bool `json:"down"`
	// Hang accepts store calls but does not answer them while it is set.
	Hang bool `json:"hang"`
	// StoreFails answers store calls with status 503 before applying anything.
	StoreFails bool `json:"store_fails"`
	// VMsFail answers the VM list with status 503.
	VMsFail bool `json:"vms_fail"`
	// LatencyMS delays each call before it is processed.
	LatencyMS int64 `json:"latency_ms"`
	// LoseWrites closes the connection of the next n transactions instead of
	// answering them. The transactions are still applied.
	LoseWrites int `json:"lose_writes"`
	// DelayApplyMS delays the compares and the writes of a transaction whose
	// answer is lost. HoldDelayed holds it until ApplyDelayed is called.
	DelayApplyMS int64 `json:"delay_apply_ms"`
	// WatchesFrozen freezes the open watches and those opened while it is set:
	// they stay open but never send events again, even after it is cleared.
	WatchesFrozen bool `json:"watches_frozen"`
}

func (f *Faults) validate() error {
	if f.LatencyMS < 0 || f.LoseWrites < 0 || f.DelayApplyMS < HoldDelayed {
		return ErrState.New("latency_ms and lose_writes must not be negative, delay_apply_ms must be at least -1")
	}
	return nil
}

// SetFaults replaces all faults.
func (p *Platform) SetFaults(f Faults) error {
	return p.ChangeFaults(func(current *Faults) { *current = f })
}

// ChangeFaults applies change to the faults atomically and starts or stops the
// server if Down changes.
func (p *Platform) ChangeFaults(change func(*Faults)) error {
	p.lifecycleMu.Lock()
	defer p.lifecycleMu.Unlock()
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
			w.frozen = true
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

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ApplyDelayed applies the transactions held by HoldDelayed in order of arrival
// and returns their number.
func (p *Platform) ApplyDelayed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.heldTxns
	p.heldTxns = nil
	for _, request := range held {
		p.applyLocked(request)
	}
	return len(held)
}

// scheduleApplyLocked holds a transaction whose answer is lost or applies it
// after Faults.DelayApplyMS.
func (p *Platform) scheduleApplyLocked(request *txnRequest) {
	if p.faults.DelayApplyMS == HoldDelayed {
		p.heldTxns = append(p.heldTxns, request)
		return
	}
	time.AfterFunc(time.Duration(p.faults.DelayApplyMS)*time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyLocked(request)
	})
}

// Save stores a snapshot of the store's content under a name.
func (p *Platform) Save(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshots[name] = p.state.clone()
}

// Restore replaces the store's content, including its revision, by a snapshot.
// Open watches are cut off, as they are when a real server is restored.
func (p *Platform) Restore(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	snapshot := p.snapshots[name]
	if snapshot == nil {
		return ErrState.New("no saved copy is named %q", name)
	}
	p.state = snapshot.clone()
	for w := range p.watches {
		w.cancel()
	}
	return nil
}
