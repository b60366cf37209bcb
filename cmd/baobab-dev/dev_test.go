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

type answer struct {
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Replayed bool   `json:"replayed"`
	Rows     []struct{ Key string }
	Coverage struct {
		SharePercent  float64 `json:"share_percent"`
		CoveredShards int     `json:"covered_shards"`
	}
}

func ask(t *testing.T, url, key, body string) answer {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", key)
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer reply.Body.Close()
	var a answer
	if err := json.NewDecoder(reply.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	return a
}

// The whole system over real sockets: a search must cover every shard from each
// node, and a work order resent through another node must run once (P5).
func TestWholeSystem(t *testing.T) {
	log := telemetry.NewLogger(io.Discard, "error")
	defer log.Close()
	s, err := startSystem(context.Background(), arguments{Shards: 120, Targets: 6, Nodes: 2, Rows: 2000}, log)
	if err != nil {
		t.Fatal(err)
	}
	for i, n := range s.nodes {
		a := ask(t, "http://"+n.CallersAddress()+"/v1/search", "", sampleSearch)
		if a.Outcome != "answered" || a.Coverage.CoveredShards != 120 || a.Coverage.SharePercent != 100 || len(a.Rows) != 5 {
			t.Errorf("node %d: got %+v", i, a)
		}
	}
	key := newKey()
	for i, n := range s.nodes {
		a := ask(t, "http://"+n.CallersAddress()+"/v1/work", key, sampleWork)
		for a.Reason == "key_claimed" { // The first node has not recorded the outcome yet.
			_ = pause(context.Background())
			a = ask(t, "http://"+n.CallersAddress()+"/v1/work", key, sampleWork)
		}
		if a.Outcome != "answered" || a.Replayed != (i > 0) {
			t.Errorf("work order through node %d: got %+v", i, a)
		}
	}
	ran := 0
	for _, c := range s.crews {
		ran += len(c.Journal(false).Work)
	}
	if ran != 1 {
		t.Errorf("the work order ran %d times", ran)
	}
	if err := s.stop(); err != nil {
		t.Errorf("stop: %v", err)
	}
}
