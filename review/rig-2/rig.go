package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// record writes what happens to record.txt, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: bufio.NewWriter(f), file: f, begun: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// request is a request as a server read it.
type request struct {
	*http.Request
	body []byte
	id   string
}

// server is a stand-in for one replica.
type server struct {
	id, service, zone string
	listener          net.Listener
	// slots holds the requests that run, admitted these and those that wait.
	slots, admitted chan struct{}
	// handle answers one request on a connection and reports whether it stays open.
	handle func(s *server, c net.Conn, q *request) bool
	mu     sync.Mutex
	conns  map[net.Conn]bool
	seq    int
	born   int64
	down   bool
}

// serverSlots is the number of requests that a server runs at a time, serverQueue how many more wait.
const (
	serverSlots = 2
	serverQueue = 8
)

// newServer starts a server on a free port of 127.0.0.1.
func newServer(id, service, zone string, handle func(*server, net.Conn, *request) bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return serveOn(l, id, service, zone, handle), nil
}

// serveOn starts a server on a listener.
func serveOn(l net.Listener, id, service, zone string, handle func(*server, net.Conn, *request) bool) *server {
	s := &server{
		id: id, service: service, zone: zone, listener: l, handle: handle, conns: map[net.Conn]bool{}, born: time.Now().UnixMilli(),
		slots: make(chan struct{}, serverSlots), admitted: make(chan struct{}, serverSlots+serverQueue),
	}
	go s.accept(l)
	return s
}

func (s *server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// register writes the server's entry into the store.
func (s *server) register(st *store, state string) {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	st.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": serverSlots,
		"state": state, "cold_remaining_ms": 0, "sequence": seq, "born": s.born,
	})
}

// crash closes the listener and resets all connections, as the end of a process does. It reports
// false if the server is down already.
func (s *server) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.down = true
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	return true
}

// successor starts a new process at the same address, as a server with another id.
func (s *server) successor(id string) (*server, error) {
	l, err := net.Listen("tcp", s.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	return serveOn(l, id, s.service, s.zone, s.handle), nil
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		r := &request{Request: q, body: body, id: q.Header.Get("X-Request-Id")}
		if want := q.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
			respond(c, 421, http.Header{"X-Instance-Id": {s.id}}, nil)
			continue
		}
		if !s.admit(r) {
			respond(c, 503, http.Header{"X-Not-Executed": {"1"}, "X-Request-Id": {r.id}}, nil)
			continue
		}
		keep := !closed(c, in) && s.handle(s, c, r)
		<-s.slots
		<-s.admitted
		if !keep {
			return
		}
	}
}

// admit waits for a slot. It reports false if too many requests wait, or the time of the request has
// passed before it got a slot.
func (s *server) admit(r *request) bool {
	select {
	case s.admitted <- struct{}{}:
	default:
		return false
	}
	ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Milliseconds"))
	if err != nil {
		ms = 30000
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-time.After(time.Duration(ms) * time.Millisecond):
		<-s.admitted
		return false
	}
}

// closed reports whether the caller has closed a connection while its request waited.
func closed(c net.Conn, in *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := in.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// respond writes a complete response.
func respond(c net.Conn, status int, h http.Header, body []byte) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	_, _ = c.Write(b.Bytes())
}

// stamp is the proof that a server ran a request.
func stamp(s *server, id string) string {
	sum := sha256.Sum256([]byte(s.id + "/" + id))
	return fmt.Sprintf("%x.%s", sum[:6], s.id)
}

// node is one process of baobabd.
type node struct {
	name, ip, zone string
	dir            string
	starts         int
	cmd            *exec.Cmd
	ended          chan struct{}
}

const (
	frontPort = 18204
	readyPort = 18208
	innerPort = 17480
)

func (n *node) address() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }

