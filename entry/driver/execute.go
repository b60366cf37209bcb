package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
)

// execute starts or performs one action without blocking. Store reads and writes
// and the watch run on goroutines of their own.
func (d *Driver) execute(a event.Action) {
	switch a := a.(type) {
	case event.SendSearch:
		d.config.Targets.SendSearch(a)
	case event.SendWork:
		d.config.Targets.SendWork(a)
	case event.CancelAttempt:
		d.config.Targets.Cancel(a.Attempt)
	case event.OpenConn:
		d.config.Targets.Open(a)
	case event.CloseConn:
		d.config.Targets.Close(a.Conn)
	case event.Probe:
		d.config.Targets.Probe(a.Conn)
	case event.SendPart:
		d.config.Peers.RunPart(a)
	case event.ForwardWork:
		d.config.Peers.ForwardWork(a)
	case event.SendPeer:
		d.config.Peers.Send(a)
	case event.AnswerSearch:
		d.deliverAnswer(a.Request, a)
	case event.AnswerWork:
		d.deliverAnswer(a.Request, a)
	case event.AnswerChange:
		d.deliverAnswer(a.Request, a)
	case event.ReadStore:
		go d.readStore(a)
	case event.WriteStore:
		go d.writeStore(a)
	case event.WatchStore:
		d.startWatch(a)
	case event.CancelWatch:
		d.cancelWatch(a.Op)
	case event.Log:
		d.log(a.Event, a.Fields...)
	case event.Stopped:
		d.stopOnce.Do(func() { close(d.stopped) })
	default:
		panic(fmt.Sprintf("driver: action %T has no executor", a))
	}
}

// log writes one log line, or none if no logger is configured.
func (d *Driver) log(name string, fields ...api.Field) {
	if d.config.Log != nil {
		d.config.Log.Event(name, fields)
	}
}

// readStore runs a store read within the store timeout and reports the result.
func (d *Driver) readStore(a event.ReadStore) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.StoreTimeout)
	defer cancel()
	read := d.config.Store.Get
	if a.RevisionOnly {
		read = d.config.Store.Revision
	}
	result := read(ctx, a.Key)
	result.Op = a.Op
	d.Report(result)
}

// writeStore runs a compare-and-swap within the store timeout and reports the
// result.
func (d *Driver) writeStore(a event.WriteStore) {
	ctx, cancel := context.WithTimeout(d.ctx, d.config.StoreTimeout)
	defer cancel()
	result := d.config.Store.CompareAndSwap(ctx, a.Key, a.Value, a.IfRevision)
	result.Op = a.Op
	d.Report(result)
}

// startWatch starts a goroutine that runs a watch until it ends or is cancelled.
// The end of a watch is reported, except after cancellation.
func (d *Driver) startWatch(a event.WatchStore) {
	ctx, cancel := context.WithCancel(d.ctx)
	d.watches[a.Op] = cancel
	go func() {
		defer cancel()
		d.config.Store.Watch(ctx, a.Key, a.After, func(value []byte, revision int64) {
			d.Report(event.StoreChanged{Op: a.Op, Value: value, Revision: revision})
		})
		if ctx.Err() == nil {
			d.Report(event.StoreWatchEnded{Op: a.Op})
		}
	}()
}

// cancelWatch cancels a watch; it does nothing if the watch has ended.
func (d *Driver) cancelWatch(op api.OpID) {
	if cancel := d.watches[op]; cancel != nil {
		cancel()
		delete(d.watches, op)
	}
}

// pollVMs reads the VM list at once and then every VMInterval. If a read fails,
// the failure is logged and the node keeps the previous list.
func (d *Driver) pollVMs() {
	ticker := time.NewTicker(d.config.VMInterval)
	defer ticker.Stop()
	for {
		ctx, cancel := context.WithTimeout(d.ctx, d.config.VMInterval)
		vms, err := d.config.VMs.List(ctx)
		cancel()
		if err == nil {
			d.Report(event.VMListRead{VMs: vms})
		} else if d.ctx.Err() == nil {
			d.log("vm_list_failed", api.Field{Name: "error", Value: err.Error()})
		}
		select {
		case <-ticker.C:
		case <-d.ctx.Done():
			return
		}
	}
}
