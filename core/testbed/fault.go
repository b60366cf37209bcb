package testbed

import (
	"time"

	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// Fault is one thing that goes wrong.
type Fault struct {
	Name string
	// Settled is how long after the injection each request has to be answered in
	// full again; Promise is the one that is broken otherwise.
	Settled time.Duration
	Promise string
	Inject  func(w *World)
}

// Faults returns all faults. They choose their victims with the random numbers
// of the run.
func Faults() []Fault {
	return []Fault{
		{"straggler", 1500 * time.Millisecond, "P11", func(w *World) {
			t := w.anyTarget()
			t.Slow = 150 * time.Millisecond
			w.After(time.Second, func() { t.Slow = 0 })
		}},
		{"frozen target", 4 * time.Second, "P11", func(w *World) {
			t := w.anyTarget()
			t.Frozen = true
			w.After(1200*time.Millisecond, func() { t.Frozen = false; t.dispatch() })
		}},
		{"lost replica", 3 * time.Second, "P11", func(w *World) { w.anyTarget().Crash(1500 * time.Millisecond) }},
		{"cold restart", 3 * time.Second, "P11", func(w *World) { w.anyTarget().Crash(20 * time.Millisecond) }},
		{"lost node", time.Second, "P11", func(w *World) { w.loseHost(800 * time.Millisecond) }},
		{"lagging balancer", 2 * time.Second, "P11", func(w *World) {
			w.lagged = true
			w.loseHost(1500 * time.Millisecond)
			w.After(time.Second, func() { w.lagged = false })
		}},
		{"paused node", 3 * time.Second, "P11", func(w *World) { w.anyHost().Pause(1300 * time.Millisecond) }},
		{"graceful node stop", time.Second, "P7", func(w *World) {
			h := w.anyHost()
			h.Leave()
			// Callers whose balancer lags still send until the grace period ends.
			late := []int{20, 295, 298}
			withWork := w.rng.IntN(2) == 0 // an open claim delays the stop by itself
			for i, ms := range late {
				w.After(time.Duration(ms)*time.Millisecond, func() {
					w.Search(h, w.Tag(), "")
					if withWork || i == 0 {
						w.Work(h, w.Key(), "late "+w.Tag(), "")
					}
				})
			}
			w.After(3*time.Second, func() { w.bootAfterStop(h) })
		}},
		{"repartition", 2 * time.Second, "P2", func(w *World) { w.repartition() }},
		{"version change", time.Second, "P1", func(w *World) { w.advance(true, 15*time.Millisecond) }},
		{"version dropped", time.Second, "P1", func(w *World) { w.advance(false, 6*time.Millisecond) }},
		{"store down", 6 * time.Second, "P8", func(w *World) { w.storeMode(StoreDown, 2*time.Second) }},
		{"store hung", 6 * time.Second, "P8", func(w *World) { w.storeMode(StoreHung, 2*time.Second) }},
		{"store slow", 6 * time.Second, "P8", func(w *World) { w.storeMode(StoreSlow, 2*time.Second) }},
		{"store answer lost", 6 * time.Second, "P8", func(w *World) { w.storeMode(StoreLossy, 300*time.Millisecond) }},
		{"store write delayed", 6 * time.Second, "P8", func(w *World) { w.storeMode(StoreDelaying, 300*time.Millisecond) }},
		{"store restored", 6 * time.Second, "P8", func(w *World) { w.restore() }},
		{"silent watch", 0, "P8", func(w *World) { w.Store.SilentWatch = true }},
		{"resend after pause", 3 * time.Second, "P5", func(w *World) { w.resendAfterPause() }},
		{"operators racing", time.Second, "P8", func(w *World) {
			for i, h := range w.Hosts {
				rows := 100 + i + int(w.seq%50)
				w.Change(h, config.Op{AlterService: &config.AlterService{Name: Readings, Settings: config.RuleSettings{MaxRows: &rows}}})
			}
		}},
		{"crashing search", 6 * time.Second, "P9", func(w *World) { w.crashing(false) }},
		{"crashing work order", 6 * time.Second, "P9", func(w *World) { w.crashing(true) }},
		{"silent connection", 4 * time.Second, "P10", func(w *World) { w.silence(false) }},
		{"silent path to a target", 4 * time.Second, "P10", func(w *World) { w.silence(true) }},
		{"late answers", 2 * time.Second, "P3", func(w *World) { w.anyTarget().Arm(ReplyLate, 3) }},
		{"duplicate answers", time.Second, "P3", func(w *World) { w.anyTarget().Arm(ReplyDuplicate, 5) }},
		{"crossed answers", time.Second, "P3", func(w *World) { w.anyTarget().Arm(ReplyCrossed, 3) }},
		{"truncated answers", time.Second, "P2", func(w *World) { w.anyTarget().Arm(ReplyTruncated, 3) }},
		{"answers of another version", time.Second, "P1", func(w *World) { w.anyTarget().Arm(ReplyWrongVersion, 3) }},
		{"drain seen in answers", 7 * time.Second, "P6", func(w *World) { w.anyTarget().Drain(time.Second) }},
		{"drain seen in the VM list", 7 * time.Second, "P6", func(w *World) {
			t := w.anyTarget()
			t.Drain(time.Second)
			t.Mute = true // its own load does not tell
			w.Leaving(t.vm, true)
			w.After(6*time.Second, func() { w.Leaving(t.vm, false) })
		}},
		{"misleading load", 4 * time.Second, "P11", func(w *World) {
			t := w.anyTarget()
			t.Lie = true
			w.After(time.Second, func() { t.Lie = false })
		}},
		{"connection limit", 5 * time.Second, "P10", func(w *World) {
			t := w.anyTarget()
			t.Limit = len(t.conns) - 1
			if len(t.conns) > 0 {
				t.conns[0].end(event.ConnReset)
			}
			w.After(1500*time.Millisecond, func() { t.Limit = 12 })
		}},
		{"shedding target", 2 * time.Second, "P11", func(w *World) {
			t := w.anyTarget()
			t.Shed = true
			w.After(500*time.Millisecond, func() { t.Shed = false })
		}},
		{"overload", 5 * time.Second, "P11", func(w *World) {
			for i := range 60 {
				w.After(time.Duration(i)*2*time.Millisecond, func() { w.Search(w.Pick(), w.Tag(), "") })
			}
		}},
		{"peers cut", 3 * time.Second, "P11", func(w *World) {
			h := w.anyHost()
			h.Cut(true, false)
			w.After(1500*time.Millisecond, func() { h.Cut(false, false) })
		}},
		{"node cut from store and peers", 7 * time.Second, "P8", func(w *World) {
			h := w.anyHost()
			h.Cut(true, true)
			w.After(2*time.Second, func() { h.Cut(false, false) })
		}},
		{"callers gone", time.Second, "P11", func(w *World) {
			for _, r := range w.Trace.Requests {
				if len(r.Answers) == 0 {
					w.Hangup(r)
				}
			}
		}},
	}
}

// Cut separates a host from its peers and from the store, or heals it.
func (h *Host) Cut(peers, store bool) {
	if peers && !h.CutPeers {
		h.w.Trace.Parted++
	}
	h.CutPeers, h.CutStore = peers, store
	if !peers {
		h.tellSigns()
	}
	h.w.Trace.disturb(h.w.now, h)
}

func (w *World) anyTarget() *Target { return w.Targets[w.rng.IntN(len(w.Targets))] }

// anyHost returns a host that is up, or the first.
func (w *World) anyHost() *Host {
	for range 8 {
		if h := w.Hosts[w.rng.IntN(len(w.Hosts))]; h.up {
			return h
		}
	}
	return w.Hosts[0]
}

// bootAfterStop starts a host again once its graceful stop has ended.
func (w *World) bootAfterStop(h *Host) {
	switch {
	case !h.up:
		h.Boot()
	case h.leaving:
		w.After(time.Second, func() { w.bootAfterStop(h) })
	}
}

func (w *World) loseHost(back time.Duration) {
	h := w.anyHost()
	h.Kill()
	w.After(back, func() {
		if !h.up {
			h.Boot()
		}
	})
}

// repartition splits the first shard of the newest map in two.
func (w *World) repartition() {
	doc := w.Store.document()
	m := doc.Services[Readings].Newest()
	shard := m.Shards[0]
	if shard.Width() < 4 {
		return
	}
	w.Change(w.anyHost(), config.Op{SplitShard: &config.SplitShard{
		Service: Readings, Name: shard.Name, At: shard.First + uint32(shard.Width()/2),
		Low:  config.SplitPart{Name: shard.Name + "l", Replicas: shard.Replicas},
		High: config.SplitPart{Name: shard.Name + "h", Replicas: shard.Replicas},
	}})
}

// advance gives all targets the next version, one after the other.
func (w *World) advance(keep bool, apart time.Duration) {
	for i, t := range w.Targets {
		w.After(time.Duration(i)*apart, func() { t.Advance(keep) })
	}
}

func (w *World) storeMode(m StoreMode, d time.Duration) {
	w.Store.Set(m)
	w.After(d, func() { w.Store.Set(StoreUp) })
}

// recoverAfter is when an operator recovers a restored configuration.
const recoverAfter = 3 * time.Second

// restore puts an older configuration into the store; an operator recovers it
// when each node has had the time to see that.
func (w *World) restore() {
	if !w.Store.Restore(1) {
		return
	}
	w.After(recoverAfter, func() {
		if h := w.newestHost(); h != nil {
			w.Change(h, config.Op{Recover: &config.Recover{}})
		}
	})
}

// newestHost returns the host that adopted the newest document, which is the
// one that an operator recovers from.
func (w *World) newestHost() *Host {
	var best *Host
	var at config.Position
	for _, a := range w.Trace.Adoptions {
		if h := w.Hosts[a.Host]; h.life == a.Life && a.Position.Compare(at) >= 0 {
			best, at = h, a.Position
		}
	}
	return best
}

// resendAfterPause pauses a node with a work order in progress and sends the
// same key through the others, while it sleeps and after it has woken.
func (w *World) resendAfterPause() {
	key := w.Key()
	h := w.anyHost()
	w.Work(h, key, "paused", "")
	h.Pause(time.Duration(100+w.rng.IntN(900)) * time.Millisecond)
	for i, other := range w.Hosts {
		w.After(time.Duration(i*40+w.rng.IntN(1400))*time.Millisecond, func() { w.Work(other, key, "paused", "") })
	}
}

// crashing sends a request that crashes each target that runs it, again and
// again through each host. The last resends have to be refused.
func (w *World) crashing(work bool) {
	content := w.Tag()
	w.Crashes(content)
	send := func(must string) {
		var r *Request
		if work {
			r = w.Work(w.Pick(), w.Key(), content, "")
		} else {
			r = w.Search(w.Pick(), content, "")
		}
		if r != nil {
			r.Refused = must
		}
	}
	send("")
	for _, ms := range []int{150, 400, 700, 1100, 1300, 1700, 2200, 2900, 3600, 4200, 5000, 5100, 5200} {
		must := ""
		if ms >= 5000 {
			must = "P9"
		}
		w.After(time.Duration(ms)*time.Millisecond, func() { send(must) })
	}
}

// silence makes open connections go silent: one, or all between a host and a
// target.
func (w *World) silence(all bool) {
	t := w.anyTarget()
	var host *Host
	for _, c := range t.conns {
		if c.open && !c.silent && (host == nil || c.host == host) {
			host = c.host
			c.silent = true
			c.silence = &Silence{At: w.now, Host: host.index, Replica: t.Name}
			w.Trace.Silences = append(w.Trace.Silences, c.silence)
			if !all {
				return
			}
		}
	}
}
