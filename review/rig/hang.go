package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["hang"] = hang }

const (
	hangTimeout   = 400 * time.Millisecond // timeout_ms of the route that is probed
	hangLate      = 500 * time.Millisecond // how long after it an answer is too late
	hangReadOn    = 3 * time.Second        // how late the replica reads on
	shortUpload   = 8 << 10
	longUploads   = 16
	fewestUploads = 400 // answered as usual, so that the rejected ones are below 5 in 100
	// An Ethernet's segments and a small receive buffer, so that a replica that does not read
	// blocks the writer after tens of KB: "small windows" in DEPLOY.md.
	uploadSegment, uploadWindow = 1460, 4 << 10
)

// capacity returns how many bytes a connection to a replica of uploads takes while the replica
// reads nothing.
func capacity(ip string) int {
	listener, err := listen(ip, uploadSegment, uploadWindow)
	must(err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must(err)
	defer func() { _ = conn.Close() }()
	must(conn.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)))
	n, _ := conn.Write(make([]byte, 8<<20)) // ends with a timeout
	return n
}

// hang probes the route of one service while a replica of another service, which has rejected long
// uploads before they were in, reads the rest of them late.
func hang(r *run) []string {
	s := startStore(r.address(1))
	startReplica(r, s, replicaOptions{
		id: "i-upload-1", service: "uploads", ip: r.address(2), slots: 12, queue: 12, work: 10 * time.Millisecond,
		early: r.trouble, readOn: hangReadOn, segment: uploadSegment, window: uploadWindow,
	})
	startReplica(r, s, replicaOptions{id: "i-record-1", service: "records", ip: r.address(4), slots: 4, queue: 8, work: 5 * time.Millisecond})
	s.put("op/config", configuration(1, []string{"uploads", "records"},
		route("uploads", "/uploads/", "safe", "uploads", 20*time.Second), route("records", "/records/", "safe", "records", hangTimeout)))
	n := startNode(r.dir, "entry-1", r.address(10), s.address)
	time.Sleep(5 * time.Second) // the node is in touch from here on
	upload := func(id string, size int) *answer {
		return send(n.callers, request{id: id, method: "POST", path: "/uploads/" + id, body: filler(size), deadline: 20 * time.Second})
	}
	var wg sync.WaitGroup
	served := 0
	var mu sync.Mutex
	burst := func(name string, clients, each int) {
		for c := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for i := range each {
					a := upload(fmt.Sprintf("%s-%d-%d", name, c, i), shortUpload)
					mu.Lock()
					if a.status == http.StatusOK {
						served++
					}
					mu.Unlock()
				}
			}()
		}
	}
	burst("before", 1, fewestUploads)
	wg.Wait()
	room := capacity(r.address(5))
	r.note("a connection to the replica of uploads takes %d bytes that are not read", room)
	for i := range longUploads {
		size := int(float64(room) * (0.55 + 0.05*float64(i)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.note("upload of %d bytes: %v", size, upload(fmt.Sprint("long-", size), size))
		}()
	}
	wg.Wait()
	burst("after", longUploads, 1)
	time.Sleep(50 * time.Millisecond)
	var probes sync.WaitGroup
	unanswered, late := 0, 0
	for i := range 40 {
		probes.Add(1)
		go func() {
			defer probes.Done()
			a := send(n.callers, request{id: fmt.Sprint("record-", i), method: "GET", path: "/records/a", deadline: 2 * time.Second})
			r.note("record-%d: %v", i, a)
			mu.Lock()
			defer mu.Unlock()
			if a.took > hangTimeout {
				unanswered++
			}
			if a.took > hangTimeout+hangLate {
				late++
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	probes.Wait()
	r.note("ready while the requests were unanswered: %v", n.isReady())
	wg.Wait()
	r.note("%d short uploads served; %d requests for records unanswered at %v, %d of them %v later", served, unanswered, hangTimeout, late, hangLate)
	if late >= 8 && 2*late > unanswered {
		return []string{fmt.Sprintf("CONFIG: of %d requests unanswered at the %v of their route, %d have no answer %v later", unanswered, hangTimeout, late, hangLate)}
	}
	return nil
}
