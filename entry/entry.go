// Package entry assembles an entry node from its parts: the node's state machine, the
// driver, the listeners for callers, operators and peers, the clients for targets and
// peers, and telemetry.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/fanout"
	"github.com/baobabsail/baobabsail/core/node"
	"github.com/baobabsail/baobabsail/entry/callerhttp"
	"github.com/baobabsail/baobabsail/entry/connguard"
	"github.com/baobabsail/baobabsail/entry/driver"
	"github.com/baobabsail/baobabsail/entry/operatorhttp"
	"github.com/baobabsail/baobabsail/entry/peer"
	"github.com/baobabsail/baobabsail/entry/settings"
	"github.com/baobabsail/baobabsail/entry/targetclient"
	"github.com/baobabsail/baobabsail/entry/telemetry"
	"google.golang.org/grpc"
)

// idleTimeout closes idle keep-alive connections of callers and operators.
const idleTimeout = 2 * time.Minute

// ErrShutdownIncomplete means that the total time limit of a shutdown expired before
// all requests in flight had ended.
var ErrShutdownIncomplete = errors.New("shutdown limit reached with requests in flight")

// Options holds parts of an entry node that are supplied by the program or a test
// rather than by settings.
type Options struct {
	Log *telemetry.Logger
	// Store and VMs, if not nil, replace the clients of the platform services that the
	// settings name.
	Store driver.Store
	VMs   driver.VMLister
	// NewNode creates the node; nil means node.New.
	NewNode func(node.Settings) driver.Node
}

