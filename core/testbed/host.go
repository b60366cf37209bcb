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

// Host is one VM of the tier with the driver of its node.
type Host struct {
	w        *World
	index    int
	name     api.EntryName
	address  string
	life     api.Life
	node     *node.Node
	up       bool
	paused   bool
	leaving  bool // a graceful shutdown has begun
	ready    bool // the balancer sends to the host
	CutPeers bool
	CutStore bool
	untold   []Signal            // signs of drains that came during a cut
	vms      map[api.VMName]bool // the copy of the VM list that it reads: which leave
	backlog  []event.Event
	wakeAt   time.Time
	spins    int
	nextID   api.RequestID
	requests map[api.RequestID]*Request
	changes  map[api.RequestID]*Change
	conns    map[api.ConnID]*conn
	calls    map[api.AttemptID]*call
	// forwards holds how to answer the work orders that other hosts passed on.
	forwards map[api.RequestID]func(event.ForwardResult, api.WorkAnswer)
}

// Boot starts a new life of the host's process.
func (h *Host) Boot() {
	w := h.w
	w.lives++
	if int(w.lives) > len(w.Hosts) {
		w.Trace.Restarts++
	}
	h.life = api.Life(w.lives*1_000 + uint64(h.index))
	h.up, h.paused, h.leaving, h.ready = true, false, false, false
	h.backlog, h.wakeAt, h.untold = nil, time.Time{}, nil
	h.requests, h.changes = make(map[api.RequestID]*Request), make(map[api.RequestID]*Change)
	h.forwards = make(map[api.RequestID]func(event.ForwardResult, api.WorkAnswer))
	h.conns, h.calls = make(map[api.ConnID]*conn), make(map[api.AttemptID]*call)
	s := node.Settings{
		Name: h.name, Life: h.life, Address: h.address, VM: api.VMName(h.name),
		DataCentre: api.DataCentre(fmt.Sprintf("dc%d", h.index%2+1)), Seed: w.lives,
	}
	for _, other := range w.Hosts {
		if other != h {
			s.Peers = append(s.Peers, node.Peer{Name: other.name, Address: other.address})
		}
	}
	h.node = node.New(s)
	w.Trace.disturb(w.now, h)
	h.feed(event.Timer{})
	h.readVMs()
}

// readVMs lets a process that has started read the VM list.
func (h *Host) readVMs() {
	if len(h.vms) == 0 {
		return
	}
	var list []event.VM
	for _, vm := range slices.Sorted(maps.Keys(h.vms)) {
		list = append(list, event.VM{Name: vm, Leaving: h.vms[vm]})
	}
	h.later(h.w.hop(), event.VMListRead{VMs: list})
}

// Kill ends the process at once.
func (h *Host) Kill() {
	if !h.up {
		return
	}
	w := h.w
	h.up = false
	h.life = 0
	if !h.leaving {
		w.Trace.Parted++
	}
	for _, r := range w.Trace.Requests {
		if r.host == h && len(r.Answers) == 0 {
			r.Excused = true
		}
	}
	w.Trace.disturb(w.now, h)
	for _, t := range w.Targets {
		t.dropHost(h)
	}
	for _, id := range slices.Sorted(maps.Keys(h.forwards)) {
		h.forwards[id](event.ForwardLost, api.WorkAnswer{})
	}
	w.Store.dropHost(h)
}

// Pause stops the process, which still believes that it runs.
func (h *Host) Pause(d time.Duration) {
	if !h.up || h.paused {
		return
	}
	h.paused = true
	h.w.Trace.Parted++
	life := h.life
	h.w.Trace.disturb(h.w.now, h)
	for _, r := range h.requests {
		r.Excused = true
	}
	h.w.After(d, func() {
		if h.life != life {
			return
		}
		h.paused = false
		h.w.Trace.disturb(h.w.now, h)
		backlog := h.backlog
		h.backlog = nil
		for _, ev := range backlog {
			h.feed(ev)
		}
		h.feed(event.Timer{})
	})
}

// Leave begins a graceful shutdown; the balancer follows with a lag.
func (h *Host) Leave() {
	if !h.up || h.leaving {
		return
	}
	h.leaving = true
	h.feed(event.ShutdownStarted{AcceptFor: 300 * time.Millisecond})
}

// later feeds an event to the present life of the host after a delay.
func (h *Host) later(d time.Duration, ev event.Event) {
	life := h.life
	h.w.After(d, func() {
		if h.life == life {
			h.feed(ev)
		}
	})
}

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
	h.noteSignal(ev)
	h.w.show(h, "<-", ev)
	for _, a := range h.node.Step(h.w.now, ev) {
		h.w.record(h, a)
		h.act(a)
	}
	if h.up {
		h.setTimer()
	}
}

// setTimer schedules the Timer event that the node asks for.
func (h *Host) setTimer() {
	w := h.w
	at := h.node.Wake()
	if at.IsZero() {
		return
	}
	if at.After(w.now) {
		h.spins = 0
	} else {
		at = w.now
		if h.spins++; h.spins > spinLimit {
			w.Trace.broke("final", "node %s asks for a timer at once for the %dth time", h.name, h.spins)
			at = w.now.Add(time.Millisecond)
		}
	}
	if !h.wakeAt.IsZero() && !at.Before(h.wakeAt) {
		return
	}
	h.wakeAt = at
	life := h.life
	w.After(at.Sub(w.now), func() {
		if h.life == life && h.wakeAt.Equal(at) {
			h.wakeAt = time.Time{}
			h.feed(event.Timer{})
		}
	})
}

// noteSignal records the first sign of a drain that any host gets.
func (h *Host) noteSignal(ev event.Event) {
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
		h.noteVMs(ev.VMs)
		return
	}
	if c := h.conns[conn]; c != nil && load.Draining {
		h.noteSign(c.target.Name, load.Incarnation)
	}
}

