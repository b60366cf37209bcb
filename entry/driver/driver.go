// Package driver runs one node: a single goroutine feeds events to it and
// carries out its actions. Everything else in an entry process reaches the node
// through the driver's bounded inbox.
//
// A request that finds the inbox full is refused as not run before it enters.
// Reports (replies of targets, results of store calls and so on) wait for room,
// so that nothing the node depends on is lost.
package driver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/node"
	"github.com/baobabsail/baobabsail/entry/telemetry"
)

const (
	// DefaultInboxSize is the number of events that wait for the node. The node
	// handles an event in some microseconds, so a full inbox is a backlog of
	// some tens of milliseconds.
	DefaultInboxSize = 4096
	// DefaultStoreTimeout bounds one store call; the store answers within
	// milliseconds when it is well.
	DefaultStoreTimeout = 2 * time.Second
	// fullRetryAfter is what a request refused for a full inbox is told.
	fullRetryAfter = time.Second
)

// Node is the part of node.Node that the driver uses.
type Node interface {
	Step(now time.Time, ev event.Event) []event.Action
	Wake() time.Time
	Counts() *count.Set
	Document() *config.Document
	NotReady(now time.Time) api.Reason
	Status(now time.Time) node.Status
	Explain(now time.Time, search api.Search) node.Plan
}

// Targets executes the connection and attempt actions. No method may block or
// report synchronously.
type Targets interface {
	Open(event.OpenConn)
	Close(api.ConnID)
	Probe(api.ConnID)
	SendSearch(event.SendSearch)
	SendWork(event.SendWork)
	Cancel(api.AttemptID)
}

// Peers executes the peer actions. No method may block or report synchronously.
type Peers interface {
	Send(event.SendPeer)
	RunPart(event.SendPart)
	ForwardWork(event.ForwardWork)
}

// Store is the platform's key-value store. Calls may block until ctx ends. The
// driver fills in the operation identity of the results.
type Store interface {
	Get(ctx context.Context, key string) event.StoreRead
	Revision(ctx context.Context, key string) event.StoreRead
	CompareAndSwap(ctx context.Context, key string, value []byte, ifRevision int64) event.StoreWritten
	// Watch calls changed for each new value after the given store revision and
	// returns when the watch has ended.
	Watch(ctx context.Context, key string, after int64, changed func(value []byte, revision int64))
}

// VMLister reads the platform's VM list.
type VMLister interface {
	List(ctx context.Context) ([]event.VM, error)
}

// Logger writes one line per event.
type Logger interface {
	Event(name string, fields []api.Field)
}

// Config configures a Driver. Node, Targets, Peers and Store are required.
type Config struct {
	Node    Node
	Targets Targets
	Peers   Peers
	Store   Store
	// VMs is polled every VMInterval; nil if there is no VM list.
	VMs          VMLister
	VMInterval   time.Duration
	Log          Logger
	Counts       *telemetry.Counts
	InboxSize    int
	StoreTimeout time.Duration
}

// Driver owns a node. Its methods are safe for concurrent use.
type Driver struct {
	config  Config
	inbox   chan event.Event
	calls   chan func()
	done    chan struct{} // closed when Run returns
	stopped chan struct{} // closed on the node's Stopped action
	nextID  atomic.Uint64

	notReady     atomic.Value // api.Reason
	shuttingDown atomic.Bool
	stopOnce     sync.Once

	mu      sync.Mutex
	pending map[api.RequestID]func(event.Action)

	// watches belongs to the goroutine of Run.
	watches map[api.OpID]context.CancelFunc
	// ctx ends store calls and watches when Run returns.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a driver; Run starts it. Targets and Peers may be nil until Run,
// because they report to the driver; see Connect.
func New(c Config) *Driver {
	if c.InboxSize == 0 {
		c.InboxSize = DefaultInboxSize
	}
	if c.StoreTimeout == 0 {
		c.StoreTimeout = DefaultStoreTimeout
	}
	d := &Driver{
		config:  c,
		inbox:   make(chan event.Event, c.InboxSize),
		calls:   make(chan func()),
		done:    make(chan struct{}),
		stopped: make(chan struct{}),
		pending: make(map[api.RequestID]func(event.Action)),
		watches: make(map[api.OpID]context.CancelFunc),
	}
	d.notReady.Store(api.ReasonNoConfiguration)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Connect sets the executors, which need the driver's Report to be built. It
// must be called before Run.
func (d *Driver) Connect(targets Targets, peers Peers) {
	d.config.Targets = targets
	d.config.Peers = peers
}

// Run feeds the node until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	defer d.cancel()
	if d.config.VMs != nil {
		go d.pollVMs()
	}
	timer := time.NewTimer(0) // The first event is a Timer, which starts the node.
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-d.inbox:
			d.step(ev)
		case <-timer.C:
			d.step(event.Timer{})
		case f := <-d.calls:
			f()
			continue
		}
		d.setTimer(timer)
	}
}

// setTimer arms the timer for the node's next wake-up.
func (d *Driver) setTimer(timer *time.Timer) {
	wake := d.config.Node.Wake()
	if wake.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(0, time.Until(wake)))
}

func (d *Driver) step(ev event.Event) {
	if ended, ok := ev.(event.StoreWatchEnded); ok {
		delete(d.watches, ended.Op)
	}
	actions := d.config.Node.Step(time.Now(), ev)
	for _, a := range actions {
		d.execute(a)
	}
	d.notReady.Store(d.config.Node.NotReady(time.Now()))
}

// Report delivers an event to the node and waits for room in the inbox. After
// Run has returned, the event is discarded.
func (d *Driver) Report(ev event.Event) {
	select {
	case d.inbox <- ev:
	case <-d.done:
	}
}

// TryReport delivers an event if the inbox has room, and says whether it did.
func (d *Driver) TryReport(ev event.Event) bool {
	select {
	case <-d.done:
		return false
	default:
	}
	select {
	case d.inbox <- ev:
		return true
	default:
		return false
	}
}

// NotReady returns why the balancer should not send requests, or ReasonNone.
func (d *Driver) NotReady() api.Reason {
	if d.shuttingDown.Load() {
		return api.ReasonShuttingDown
	}
	return d.notReady.Load().(api.Reason)
}

// ShuttingDown reports whether Shutdown was called.
func (d *Driver) ShuttingDown() bool { return d.shuttingDown.Load() }

// Shutdown asks the node to finish; acceptFor is how long new requests may
// still arrive. Stopped is closed when nothing is in flight any more.
func (d *Driver) Shutdown(acceptFor time.Duration) {
	d.shuttingDown.Store(true)
	d.Report(event.ShutdownStarted{AcceptFor: acceptFor})
}

// Stopped is closed when the node has finished its shutdown.
func (d *Driver) Stopped() <-chan struct{} { return d.stopped }

// Inspect calls f with the node in the driver's goroutine and waits for it. f
// must not keep the node and must not block. It returns ctx.Err() if ctx ends
// first, and context.Canceled after Run has returned.
func (d *Driver) Inspect(ctx context.Context, f func(n Node, now time.Time)) error {
	finished := make(chan struct{})
	call := func() {
		defer close(finished)
		f(d.config.Node, time.Now())
	}
	select {
	case d.calls <- call:
	case <-ctx.Done():
		return ctx.Err()
	case <-d.done:
		return context.Canceled
	}
	// The call has begun and does not block.
	<-finished
	return nil
}
