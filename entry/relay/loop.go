// Package relay connects a forward.Engine to HTTP/1.1 callers, HTTP/1.1 targets and other
// nodes: it turns connections and timers into events and executes the actions of the
// engine. The adapter of the platform supplies the names of the headers.
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
	"github.com/baobabsail/baobabsail/core/quota"
	"github.com/baobabsail/baobabsail/core/ratelimit"
	"github.com/baobabsail/baobabsail/core/routing"
)

// Headers holds the names of the header fields that callers, nodes and replicas exchange,
// in canonical form.
type Headers struct {
	// RequestID identifies a request; replicas echo it.
	RequestID string
	// TimeLeft is how many milliseconds the caller still waits for the answer.
	TimeLeft string
	// Proof is a replica's evidence that it ran the request.
	Proof string
	// ExpectReplica names the replica that the request is meant for; another replica at the
	// same address refuses it.
	ExpectReplica string
	// NotRun marks the refusal of a replica that has not run the request.
	NotRun string
	// RateLimit is the number of requests per second that a replica accepts from all nodes
	// together.
	RateLimit string
	// Leaving marks the responses of a replica that will stop soon.
	Leaving string
	// Load is the load that a replica reports of itself.
	Load string
	// Cold is how many milliseconds longer a replica is cold.
	Cold string
	// Proofs lists the proofs of the parts of a merged answer.
	Proofs string
	// Missing is the number of parts that are absent from a merged answer.
	Missing string
	// Account is the name of the account that a request is for, as told to replicas.
	Account string
}

// Logger writes the log lines of the engine.
type Logger interface {
	Info(event string, pairs ...any)
}

// Publisher publishes notices to the other nodes. It must not block.
type Publisher interface {
	Publish(notices []gossip.Notice)
}

// Loop feeds events to an engine, one at a time, and executes the actions that it returns.
// Its methods are safe for concurrent use and do not block.
type Loop struct {
	engine  *forward.Engine
	targets *Targets
	nodes   *Nodes
	log     Logger
	notices Publisher
	// started is the origin of the clock of the engine. The clock advances with the monotonic
	// clock, so that adjustments of the wall clock do not affect it.
	started time.Time
	timer   *time.Timer

	mu      sync.Mutex
	queue   []forward.Event
	running bool
	timerAt time.Time

	answers    *pending[forward.Answer]
	grants     *pending[ratelimit.Grant]
	admissions *pending[quota.Grant]

	// startup is closed once the engine can serve requests or the store is lost, which means
	// that it will not be able to soon.
	startup      chan struct{}
	startupEnded bool // read and written only by the goroutine that runs step

	limits   atomic.Pointer[routing.Limits]
	ready    atomic.Bool
	inFlight atomic.Int64
	// evacuated is the number of evacuated data centres.
	evacuated atomic.Int64
}

// NewLoop returns a Loop that drives engine. Connect must be called before Post.
func NewLoop(engine *forward.Engine, log Logger, notices Publisher) *Loop {
	l := &Loop{
		engine: engine, log: log, notices: notices, started: time.Now(),
		answers: newPending[forward.Answer](maxAnswers), grants: newPending[ratelimit.Grant](1),
		startup:    make(chan struct{}),
		admissions: newPending[quota.Grant](1),
	}
	l.timer = time.AfterFunc(time.Hour, func() { l.Post(forward.Timer{}) })
	l.timer.Stop()
	return l
}

// Connect sets the executors of the actions that concern targets and other nodes.
func (l *Loop) Connect(t *Targets, n *Nodes) { l.targets, l.nodes = t, n }

// now returns the wall-clock time at the start plus the monotonic time elapsed since then.
func (l *Loop) now() time.Time { return l.started.Add(time.Since(l.started)) }

// Post delivers an event to the engine. If another goroutine is already processing events,
// that goroutine processes this one too.
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
	if ev, ok := ev.(explainEvent); ok {
		l.explain(ev)
		return
	}
	for _, a := range l.engine.Step(l.now(), ev) {
		l.execute(a)
	}
	if _, ok := ev.(forward.TableRead); ok {
		limits := l.engine.Table().Limits
		l.limits.Store(&limits)
	}
	_, storeLost := ev.(forward.StoreLost)
	if !l.startupEnded && (storeLost || l.engine.Ready()) {
		l.startupEnded = true
		close(l.startup)
	}
	l.ready.Store(l.engine.Ready())
	l.inFlight.Store(int64(l.engine.InFlight()))
	l.evacuated.Store(int64(l.engine.EvacuatedDataCentres()))
}

// endProcessOnPanic terminates the process if the engine panics, which happens when an
// invariant is broken. Otherwise net/http would recover a panic on the goroutine of a
// handler and leave an engine that no longer serves requests.
func endProcessOnPanic() {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	go panic(fmt.Sprintf("%v\n%s", v, stack))
	select {} // blocks until the panic has ended the process
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
	case forward.AllowExtraAttempts:
		l.nodes.allowExtraAttempts(a.Call)
	case forward.WithdrawCall:
		l.nodes.withdraw(a.Call)
	case forward.SendNotices:
		l.nodes.queueNotices(a)
	case forward.PreparePeers:
		l.nodes.prepare(a.Addresses)
	case forward.CancelCall:
		l.nodes.cancel(a.Call)
	case forward.Answer:
		l.answers.deliver(uint64(a.Request), a, !a.More)
	case forward.RequestPermits:
		l.nodes.requestPermits(a)
	case forward.GrantPermits:
		l.grants.deliver(uint64(a.Call), a.Grant, true)
	case forward.AdmitRequests:
		l.nodes.admitRequests(a)
	case forward.GrantAdmissions:
		l.admissions.deliver(uint64(a.Call), a.Grant, true)
	case forward.Publish:
		l.notices.Publish(a.Notices)
	case forward.Log:
		l.log.Info(a.Event, a.Fields...)
	}
}

// setTimer arms the timer for the next wake-up of the engine. The caller must hold l.mu.
func (l *Loop) setTimer() {
	wake := l.engine.NextTick()
	if wake.IsZero() || wake.Equal(l.timerAt) && wake.After(l.now()) {
		return
	}
	l.timerAt = wake
	l.timer.Reset(max(0, wake.Sub(l.now())))
}

// maxAnswers is the largest number of answers to one request. Another node gets up to two:
// the parts that are complete at the target time, and then the rest.
const maxAnswers = 2

// register allocates the ID of a request and returns it with the channel that receives its
// answers.
func (l *Loop) register() (api.RequestID, chan forward.Answer) {
	id, answers := l.answers.register()
	return api.RequestID(id), answers
}

// abandon removes a request whose caller has disconnected and notifies the engine.
func (l *Loop) abandon(id api.RequestID) {
	l.answers.unregister(uint64(id))
	l.Post(forward.CallerGone{Request: id})
}

// Ready reports whether the engine can serve requests.
func (l *Loop) Ready() bool { return l.ready.Load() }

// InFlight returns the number of requests that wait for an answer.
func (l *Loop) InFlight() int { return int(l.inFlight.Load()) }

// EvacuatedDataCentres returns the number of data centres whose replicas get no requests.
func (l *Loop) EvacuatedDataCentres() int { return int(l.evacuated.Load()) }

// Limits returns the limits of the current configuration, or nil before the first one has
// been read.
func (l *Loop) Limits() *routing.Limits { return l.limits.Load() }

// Totals returns the counters of the engine. The result is false while the engine
// processes events.
func (l *Loop) Totals() ([]count.Total, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running {
		return nil, false
	}
	return l.engine.Counts().Totals(), true
}
