package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["shutdown"] = shutdown }

// shutdown stops a node while work orders wait in it for capacity of the only replica.
func shutdown(r *run) []string {
	s := startStore(r.address(1))
	p := startReplica(r, s, replicaOptions{id: "i-crew", service: "crews", ip: r.address(2), slots: 2, queue: 4, work: 2 * time.Second})
	s.put("op/config", configuration(1, []string{"crews"}, route("crews", "/crews/", "unsafe", "crews", 30*time.Second)))
	n := startNode(r.dir, "entry-1", r.address(10), s.address)
	time.Sleep(5 * time.Second)
	const orders = 16
	answers := make([]*answer, orders)
	var wg sync.WaitGroup
	for i := range orders {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = send(n.callers, request{id: fmt.Sprint("order-", i), method: "POST", path: "/crews/orders", body: []byte("clear toe drain"), deadline: 30 * time.Second})
			r.note("order-%d: %v", i, answers[i])
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		r.note("SIGTERM")
		n.signal(syscall.SIGTERM)
	}
	wg.Wait()
	time.Sleep(time.Second)
	var broken []string
	for i, a := range answers {
		if id := fmt.Sprint("order-", i); a.status == 0 && !p.passedOn(id) {
			broken = append(broken, fmt.Sprintf("LOST: %s was never passed on: %v", id, a))
		}
	}
	return broken
}