func (h *Host) noteVMs(vms []event.VM) {
	for _, t := range h.w.Targets {
		if slices.Contains(vms, event.VM{Name: t.vm, Leaving: true}) && t.Draining {
			h.noteSign(t.Name, t.incarnation)
		}
	}
}

// noteSign records a sign of a drain. One that the host cannot tell its peers
// counts for them from the end of its cut, if it lives until then.
func (h *Host) noteSign(replica api.ReplicaName, incarnation api.Incarnation) {
	sign := Signal{Replica: replica, Incarnation: incarnation, At: h.w.now, Cut: h.CutPeers, Host: h.index}
	h.w.Trace.signal(sign)
	if sign.Cut {
		h.untold = append(h.untold, sign)
	}
}

// tellSigns makes the signs that came during a cut count for all hosts.
func (h *Host) tellSigns() {
	for _, sign := range h.untold {
		sign.At, sign.Cut = h.w.now, false
		h.w.Trace.signal(sign)
	}
	h.untold = nil
}

// act carries out one action.
func (h *Host) act(a event.Action) {
	switch a := a.(type) {
	case event.SendSearch:
		h.send(&call{host: h, life: h.life, conn: h.conns[a.Conn], connID: a.Conn, attempt: a.Request.Attempt, search: &a.Request})
	case event.SendWork:
		h.send(&call{host: h, life: h.life, conn: h.conns[a.Conn], connID: a.Conn, attempt: a.Request.Attempt, work: &a.Request})
	case event.CancelAttempt:
		h.cancel(a.Attempt)
	case event.AnswerSearch:
		h.answer(a.Request, Answer{Outcome: a.Answer.Outcome, Reason: a.Answer.Reason, RetryAfter: a.Answer.RetryAfter, Search: &a.Answer})
	case event.AnswerWork:
		if reply := h.forwards[a.Request]; reply != nil {
			reply(event.ForwardAnswered, a.Answer)
			return
		}
		h.answer(a.Request, Answer{Outcome: a.Answer.Outcome, Reason: a.Answer.Reason, RetryAfter: a.Answer.RetryAfter, Result: a.Answer.Result, Replayed: a.Answer.Replayed})
	case event.AnswerChange:
		h.answerChange(a)
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
		h.w.Store.read(h, a)
	case event.WriteStore:
		h.w.Store.write(h, a)
	case event.WatchStore:
		h.w.Store.watch(h, a)
	case event.CancelWatch:
		h.w.Store.cancelWatch(h, a.Op)
	case event.Log:
		h.logged(a)
	case event.Stopped:
		h.stopped()
	}
}

func (h *Host) sendPeer(a event.SendPeer) {
	for _, to := range h.w.Hosts {
		if to.address != a.Address {
			continue
		}
		if h.CutPeers || to.CutPeers || !to.up {
			h.later(2*h.w.hop(), event.PeerFailed{Peer: a.Peer})
			return
		}
		if to.paused {
			h.later(time.Second, event.PeerFailed{Peer: a.Peer}) // the driver's time-out
		}
		to.later(h.w.hop(), event.PeerReceived{Message: a.Message})
	}
}

// forward passes a work order on to another host and its answer back.
func (h *Host) forward(a event.ForwardWork) {
	w := h.w
	from := h.life
	report := func(result event.ForwardResult, answer api.WorkAnswer) {
		h.later(w.hop(), event.WorkForwarded{Op: a.Op, Result: result, Answer: answer})
	}
	i := slices.IndexFunc(w.Hosts, func(o *Host) bool { return o.address == a.Address })
	to := w.Hosts[i]
	if h.CutPeers || to.CutPeers || !to.up {
		report(event.ForwardLost, api.WorkAnswer{})
		return
	}
	life := to.life
	w.After(w.hop(), func() {
		if to.life != life {
			report(event.ForwardLost, api.WorkAnswer{})
			return
		}
		w.Trace.Forwards = append(w.Trace.Forwards, Forward{
			At: w.now, From: from, To: to.life, Tag: workTag(a.Work.Service, a.Work.Key),
		})
		to.nextID++
		id := to.nextID
		to.forwards[id] = func(result event.ForwardResult, answer api.WorkAnswer) {
			delete(to.forwards, id)
			if h.CutPeers || to.CutPeers {
				// The answer is lost and the call ends at its deadline.
				w.After(a.Deadline.Sub(w.now), func() { report(event.ForwardLost, api.WorkAnswer{}) })
				return
			}
			report(result, answer)
		}
		to.feed(event.WorkArrived{Request: id, Caller: a.Caller, Work: a.Work, Deadline: a.Deadline, Forwarded: true})
	})
}

// logged takes the position of an adopted document from the log line of the
// core, which is how an operator would see it.
func (h *Host) logged(a event.Log) {
	// Package confsync logs its own line, with the source, which leaves the node
	// with its next answer only.
	hasSource := func(f api.Field) bool { return f.Name == "source" }
	if a.Event != "config_adopted" || slices.ContainsFunc(a.Fields, hasSource) {
		return
	}
	if life := h.life; !h.ready { // the balancer polls the readiness of hosts
		h.w.After(balancerLag, func() { h.ready = h.ready || h.life == life })
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
	h.w.Trace.Adoptions = append(h.w.Trace.Adoptions, Adoption{At: h.w.now, Host: h.index, Life: h.life, Position: at})
}

func (h *Host) stopped() {
	for _, r := range h.requests {
		if len(r.Answers) == 0 && !r.Gone && !r.Excused {
			h.w.Trace.broke("P7", "node %s stopped with request %d in flight", h.name, r.ID)
		}
	}
	h.w.Trace.Stops++
	h.Kill()
}
