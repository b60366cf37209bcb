package main

import (
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case "silent". The servers, their limits, the rate of the clients, of whom few reach
// silentNode, and the rule are those of the case "limit".
const (
	// silentNode is the machine whose connections go silent: it is the one that grants the permits
	// for the servers. Between silentMin and silentMax of the five connections go silent.
	silentNode           = slowNode
	silentMin, silentMax = 2, 3
	// The proxy listens at the address of the machine for takeoverWait at most, and does so up to
	// takeovers times. The other machines give up a connection on which nothing answers after half
	// a second, so only those that are younger than freshFor can be passed on.
	takeoverWait = 8 * time.Second
	takeovers    = 3
	freshFor     = 250 * time.Millisecond
	// settleFor is the time between the start of the machine and the silence, and silentFor how
	// long the connections are then observed.
	settleFor = 15 * time.Second
	silentFor = 30 * time.Second
)

// silent shows whether servers in need get more requests than they name after some of the
// connections between machines have gone silent.
func silent(rec *record) (int, error) {
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
	var stop atomic.Bool
	var clients sync.WaitGroup
	for i, n := range sys.nodes {
		clients.Go(func() { c.clientsUntil(n, c.gap(i), &stop) })
	}
	defer clients.Wait()
	defer stop.Store(true)
	time.Sleep(stability)
	links, err := interpose(rec, sys, sys.nodes[silentNode])
	if err != nil {
		return notRun, err
	}
	time.Sleep(settleFor)
	from := time.Now()
	if n := silence(links); n < silentMin {
		return notRun, fmt.Errorf("only %d connections pass through the proxy", n)
	}
	rec.line("some connections to %s are silent: %v", sys.nodes[silentNode].name, trouble())
	time.Sleep(silentFor)
	return c.judgeFrom(from.Add(stability)), nil
}

// clientsUntil sends requests to a machine, each from a client of its own.
func (c *limitCase) clientsUntil(n *node, gap time.Duration, stop *atomic.Bool) {
	var open sync.WaitGroup
	for !stop.Load() {
		open.Go(func() { c.request(n) })
		time.Sleep(jitter(gap))
	}
	open.Wait()
}

// link is a connection of another machine that passes through the proxy.
type link struct {
	client     net.Conn
	acceptedAt time.Time
	// silent is set once nothing is passed on any more, and ended once one side has closed.
	silent, ended atomic.Bool
	// answered is the number of bytes that came back from the machine.
	answered atomic.Int64
}

// silence makes up to silentMax of the open links silent and returns how many there are.
func silence(links []*link) int {
	n := 0
	for _, l := range links {
		if n < silentMax && !l.ended.Load() {
			l.silent.Store(trouble())
			n++
		}
	}
	return n
}

// interpose restarts a machine so that connections of the others to it pass through a proxy. At
// least one more than silentMin do.
func interpose(rec *record, sys *system, n *node) ([]*link, error) {
	for range takeovers {
		links, err := takeover(rec, sys, n)
		if err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
		links = slices.DeleteFunc(links, func(l *link) bool { return l.ended.Load() || l.answered.Load() == 0 })
		rec.line("%d connections to %s pass through the proxy", len(links), n.name)
		if len(links) > silentMin {
			return links, nil
		}
	}
	return nil, fmt.Errorf("too few connections pass through the proxy")
}

// takeover kills the process of a machine, listens at the address at which it accepts connections of
// the other machines until most of them have connected, starts the process again at that address, and
// passes on what comes on the connections that were accepted in between.
func takeover(rec *record, sys *system, n *node) ([]*link, error) {
	address := fmt.Sprintf("%s:%d", n.ip, innerPort)
	rec.line("restart of %s", n.name)
	n.signal(syscall.SIGKILL)
	<-n.ended
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var links []*link
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			links = append(links, &link{client: conn, acceptedAt: time.Now()})
			mu.Unlock()
		}
	}()
	fresh := func() int {
		mu.Lock()
		defer mu.Unlock()
		count := 0
		for _, l := range links {
			if time.Since(l.acceptedAt) < freshFor {
				count++
			}
		}
		return count
	}
	for until := time.Now().Add(takeoverWait); fresh() < limitNodes-2 && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	_ = listener.Close()
	if err := n.start(sys.store); err != nil {
		return nil, err
	}
	mu.Lock()
	defer mu.Unlock()
	for _, l := range links {
		go l.pass(address)
	}
	return slices.Clone(links), nil
}

// pass connects the link to the machine, which may still be starting, and passes on what comes until
// one side closes.
func (l *link) pass(address string) {
	defer l.ended.Store(true)
	defer func() { _ = l.client.Close() }()
	server, err := net.Dial("tcp", address)
	for until := time.Now().Add(2 * time.Second); err != nil; server, err = net.Dial("tcp", address) {
		if time.Now().After(until) {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 2)
	go l.copy(server, l.client, nil, done)
	go l.copy(l.client, server, &l.answered, done)
	<-done
}

// copy passes on one direction. A silent link stays open and loses what comes.
func (l *link) copy(to io.Writer, from io.Reader, count *atomic.Int64, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if l.silent.Load() {
			continue
		}
		if count != nil {
			count.Add(int64(n))
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

// judgeFrom counts the requests in each window at each server from a time on. Those of the machine that
// was restarted at the start do not count at all, since the rule excuses a machine for a restart.
func (c *limitCase) judgeFrom(from time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	bound := int(limitPerSecond*limitShare*limitWindow.Seconds()) + limitSlack
	code := ruleHeld
	for _, s := range c.sys.servers {
		var counted []time.Time
		for _, a := range c.arrivals[s.id] {
			told, ok := c.told[[2]string{s.id, a.node}]
			restarted := a.node == c.sys.nodes[silentNode].name
			if ok && !restarted && a.at.After(from) && a.at.Sub(told) >= toldBefore && a.at.Sub(c.named[s.id]) >= stability {
				counted = append(counted, a.at)
			}
		}
		slices.SortFunc(counted, time.Time.Compare)
		worst, over := 0, 0
		for i, j := 0, 0; i < len(counted); i++ {
			for counted[i].Sub(counted[j]) > limitWindow {
				j++
			}
			worst = max(worst, i-j+1)
			if i-j+1 > bound {
				over++
			}
		}
		verdict := fmt.Sprintf("LIMIT %s: at most %d requests in %v, allowed %d; %d of %d requests end such a window with more", s.id, worst, limitWindow, bound, over, len(counted))
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
