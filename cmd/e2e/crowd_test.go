package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/standin/crowd"
)

// The crowd and the bounds, which the settings of the node state.
const (
	crowdSize        = 700
	crowdMemoryMiB   = 128
	crowdDescriptors = 600
	// crowdSockets are the descriptors without those that are reserved for files.
	crowdSockets = crowdDescriptors - 200
	// crowdBodyBytes is the default of limits.max_request_bytes.
	crowdBodyBytes = 1 << 20
	// crowdSendTime bounds how long a test waits for the crowd to send.
	crowdSendTime = 10 * time.Second
	// crowdStayTime is how long the crowd stays at least, so that the process is measured with it.
	crowdStayTime = 2 * time.Second
	// crowdTries is how often a search is repeated while the crowd stays.
	crowdTries = 60
	crowdPause = 100 * time.Millisecond
)

// Guards against a process that clients outside the limits bring over its memory or descriptors,
// on any of its listeners, or that serves nobody else meanwhile.
func TestCrowd(t *testing.T) {
	search := crowd.Request{Host: "localhost", Path: "/v1/search"}
	for _, test := range []struct {
		name, listener string
		client         crowd.Client
	}{
		{"silent", "callers", crowd.Silent()},
		{"header without end", "callers", search.EndlessFields()},
		{"bodies without their end", "callers", search.Body(crowdBodyBytes, 1)},
		{"small chunks", "callers", search.Chunks(crowdBodyBytes, 16, "")},
		{"responses that are not read", "callers", search.Pipelined(2000)},
		{"complete bodies of many conditions", "callers", search.Text(manyConditions(), 1)},
		{"answers of searches that are not read", "callers", search.Text(`{"service":"readings","limit":500}`, 100).Unread()},
		{"operators, bodies without their end", "operators", crowd.Request{
			Host: "localhost", Path: "/v1/statements", Fields: "Content-Type: application/json\r\n",
		}.Body(crowdBodyBytes, 1)},
		{"operators, silent", "operators", crowd.Silent()},
		{"peers, silent", "peers", crowd.Silent()},
		{"peers, header without end", "peers", search.EndlessFields()},
		{"peers, calls without a message", "peers", crowd.Streams("/baobabsail.peer.v1.Peer/RunPart", 500, 100)},
	} {
		t.Run(test.name, func(t *testing.T) { endureCrowd(t, test.listener, test.client) })
	}
}

// Guards against scripts of the greatest length, one after the other, whose parsing takes more memory
// than the process has.
func TestCrowdOfScripts(t *testing.T) {
	endureCrowd(t, "operators", crowd.Request{
		Host: "localhost", Path: "/v1/statements", Fields: "Content-Type: application/json\r\n",
	}.Text(manyStatements(), 1))
}

// manyConditions returns a search of the greatest length whose conditions take far more memory than
// its text.
func manyConditions() string {
	const head, condition, end = `{"service":"readings","conditions":[`, `{},`, `{}]}`
	return head + strings.Repeat(condition, (crowdBodyBytes-len(head)-len(end))/len(condition)) + end
}

// manyStatements returns a script of the greatest length.
func manyStatements() string {
	const head, statement, end = `{"who":"ana","text":"`, `show services;`, `show services"}`
	return head + strings.Repeat(statement, (crowdBodyBytes-len(head)-len(end))/len(statement)) + end
}

// endureCrowd checks the bounds of a node while a crowd stays at one of its listeners.
func endureCrowd(t *testing.T, listener string, client crowd.Client) {
	s := newSystem(t, 2, 0, 1)
	s.nodeSettings = fmt.Sprintf(`, "limits": {"memory": "%dMiB", "descriptors": %d}`, crowdMemoryMiB, crowdDescriptors)
	node := s.startNode()
	s.waitReady(1)
	pid := node.cmd.Process.Pid
	monitor := crowd.Watch(pid)
	c := crowd.Start(node.listenFields[listener], crowdSize, client)
	c.WaitSent(crowdSendTime)
	time.Sleep(crowdStayTime)
	s.searchOnNewConnections(t, "while the crowd stays")
	c.Stop()
	peak := monitor.Stop()
	resident, err := crowd.PeakResidentBytes(pid)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak: %d KiB resident, %d KiB with unread bytes, %d sockets", resident>>10, peak.Bytes>>10, peak.Sockets)
	if most := max(resident, peak.Bytes); most > crowdMemoryMiB<<20 {
		t.Errorf("the process held %d MiB, its limit is %d", most>>20, crowdMemoryMiB)
	}
	if peak.Sockets > crowdSockets {
		t.Errorf("the process had %d sockets, its limit is %d", peak.Sockets, crowdSockets)
	}
	s.searchOnNewConnections(t, "after the crowd")
}

// searchOnNewConnections sends a search to the second node until it is answered.
func (s *system) searchOnNewConnections(t *testing.T, when string) {
	t.Helper()
	var last answer
	for range crowdTries {
		client.CloseIdleConnections()
		if last = s.search(1, searchBody); last.complete() {
			return
		}
		time.Sleep(crowdPause)
	}
	t.Errorf("%s: none of %d searches was answered, the last: %+v", when, crowdTries, last)
}
