package testbed

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/core/node"
)

// Host simulates a VM of the tier: it runs a node and is the node's driver.
type Host struct {
	sim             *Simulation
	index           int
	name            api.EntryName
	address         string
	life            api.Life
	node            *node.Node
	up              bool
	paused          bool
	shuttingDown    bool // a graceful shutdown has begun
	ready           bool // the load balancer sends to the host
	CutPeers        bool
	CutStore        bool
	unsentSignals   []DrainSignal       // drain signals received while cut from the peers
	leavingVMs      map[api.VMName]bool // the host's copy of the VM list: whether each VM is leaving
	backlog         []event.Event
	wakeAt          time.Time
	immediateTimers int
	nextID          api.RequestID
	requests        map[api.RequestID]*Request
	changes         map[api.RequestID]*Change
	conns           map[api.ConnID]*conn
	calls           map[api.AttemptID]*call
	// forwards holds the reply functions of work orders that other hosts forwarded
	// to this one.
	forwards map[api.RequestID]func(event.ForwardResult, api.WorkAnswer)
}

// Boot starts a new process of the host, with its own api.Life.
func (h *Host) Boot() {
	sim := h.sim
	sim.bootCount++
	if int(sim.bootCount) > len(sim.Hosts) {
		sim.Trace.Restarts++
	}
	h.life = api.Life(sim.bootCount*1_000 + uint64(h.index))
	h.up, h.paused, h.shuttingDown, h.ready = true, false, false, false
	h.backlog, h.wakeAt, h.unsentSignals = nil, time.Time{}, nil
	h.requests, h.changes = make(map[api.RequestID]*Request), make(map[api.RequestID]*Change)
	h.forwards = make(map[api.RequestID]func(event.ForwardResult, api.WorkAnswer))
	h.conns, h.calls = make(map[api.ConnID]*conn), make(map[api.AttemptID]*call)
	s := node.Settings{
		Name: h.name, Life: h.life, Address: h.address, VM: api.VMName(h.name),
		DataCentre: api.DataCentre(fmt.Sprintf("dc%d", h.index%2+1)), Seed: sim.bootCount,
	}
	for _, other := range sim.Hosts {
		if other != h {
			s.Peers = append(s.Peers, node.Peer{Name: other.name, Address: other.address})
		}
	}
	h.node = node.New(s)
	sim.Trace.recordDisruption(sim.now, h)
	h.feed(event.Timer{})
	h.feedVMList()
}

// feedVMList feeds the VM list to a process that has just started.
func (h *Host) feedVMList() {
	if len(h.leavingVMs) == 0 {
		return
	}
	var list []event.VM
	for _, vm := range slices.Sorted(maps.Keys(h.leavingVMs)) {
		list = append(list, event.VM{Name: vm, Leaving: h.leavingVMs[vm]})
	}
	h.feedAfter(h.sim.hopDelay(), event.VMListRead{VMs: list})
}

// Kill ends the process immediately.
func (h *Host) Kill() {
	if !h.up {
		return
	}
	sim := h.sim
	h.up = false
	h.life = 0
	if !h.shuttingDown {
		sim.Trace.Isolations++
	}
	for _, r := range sim.Trace.Requests {
		if r.host == h && len(r.Answers) == 0 {
			r.Exempt = true
		}
	}
	sim.Trace.recordDisruption(sim.now, h)
	for _, t := range sim.Targets {
		t.dropHost(h)
	}
	for _, id := range slices.Sorted(maps.Keys(h.forwards)) {
		h.forwards[id](event.ForwardLost, api.WorkAnswer{})
	}
	sim.Store.dropHost(h)
}

// Pause suspends the process for d. Events that arrive meanwhile are fed to it
// afterwards.
func (h *Host) Pause(d time.Duration) {
	if !h.up || h.paused {
		return
	}
	h.paused = true
	h.sim.Trace.Isolations++
	life := h.life
	h.sim.Trace.recordDisruption(h.sim.now, h)
	for _, r := range h.requests {
		r.Exempt = true
	}
	h.sim.After(d, func() {
		if h.life != life {
			return
		}
		h.paused = false
		h.sim.Trace.recordDisruption(h.sim.now, h)
		backlog := h.backlog
		h.backlog = nil
		for _, ev := range backlog {
			h.feed(ev)
		}
		h.feed(event.Timer{})
	})
}

// Shutdown begins a graceful shutdown. The node accepts requests for another
// 300 ms, because the load balancer reacts with a lag.
func (h *Host) Shutdown() {
	if !h.up || h.shuttingDown {
		return
	}
	h.shuttingDown = true
	h.feed(event.ShutdownStarted{AcceptFor: 300 * time.Millisecond})
}

