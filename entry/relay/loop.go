// Package relay runs a forward.Engine between HTTP/1.1 callers and HTTP/1.1
// targets: it turns connections and timers into events and carries out the
// engine's actions. The names of the headers are given by the adapter of the
// platform that it runs on.
package relay

import (
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/routing"
)

// Headers are the names of the header fields that the tier and its neighbours
// exchange, in canonical form.
type Headers struct {
	// RequestID identifies a request; replicas echo it.
	RequestID string
	// TimeLeft is how many milliseconds the caller still waits.
	TimeLeft string
	// Proof is a replica's evidence that it ran the request.
	Proof string
	// ExpectReplica names the replica that is meant; another one at the same
	// address refuses the request.
	ExpectReplica string
	// NotRun marks a replica's refusal before running the request.
	NotRun string
	// Proofs lists the proofs of the parts of a merged answer.
	Proofs string
	// Missing is the number of parts that a merged answer lacks.
	Missing string
}

// Logger writes the engine's log lines.
type Logger interface {
	Info(event string, pairs ...any)
}

// Publisher makes notices known to the other nodes. It must not block.
type Publisher interface {
	Publish(notices []gossip.Notice)
}

// Loop feeds events to an engine, one at a time, and carries out its actions.
// Its methods are safe for concurrent use and do not block.
type Loop struct {
	engine  *forward.Engine
	targets *Targets
	nodes   *Nodes
	log     Logger
	notices Publisher
	// started anchors the engine's clock: it runs with the monotonic clock, so
	// that steps of the time of day do not disturb it.
	started time.Time
	timer   *time.Timer

	mu      sync.Mutex
	queue   []forward.Event
	running bool
	timerAt time.Time

	pendingMu sync.Mutex
	pending   map[api.RequestID]chan forward.Answer
	nextID    atomic.Uint64

	limits   atomic.Pointer[routing.Limits]
	ready    atomic.Bool
	inFlight atomic.Int64
}

// NewLoop returns a loop around an engine. Connect must be called before Post.
func NewLoop(engine *forward.Engine, log Logger, notices Publisher) *Loop {
	l := &Loop{
		engine: engine, log: log, notices: notices, started: time.Now(),
		pending: make(map[api.RequestID]chan forward.Answer),
	}
	l.timer = time.AfterFunc(time.Hour, func() { l.Post(forward.Timer{}) })
	l.timer.Stop()
	return l
}

// Connect sets the executors of the actions that concern targets and other nodes.
func (l *Loop) Connect(t *Targets, n *Nodes) { l.targets, l.nodes = t, n }

// now returns the time of day at the start plus the time that has passed since
// by the monotonic clock.
func (l *Loop) now() time.Time { return l.started.Add(time.Since(l.started)) }

// Post delivers an event. If the engine is busy with another goroutine's event,
// that goroutine takes this one over.
func (l *Loop) Post(ev forward.Event) {
	l.mu.Lock()
	l.queue = append(l.queue, ev)
	if l.running {
		l.mu.Unlock()
		return
	}
	l.running = true
	for len(l.queue) > 0 {
		batch := l.queue
		l.queue = nil
		l.mu.Unlock()
		for _, ev := range batch {
			l.step(ev)
		}
		l.mu.Lock()
	}
	l.setTimer()
	l.running = false
	l.mu.Unlock()
}

func (l *Loop) step(ev forward.Event) {
	defer endProcessOnPanic()
	for _, a := range l.engine.Step(l.now(), ev) {
		l.execute(a)
	}
	if _, ok := ev.(forward.TableRead); ok {
		limits := l.engine.Table().Limits
		l.limits.Store(&limits)
	}
	l.ready.Store(l.engine.Ready())
	l.inFlight.Store(int64(l.engine.InFlight()))
}

// endProcessOnPanic ends the process after a broken invariant. The server of
// callers would recover the panic of a handler's goroutine, and leave an engine
// behind that serves nobody.
func endProcessOnPanic() {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	go panic(fmt.Sprintf("%v\n%s", v, stack))
	select {} // until the process has ended
}

func (l *Loop) execute(a forward.Action) {
	switch a := a.(type) {
	case forward.Send:
		l.targets.send(a)
	case forward.Cancel:
		l.targets.cancel(a.Attempt)
	case forward.CheckReplica:
		l.targets.check(a)
	case forward.CloseIdle:
		l.targets.closeIdle(a.Replica)
	case forward.CallPeer:
		l.nodes.call(a)
	case forward.ClearCall:
		l.nodes.clear(a.Call)
	case forward.WithdrawCall:
		l.nodes.withdraw(a.Call)
	case forward.TellNodes:
		l.nodes.tell(a)
	case forward.PreparePeers:
		l.nodes.prepare(a.Addresses)
	case forward.CancelCall:
		l.nodes.cancel(a.Call)
	case forward.Answer:
		l.answer(a)
	case forward.Publish:
		l.notices.Publish(a.Notices)
	case forward.Log:
		l.log.Info(a.Event, a.Fields...)
	}
}

// setTimer arms the timer for the engine's next wake-up. It is called with mu
// held.
func (l *Loop) setTimer() {
	wake := l.engine.Wake()
	if wake.IsZero() || wake.Equal(l.timerAt) && wake.After(l.now()) {
		return
	}
	l.timerAt = wake
	l.timer.Reset(max(0, wake.Sub(l.now())))
}

// answersMost is the number of answers to one request: two to another node, the
// parts answered at the target time and the rest.
const answersMost = 2

// begin registers a request and returns the channel of its answers.
func (l *Loop) begin() (api.RequestID, chan forward.Answer) {
	id := api.RequestID(l.nextID.Add(1))
	answer := make(chan forward.Answer, answersMost)
	l.pendingMu.Lock()
	l.pending[id] = answer
	l.pendingMu.Unlock()
	return id, answer
}

// forget drops a request whose caller is gone.
func (l *Loop) forget(id api.RequestID) {
	l.pendingMu.Lock()
	delete(l.pending, id)
	l.pendingMu.Unlock()
}

// giveUp drops a request whose caller is gone and tells the engine.
func (l *Loop) giveUp(id api.RequestID) {
	l.forget(id)
	l.Post(forward.CallerGone{Request: id})
}

func (l *Loop) answer(a forward.Answer) {
	l.pendingMu.Lock()
	waiting := l.pending[a.Request]
	if !a.More {
		delete(l.pending, a.Request)
	}
	l.pendingMu.Unlock()
	if waiting != nil {
		waiting <- a
	}
}

// Ready reports whether the engine can serve requests.
func (l *Loop) Ready() bool { return l.ready.Load() }

// InFlight returns the number of requests that wait for their answer.
func (l *Loop) InFlight() int { return int(l.inFlight.Load()) }

// Limits returns the limits of the configuration in force, or nil.
func (l *Loop) Limits() *routing.Limits { return l.limits.Load() }

// Totals returns the engine's counters; false while the engine is busy.
func (l *Loop) Totals() ([]count.Total, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running {
		return nil, false
	}
	return l.engine.Counts().Totals(), true
}
