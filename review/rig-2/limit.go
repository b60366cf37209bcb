package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "limit".
const (
	limitNodes = 6
	// limitPerSecond is what each server names as its limit, and limitRate the requests a second
	// of all clients.
	limitPerSecond = 20
	limitRate      = 90.0
	// quietShare is the share of the requests of an ordinary machine that reach the slow one: the
	// platform spreads clients unevenly.
	quietShare = 0.1
	// slowNode is the machine that becomes slow. It is the one that grants the permits for the
	// first server; another machine may be tried with other names.
	slowNode = 2
	// The machine stands still for pause and runs for run, in turn, for slowFor. The pages let a
	// machine run 5 times slower for 5.5 s; here it is less than 1.5 times.
	pause   = 110 * time.Millisecond
	run     = 250 * time.Millisecond
	slowFor = 5500 * time.Millisecond
	// episodes is how often the machine becomes slow, and calm the time between.
	episodes = 4
	calm     = 8 * time.Second
	// The rule: in limitWindow, at most limitShare of what the limit allows and limitSlack more.
	limitWindow   = 4 * time.Second
	limitShare    = 1.5
	limitSlack    = 5
	stability     = 4 * time.Second
	toldBefore    = 500 * time.Millisecond
	limitBudget   = 2500 * time.Millisecond
	limitWorkTime = 10 * time.Millisecond
)

// limitCase holds what the servers and clients of the case "limit" see.
type limitCase struct {
	rec *record
	sys *system

	mu sync.Mutex
	// sentBy is the node that each request was sent to. told is when each node first passed on an
	// answer of a server with a limit, and named when the server first named it.
	sentBy   map[string]string
	told     map[[2]string]time.Time
	named    map[string]time.Time
	arrivals map[string][]limitArrival
	statuses map[int]int
}

// limitArrival is a request that reached a server.
type limitArrival struct {
	at   time.Time
	node string
}

// limit shows whether servers in need get more requests than they name while a machine is slow.
func limit(rec *record) (int, error) {
	sys, err := newSystem(rec, limitNodes)
	if err != nil {
		return notRun, err
	}
	defer sys.close()
	c := &limitCase{
		rec: rec, sys: sys, sentBy: map[string]string{}, told: map[[2]string]time.Time{}, named: map[string]time.Time{},
		arrivals: map[string][]limitArrival{}, statuses: map[int]int{},
	}
	if err := sys.add("records", 2, c.serve); err != nil {
		return notRun, err
	}
	sys.store.put("op/config", recordsConfig(7))
	if err := sys.start(); err != nil {
		return notRun, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(6*time.Second + episodes*(slowFor+calm))
	var clients sync.WaitGroup
	for i, n := range sys.nodes {
		clients.Go(func() { c.clients(n, c.gap(i), end) })
	}
	time.Sleep(6 * time.Second)
	for range episodes {
		c.slow(sys.nodes[slowNode])
		time.Sleep(calm)
	}
	clients.Wait()
	return c.judge(), nil
}

// gap returns the mean time between two requests to a machine.
func (c *limitCase) gap(i int) time.Duration {
	seconds := (limitNodes - 1 + quietShare) / limitRate
	if i == slowNode {
		seconds /= quietShare
	}
	return time.Duration(seconds * float64(time.Second))
}

// serve answers as a server in need.
func (c *limitCase) serve(s *server, conn net.Conn, q *request) bool {
	now := time.Now()
	c.mu.Lock()
	node := c.sentBy[q.id]
	c.arrivals[s.id] = append(c.arrivals[s.id], limitArrival{now, node})
	if c.named[s.id].IsZero() {
		c.named[s.id] = now
	}
	c.mu.Unlock()
	c.rec.line("run %s at %s from %s", q.id, s.id, node)
	time.Sleep(limitWorkTime)
	respond(conn, http.StatusOK, http.Header{
		"X-Request-Id": {q.id}, "X-Server-Stamp": {stamp(s, q.id)}, "Server-Limit": {fmt.Sprint(limitPerSecond)},
	}, []byte(s.id))
	return true
}

// clients sends requests to a machine, each from a client of its own.
func (c *limitCase) clients(n *node, gap time.Duration, end time.Time) {
	var open sync.WaitGroup
	for time.Now().Before(end) {
		open.Go(func() { c.request(n) })
		time.Sleep(jitter(gap))
	}
	open.Wait()
}

// request sends one request.
func (c *limitCase) request(n *node) {
	id := newID()
	c.mu.Lock()
	c.sentBy[id] = n.name
	c.mu.Unlock()
	c.rec.line("send %s to %s", id, n.name)
	conn, err := net.DialTimeout("tcp", n.address(), time.Second)
	if err != nil {
		c.rec.line("no connection for %s: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(limitBudget))
	r := exchange(conn, bufio.NewReader(conn), id, http.MethodGet, "/record/"+id, nil, limitBudget)
	c.rec.line("answer %s from %s: %d", id, n.name, r.status)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[r.status]++
	if key := [2]string{string(r.body), n.name}; r.status == http.StatusOK && c.told[key].IsZero() {
		c.told[key] = time.Now()
	}
}

// slow makes a machine slow for a time.
func (c *limitCase) slow(n *node) {
	c.rec.line("slow %s", n.name)
	for from := time.Now(); time.Since(from) < slowFor; {
		if trouble() {
			n.signal(syscall.SIGSTOP)
		}
		time.Sleep(pause)
		if trouble() {
			n.signal(syscall.SIGCONT)
		}
		time.Sleep(run)
	}
	c.rec.line("calm %s", n.name)
}

// judge counts the requests in each window at each server. The requests of the slow machine do not
// count at all, although the rule excuses it only for its freezes.
func (c *limitCase) judge() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := int(limitPerSecond*limitShare*limitWindow.Seconds()) + limitSlack
	code := ruleHeld
	for _, s := range c.sys.servers {
		var counted []time.Time
		for _, a := range c.arrivals[s.id] {
			told, ok := c.told[[2]string{s.id, a.node}]
			slow := a.node == c.sys.nodes[slowNode].name
			if ok && !slow && a.at.Sub(told) >= toldBefore && a.at.Sub(c.named[s.id]) >= stability {
				counted = append(counted, a.at)
			}
		}
		slices.SortFunc(counted, time.Time.Compare)
		worst, at := 0, time.Time{}
		for i, j := 0, 0; i < len(counted); i++ {
			for counted[i].Sub(counted[j]) > limitWindow {
				j++
			}
			if n := i - j + 1; n > worst {
				worst, at = n, counted[j]
			}
		}
		verdict := fmt.Sprintf("LIMIT %s: at most %d requests in %v, from %.3f s on; allowed %d", s.id, worst, limitWindow, at.Sub(c.rec.begun).Seconds(), bound)
		c.rec.line("%s", verdict)
		fmt.Println(verdict)
		if worst > bound {
			code = ruleBroken
		}
	}
	c.rec.line("answers by status: %v", c.statuses)
	fmt.Println("answers by status:", c.statuses)
	return code
}