// Entry is a running entry node.
type Entry struct {
	settings     *settings.Settings
	log          *telemetry.Logger
	counts       *telemetry.Counts
	metrics      *telemetry.Metrics
	driver       *driver.Driver
	targetClient *targetclient.Client
	peerClient   *peer.Client

	callerServer, operatorServer                   *http.Server
	peerServer                                     *grpc.Server
	guards                                         guards
	callerListener, operatorListener, peerListener net.Listener

	// after is time.After; tests replace it.
	after   func(time.Duration) <-chan time.Time
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Start opens the listeners, starts the node and returns it. On an error no listener
// stays open.
func Start(s *settings.Settings, o Options) (*Entry, error) {
	e := &Entry{settings: s, log: o.Log, counts: telemetry.NewCounts(), after: time.After}
	e.guards = newGuards(s.Limits, e.counts)
	if err := connectPlatform(s, &o); err != nil {
		return nil, err
	}
	if err := e.listen(); err != nil {
		e.closeListeners()
		return nil, err
	}
	if err := e.build(o); err != nil {
		e.closeListeners()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.serve(ctx)
	e.log.Info("started", "name", s.Name, "callers", e.CallersAddress(),
		"operators", e.OperatorsAddress(), "peers", e.PeersAddress())
	return e, nil
}

// CallersAddress returns the address of the listener for callers.
func (e *Entry) CallersAddress() string { return e.callerListener.Addr().String() }

// OperatorsAddress returns the address of the listener for operators.
func (e *Entry) OperatorsAddress() string { return e.operatorListener.Addr().String() }

// PeersAddress returns the address of the listener for peers.
func (e *Entry) PeersAddress() string { return e.peerListener.Addr().String() }

func (e *Entry) listen() error {
	for _, l := range []struct {
		key     string
		address string
		listen  func(address string) (net.Listener, error)
		to      *net.Listener
	}{
		{"callers.listen", string(e.settings.Callers.Listen), connguard.Listen, &e.callerListener},
		{"operators.listen", string(e.settings.Operators.Listen), connguard.Listen, &e.operatorListener},
		{"peers.listen", string(e.settings.Peers.Listen), connguard.ListenForPeers, &e.peerListener},
	} {
		listener, err := l.listen(l.address)
		if err != nil {
			return fmt.Errorf("%s: %w", l.key, err)
		}
		*l.to = listener
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callerListener, e.operatorListener, e.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// build creates and connects the parts without starting any of them.
func (e *Entry) build(o Options) error {
	s := e.settings
	e.driver = driver.New(driver.Config{
		Node:       newNode(o)(nodeSettings(s, e.PeersAddress())),
		Store:      o.Store,
		VMs:        o.VMs,
		VMInterval: s.Platform.PollInterval.Std(),
		Log:        e.log,
		Counts:     e.counts,
	})
	e.targetClient = targetclient.New(targetclient.Config{Report: e.driver.Report, ReplyBytes: e.guards.limits.ResponseBytes})
	e.peerClient = peer.NewClient(peer.Config{Report: e.driver.Report, Counts: e.counts})
	e.driver.SetExecutors(e.targetClient, e.peerClient)
	e.metrics = telemetry.NewMetrics(string(s.Name))
	callers, err := callerhttp.New(callerhttp.Config{
		Requests:      e.driver,
		MaxBodyBytes:  int64(s.Limits.MaxRequestBytes),
		MaxConcurrent: int(s.Limits.MaxConcurrentRequests),
		Counts:        e.counts,
		OnPanic:       func(v any) { e.log.Error("panic", "value", fmt.Sprint(v)) },
	})
	if err != nil {
		return err
	}
	e.callerServer = e.httpServer(callers)
	e.operatorServer = e.httpServer(operatorhttp.New(operatorhttp.Config{
		Node:         e.driver,
		Metrics:      e.metrics.Handler(),
		MaxBodyBytes: int64(s.Limits.MaxRequestBytes),
	}))
	e.peerServer = peer.NewServer(e.driver, e.counts, peer.DefaultMaxMessageBytes, e.guards.limits.PeerCalls)
	return nil
}

func newNode(o Options) func(node.Settings) driver.Node {
	if o.NewNode != nil {
		return o.NewNode
	}
	return func(s node.Settings) driver.Node { return node.New(s) }
}

// slowParts maps the values of the setting policy.slow_parts.
var slowParts = map[settings.SlowParts]fanout.SlowParts{
	"hedge":   fanout.HedgeSlow,
	"wait":    fanout.WaitForSlow,
	"replace": fanout.ReplaceSlow,
}

func nodeSettings(s *settings.Settings, address string) node.Settings {
	out := node.Settings{
		Name:       api.EntryName(s.Name),
		Life:       api.Life(randomNonZero()),
		Address:    address,
		DataCentre: api.DataCentre(s.DataCentre),
		VM:         api.VMName(s.VM),
		Seed:       s.Seed,
		Policy: node.Policy{
			SlowParts:  slowParts[s.Policy.SlowParts],
			HedgeDelay: s.Policy.HedgeDelay.Std(),
			NoBudget:   s.Policy.Budget == "unbounded",
		},
	}
	if out.Seed == 0 {
		out.Seed = randomNonZero()
	}
	for _, p := range s.Peers.List {
		if p.Name != s.Name {
			out.Peers = append(out.Peers, node.Peer{Name: api.EntryName(p.Name), Address: string(p.Address)})
		}
	}
	return out
}

// randomNonZero returns a random number other than 0; 0 stands for an unset seed.
func randomNonZero() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // rand.Read never returns an error.
	return max(1, binary.LittleEndian.Uint64(b[:]))
}

// serve starts the goroutines of the driver, the servers and the metrics exporter.
func (e *Entry) serve(ctx context.Context) {
	e.running.Go(func() { e.driver.Run(ctx) })
	e.running.Go(func() { e.logServeError("callers", e.guards.callers.Serve(e.callerServer, e.callerListener)) })
	e.running.Go(func() { e.logServeError("operators", e.guards.operators.Serve(e.operatorServer, e.operatorListener)) })
	e.running.Go(func() { e.logServeError("peers", e.peerServer.Serve(e.guards.peers.PeerListener(e.peerListener))) })
	exporter := &telemetry.Exporter{
		Read:        e.sample,
		Metrics:     e.metrics,
		Log:         e.log,
		LogInterval: e.settings.Telemetry.CounterLogInterval.Std(),
	}
	e.running.Go(func() { exporter.Run(ctx) })
}

func (e *Entry) logServeError(listener string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		e.log.Error("listener_failed", "listener", listener, "error", err.Error())
	}
}

// sample reads the node's counters and gauges; false means that ctx ended or the driver
// has stopped.
func (e *Entry) sample(ctx context.Context) (telemetry.Sample, bool) {
	var out telemetry.Sample
	err := e.driver.Inspect(ctx, func(n driver.Node, now time.Time) {
		status := n.Status(now)
		alarm := 0.0
		if status.ConfigAlarm != api.ReasonNone {
			alarm = 1
		}
		out.Totals = telemetry.Sum(n.Counts().Totals(), e.counts.Totals())
		out.Gauges = map[string]float64{
			"config_generation":  float64(status.Generation),
			"config_revision":    float64(status.Revision),
			"config_age_seconds": status.ConfigAge.Seconds(),
			"config_alarm":       alarm,
			"members":            float64(len(status.Members)),
			"in_flight":          float64(status.InFlight),
		}
	})
	return out, err == nil
}

// Shutdown stops the node gracefully. The readiness check fails at once, new requests
// are still accepted for the configured time (accept_for), then the listener for callers
// closes and requests in flight run until they finish or reach their deadlines.
// Shutdown returns ErrShutdownIncomplete if the total time limit expires first.
func (e *Entry) Shutdown() error {
	s := e.settings.Shutdown
	ctx, cancel := context.WithTimeout(context.Background(), s.TotalLimit.Std())
	defer cancel()
	e.log.Info("shutdown_started", "accept_for", s.AcceptFor.Std(), "total_limit", s.TotalLimit.Std())
	e.driver.Shutdown(s.AcceptFor.Std())
	<-e.after(s.AcceptFor.Std())
	err := e.callerServer.Shutdown(ctx)
	select {
	case <-e.driver.Stopped():
	case <-ctx.Done():
		err = ctx.Err()
	}
	e.Close()
	if err != nil {
		return ErrShutdownIncomplete
	}
	return nil
}

// Close stops the node immediately and aborts requests in flight.
func (e *Entry) Close() {
	_ = e.callerServer.Close()
	_ = e.operatorServer.Close()
	e.peerServer.Stop()
	e.cancel()
	e.targetClient.Shutdown()
	e.peerClient.Shutdown()
	e.running.Wait()
	e.metrics.Close()
	e.log.Info("stopped")
}
