package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

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
	s, err := startSystem(context.Background(), arguments{Shards: shards, Targets: 6, Nodes: 1, Rows: 2000}, log)
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
	b.ResetTimer()
	for range b.N {
		benchmarkSearch(b, url)
	}
	b.StopTimer()
	perQuery := float64(requestsReceived(s)-before) / float64(b.N)
	b.ReportMetric(perQuery, "requests/op")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/perQuery, "ns/request")
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
