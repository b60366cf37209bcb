package main

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["merge"] = merge }

const (
	mergeNodes   = 12
	mergeRecords = 30
	mergeFewest  = 5  // top_k of the first route
	mergeMost    = 50 // top_k of the routes below it
	// mergeEach is how long each of the routes below is used after it was added: longer than
	// config_apply_ms.
	mergeEach = 3500 * time.Millisecond
)

// sweep returns a route over all shards.
func sweep(name, prefix string, shards []string, topK int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": "safe", "timeout_ms": 800, "target_latency_ms": 80, "priority": 1,
		"fanout_services": shards, "max_attempts": 2, "top_k": topK, "min_shard_fraction": 0.75,
	}
}

// merge adds routes with a larger top_k below an existing one while clients use them, and checks
// that each answer is the greatest records of the parts that it names.
func merge(r *run) []string {
	s := startStore(r.address(1))
	shards := []string{"shard-1", "shard-2", "shard-3", "shard-4"}
	var replicas []*replica
	for i, shard := range shards {
		for k := range 2 {
			replicas = append(replicas, startReplica(r, s, replicaOptions{
				id: fmt.Sprintf("i-%s-%d", shard, k+1), service: shard, ip: r.address(2 + i), slots: 2, queue: 12, work: 3 * time.Millisecond, records: mergeRecords,
			}))
		}
	}
	below := []string{"/sweep/a/", "/sweep/b/", "/sweep/c/", "/sweep/d/", "/sweep/e/"}
	routes := []map[string]any{sweep("sweep", "/sweep/", shards, mergeFewest)}
	if !r.trouble {
		for _, prefix := range below {
			routes = append(routes, sweep(prefix, prefix, shards, mergeMost))
		}
	}
	version := 1
	write := func() {
		c := configuration(version, shards, routes...)
		for _, service := range c["services"].([]map[string]any) {
			service["max_connections"] = 25
		}
		s.put("op/config", c)
		r.note("the store acknowledges configuration %d with %d routes", version, len(routes))
	}
	write()
	var nodes []*node
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range mergeNodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := startNode(r.dir, fmt.Sprint("entry-", i+1), r.address(20+i), s.address)
			mu.Lock()
			defer mu.Unlock()
			nodes = append(nodes, n)
		}()
	}
	wg.Wait()
	time.Sleep(6 * time.Second)
	var broken []string
	sent, served := 0, 0
	for _, prefix := range below {
		if r.trouble {
			version += 3
			routes = append(routes, sweep(prefix, prefix, shards, mergeMost))
			write()
		}
		end := time.Now().Add(mergeEach)
		for _, n := range nodes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("q-%s-%s-%d", prefix[7:8], n.name, i)
					a := send(n.callers, request{id: id, method: "GET", path: prefix + id, deadline: 800 * time.Millisecond})
					problem := checkMerged(replicas, id, prefix+id, a)
					mu.Lock()
					sent++
					if a.status == http.StatusOK {
						served++
					}
					if problem != "" {
						broken = append(broken, fmt.Sprintf("MIXED: %s at %s: %s", id, n.name, problem))
						r.note("%s at %s: %v; %s; X-Part-Stamps %s; X-Missing-Parts %s", id, n.name, a, problem, a.header.Values("X-Part-Stamps"), a.header.Get("X-Missing-Parts"))
					}
					mu.Unlock()
					time.Sleep(8 * time.Millisecond)
				}
			}()
		}
		wg.Wait()
	}
	r.note("%d requests sent, %d served with 200", sent, served)
	if served*2 < sent {
		cannotRun("only %d of %d requests were served", served, sent)
	}
	return broken
}

// checkMerged returns what is wrong with a success: its body has to be the greatest records of the
// parts that it names, as many as the top_k of one of the configurations in force.
func checkMerged(replicas []*replica, id, path string, a *answer) string {
	if a.status != http.StatusOK {
		return ""
	}
	var records [][]byte
	seen := map[string]bool{}
	for _, proof := range strings.Split(strings.Join(a.header.Values("X-Part-Stamps"), ","), ",") {
		proof = strings.TrimSpace(proof)
		i := slices.IndexFunc(replicas, func(p *replica) bool { return stamp(p.id, id) == proof })
		if i < 0 || seen[replicas[i].service] {
			return fmt.Sprintf("%q is no proof of a part of this request, or one of a part named before", proof)
		}
		seen[replicas[i].service] = true
		body := recordsOf(replicas[i].service, path, mergeRecords)
		for at := 0; at < len(body); at += recordBytes {
			records = append(records, body[at:at+recordBytes])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	for _, topK := range []int{mergeFewest, mergeMost} {
		if bytes.Equal(a.body, bytes.Join(records[:min(topK, len(records))], nil)) {
			return ""
		}
	}
	return fmt.Sprintf("%d records, neither the greatest %d nor the greatest %d of its %d parts", len(a.body)/recordBytes, mergeFewest, mergeMost, len(seen))
}
