package targetclient

import (
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/wire/targetpb"
)

// BenchmarkConnections measures the memory, the goroutines and the processor time
// of an open, idle connection. Client and server are in one process, so that
// the figures are those of both ends together.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := grpc.NewServer()
			targetpb.RegisterTargetServer(server, &fakeTarget{})
			go func() { _ = server.Serve(listener) }()
			defer server.Stop()
			for range b.N {
				measureConnections(b, listener.Addr().String(), n)
			}
		})
	}
}

func measureConnections(b *testing.B, address string, n int) {
	events := make(chan event.Event, n)
	c := New(Config{Report: func(e event.Event) { events <- e }, OpenTimeout: time.Minute})
	memory, goroutines, used := inUse(), runtime.NumGoroutine(), processorTime(b)
	for i := range n {
		c.Open(event.OpenConn{Conn: api.ConnID(i + 1), Address: address})
		if e, ok := (<-events).(event.ConnOpened); !ok {
			b.Fatalf("connection %d: %+v", i, e)
		}
	}
	used = processorTime(b) - used
	b.ReportMetric(float64(used.Microseconds())/float64(n), "cpu-us/open")
	b.ReportMetric(float64(inUse()-memory)/float64(n), "held-B/conn")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(n), "goroutines/conn")
	go func() { // the ends of the connections
		for range events {
		}
	}()
	c.Shutdown()
	close(events)
}

// inUse is the memory in heap and stacks.
func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
