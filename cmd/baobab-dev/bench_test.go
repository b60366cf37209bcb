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

// BenchmarkQueryOverGRPC measures a complete search over real sockets: HTTP to the
// node and gRPC to six targets. The targets run in the same process, so their CPU
// time and allocations are included.
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
	for range 20 { // lets the node open connections and learn the index versions
		postSearch(b, url)
	}
	requestsBefore := requestsReceived(s)
	b.ReportAllocs()
	cpuUsed := cpuTime()
	b.ResetTimer()
	for range b.N {
		postSearch(b, url)
	}
	b.StopTimer()
	cpuUsed = cpuTime() - cpuUsed
	perQuery := float64(requestsReceived(s)-requestsBefore) / float64(b.N)
	b.ReportMetric(perQuery, "requests/op")
	b.ReportMetric(float64(cpuUsed.Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(cpuUsed.Nanoseconds())/float64(b.N)/perQuery, "cpu-ns/request")
}

// cpuTime returns the user and system CPU time of this process. Unlike elapsed time,
// it is hardly affected by other processes on the machine.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// postSearch sends the sample search and reads the whole response.
func postSearch(b *testing.B, url string) {
	response, err := http.Post(url, "application/json", bytes.NewReader([]byte(sampleSearch)))
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// requestsReceived returns the number of requests that all targets have received.
func requestsReceived(s *system) uint64 {
	total := uint64(0)
	for _, h := range s.hosts {
		total += h.Counters()["requests_received"]
	}
	return total
}
