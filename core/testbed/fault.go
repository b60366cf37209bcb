package testbed

import (
	"time"

	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// Fault is a failure or an operation to inject into a run.
type Fault struct {
	Name string
	// SettlesAfter is the time after the injection from which each request has to
	// be answered in full again. Promise is the promise that is broken otherwise.
	SettlesAfter time.Duration
	Promise      string
	Inject       func(sim *Simulation)
}

// Faults returns all faults. They pick the hosts and targets that they affect with
// the random number generator of the run.
func Faults() []Fault {
	return []Fault{
		{"straggler", 1500 * time.Millisecond, "P11", func(sim *Simulation) {
			t := sim.randomTarget()
			t.ExtraServiceTime = 150 * time.Millisecond
			sim.After(time.Second, func() { t.ExtraServiceTime = 0 })
		}},
		{"frozen target", 4 * time.Second, "P11", func(sim *Simulation) {
			t := sim.randomTarget()
			t.Frozen = true
			sim.After(1200*time.Millisecond, func() { t.Frozen = false; t.dispatch() })
		}},
		{"lost replica", 3 * time.Second, "P11", func(sim *Simulation) { sim.randomTarget().Crash(1500 * time.Millisecond) }},
		{"cold restart", 3 * time.Second, "P11", func(sim *Simulation) { sim.randomTarget().Crash(20 * time.Millisecond) }},
		{"lost node", time.Second, "P11", func(sim *Simulation) { sim.killHost(800 * time.Millisecond) }},
		{"lagging balancer", 2 * time.Second, "P11", func(sim *Simulation) {
			sim.balancerLagging = true
			sim.killHost(1500 * time.Millisecond)
			sim.After(time.Second, func() { sim.balancerLagging = false })
		}},
		{"paused node", 3 * time.Second, "P11", func(sim *Simulation) { sim.randomHost().Pause(1300 * time.Millisecond) }},
		{"graceful node stop", time.Second, "P7", func(sim *Simulation) {
			h := sim.randomHost()
			h.Shutdown()
			// The load balancer lags, so that callers still send to the host until
			// its grace period ends.
			late := []int{20, 295, 298}
			withWork := sim.rng.IntN(2) == 0 // the open claim of a work order delays the stop on its own
			for i, ms := range late {
				sim.After(time.Duration(ms)*time.Millisecond, func() {
					sim.Search(h, sim.NewTag(), "")
					if withWork || i == 0 {
						sim.Work(h, sim.NewKey(), "late "+sim.NewTag(), "")
					}
				})
			}
			sim.After(3*time.Second, func() { sim.bootAfterStop(h) })
		}},
		{"repartition", 2 * time.Second, "P2", func(sim *Simulation) { sim.repartition() }},
		{"version change", time.Second, "P1", func(sim *Simulation) { sim.advanceVersions(true, 15*time.Millisecond) }},
		{"version dropped", time.Second, "P1", func(sim *Simulation) { sim.advanceVersions(false, 6*time.Millisecond) }},
		{"store down", 6 * time.Second, "P8", func(sim *Simulation) { sim.setStoreMode(StoreDown, 2*time.Second) }},
		{"store hung", 6 * time.Second, "P8", func(sim *Simulation) { sim.setStoreMode(StoreHung, 2*time.Second) }},
		{"store slow", 6 * time.Second, "P8", func(sim *Simulation) { sim.setStoreMode(StoreSlow, 2*time.Second) }},
		{"store answer lost", 6 * time.Second, "P8", func(sim *Simulation) { sim.setStoreMode(StoreLossy, 300*time.Millisecond) }},
		{"store write delayed", 6 * time.Second, "P8", func(sim *Simulation) { sim.setStoreMode(StoreDelaying, 300*time.Millisecond) }},
		{"store restored", 6 * time.Second, "P8", func(sim *Simulation) { sim.restoreOldConfig() }},
		{"silent watch", 0, "P8", func(sim *Simulation) { sim.Store.SilentWatch = true }},
		{"resend after pause", 3 * time.Second, "P5", func(sim *Simulation) { sim.resendAfterPause() }},
		{"operators racing", time.Second, "P8", func(sim *Simulation) {
			for i, h := range sim.Hosts {
				rows := 100 + i + int(sim.seq%50)
				sim.Change(h, config.Op{AlterService: &config.AlterService{Name: Readings, Settings: config.RuleSettings{MaxRows: &rows}}})
			}
		}},
		{"crashing search", 6 * time.Second, "P9", func(sim *Simulation) { sim.sendCrashing(false) }},
		{"crashing work order", 6 * time.Second, "P9", func(sim *Simulation) { sim.sendCrashing(true) }},
		{"silent connection", 4 * time.Second, "P10", func(sim *Simulation) { sim.silenceConns(false) }},
		{"silent path to a target", 4 * time.Second, "P10", func(sim *Simulation) { sim.silenceConns(true) }},
		{"late answers", 2 * time.Second, "P3", func(sim *Simulation) { sim.randomTarget().ArmReplyFault(ReplyLate, 3) }},
		{"duplicate answers", time.Second, "P3", func(sim *Simulation) { sim.randomTarget().ArmReplyFault(ReplyDuplicate, 5) }},
		{"crossed answers", time.Second, "P3", func(sim *Simulation) { sim.randomTarget().ArmReplyFault(ReplyCrossed, 3) }},
		{"truncated answers", time.Second, "P2", func(sim *Simulation) { sim.randomTarget().ArmReplyFault(ReplyTruncated, 3) }},
		{"answers of another version", time.Second, "P1", func(sim *Simulation) { sim.randomTarget().ArmReplyFault(ReplyWrongVersion, 3) }},
		{"drain seen in answers", 7 * time.Second, "P6", func(sim *Simulation) { sim.randomTarget().Drain(time.Second) }},
		{"drain seen in the VM list", 7 * time.Second, "P6", func(sim *Simulation) {
			t := sim.randomTarget()
			t.Drain(time.Second)
			t.HideDrain = true // only the VM list shows the drain
			sim.SetVMLeaving(t.vm, true)
			sim.After(6*time.Second, func() { sim.SetVMLeaving(t.vm, false) })
		}},
		{"misleading load", 4 * time.Second, "P11", func(sim *Simulation) {
			t := sim.randomTarget()
			t.FalseLoad = true
			sim.After(time.Second, func() { t.FalseLoad = false })
		}},
		{"connection limit", 5 * time.Second, "P10", func(sim *Simulation) {
			t := sim.randomTarget()
			t.ConnLimit = len(t.conns) - 1
			if len(t.conns) > 0 {
				t.conns[0].end(event.ConnReset)
			}
			sim.After(1500*time.Millisecond, func() { t.ConnLimit = 12 })
		}},
		{"shedding target", 2 * time.Second, "P11", func(sim *Simulation) {
			t := sim.randomTarget()
			t.Shed = true
			sim.After(500*time.Millisecond, func() { t.Shed = false })
		}},
		{"overload", 5 * time.Second, "P11", func(sim *Simulation) {
			for i := range 60 {
				sim.After(time.Duration(i)*2*time.Millisecond, func() { sim.Search(sim.PickHost(), sim.NewTag(), "") })
			}
		}},
		{"peers cut", 3 * time.Second, "P11", func(sim *Simulation) {
			h := sim.randomHost()
			h.Cut(true, false)
			sim.After(1500*time.Millisecond, func() { h.Cut(false, false) })
		}},
		{"node cut from store and peers", 7 * time.Second, "P8", func(sim *Simulation) {
			h := sim.randomHost()
			h.Cut(true, true)
			sim.After(2*time.Second, func() { h.Cut(false, false) })
		}},
		{"callers gone", time.Second, "P11", func(sim *Simulation) {
			for _, r := range sim.Trace.Requests {
				if len(r.Answers) == 0 {
					sim.HangUp(r)
				}
			}
		}},
	}
}

// Cut sets whether the network between a host and its peers, and between the host
// and the store, is cut.
func (h *Host) Cut(peers, store bool) {
	if peers && !h.CutPeers {
		h.sim.Trace.Isolations++
	}
	h.CutPeers, h.CutStore = peers, store
	if !peers {
		h.shareUnsentSignals()
	}
	h.sim.Trace.recordDisruption(h.sim.now, h)
}

// randomTarget returns a target, which need not be up.
func (sim *Simulation) randomTarget() *Target { return sim.Targets[sim.rng.IntN(len(sim.Targets))] }

// randomHost returns a host that is up, or the first host if it finds none in
// eight draws.
func (sim *Simulation) randomHost() *Host {
	for range 8 {
		if h := sim.Hosts[sim.rng.IntN(len(sim.Hosts))]; h.up {
			return h
		}
	}
	return sim.Hosts[0]
}

// bootAfterStop starts a host again once its graceful shutdown has ended.
func (sim *Simulation) bootAfterStop(h *Host) {
	switch {
	case !h.up:
		h.Boot()
	case h.shuttingDown:
		sim.After(time.Second, func() { sim.bootAfterStop(h) })
	}
}

// killHost kills a random host and starts it again after downtime.
func (sim *Simulation) killHost(downtime time.Duration) {
	h := sim.randomHost()
	h.Kill()
	sim.After(downtime, func() {
		if !h.up {
			h.Boot()
		}
	})
}

// repartition splits the first shard of the newest partition map in two.
func (sim *Simulation) repartition() {
	doc := sim.Store.document()
	m := doc.Services[Readings].NewestMap()
	shard := m.Shards[0]
	if shard.Width() < 4 {
		return
	}
	sim.Change(sim.randomHost(), config.Op{SplitShard: &config.SplitShard{
		Service: Readings, Name: shard.Name, At: shard.First + uint32(shard.Width()/2),
		Low:  config.ShardSpec{Name: shard.Name + "l", Replicas: shard.Replicas},
		High: config.ShardSpec{Name: shard.Name + "h", Replicas: shard.Replicas},
	}})
}

// advanceVersions moves the targets to the next index version, one target every
// interval. If keepPrevious is set, they retain the version before.
func (sim *Simulation) advanceVersions(keepPrevious bool, interval time.Duration) {
	for i, t := range sim.Targets {
		sim.After(time.Duration(i)*interval, func() { t.Advance(keepPrevious) })
	}
}

// setStoreMode sets the mode of the store for the duration d.
func (sim *Simulation) setStoreMode(m StoreMode, d time.Duration) {
	sim.Store.SetMode(m)
	sim.After(d, func() { sim.Store.SetMode(StoreUp) })
}

// recoverDelay is the time from the restore of an older configuration to the
// operator's Recover change.
const recoverDelay = 3 * time.Second

// restoreOldConfig restores an older configuration in the store. Once each node has
// had time to notice, an operator sends a Recover change.
func (sim *Simulation) restoreOldConfig() {
	if !sim.Store.Restore(1) {
		return
	}
	sim.After(recoverDelay, func() {
		if h := sim.newestHost(); h != nil {
			sim.Change(h, config.Op{Recover: &config.Recover{}})
		}
	})
}

// newestHost returns the running host with the newest adopted document. An
// operator recovers the configuration from that host.
func (sim *Simulation) newestHost() *Host {
	var best *Host
	var at config.Position
	for _, a := range sim.Trace.Adoptions {
		if h := sim.Hosts[a.Host]; h.life == a.Life && a.Position.Compare(at) >= 0 {
			best, at = h, a.Position
		}
	}
	return best
}

// resendAfterPause pauses a node with a work order in progress and sends the same
// idempotency key through each host, during the pause and after it.
func (sim *Simulation) resendAfterPause() {
	key := sim.NewKey()
	h := sim.randomHost()
	sim.Work(h, key, "paused", "")
	h.Pause(time.Duration(100+sim.rng.IntN(900)) * time.Millisecond)
	for i, other := range sim.Hosts {
		sim.After(time.Duration(i*40+sim.rng.IntN(1400))*time.Millisecond, func() { sim.Work(other, key, "paused", "") })
	}
}

// sendCrashing repeatedly sends a request that crashes each target that runs it,
// through hosts in turn. The requests sent after 5 s have to be refused.
func (sim *Simulation) sendCrashing(work bool) {
	content := sim.NewTag()
	sim.CrashOn(content)
	send := func(requireRefused string) {
		var r *Request
		if work {
			r = sim.Work(sim.PickHost(), sim.NewKey(), content, "")
		} else {
			r = sim.Search(sim.PickHost(), content, "")
		}
		if r != nil {
			r.RequireRefused = requireRefused
		}
	}
	send("")
	for _, ms := range []int{150, 400, 700, 1100, 1300, 1700, 2200, 2900, 3600, 4200, 5000, 5100, 5200} {
		requireRefused := ""
		if ms >= 5000 {
			requireRefused = "P9"
		}
		sim.After(time.Duration(ms)*time.Millisecond, func() { send(requireRefused) })
	}
}

// silenceConns makes open connections go silent, which means that they stay open
// but lose all messages: one connection, or all between one host and one target.
func (sim *Simulation) silenceConns(all bool) {
	t := sim.randomTarget()
	var host *Host
	for _, c := range t.conns {
		if c.open && !c.silent && (host == nil || c.host == host) {
			host = c.host
			c.silent = true
			c.silentConn = &SilentConn{At: sim.now, Host: host.index, Replica: t.Name}
			sim.Trace.SilentConns = append(sim.Trace.SilentConns, c.silentConn)
			if !all {
				return
			}
		}
	}
}
