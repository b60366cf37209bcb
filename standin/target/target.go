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

// gracefulStopTimeout limits a graceful stop, which does not end as long as a client
// keeps a silent connection open.
const gracefulStopTimeout = 5 * time.Second

// Target is one stand-in target. Its methods are safe for concurrent use.
type Target struct {
	settings Settings
	data     *Dataset
	journal  *journal
	frozen   *gate
	stalled  *gate

	mu         sync.Mutex
	rng        *rand.Rand
	faults     Faults
	heldShards []Shard
	instance   *instance
	address    string
	closed     bool
	// heldRevision increases whenever the contents of Load.held may have changed.
	heldRevision uint64
}

// instance is one run of the target, from a start to its end.
type instance struct {
	incarnation uint64
	started     time.Time
	slots       *slots
	listener    *listener
	server      *grpc.Server
	// ended is closed when the instance ends by a crash, a stop or a drain.
	ended chan struct{}
	once  sync.Once
}

// markEnded closes ended and reports whether this was the first call.
func (inst *instance) markEnded() bool {
	first := false
	inst.once.Do(func() {
		first = true
		close(inst.ended)
	})
	return first
}

// New returns a target that is not started. Targets of one service may share data;
// if data is nil, New creates it from the settings.
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
		rng:          rand.New(rand.NewPCG(s.Seed, HashName(s.Name))),
		address:      s.Listen,
		heldRevision: 1,
	}
	t.heldShards = t.withDefaultVersions(s.allShards())
	return t, nil
}

// HashName returns the part of a target's random seed that differs between the
// replicas of a service.
func HashName(name string) uint64 { return uint64(HashKey(name)) }

// withDefaultVersions copies shards and gives those without versions the versions of
// the first shard that the target holds, or those of the settings if it holds none.
func (t *Target) withDefaultVersions(shards []Shard) []Shard {
	versions := t.settings.Versions
	if len(t.heldShards) > 0 {
		versions = t.heldShards[0].Versions
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

// Start opens the listener and starts to serve.
func (t *Target) Start() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return ErrState.New("target %q is closed", t.settings.Name)
	}
	if t.instance != nil {
		return ErrState.New("target %q is already started", t.settings.Name)
	}
	inner, err := listen(t.address)
	if err != nil {
		return err
	}
	// A restarted target listens on the same address, as a restarted process does.
	t.address = inner.Addr().String()
	inst := &instance{
		incarnation: newIncarnation(),
		started:     time.Now(),
		slots:       newSlots(t.settings.Slots, t.settings.Queue),
		ended:       make(chan struct{}),
	}
	inst.listener = newListener(inner, t.settings.Connections, milliseconds(t.settings.ConnectDelayMS), t.frozen, t.journal.count)
	inst.server = grpc.NewServer(grpc.StatsHandler(connTagger{}))
	targetpb.RegisterTargetServer(inst.server, &server{target: t, instance: inst})
	t.instance = inst
	go func() { _ = inst.server.Serve(inst.listener) }()
	return nil
}

func listen(address string) (net.Listener, error) {
	listener, err := loopback.Listen(address)
	if err != nil {
		return nil, ErrListen.Wrap(err, "listen on %s", address)
	}
	return listener, nil
}

// newIncarnation returns a number from the system's random source. A number from
// the seeded generator would repeat after a restart of the process.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// Name returns the name in the settings.
func (t *Target) Name() string { return t.settings.Name }

// Service returns the service in the settings.
func (t *Target) Service() string { return t.settings.Service }

// Data returns the sample data, for a test oracle.
func (t *Target) Data() *Dataset { return t.data }

// Address returns the listening address, which stays the same across restarts.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// Incarnation returns the incarnation of the current instance, or 0 while stopped.
func (t *Target) Incarnation() uint64 {
	if inst := t.currentInstance(); inst != nil {
		return inst.incarnation
	}
	return 0
}

// OpenConnections returns the number of open connections.
func (t *Target) OpenConnections() int {
	if inst := t.currentInstance(); inst != nil {
		return inst.listener.openCount()
	}
	return 0
}

// State returns the number of running and queued requests and whether the target
// is draining. A stopped target counts as draining.
func (t *Target) State() (running, queued int, draining bool) {
	if inst := t.currentInstance(); inst != nil {
		return inst.slots.state()
	}
	return 0, 0, true
}

// Journal returns a copy of the journal, with the searches only if withSearches is
// set.
func (t *Target) Journal(withSearches bool) Journal { return t.journal.copy(withSearches) }

