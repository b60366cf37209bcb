package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/baobabsail/baobabsail/entry/telemetry"
)

// callerAnswer holds the fields of a node's response that the test checks.
type callerAnswer struct {
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Replayed bool   `json:"replayed"`
	Rows     []struct{ Key string }
	Coverage struct {
		SharePercent  float64 `json:"share_percent"`
		CoveredShards int     `json:"covered_shards"`
	}
}

// sendRequest posts body with the idempotency key and decodes the response.
func sendRequest(t *testing.T, url, key, body string) callerAnswer {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var a callerAnswer
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	return a
}

// Runs the whole system over real sockets. Guards against a search that misses shards
// on one of the nodes, and against a work order that runs twice because it was resent
// through another node with the same idempotency key.
func TestWholeSystem(t *testing.T) {
	log := telemetry.NewLogger(io.Discard, "error")
	defer log.Close()
	s, err := startSystem(context.Background(), arguments{Shards: 120, Targets: 6, Nodes: 2, Rows: 2000}, log)
	if err != nil {
		t.Fatal(err)
	}
	for i, n := range s.nodes {
		a := sendRequest(t, "http://"+n.CallersAddress()+"/v1/search", "", sampleSearch)
		if a.Outcome != "answered" || a.Coverage.CoveredShards != 120 || a.Coverage.SharePercent != 100 || len(a.Rows) != 5 {
			t.Errorf("node %d: got %+v", i, a)
		}
	}
	key := newIdempotencyKey()
	for i, n := range s.nodes {
		a := sendRequest(t, "http://"+n.CallersAddress()+"/v1/work", key, sampleWork)
		for a.Reason == "key_claimed" { // the first node has not recorded the outcome yet
			_ = waitPollInterval(context.Background())
			a = sendRequest(t, "http://"+n.CallersAddress()+"/v1/work", key, sampleWork)
		}
		if a.Outcome != "answered" || a.Replayed != (i > 0) {
			t.Errorf("work order through node %d: got %+v", i, a)
		}
	}
	runs := 0
	for _, c := range s.workTargets {
		runs += len(c.Journal(false).Work)
	}
	if runs != 1 {
		t.Errorf("the work order ran %d times, want 1", runs)
	}
	if err := s.stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
}
