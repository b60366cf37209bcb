package target

import (
	crand "crypto/rand"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/baobabsail/baobabsail/standin/internal/loopback"
	"github.com/baobabsail/baobabsail/wire/targetpb"
)

// stopLimit bounds a graceful stop, which cannot end while a client leaves a
// silent connection open.
const stopLimit = 5 * time.Second

// Target is one stand-in target. Its methods are safe for concurrent use.
type Target struct {
	settings Settings
	data     *Dataset
	journal  *journal
	frozen   *gate
	stalled  *gate

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	held    []Shard
	life    *life
	address string
	closed  bool
	// heldChanges numbers the states of the versions held, for Load.held.
	heldChanges uint64
}

// life is the time from one start of the target to its end.
type life struct {
	incarnation uint64
	started     time.Time
	slots       *slots
	listener    *listener
	server      *grpc.Server
	// ended is closed when the life ends by a crash, a stop or a drain.
	ended chan struct{}
	once  sync.Once
}

func (l *life) end() bool {
	first := false
	l.once.Do(func() {
		first = true
		close(l.ended)
	})
	return first
}

// New returns a target that is not started. Targets of one service may share
// data; nil generates it from the settings.
func New(s Settings, data *Dataset) (*Target, error) {
	s.setDefaults()
	if err := s.validate(); err != nil {
		return nil, err
	}
	if data == nil {
		data = NewDataset(s.Seed, s.Service, s.Rows)
	}
	j, err := newJournal(s)
	if err != nil {
		return nil, err
	}
	t := &Target{
		settings: s, data: data, journal: j, frozen: newGate(), stalled: newGate(),
		rng:         rand.New(rand.NewPCG(s.Seed, HashName(s.Name))),
		address:     s.Listen,
		heldChanges: 1,
	}
	t.held = t.withVersions(s.allShards())
	return t, nil
}

// HashName derives the part of a target's seed that differs between the
// replicas of a service.
func HashName(name string) uint64 { return uint64(HashKey(name)) }

// withVersions copies shards and gives those without versions the newest
// versions that the target holds of any shard, or those of the settings.
func (t *Target) withVersions(shards []Shard) []Shard {
	versions := t.settings.Versions
	if len(t.held) > 0 {
		versions = t.held[0].Versions
	}
	out := slices.Clone(shards)
	for i := range out {
		if len(out[i].Versions) == 0 {
			out[i].Versions = versions
		}
		out[i].Versions = slices.Clone(out[i].Versions)
		slices.Sort(out[i].Versions)
	}
	return out
}

// Start opens the listener and serves.
func (t *Target) Start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ErrState.New("target %q is closed", t.settings.Name)
	}
	if t.life != nil {
		return ErrState.New("target %q is already started", t.settings.Name)
	}
	inner, err := listen(t.address)
	if err != nil {
		return err
	}
	// A restarted target keeps its address, as a restarted process does.
	t.address = inner.Addr().String()
	l := &life{
		incarnation: newIncarnation(),
		started:     time.Now(),
		slots:       newSlots(t.settings.Slots, t.settings.Queue),
		ended:       make(chan struct{}),
	}
	l.listener = newListener(inner, t.settings.Connections, milliseconds(t.settings.ConnectDelayMS), t.frozen, t.journal.count)
	l.server = grpc.NewServer(grpc.StatsHandler(connTagger{}))
	targetpb.RegisterTargetServer(l.server, &server{target: t, life: l})
	t.life = l
	go func() { _ = l.server.Serve(l.listener) }()
	return nil
}

func listen(address string) (net.Listener, error) {
	listener, err := loopback.Listen(address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "listen on %s", address)
	}
	return listener, nil
}

// newIncarnation draws from the system's random source, since a seeded number
// would repeat after a restart of the process.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// Name returns the name in the settings.
func (t *Target) Name() string { return t.settings.Name }

// Service returns the service in the settings.
func (t *Target) Service() string { return t.settings.Service }

// Data returns the sample data, for an oracle.
func (t *Target) Data() *Dataset { return t.data }

// Address returns the listening address; it stays the same over restarts.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Incarnation returns the number of the current life, 0 while stopped.
func (t *Target) Incarnation() uint64 {
	if l := t.currentLife(); l != nil {
		return l.incarnation
	}
	return 0
}

// OpenConnections returns the number of open connections.
func (t *Target) OpenConnections() int {
	if l := t.currentLife(); l != nil {
		return l.listener.open()
	}
	return 0
}

// State returns the running and queued requests and whether the target drains.
func (t *Target) State() (running, queued int, draining bool) {
	if l := t.currentLife(); l != nil {
		return l.slots.state()
	}
	return 0, 0, true
}

// Journal returns what the target ran, with the searches if asked for.
func (t *Target) Journal(withSearches bool) Journal { return t.journal.copy(withSearches) }

func (t *Target) currentLife() *life {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.life
}

