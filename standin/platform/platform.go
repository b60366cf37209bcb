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

// Default limits. Section 3 of the design page expects several hundred writes/s
// and about 2,000 reads/s.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
	// DefaultMaxValue is the default size limit of a value in bytes.
	DefaultMaxValue = 1 << 20
)

// burstDivisor sets the burst of the rate limiters: 1/burstDivisor of the calls
// allowed per second may arrive at once.
const burstDivisor = 10

// Settings configures the stand-in. Zero values select the defaults.
type Settings struct {
	// Listen is the address that serves the store and the VM list. With port 0
	// the kernel chooses a free port.
	Listen          string
	WritesPerSecond int
	ReadsPerSecond  int
	// MaxValue is the size limit of a value in bytes.
	MaxValue int
	VMs      []VM
}

// VM is one entry of the VM list.
type VM struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Counters holds request totals since the stand-in was created.
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
	// OpenWatches is the number of watches that are open now.
	OpenWatches int `json:"open_watches"`
}

// Platform serves the store and the VM list. Its methods are safe for concurrent use.
type Platform struct {
	settings Settings
	writes   *rate.Limiter
	reads    *rate.Limiter

	// lifecycleMu serialises changes of the faults and the start and stop of the
	// server, and guards server.
	lifecycleMu sync.Mutex
	server      *http.Server

	// mu guards the fields below. Methods named ...Locked need it held.
	mu        sync.Mutex
	address   string
	state     *state
	snapshots map[string]*state
	faults    Faults
	heldTxns  []*txnRequest
	hangEnded chan struct{}
	watches   map[*watcher]struct{}
	counters  Counters
	vmLists   []vmList
}

// vmList is a VM list that readers see from visibleAt on.
type vmList struct {
	visibleAt time.Time
	vms       []VM
}

// New returns a stand-in that does not listen yet; call Start.
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
		snapshots: make(map[string]*state), watches: make(map[*watcher]struct{}),
		hangEnded: make(chan struct{}),
		vmLists:   []vmList{{vms: slices.Clone(s.VMs)}},
	}, nil
}

func newLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstDivisor))
}

// Start opens the listener and serves requests in the background.
func (p *Platform) Start() error {
	p.lifecycleMu.Lock()
	defer p.lifecycleMu.Unlock()
	return p.serve()
}

// Close stops serving and closes all connections.
func (p *Platform) Close() {
	p.lifecycleMu.Lock()
	defer p.lifecycleMu.Unlock()
	p.stopServing()
}

// serve opens the listener and starts the server. The caller holds
// p.lifecycleMu.
func (p *Platform) serve() error {
	if p.server != nil {
		return ErrState.New("platform is already started")
	}
	listener, err := listen(p.Address())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.address = listener.Addr().String()
	p.mu.Unlock()
	p.server = &http.Server{Handler: p.Handler(), ReadHeaderTimeout: 10 * time.Second}
	server := p.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// stopServing closes the server and its connections. The caller holds
// p.lifecycleMu.
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

// Address returns the listening address. It stays the same when Faults.Down
// closes and reopens the listener.
func (p *Platform) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// URL returns the base URL of the store and the VM list.
func (p *Platform) URL() string { return "http://" + p.Address() }

// Counters returns the request totals.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.counters
	out.OpenWatches = len(p.watches)
	return out
}

// Get returns the entry of a key, so that tests can check the store's content.
// It is neither counted nor rate-limited.
func (p *Platform) Get(key string) (Entry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, found := p.state.entries[key]
	return e, found
}

// Entries returns all entries sorted by key, so that tests can check the
// store's content.
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

// Put writes a key as if another client had done so. It is neither counted nor
// rate-limited.
func (p *Platform) Put(key string, value []byte) Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.state.put(key, value)
	p.notifyWatchersLocked()
	return e
}

// SetVMs replaces the VM list. Readers see the new list once lag has passed.
func (p *Platform) SetVMs(vms []VM, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLists = append(p.vmLists, vmList{visibleAt: time.Now().Add(lag), vms: slices.Clone(vms)})
}

// visibleVMs returns the newest list that is visible and drops the older ones.
func (p *Platform) visibleVMs() []VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	chosen := 0
	for i, list := range p.vmLists {
		if !list.visibleAt.After(now) {
			chosen = i
		}
	}
	p.vmLists = p.vmLists[chosen:]
	return p.vmLists[0].vms
}

// injectDelay blocks for the latency set in Faults and, for store calls, while
// Faults.Hang is set. It returns false if the client disconnects meanwhile.
func (p *Platform) injectDelay(ctx context.Context, storeCall bool) bool {
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
