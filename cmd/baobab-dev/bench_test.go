package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/entry/telemetry"
)

// BenchmarkQueryOverGRPC measures a whole search with real sockets: HTTP to the
// node, gRPC to six targets in the same process. The targets' share is included.
func BenchmarkQueryOverGRPC(b *testing.B) {
	for _, shards := range []int{10, 100, 620} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) { benchmarkQuery(b, shards) })
	}
}

func benchmarkQuery(b *testing.B, shards int) {
	log := telemetry.NewLogger(io.Discard, "error")
	defer log.Close()
	s, err := startSystem(context.Background(), arguments{Shards: shards, Targets: 6, Nodes: 1, Rows: 100}, log)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = s.stop() }()
	url := "http://" + s.nodes[0].CallersAddress() + "/v1/search"
	for range 20 { // opens the connections and learns the versions
		benchmarkSearch(b, url)
	}
	before := requestsReceived(s)
	b.ReportAllocs()
	used := processorTime()
	b.ResetTimer()
	for range b.N {
		benchmarkSearch(b, url)
	}
	b.StopTimer()
	used = processorTime() - used
	perQuery := float64(requestsReceived(s)-before) / float64(b.N)
	b.ReportMetric(perQuery, "requests/op")
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N)/perQuery, "cpu-ns/request")
}

// processorTime is the time that this process has used on all processors. Unlike
// the elapsed time, it says little about other processes on the machine.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchmarkSearch(b *testing.B, url string) {
	reply, err := http.Post(url, "application/json", bytes.NewReader([]byte(sampleSearch)))
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, reply.Body)
	_ = reply.Body.Close()
}

func requestsReceived(s *system) uint64 {
	sum := uint64(0)
	for _, h := range s.hosts {
		sum += h.Counters()["requests_received"]
	}
	return sum
}
