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

// BenchmarkConnections measures the memory and goroutines of an open, idle
// connection and the CPU time to open it. Client and server run in one process,
// so the figures cover both ends together.
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
	memory, goroutines, used := memoryInUse(), runtime.NumGoroutine(), cpuTime(b)
	for i := range n {
		c.Open(event.OpenConn{Conn: api.ConnID(i + 1), Address: address})
		if e, ok := (<-events).(event.ConnOpened); !ok {
			b.Fatalf("connection %d: %+v", i, e)
		}
	}
	used = cpuTime(b) - used
	b.ReportMetric(float64(used.Microseconds())/float64(n), "cpu-us/open")
	b.ReportMetric(float64(memoryInUse()-memory)/float64(n), "held-B/conn")
	b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(n), "goroutines/conn")
	go func() { // discards the ConnEnded events
		for range events {
		}
	}()
	c.Shutdown()
	close(events)
}

// memoryInUse returns the bytes in use by heap and stacks.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