// feedAfter feeds an event to the host after a delay, unless its process ends
// before.
func (h *Host) feedAfter(d time.Duration, ev event.Event) {
	life := h.life
	h.sim.After(d, func() {
		if h.life == life {
			h.feed(ev)
		}
	})
}

// feed passes an event to the node and performs the actions that it returns.
// While the host is paused, events other than timers wait in the backlog.
func (h *Host) feed(ev event.Event) {
	if !h.up {
		return
	}
	if h.paused {
		if _, timer := ev.(event.Timer); !timer {
			h.backlog = append(h.backlog, ev)
		}
		return
	}
	h.recordDrainSignals(ev)
	h.sim.showLine(h, "<-", ev)
	for _, a := range h.node.Step(h.sim.now, ev) {
		h.sim.recordAction(h, a)
		h.perform(a)
	}
	if h.up {
		h.setTimer()
	}
}

// setTimer schedules the Timer event that the node has asked for.
func (h *Host) setTimer() {
	sim := h.sim
	at := h.node.NextTick()
	if at.IsZero() {
		return
	}
	if at.After(sim.now) {
		h.immediateTimers = 0
	} else {
		at = sim.now
		if h.immediateTimers++; h.immediateTimers > maxImmediateTimers {
			sim.Trace.recordViolation("final", "node %s asks for an immediate timer %d times in a row", h.name, h.immediateTimers)
			at = sim.now.Add(time.Millisecond)
		}
	}
	if !h.wakeAt.IsZero() && !at.Before(h.wakeAt) {
		return
	}
	h.wakeAt = at
	life := h.life
	sim.After(at.Sub(sim.now), func() {
		if h.life == life && h.wakeAt.Equal(at) {
			h.wakeAt = time.Time{}
			h.feed(event.Timer{})
		}
	})
}

// recordDrainSignals records the drain signals that an event carries: in the load
// of a target or in the VM list.
func (h *Host) recordDrainSignals(ev event.Event) {
	var conn api.ConnID
	var load api.TargetLoad
	switch ev := ev.(type) {
	case event.SearchReplied:
		conn, load = ev.Conn, ev.Reply.Load
	case event.WorkReplied:
		conn, load = ev.Conn, ev.Reply.Load
	case event.ConnOpened:
		conn, load = ev.Conn, ev.Load
	case event.ProbeReplied:
		conn, load = ev.Conn, ev.Load
	case event.VMListRead:
		h.recordLeavingVMs(ev.VMs)
		return
	}
	if c := h.conns[conn]; c != nil && load.Draining {
		h.recordDrainSignal(c.target.Name, load.Incarnation)
	}
}

// recordLeavingVMs records a drain signal for each draining target whose VM is
// listed as leaving.
func (h *Host) recordLeavingVMs(vms []event.VM) {
	for _, t := range h.sim.Targets {
		if slices.Contains(vms, event.VM{Name: t.vm, Leaving: true}) && t.Draining {
			h.recordDrainSignal(t.Name, t.incarnation)
		}
	}
}

// recordDrainSignal records a drain signal. If the host is cut from its peers, the
// signal counts for them only from the end of the cut, and only if the host's
// process lasts until then.
func (h *Host) recordDrainSignal(replica api.ReplicaName, incarnation api.Incarnation) {
	signal := DrainSignal{Replica: replica, Incarnation: incarnation, At: h.sim.now, Cut: h.CutPeers, Host: h.index}
	h.sim.Trace.recordDrainSignal(signal)
	if signal.Cut {
		h.unsentSignals = append(h.unsentSignals, signal)
	}
}

// shareUnsentSignals records the drain signals received during a cut as known to
// all hosts from now on.
func (h *Host) shareUnsentSignals() {
	for _, signal := range h.unsentSignals {
		signal.At, signal.Cut = h.sim.now, false
		h.sim.Trace.recordDrainSignal(signal)
	}
	h.unsentSignals = nil
}

