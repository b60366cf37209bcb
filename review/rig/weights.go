package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["weights"] = weights }

const (
	weightsBefore = 80 // requests to each node before the change
	weightsAfter  = 200
	// configApply is config_apply_ms; the requests that are checked are sent a second later.
	configApply = 3 * time.Second
)

// split returns a route whose requests are divided between two services.
func split(canary, stable float64) map[string]any {
	r := route("records", "/records/", "unsafe", "", 2*time.Second)
	delete(r, "service")
	r["traffic_split"] = []map[string]any{{"service": "canary", "weight": canary}, {"service": "stable", "weight": stable}}
	return r
}

// weights takes a service out of a split by weight 0 and checks that it gets no request later than
// the bound after that.
func weights(r *run) []string {
	s := startStore(r.address(1))
	canary := startReplica(r, s, replicaOptions{id: "i-canary", service: "canary", ip: r.address(2), slots: 4, queue: 8, work: time.Millisecond, quiet: true})
	startReplica(r, s, replicaOptions{id: "i-stable", service: "stable", ip: r.address(3), slots: 4, queue: 8, work: time.Millisecond, quiet: true})
	services := []string{"canary", "stable"}
	s.put("op/config", configuration(1, services, split(5, 995)))
	nodes := []*node{startNode(r.dir, "entry-1", r.address(10), s.address), startNode(r.dir, "entry-2", r.address(11), s.address)}
	time.Sleep(5 * time.Second)
	ask := func(n *node, phase string, count int) (byCanary int) {
		served := 0
		for i := range count {
			id := fmt.Sprintf("%s-%s-%d", phase, n.name, i)
			if a := send(n.callers, request{id: id, method: "POST", path: "/records/" + id, body: []byte("x"), deadline: 2 * time.Second}); a.status == http.StatusOK {
				served++
			}
			if canary.ran(id) > 0 {
				byCanary++
			}
		}
		r.note("%s, %s: %d requests, %d served, %d of them run by canary", n.name, phase, count, served, byCanary)
		if served < count {
			cannotRun("%d of %d requests were not served", count-served, count)
		}
		return byCanary
	}
	for _, n := range nodes {
		ask(n, "before", weightsBefore)
	}
	if r.trouble {
		s.put("op/config", configuration(4, services, split(0, 1)))
		r.note("the store acknowledges configuration 4: canary has weight 0, stable 1")
	}
	time.Sleep(configApply + time.Second)
	var broken []string
	for _, n := range nodes {
		if got := ask(n, "after", weightsAfter); r.trouble && got > 0 {
			broken = append(broken, fmt.Sprintf("CONFIG: %s: %d of %d requests run by a service that only the older version allows", n.name, got, weightsAfter))
		}
	}
	return broken
}
