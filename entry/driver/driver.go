// Package driver runs one node: a single goroutine passes events to the node
// and executes the actions that the node returns. All other goroutines of an
// entry process reach the node through the driver's bounded inbox.
//
// If the inbox is full, a new request is refused with the outcome "not run".
// Reports (replies from targets, results of store calls and so on) block until
// the inbox has space, because the node depends on receiving each of them.
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
	// DefaultInboxSize is the default capacity of the inbox in events. The node
	// handles an event in a few microseconds, so a full inbox is a backlog of a
	// few tens of milliseconds.
	DefaultInboxSize = 4096
	// DefaultStoreTimeout is the default timeout of one store call. A healthy
	// store answers within milliseconds.
	DefaultStoreTimeout = 2 * time.Second
	// refusalRetryAfter is the retry-after time of a request that the driver
	// refuses because the inbox is full or Run has returned.
	refusalRetryAfter = time.Second
)

// Node is the part of node.Node that the driver uses.
type Node interface {
	Step(now time.Time, ev event.Event) []event.Action
	NextTick() time.Time
	Counts() *count.Set
	Document() *config.Document
	NotReady(now time.Time) api.Reason
	Status(now time.Time) node.Status
	Explain(now time.Time, search api.Search) node.Plan
}

// Targets executes the actions on target connections and on attempts. No method
// may block or call the driver's Report synchronously: it runs on the goroutine
// that drains the inbox.
type Targets interface {
	Open(event.OpenConn)
	Close(api.ConnID)
	Probe(api.ConnID)
	SendSearch(event.SendSearch)
	SendWork(event.SendWork)
	Cancel(api.AttemptID)
}

// Peers executes the actions that address peers. No method may block or call the
// driver's Report synchronously.
type Peers interface {
	Send(event.SendPeer)
	RunPart(event.SendPart)
	ForwardWork(event.ForwardWork)
}

// Store is the platform's key-value store. Calls may block until ctx ends. The
// driver sets the field Op of each result.
type Store interface {
	Get(ctx context.Context, key string) event.StoreRead
	Revision(ctx context.Context, key string) event.StoreRead
	CompareAndSwap(ctx context.Context, key string, value []byte, ifRevision int64) event.StoreWritten
	// Watch calls changed for each value written after the store revision after.
	// It returns when the watch has ended.
	Watch(ctx context.Context, key string, after int64, changed func(value []byte, revision int64))
}

// VMLister reads the list of VMs from the platform.
type VMLister interface {
	List(ctx context.Context) ([]event.VM, error)
}

// Logger writes one log line per call.
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
	VMs        VMLister
	VMInterval time.Duration
	// Log receives the node's log events; nil discards them.
	Log Logger
	// Counts counts the requests that the driver refuses.
	Counts *telemetry.Counts
	// InboxSize is the capacity of the inbox; 0 means DefaultInboxSize.
	InboxSize int
	// StoreTimeout bounds one store call; 0 means DefaultStoreTimeout.
	StoreTimeout time.Duration
}

// Driver owns a node and runs its event loop. Its methods are safe for
// concurrent use.
type Driver struct {
	config      Config
	inbox       chan event.Event
	inspections chan func()
	done        chan struct{} // closed when Run returns
	stopped     chan struct{} // closed on the node's Stopped action
	nextID      atomic.Uint64

	notReady     atomic.Value // api.Reason
	shuttingDown atomic.Bool
	stopOnce     sync.Once

	mu      sync.Mutex
	pending map[api.RequestID]func(event.Action)

	// watches is accessed only by the goroutine of Run.
	watches map[api.OpID]context.CancelFunc
	// ctx is cancelled when Run returns, which ends store calls and watches.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a driver; Run starts it. Targets and Peers may be nil in c, because
// they report to the driver and are built after it. They must be set before Run.
func New(c Config) *Driver {
	if c.InboxSize == 0 {
		c.InboxSize = DefaultInboxSize
	}
	if c.StoreTimeout == 0 {
		c.StoreTimeout = DefaultStoreTimeout
	}
	d := &Driver{
		config:      c,
		inbox:       make(chan event.Event, c.InboxSize),
		inspections: make(chan func()),
		done:        make(chan struct{}),
		stopped:     make(chan struct{}),
		pending:     make(map[api.RequestID]func(event.Action)),
		watches:     make(map[api.OpID]context.CancelFunc),
	}
	d.notReady.Store(api.ReasonNoConfiguration)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// SetExecutors sets the executors of target and peer actions, which need the
// driver's Report at construction. It must be called before Run.
func (d *Driver) SetExecutors(targets Targets, peers Peers) {
	d.config.Targets = targets
	d.config.Peers = peers
}

// Run processes events, timers and Inspect calls until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	defer close(d.done)
	defer d.cancel()
	if d.config.VMs != nil {
		go d.pollVMs()
	}
	timer := time.NewTimer(0) // Fires at once: the first Timer event starts the node.
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-d.inbox:
			d.step(ev)
		case <-timer.C:
			d.step(event.Timer{})
		case inspect := <-d.inspections:
			inspect()
			continue
		}
		d.setTimer(timer)
	}
}

// setTimer resets the timer to the node's next wake-up time, or stops it if there
// is none.
func (d *Driver) setTimer(timer *time.Timer) {
	wake := d.config.Node.NextTick()
	if wake.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(0, time.Until(wake)))
}

// step passes one event to the node and executes the resulting actions.
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

// Report adds an event to the inbox and blocks while the inbox is full. After
// Run has returned, the event is discarded.
func (d *Driver) Report(ev event.Event) {
	select {
	case d.inbox <- ev:
	case <-d.done:
	}
}

// TryReport adds an event to the inbox if there is space, and reports whether it
// did. It returns false after Run has returned.
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

// NotReady returns why the load balancer should not send requests to this entry
// process, or ReasonNone.
func (d *Driver) NotReady() api.Reason {
	if d.shuttingDown.Load() {
		return api.ReasonShuttingDown
	}
	return d.notReady.Load().(api.Reason)
}

// ShuttingDown reports whether Shutdown was called.
func (d *Driver) ShuttingDown() bool { return d.shuttingDown.Load() }

// Shutdown asks the node to shut down. The node accepts new requests for the
// duration acceptFor. The channel Stopped is closed when no request is in flight
// any more.
func (d *Driver) Shutdown(acceptFor time.Duration) {
	d.shuttingDown.Store(true)
	d.Report(event.ShutdownStarted{AcceptFor: acceptFor})
}

// Stopped returns a channel that is closed when the node has finished its
// shutdown.
func (d *Driver) Stopped() <-chan struct{} { return d.stopped }

// Inspect calls f with the node on the goroutine of Run and waits for f to
// return. f must not retain the node and must not block. Inspect returns
// ctx.Err() if ctx ends before f starts, and context.Canceled after Run has
// returned.
func (d *Driver) Inspect(ctx context.Context, f func(n Node, now time.Time)) error {
	finished := make(chan struct{})
	call := func() {
		defer close(finished)
		f(d.config.Node, time.Now())
	}
	select {
	case d.inspections <- call:
	case <-ctx.Done():
		return ctx.Err()
	case <-d.done:
		return context.Canceled
	}
	// f is running and does not block, so ctx needs no check here.
	<-finished
	return nil
}
