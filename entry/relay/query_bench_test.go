package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/routing"
)

// discard is a Logger, a Publisher and an Observer that do nothing.
type discard struct{}

func (discard) Info(string, ...any)                   {}
func (discard) Publish([]gossip.Notice)               {}
func (discard) Latency(string, string, time.Duration) {}

// rawReplica answers each request with a fixed response at little cost, so that the
// benchmark measures mostly the node.
func rawReplica(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	answer := append([]byte("HTTP/1.1 200 OK\r\nX-Proof: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=10\r\nContent-Length: 400\r\n\r\n"), make([]byte, 400)...)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				buffer := make([]byte, 4096)
				for {
					n, err := c.Read(buffer)
					if err != nil {
						return
					}
					if bytes.HasSuffix(buffer[:n], []byte("\r\n\r\n")) {
						_, _ = c.Write(answer)
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// BenchmarkQuery measures a sharded request with HTTP on both sides: one operation is a
// request to all shards. The replicas and the caller run in the same process.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{1, 20, 90} {
		b.Run(fmt.Sprint(shards, " shards"), func(b *testing.B) {
			address := startNode(b, shards)
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = fmt.Fprintf(c, "GET /all/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id\r\nX-Time-Left: 5000\r\n\r\n")
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.StatusCode != http.StatusOK {
					b.Fatal(response, err)
				}
				_ = response.Body.Close()
			}
		})
	}
}

// startNode starts a node that serves callers and returns its address.
func startNode(b *testing.B, shards int) string {
	engine := forward.New(forward.Settings{
		DataCentre: "dc-a", BudgetWindow: 10 * time.Second, BudgetShare: 0.2, FirstStart: true,
	})
	loop := NewLoop(engine, discard{}, discard{})
	loop.Connect(NewTargets(loop, testHeaders, testBodyMemory), NewNodes(loop, testHeaders, testCallBytes))
	route := routing.Route{
		Name: "all", Host: "h", Prefix: "/all/", MinCoverage: 1, Idempotent: true, MaxAttempts: 2,
		Timeout: 5 * time.Second, TargetLatency: 5 * time.Second, Merge: routing.Merge{RecordBytes: 16, Records: 20},
	}
	var services []routing.Service
	for i := range shards {
		name := api.ServiceName(fmt.Sprint("s", i))
		route.Shards = append(route.Shards, name)
		services = append(services, routing.Service{Name: name, MaxConnections: 25})
		loop.Post(forward.ReplicaRegistered{Registration: forward.Registration{
			Replica: api.ReplicaName(fmt.Sprint("r", i)), Service: name, Address: rawReplica(b), DataCentre: "dc-a", Slots: 2,
		}})
	}
	loop.Post(forward.TableRead{Table: routing.NewTable(1, []routing.Route{route}, services, routing.Limits{})})
	callers := NewCallerServer(loop, testHeaders, discard{}, testLimits, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = callers.Serve(l) }()
	b.Cleanup(func() { _ = callers.server.Close() })
	return l.Addr().String()
}
