package platform

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/baobabsail/baobabsail/standin/internal/loopback"
)

// Default call rates, from section 3 of the design page: several hundred
// writes/s and about 2,000 reads/s.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
	// DefaultMaxValue is the largest value in bytes.
	DefaultMaxValue = 1 << 20
)

// burstShare is the part of a second whose calls may arrive at once.
const burstShare = 10

// Settings describes the stand-in. Zero values take defaults.
type Settings struct {
	// Listen is the address of the store and the VM list; port 0 lets the
	// kernel choose.
	Listen          string
	WritesPerSecond int
	ReadsPerSecond  int
	MaxValue        int
	VMs             []VM
}

// VM is one row of the VM list.
type VM struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Counters holds totals since the start.
type Counters struct {
	Reads          uint64 `json:"reads"`
	Writes         uint64 `json:"writes"`
	WritesApplied  uint64 `json:"writes_applied"`
	WriteConflicts uint64 `json:"write_conflicts"`
	WritesLost     uint64 `json:"writes_lost"`
	Watches        uint64 `json:"watches"`
	RateLimited    uint64 `json:"rate_limited"`
	TooLarge       uint64 `json:"too_large"`
	VMLists        uint64 `json:"vm_lists"`
	// OpenWatches is the present number.
	OpenWatches int `json:"open_watches"`
}

// Platform is the stand-in. Its methods are safe for concurrent use.
type Platform struct {
	settings Settings
	writes   *rate.Limiter
	reads    *rate.Limiter

	// switching serialises the changes of the fault switches and the listener.
	switching sync.Mutex
	server    *http.Server

	mu        sync.Mutex
	address   string
	state     *state
	saved     map[string]*state
	faults    Faults
	delayed   []*txnRequest
	hangEnded chan struct{}
	watches   map[*watcher]struct{}
	counters  Counters
	vmLists   []vmList
}

// vmList is a VM list that becomes visible at a time.
type vmList struct {
	visible time.Time
	vms     []VM
}

// New returns a stand-in that is not started.
func New(s Settings) (*Platform, error) {
	if s.WritesPerSecond < 0 || s.ReadsPerSecond < 0 || s.MaxValue < 0 {
		return nil, ErrSettings.New("rates and sizes must not be negative")
	}
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = DefaultWritesPerSecond
	}
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = DefaultReadsPerSecond
	}
	if s.MaxValue == 0 {
		s.MaxValue = DefaultMaxValue
	}
	return &Platform{
		settings: s, address: s.Listen, state: newState(),
		writes: newLimiter(s.WritesPerSecond), reads: newLimiter(s.ReadsPerSecond),
		saved: make(map[string]*state), watches: make(map[*watcher]struct{}),
		hangEnded: make(chan struct{}),
		vmLists:   []vmList{{vms: slices.Clone(s.VMs)}},
	}, nil
}

func newLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstShare))
}

// Start opens the listener and serves.
func (p *Platform) Start() error {
	p.switching.Lock()
	defer p.switching.Unlock()
	return p.serve()
}

// Close stops serving and cuts all connections.
func (p *Platform) Close() {
	p.switching.Lock()
	defer p.switching.Unlock()
	p.stopServing()
}

// serve needs p.switching.
func (p *Platform) serve() error {
	if p.server != nil {
		return ErrState.New("platform is already started")
	}
	inner, err := listen(p.Address())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.address = inner.Addr().String()
	p.mu.Unlock()
	p.server = &http.Server{Handler: p.Handler(), ReadHeaderTimeout: 10 * time.Second}
	server := p.server
	go func() { _ = server.Serve(inner) }()
	return nil
}

// stopServing needs p.switching.
func (p *Platform) stopServing() {
	if p.server != nil {
		_ = p.server.Close()
		p.server = nil
	}
}

func listen(address string) (net.Listener, error) {
	listener, err := loopback.Listen(address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "listen on %s", address)
	}
	return listener, nil
}

// Address returns the listening address; it stays the same over outages.
func (p *Platform) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// URL returns the base URL of the store and the VM list.
func (p *Platform) URL() string { return "http://" + p.Address() }

// Counters returns the totals.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.counters
	out.OpenWatches = len(p.watches)
	return out
}

// Get returns a key's entry, for an oracle. It counts as no call.
func (p *Platform) Get(key string) (Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, found := p.state.entries[key]
	return e, found
}

// Entries returns all entries in order of their keys, for an oracle.
func (p *Platform) Entries() []Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Entry, 0, len(p.state.entries))
	for _, e := range p.state.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Put writes a key as another client would.
func (p *Platform) Put(key string, value []byte) Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.state.put(key, value)
	p.wakeLocked()
	return e
}

// SetVMs replaces the VM list; readers see it after the lag.
func (p *Platform) SetVMs(vms []VM, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLists = append(p.vmLists, vmList{visible: time.Now().Add(lag), vms: slices.Clone(vms)})
}

// visibleVMs returns the newest visible list and forgets the older ones.
func (p *Platform) visibleVMs() []VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	chosen := 0
	for i, list := range p.vmLists {
		if !list.visible.After(now) {
			chosen = i
		}
	}
	p.vmLists = p.vmLists[chosen:]
	return p.vmLists[0].vms
}

// pause waits for the added latency and while calls hang. It returns false if
// the client went away.
func (p *Platform) pause(ctx context.Context, storeCall bool) bool {
	p.mu.Lock()
	latency := time.Duration(p.faults.LatencyMS) * time.Millisecond
	var hang <-chan struct{}
	if p.faults.Hang && storeCall {
		hang = p.hangEnded
	}
	p.mu.Unlock()
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	if hang == nil {
		return true
	}
	select {
	case <-hang:
		return true
	case <-ctx.Done():
		return false
	}
}
