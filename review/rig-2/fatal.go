package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case "fatal".
const (
	fatalNodes   = 6
	fatalServers = 2
	// fatalFuse is how long a server runs a fatal request before it crashes. It is then down for
	// fatalDown and up to fatalMore longer. entryTTL is three heartbeats.
	fatalFuse = 20 * time.Millisecond
	fatalDown = 3 * time.Second
	fatalMore = time.Second
	entryTTL  = 3600 * time.Millisecond
	// fatalWork is how long a server takes for an ordinary request.
	fatalWork   = 100 * time.Millisecond
	fatalBudget = 2500 * time.Millisecond
	// ordinaryClients send requests with pauses of ordinaryGap, and one caller sends the content
	// that becomes fatal with pauses of fatalGap.
	ordinaryClients = 24
	ordinaryGap     = 300 * time.Millisecond
	fatalGap        = 400 * time.Millisecond
	// Each content is answered for soundFor and fatal for fatalFor. There are fatalContents, one
	// after the other, with quietFor between.
	soundFor      = 6 * time.Second
	fatalFor      = 25 * time.Second
	quietFor      = 3 * time.Second
	fatalContents = 3
	// The rule: after fatalCrashes crashes and the stability window, at most fatalRetries.
	fatalCrashes = 3
	fatalRetries = 3
)

// fatalCase holds what the servers see of the contents that become fatal.
type fatalCase struct {
	rec *record
	sys *system

	mu sync.Mutex
	// fatal is the path of the content that crashes servers now; empty if there is none.
	fatal    string
	arrivals map[string][]time.Time
	crashes  map[string][]time.Time
	statuses map[string]int
}

// fatal shows whether a request that crashes servers is kept from them if servers answered the same
// content before.
func fatal(rec *record) (int, error) {
	sys, err := newSystem(rec, fatalNodes)
	if err != nil {
		return notRun, err
	}
	defer sys.close()
	c := &fatalCase{rec: rec, sys: sys, arrivals: map[string][]time.Time{}, crashes: map[string][]time.Time{}, statuses: map[string]int{}}
	if err := sys.add("records", fatalServers, c.serve); err != nil {
		return notRun, err
	}
	sys.store.put("op/config", recordsConfig(7))
	if err := sys.start(); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second)
	end := time.Now().Add(fatalContents * (soundFor + fatalFor + quietFor))
	var clients sync.WaitGroup
	for range ordinaryClients {
		clients.Go(func() { c.client("ordinary", ordinaryGap, end, func() string { return "/record/" + newID() }) })
	}
	for i := range fatalContents {
		path := fmt.Sprintf("/record/content-%d", i)
		c.play(path)
	}
	clients.Wait()
	return c.judge(), nil
}

// play lets a caller send a content again and again, which becomes fatal.
func (c *fatalCase) play(path string) {
	end := time.Now().Add(soundFor + fatalFor)
	var caller sync.WaitGroup
	caller.Go(func() { c.client(path, fatalGap, end, func() string { return path }) })
	time.Sleep(soundFor)
	if trouble() {
		c.setFatal(path)
	}
	caller.Wait()
	c.setFatal("")
	time.Sleep(quietFor)
}

func (c *fatalCase) setFatal(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fatal = path
	c.rec.line("fatal is %q", path)
}

// client sends requests to machines at random.
func (c *fatalCase) client(kind string, gap time.Duration, end time.Time, path func() string) {
	for time.Now().Before(end) {
		n := c.sys.nodes[rand.IntN(len(c.sys.nodes))]
		id, target := newID(), path()
		c.rec.line("send %s to %s: %s", id, n.name, target)
		r := send(n.address(), id, http.MethodGet, target, nil, fatalBudget)
		c.rec.line("answer %s (%s) from %s: %d", r.id, kind, n.name, r.status)
		c.mu.Lock()
		c.statuses[fmt.Sprintf("%s %d", kind, r.status)]++
		c.mu.Unlock()
		time.Sleep(jitter(gap))
	}
}

// serve answers a request, or ends the server if the request is fatal.
func (c *fatalCase) serve(s *server, conn net.Conn, q *request) bool {
	c.mu.Lock()
	crashes := c.fatal != "" && strings.HasPrefix(q.URL.Path, c.fatal)
	if crashes {
		c.arrivals[c.fatal] = append(c.arrivals[c.fatal], time.Now())
	}
	c.mu.Unlock()
	c.rec.line("run %s at %s: %s", q.id, s.id, q.URL.Path)
	if !crashes {
		time.Sleep(fatalWork)
		respond(conn, http.StatusOK, http.Header{"X-Request-Id": {q.id}, "X-Server-Stamp": {stamp(s, q.id)}}, []byte(s.id))
		return true
	}
	time.Sleep(fatalFuse)
	c.crash(s, q.URL.Path)
	return false
}

// crash ends a server, which starts again after some seconds.
func (c *fatalCase) crash(s *server, path string) {
	if !s.crash() {
		return // it has crashed already
	}
	c.mu.Lock()
	c.crashes[path] = append(c.crashes[path], time.Now())
	c.mu.Unlock()
	c.rec.line("crash of %s", s.id)
	time.AfterFunc(entryTTL, func() { c.sys.store.remove("servers/" + s.id) })
	time.AfterFunc(fatalDown+jitter(fatalMore)/2, func() { c.start(s) })
}

// start starts the next process of a server that crashed. It has a new id.
func (c *fatalCase) start(s *server) {
	id := fmt.Sprintf("i-%s", newID())
	next, err := s.successor(id)
	for err != nil {
		time.Sleep(20 * time.Millisecond)
		next, err = s.successor(id)
	}
	next.register(c.sys.store, "ready")
	c.rec.line("start of %s at the address of %s", id, s.id)
}

// judge counts the late retries of each content.
func (c *fatalCase) judge() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	code := ruleHeld
	for i := range fatalContents {
		path := fmt.Sprintf("/record/content-%d", i)
		late := 0
		if crashes := c.crashes[path]; len(crashes) >= fatalCrashes {
			from := crashes[fatalCrashes-1].Add(stability)
			for _, at := range c.arrivals[path] {
				if at.After(from) {
					late++
				}
			}
		}
		verdict := fmt.Sprintf("BUDGET %s: %d crashes, %d arrivals at servers later than %v after the third; allowed %d", path, len(c.crashes[path]), late, stability, fatalRetries)
		c.rec.line("%s", verdict)
		fmt.Println(verdict)
		if late > fatalRetries {
			code = ruleBroken
		}
	}
	c.rec.line("answers: %v", c.statuses)
	fmt.Println("answers:", c.statuses)
	return code
}
