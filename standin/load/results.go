package load

import (
	"strconv"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is the kind of a request in reports: search or work order.
type Kind string

// Kinds of requests.
const (
	KindSearch Kind = "search"
	KindWork   Kind = "work"
)

// Range and precision of the latency histograms: 1 us to 10 min with three
// significant digits.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

// wholePercent is the coverage share of a whole answer: one that covers the whole
// index.
const wholePercent = 100

// WorkRecord is the answer to one request of a work order. A resent order has two
// records with the same key.
type WorkRecord struct {
	Key      string `json:"key"`
	Payload  string `json:"payload"`
	Status   int    `json:"status"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Replayed bool   `json:"replayed"`
}

// results collects the outcomes of a run. It is safe for concurrent use.
type results struct {
	mu       sync.Mutex
	kinds    map[Kind]*kindResults
	records  []WorkRecord
	coverage coverageResults
	// needed is the least number of target requests that the answers required. It
	// includes the warm-up, because the targets' counters do too.
	needed uint64
	// seconds counts searches by the second of their scheduled start, including
	// the warm-up.
	seconds []SecondReport
}

type kindResults struct {
	sent     uint64
	all      *hdr.Histogram
	answered *hdr.Histogram
	outcomes map[string]uint64
	reasons  map[string]uint64
	statuses map[string]uint64
	replayed uint64
}

type coverageResults struct {
	answers uint64
	whole   uint64
	sum     float64
	worst   float64
	missing map[string]uint64
}

func newResults() *results {
	return &results{
		kinds:    make(map[Kind]*kindResults),
		coverage: coverageResults{worst: wholePercent, missing: make(map[string]uint64)},
	}
}

func (r *results) forKind(k Kind) *kindResults {
	if r.kinds[k] == nil {
		r.kinds[k] = &kindResults{
			all: newHistogram(), answered: newHistogram(),
			outcomes: make(map[string]uint64), reasons: make(map[string]uint64), statuses: make(map[string]uint64),
		}
	}
	return r.kinds[k]
}

func newHistogram() *hdr.Histogram {
	return hdr.New(minLatencyMicros, maxLatencyMicros, significantDigits)
}

func (r *results) recordNotSent(k Kind, reported bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reported {
		r.forKind(k).outcomes[OutcomeNotSent]++
	}
}

func (k *kindResults) record(latency time.Duration, status int, outcome, reason string) {
	micros := min(max(latency.Microseconds(), minLatencyMicros), maxLatencyMicros)
	k.sent++
	_ = k.all.RecordValue(micros)
	if outcome == outcomeAnswered {
		_ = k.answered.RecordValue(micros)
	}
	k.outcomes[outcome]++
	if reason != "" {
		k.reasons[reason]++
	}
	if status != 0 {
		k.statuses[strconv.Itoa(status)]++
	}
}

// Outcomes that the server reports, the JSON form of api.Outcome.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeFailed   = "failed"
)

// forSecond returns the counts of the second that contains the scheduled start.
func (r *results) forSecond(at time.Duration) *SecondReport {
	i := int(at / time.Second)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, SecondReport{})
	}
	return &r.seconds[i]
}

// recordSearch records the answer to a search. reported is false for requests of
// the warm-up, which count only in needed and seconds.
func (r *results) recordSearch(at, latency time.Duration, status int, reported bool, a *SearchAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answered := a.Outcome == outcomeAnswered
	second := r.forSecond(at)
	second.Sent++
	if answered {
		second.Answered++
	}
	if answered && isWhole(a.Coverage) {
		second.Whole++
	}
	if answered {
		r.needed += uint64(a.Coverage.CoveredShards + len(a.Coverage.Missing))
	}
	if !reported {
		return
	}
	r.forKind(KindSearch).record(latency, status, a.Outcome, a.Reason)
	if answered {
		r.coverage.record(a.Coverage)
	}
}

func (c *coverageResults) record(got Coverage) {
	c.answers++
	c.sum += got.SharePercent
	c.worst = min(c.worst, got.SharePercent)
	if isWhole(got) {
		c.whole++
	}
	for _, m := range got.Missing {
		c.missing[m.Reason]++
	}
}

func isWhole(c Coverage) bool { return c.SharePercent >= wholePercent && len(c.Missing) == 0 }

// recordWork records the answer to a work order. reported is false for requests of
// the warm-up, which count only in needed and records.
func (r *results) recordWork(latency time.Duration, status int, reported bool, key, payload string, a *WorkAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := a.Outcome == outcomeAnswered || a.Outcome == outcomeFailed
	if ran && !a.Replayed {
		r.needed++
	}
	// CheckWork also needs the work orders of the warm-up.
	r.records = append(r.records, WorkRecord{
		Key: key, Payload: payload, Status: status, Outcome: a.Outcome, Reason: a.Reason, Replayed: a.Replayed,
	})
	if !reported {
		return
	}
	k := r.forKind(KindWork)
	k.record(latency, status, a.Outcome, a.Reason)
	if a.Replayed {
		k.replayed++
	}
}
