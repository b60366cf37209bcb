package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// heartbeatInterval is heartbeat_interval_ms of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// replica is a stand-in for a replica that follows PROTOCOL.md: it registers itself, checks
// X-Expect-Instance, runs at most slots requests at once, queues queue more and answers 503 with
// X-Not-Executed beyond that.
type replica struct {
	run     *run
	id      string
	service string
	address string
	slots   chan struct{}
	queue   chan struct{}
	// work is how long a request runs.
	work time.Duration
	// early is set on a replica that rejects a request before it has read a long body, keeps the
	// connection and reads on later: after readOn.
	early  bool
	readOn time.Duration

	// records is the number of records in each answer; 0 for an answer that is not a part.
	records int
	// quiet keeps single requests out of the record.
	quiet bool

	mu      sync.Mutex
	arrived map[string]int // by request id: how often a request was sent here
	runs    map[string]int // by request id: how often a request began to run
}

// replicaOptions are the properties of a replica that differ between cases.
type replicaOptions struct {
	id, service, ip string
	slots, queue    int
	work            time.Duration
	early           bool
	readOn          time.Duration
	// segment is the largest TCP segment that the replica accepts, as on an Ethernet; 0 for the
	// one of the loopback interface.
	segment int
	// window is the size of the receive buffer in bytes; 0 for the kernel's choice.
	window int
	// records is the number of records in each answer; 0 for an answer that is not a part.
	records int
	// quiet keeps single requests out of the record.
	quiet bool
}

// startReplica starts a replica and registers it in the store, once and then with each heartbeat.
func startReplica(r *run, s *store, o replicaOptions) *replica {
	p := &replica{
		run: r, id: o.id, service: o.service, work: o.work, early: o.early, readOn: o.readOn,
		slots: make(chan struct{}, o.slots), queue: make(chan struct{}, o.slots+o.queue), runs: map[string]int{}, arrived: map[string]int{}, records: o.records, quiet: o.quiet,
	}
	listener, err := listen(o.ip, o.segment, o.window)
	must(err)
	p.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	go func() {
		for sequence := 1; ; sequence++ {
			s.put("servers/"+p.id, map[string]any{
				"service": p.service, "address": p.address, "zone": "hall-north", "version": "v1",
				"slots": o.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence,
			})
			pause := heartbeatInterval
			if sequence == 1 { // replicas do not start at the same moment
				pause = rand.N(heartbeatInterval)
			}
			time.Sleep(pause)
		}
	}()
	return p
}

// listen opens a listener on a free port with the given segment size and receive buffer; 0 stands
// for the kernel's choice.
func listen(ip string, segment, window int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			if segment > 0 {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			}
			if window > 0 && err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", ip+":0")
}

// serve answers the requests on one connection, one after the other.
func (p *replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Request-Id")
		p.mu.Lock()
		p.arrived[id]++
		p.mu.Unlock()
		long := p.early && q.ContentLength > earlyBody
		var body []byte
		if !long {
			if body, err = io.ReadAll(q.Body); err != nil {
				return
			}
		}
		if q.Header.Get("X-Expect-Instance") != p.id {
			p.answer(conn, 421, id, "X-Instance-Id: "+p.id+"\r\n", nil)
			continue
		}
		if long {
			time.Sleep(p.work)
			p.run.note("replica %s rejects %s before it has read its body of %d bytes", p.id, id, q.ContentLength)
			p.answer(conn, 503, id, "X-Not-Executed: 1\r\n", nil)
			time.Sleep(p.readOn)
			n, err := io.Copy(io.Discard, q.Body)
			p.run.note("replica %s reads on the body of %s: %d bytes, %v", p.id, id, n, err)
			if err != nil {
				return
			}
			continue
		}
		select {
		case p.queue <- struct{}{}:
		default:
			p.run.note("replica %s rejects %s: full", p.id, id)
			p.answer(conn, 503, id, "X-Not-Executed: 1\r\n", nil)
			continue
		}
		p.slots <- struct{}{}
		p.began(id, q, len(body))
		time.Sleep(p.work)
		<-p.slots
		<-p.queue
		answer := []byte("done " + id)
		if p.records > 0 {
			answer = recordsOf(p.service, q.URL.Path, p.records)
		} else if !p.quiet {
			p.run.note("replica %s answers %s", p.id, id)
		}
		p.answer(conn, 200, id, "X-Server-Stamp: "+stamp(p.id, id)+"\r\n", answer)
	}
}

// earlyBody is the length above which a body is long for a replica that rejects early.
const earlyBody = 16 << 10

// began records that a request begins to run.
func (p *replica) began(id string, q *http.Request, body int) {
	p.mu.Lock()
	p.runs[id]++
	n := p.runs[id]
	p.mu.Unlock()
	if p.records > 0 || p.quiet {
		return // the answers of sharded requests are checked from their proofs
	}
	p.run.note("replica %s runs %s (%s %s, %d of %d body bytes read), run %d", p.id, id, q.Method, q.URL.Path, body, q.ContentLength, n)
}

// ran returns how often a request began to run here.
func (p *replica) ran(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// passedOn reports whether a request was sent here.
func (p *replica) passedOn(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrived[id] > 0
}

// recordBytes is the size of a record.
const recordBytes = 16

// recordsOf returns the records that a shard holds for a path, in no order.
func recordsOf(service, path string, n int) []byte {
	var out []byte
	for i := range n {
		sum := sha256.Sum256([]byte(fmt.Sprint(service, path, i)))
		out = append(out, sum[:recordBytes]...)
	}
	return out
}

// stamp is the proof that a replica ran a request.
func stamp(replica, id string) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte(replica+"/"+id)))[:16]
}

// answer sends an answer with the given extra header fields, each of which ends with CRLF.
func (p *replica) answer(conn net.Conn, status int, id, fields string, body []byte) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, fields, len(body), body)
}

// route returns a route of the configuration to one service.
func route(name, prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service,
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 250, "priority": 1, "max_attempts": 2,
	}
}

// configuration returns a configuration with the limits of the small deployments.
func configuration(version int, services []string, routes ...map[string]any) map[string]any {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_check_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