// perform executes an action of the node.
func (h *Host) perform(a event.Action) {
	switch a := a.(type) {
	case event.SendSearch:
		h.send(&call{host: h, life: h.life, conn: h.conns[a.Conn], connID: a.Conn, attempt: a.Request.Attempt, search: &a.Request})
	case event.SendWork:
		h.send(&call{host: h, life: h.life, conn: h.conns[a.Conn], connID: a.Conn, attempt: a.Request.Attempt, work: &a.Request})
	case event.CancelAttempt:
		h.cancel(a.Attempt)
	case event.AnswerSearch:
		h.recordAnswer(a.Request, Answer{Outcome: a.Answer.Outcome, Reason: a.Answer.Reason, RetryAfter: a.Answer.RetryAfter, Search: &a.Answer})
	case event.AnswerWork:
		if reply := h.forwards[a.Request]; reply != nil {
			reply(event.ForwardAnswered, a.Answer)
			return
		}
		h.recordAnswer(a.Request, Answer{Outcome: a.Answer.Outcome, Reason: a.Answer.Reason, RetryAfter: a.Answer.RetryAfter, Result: a.Answer.Result, Replayed: a.Answer.Replayed})
	case event.AnswerChange:
		h.recordChangeAnswer(a)
	case event.OpenConn:
		h.open(a)
	case event.CloseConn:
		if c := h.conns[a.Conn]; c != nil {
			c.end(event.ConnClosed)
		}
	case event.Probe:
		h.probe(a.Conn)
	case event.SendPeer:
		h.sendPeer(a)
	case event.ForwardWork:
		h.forward(a)
	case event.ReadStore:
		h.sim.Store.read(h, a)
	case event.WriteStore:
		h.sim.Store.write(h, a)
	case event.WatchStore:
		h.sim.Store.watch(h, a)
	case event.CancelWatch:
		h.sim.Store.cancelWatch(h, a.Op)
	case event.Log:
		h.recordAdoption(a)
	case event.Stopped:
		h.handleStopped()
	}
}

func (h *Host) sendPeer(a event.SendPeer) {
	for _, to := range h.sim.Hosts {
		if to.address != a.Address {
			continue
		}
		if h.CutPeers || to.CutPeers || !to.up {
			h.feedAfter(2*h.sim.hopDelay(), event.PeerFailed{Peer: a.Peer})
			return
		}
		if to.paused {
			h.feedAfter(time.Second, event.PeerFailed{Peer: a.Peer}) // time-out of the sender's driver
		}
		to.feedAfter(h.sim.hopDelay(), event.PeerReceived{Message: a.Message})
	}
}

// forward sends a work order to another host and feeds that host's answer to the
// node.
func (h *Host) forward(a event.ForwardWork) {
	sim := h.sim
	from := h.life
	report := func(result event.ForwardResult, answer api.WorkAnswer) {
		h.feedAfter(sim.hopDelay(), event.WorkForwarded{Op: a.Op, Result: result, Answer: answer})
	}
	i := slices.IndexFunc(sim.Hosts, func(o *Host) bool { return o.address == a.Address })
	to := sim.Hosts[i]
	if h.CutPeers || to.CutPeers || !to.up {
		report(event.ForwardLost, api.WorkAnswer{})
		return
	}
	life := to.life
	sim.After(sim.hopDelay(), func() {
		if to.life != life {
			report(event.ForwardLost, api.WorkAnswer{})
			return
		}
		sim.Trace.Forwards = append(sim.Trace.Forwards, Forward{
			At: sim.now, From: from, To: to.life, Tag: workTag(a.Work.Service, a.Work.Key),
		})
		to.nextID++
		id := to.nextID
		to.forwards[id] = func(result event.ForwardResult, answer api.WorkAnswer) {
			delete(to.forwards, id)
			if h.CutPeers || to.CutPeers {
				// The answer is lost, so that the call ends at its deadline.
				sim.After(a.Deadline.Sub(sim.now), func() { report(event.ForwardLost, api.WorkAnswer{}) })
				return
			}
			report(result, answer)
		}
		to.feed(event.WorkArrived{Request: id, Caller: a.Caller, Work: a.Work, Deadline: a.Deadline, Forwarded: true})
	})
}

// recordAdoption records the position of an adopted document. It reads the position
// from the config_adopted log line of the node, as an operator would.
func (h *Host) recordAdoption(a event.Log) {
	// Package confsync also logs config_adopted, with a source field. It buffers that
	// line until it next returns actions, which can be later than the adoption.
	hasSource := func(f api.Field) bool { return f.Name == "source" }
	if a.Event != "config_adopted" || slices.ContainsFunc(a.Fields, hasSource) {
		return
	}
	if life := h.life; !h.ready { // the load balancer polls the readiness of hosts
		h.sim.After(balancerLag, func() { h.ready = h.ready || h.life == life })
	}
	var at config.Position
	for _, f := range a.Fields {
		switch f.Name {
		case "generation":
			_, _ = fmt.Sscan(f.Value, &at.Generation)
		case "revision":
			_, _ = fmt.Sscan(f.Value, &at.Revision)
		}
	}
	h.sim.Trace.Adoptions = append(h.sim.Trace.Adoptions, Adoption{At: h.sim.now, Host: h.index, Life: h.life, Position: at})
}

// handleStopped ends the process after a graceful shutdown and checks that no
// request is left unanswered.
func (h *Host) handleStopped() {
	for _, r := range h.requests {
		if len(r.Answers) == 0 && !r.CallerGone && !r.Exempt {
			h.sim.Trace.recordViolation("P7", "node %s stopped with request %d in flight", h.name, r.ID)
		}
	}
	h.sim.Trace.GracefulStops++
	h.Kill()
}