// settings returns the settings file of a machine of tvwpa-damwatch, at loopback addresses.
func (n *node) settings(st *store) string {
	return fmt.Sprintf(`node_name=%s
role=entry
machine_class=frontend
serves=frontend
ip_address=%s
zone=%s
region=black-belt
zones.hall-north=black-belt
zones.hall-south=black-belt
listen_addresses.frontend=%s:%d
listen_addresses.readiness=%s:%d
internal_port_range=%d,%d
first_start=%t
limits.cpu_share=0.4
limits.cpu_cores=1
limits.memory_mb=284
limits.fd_limit=4100
limits.link_bandwidth_mbps=1000.0
limits.disk_mb=0
bounds.seed_lag_s=3
bounds.address_reuse_s=2
bounds.stability_window_ms=4000
bounds.ack_timeout_ms=5000
bounds.catch_up_s=4
bounds.drain_timeout_ms=3000
bounds.grace_period_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=3000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=12000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_slack=52
bounds.recovery_s=12
platform.address=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`, n.name, n.ip, n.zone, n.ip, frontPort, n.ip, readyPort, innerPort, innerPort+15, n.starts == 0, st.address())
}

// start starts a process with the command of the deploy file.
func (n *node) start(st *store) error {
	path := filepath.Join(n.dir, n.name+".conf")
	if err := os.WriteFile(path, []byte(n.settings(st)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/baobabd", "platform")
	cmd.Env = append(os.Environ(), "BAOBABSAIL_BOOT="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.ended = cmd, make(chan struct{})
	n.starts++
	go func(ended chan struct{}) {
		_ = cmd.Wait() // a killed process is expected
		close(ended)
	}(n.ended)
	return nil
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

func (n *node) stop() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.ended
}

// ready asks the node as the platform does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/baobabsail/readiness", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

// system is a small deployment.
type system struct {
	store   *store
	nodes   []*node
	servers []*server
	rec     *record
	dir     string
}

// newSystem starts a store and prepares a number of nodes.
func newSystem(rec *record, nodes int) (*system, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-rig2-")
	if err != nil {
		return nil, err
	}
	s := &system{store: st, rec: rec, dir: dir}
	for i := range nodes {
		zone := []string{"hall-north", "hall-south"}[i%2]
		s.nodes = append(s.nodes, &node{name: fmt.Sprintf("frontend-%s-%d", zone, i+1), ip: fmt.Sprintf("127.44.%d.%d", os.Getpid()%200+1, i+1), zone: zone, dir: dir})
	}
	return s, nil
}

// start starts all nodes and waits until they are ready.
func (s *system) start() error {
	for _, n := range s.nodes {
		if err := n.start(s.store); err != nil {
			return err
		}
	}
	return s.await(15 * time.Second)
}

func (s *system) await(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *system) close() {
	for _, n := range s.nodes {
		n.stop()
	}
	_ = os.RemoveAll(s.dir)
}

// add starts servers of a service and registers them.
func (s *system) add(service string, count int, handle func(*server, net.Conn, *request) bool) error {
	for i := range count {
		zone := []string{"hall-north", "hall-south"}[i%2]
		sv, err := newServer(fmt.Sprintf("i-%s-%d", service, i), service, zone, handle)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, sv)
		sv.register(s.store, "ready")
	}
	return nil
}

var lastID atomic.Int64

// jitter returns a random time with the given mean.
func jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%08x%08x", os.Getpid(), lastID.Add(1)) }

// result is what a client saw of one request.
type result struct {
	id     string
	status int // 0: no complete answer
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

// send sends one request on a new connection and waits for its answer.
func send(address, id, method, path string, body []byte, budget time.Duration) result {
	begun := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{id: id, err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(begun.Add(budget + time.Second))
	r := exchange(c, bufio.NewReader(c), id, method, path, body, budget)
	r.took = time.Since(begun)
	return r
}

// exchange sends one request on a connection and reads its answer.
func exchange(c net.Conn, in *bufio.Reader, id, method, path string, body []byte, budget time.Duration) result {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: pupu76.example\r\nX-Request-Id: %s\r\nX-Deadline-Milliseconds: %d\r\n", method, path, id, budget.Milliseconds())
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return result{id: id, err: err}
	}
	r, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return result{id: id, err: err}
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return result{id: id, err: err}
	}
	return result{id: id, status: r.StatusCode, header: r.Header, body: data}
}