func (t *Target) currentInstance() *instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instance
}

// clearInstance clears the current instance if it is inst.
func (t *Target) clearInstance(inst *instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.instance == inst {
		t.instance = nil
	}
}

// Stop ends the current instance immediately, as killing a process does: requests in
// progress are aborted.
func (t *Target) Stop() {
	if inst := t.currentInstance(); inst != nil {
		t.kill(inst)
	}
}

// kill ends an instance immediately. It returns false if the instance had already
// ended.
func (t *Target) kill(inst *instance) bool {
	if !inst.markEnded() {
		return false
	}
	_ = inst.listener.Close()
	inst.listener.reset(false)
	inst.server.Stop()
	t.clearInstance(inst)
	return true
}

// Crash ends the current instance and starts the next one after the restart delay,
// or calls OnCrash if the settings have it.
func (t *Target) Crash() {
	if inst := t.currentInstance(); inst != nil {
		t.crash(inst)
	}
}

func (t *Target) crash(inst *instance) {
	if t.settings.OnCrash != nil {
		t.journal.count(Crashes)
		t.settings.OnCrash()
		return
	}
	if !t.kill(inst) {
		return
	}
	t.journal.count(Crashes)
	time.Sleep(milliseconds(t.settings.RestartDelayMS))
	// Start fails only if the target was closed or restarted meanwhile, or if its
	// port is no longer available, in which case the target stays down.
	_ = t.Start()
}

// Drain refuses new requests with DRAINING and stops the server gracefully once the
// running and queued requests are finished and the grace period is over. Clients
// learn of the drain from the answers during the grace period.
func (t *Target) Drain(grace time.Duration) {
	inst := t.currentInstance()
	if inst == nil {
		return
	}
	idle := inst.slots.drain()
	timer := time.NewTimer(grace)
	defer timer.Stop()
	for range 2 {
		select {
		case <-idle:
			idle = nil
		case <-timer.C:
		case <-inst.ended:
			return
		}
	}
	stopped := make(chan struct{})
	go func() {
		inst.server.GracefulStop()
		close(stopped)
	}()
	limit := time.NewTimer(gracefulStopTimeout)
	defer limit.Stop()
	select {
	case <-stopped:
		inst.markEnded()
		t.clearInstance(inst)
	case <-limit.C:
		t.kill(inst)
	}
}

// Restart ends the current instance immediately, if there is one, and starts the
// next one.
func (t *Target) Restart() error {
	t.Stop()
	return t.Start()
}

// Close stops the target permanently and closes its journal.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.Stop()
	t.journal.close()
}

// SetShards replaces the shards held, for a change of the partition map. Shards of
// an older epoch stay only if the list contains them. Shards without versions get
// the versions that the target held before.
func (t *Target) SetShards(shards []Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heldShards = t.withDefaultVersions(shards)
	t.heldRevision++
}

// AddVersion makes a version available on the named shard, or on all if the
// name is empty. Version 0 means the newest version plus one. Only the newest
// KeepVersions versions are kept.
func (t *Target) AddVersion(shard string, version uint64) {
	t.changeVersions(shard, func(versions []uint64) []uint64 {
		next := version
		if next == 0 {
			next = newestVersion(versions) + 1
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
	for i := range t.heldShards {
		if shard == "" || t.heldShards[i].Name == shard {
			t.heldShards[i].Versions = change(slices.Clone(t.heldShards[i].Versions))
		}
	}
	t.heldRevision++
}

// Shards returns the shards held with their versions.
func (t *Target) Shards() []Shard {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := slices.Clone(t.heldShards)
	for i := range out {
		out[i].Versions = slices.Clone(out[i].Versions)
	}
	return out
}

// newestVersion returns the last of the versions, which are in ascending order, or 0
// if there are none.
func newestVersion(versions []uint64) uint64 {
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1]
}

// serviceTime returns the random time that a request holds its slot.
func (t *Target) serviceTime(inst *instance) time.Duration {
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
	return milliseconds(ms * t.coldFactor(time.Since(inst.started)))
}

// coldFactor returns the factor by which a cold start lengthens the service time at
// an age of the instance.
func (t *Target) coldFactor(age time.Duration) float64 {
	cold := milliseconds(t.settings.ColdStart.DurationMS)
	if cold <= 0 || age >= cold || t.settings.ColdStart.Factor <= 1 {
		return 1
	}
	left := 1 - float64(age)/float64(cold)
	return 1 + left*(t.settings.ColdStart.Factor-1)
}