// finishLife forgets a life if it is the current one.
func (t *Target) finishLife(l *life) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.life == l {
		t.life = nil
	}
}

// Stop ends the current life at once, as a kill does: requests are cut.
func (t *Target) Stop() {
	if l := t.currentLife(); l != nil {
		t.kill(l)
	}
}

func (t *Target) kill(l *life) bool {
	if !l.end() {
		return false
	}
	_ = l.listener.Close()
	l.listener.cut(false)
	l.server.Stop()
	t.finishLife(l)
	return true
}

// Crash ends the current life and starts the next one after the restart delay,
// or calls OnCrash of the settings.
func (t *Target) Crash() {
	if l := t.currentLife(); l != nil {
		t.crash(l)
	}
}

func (t *Target) crash(l *life) {
	if t.settings.OnCrash != nil {
		t.journal.count(Crashes)
		t.settings.OnCrash()
		return
	}
	if !t.kill(l) {
		return
	}
	t.journal.count(Crashes)
	time.Sleep(milliseconds(t.settings.RestartDelayMS))
	// Start fails only if the target was closed or restarted meanwhile, or if
	// its port is lost; the target then stays down.
	_ = t.Start()
}

// Drain refuses new work with DRAINING, finishes what runs and what is queued,
// waits until the grace period is over too, and then stops gracefully. Clients
// learn of the drain by answers during the grace period.
func (t *Target) Drain(grace time.Duration) {
	l := t.currentLife()
	if l == nil {
		return
	}
	idle := l.slots.drain()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	for range 2 {
		select {
		case <-idle:
			idle = nil
		case <-timer.C:
		case <-l.ended:
			return
		}
	}
	stopped := make(chan struct{})
	go func() {
		l.server.GracefulStop()
		close(stopped)
	}()
	limit := time.NewTimer(stopLimit)
	defer limit.Stop()
	select {
	case <-stopped:
		l.end()
		t.finishLife(l)
	case <-limit.C:
		t.kill(l)
	}
}

// Restart ends the current life at once, if any, and starts the next one.
func (t *Target) Restart() error {
	t.Stop()
	return t.Start()
}

// Close stops the target for good.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.Stop()
	t.journal.close()
}

// SetShards replaces the shards held, for a change of the partition map. The
// shards of an older epoch stay only if the list names them. Shards without
// versions get those held before.
func (t *Target) SetShards(shards []Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = t.withVersions(shards)
	t.heldChanges++
}

// AddVersion makes a version available on the named shard, or on all if the
// name is empty. Version 0 stands for the newest version plus one. The oldest
// versions beyond KeepVersions are dropped.
func (t *Target) AddVersion(shard string, version uint64) {
	t.changeVersions(shard, func(versions []uint64) []uint64 {
		next := version
		if next == 0 {
			next = newest(versions) + 1
		}
		if !slices.Contains(versions, next) {
			versions = append(versions, next)
		}
		slices.Sort(versions)
		return versions[max(0, len(versions)-t.settings.KeepVersions):]
	})
}

// DropVersion removes a version from the named shard, or from all if the name
// is empty.
func (t *Target) DropVersion(shard string, version uint64) {
	t.changeVersions(shard, func(versions []uint64) []uint64 {
		return slices.DeleteFunc(versions, func(v uint64) bool { return v == version })
	})
}

func (t *Target) changeVersions(shard string, change func([]uint64) []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.held {
		if shard == "" || t.held[i].Name == shard {
			t.held[i].Versions = change(slices.Clone(t.held[i].Versions))
		}
	}
	t.heldChanges++
}

// Shards returns the shards held with their versions.
func (t *Target) Shards() []Shard {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := slices.Clone(t.held)
	for i := range out {
		out[i].Versions = slices.Clone(out[i].Versions)
	}
	return out
}

func newest(versions []uint64) uint64 {
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1]
}

// serviceTime draws the time that a request occupies its slot.
func (t *Target) serviceTime(l *life) time.Duration {
	s := t.settings.ServiceTime
	t.mu.Lock()
	ms := s.MedianMS * math.Exp(s.Sigma*t.rng.NormFloat64())
	if t.rng.Float64() < s.StragglerShare {
		ms *= s.StragglerFactor
	}
	if f := t.faults; f.StragglerShare > 0 && t.rng.Float64() < f.StragglerShare {
		ms *= f.StragglerFactor
	}
	if t.faults.SlowFactor > 0 {
		ms *= t.faults.SlowFactor
	}
	t.mu.Unlock()
	return milliseconds(ms * t.coldFactor(time.Since(l.started)))
}

func (t *Target) coldFactor(age time.Duration) float64 {
	cold := milliseconds(t.settings.ColdStart.DurationMS)
	if cold <= 0 || age >= cold || t.settings.ColdStart.Factor <= 1 {
		return 1
	}
	left := 1 - float64(age)/float64(cold)
	return 1 + left*(t.settings.ColdStart.Factor-1)
}
