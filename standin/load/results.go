package load

import (
	"strconv"
	"sync"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Kind tells searches from work orders in reports.
type Kind string

// Kinds of requests.
const (
	KindSearch Kind = "search"
	KindWork   Kind = "work"
)

// The range and precision of the latency histograms: 1 us to 10 min at three
// significant digits.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
	digits        = 3
)

// wholePercent is the share of a whole answer.
const wholePercent = 100

// WorkRecord is what the caller was told about one sending of a work order.
type WorkRecord struct {
	Key      string `json:"key"`
	Payload  string `json:"payload"`
	Status   int    `json:"status"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Replayed bool   `json:"replayed"`
}

type results struct {
	mu       sync.Mutex
	kinds    map[Kind]*kindResults
	records  []WorkRecord
	coverage coverageResults
	// needed counts the target requests that the answers needed at least. It
	// includes the warm-up, as the targets' counters do.
	needed uint64
	// seconds counts searches by the second of their intended start, warm-up
	// included.
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

func (r *results) kind(k Kind) *kindResults {
	if r.kinds[k] == nil {
		r.kinds[k] = &kindResults{
			all: newHistogram(), answered: newHistogram(),
			outcomes: make(map[string]uint64), reasons: make(map[string]uint64), statuses: make(map[string]uint64),
		}
	}
	return r.kinds[k]
}

func newHistogram() *hdr.Histogram { return hdr.New(lowestMicros, highestMicros, digits) }

func (r *results) notSent(k Kind, reported bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reported {
		r.kind(k).outcomes[OutcomeNotSent]++
	}
}

func (k *kindResults) add(latency time.Duration, status int, outcome, reason string) {
	micros := min(max(latency.Microseconds(), lowestMicros), highestMicros)
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

// Outcomes of api.Outcome in JSON.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeFailed   = "failed"
)

// second returns the counts of the second of an intended start.
func (r *results) second(at time.Duration) *SecondReport {
	i := int(at / time.Second)
	for len(r.seconds) <= i {
		r.seconds = append(r.seconds, SecondReport{})
	}
	return &r.seconds[i]
}

func (r *results) search(at, latency time.Duration, status int, reported bool, a *SearchAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	answered := a.Outcome == outcomeAnswered
	second := r.second(at)
	second.Sent++
	if answered {
		second.Answered++
	}
	if answered && whole(a.Coverage) {
		second.Whole++
	}
	if answered {
		r.needed += uint64(a.Coverage.CoveredShards + len(a.Coverage.Missing))
	}
	if !reported {
		return
	}
	r.kind(KindSearch).add(latency, status, a.Outcome, a.Reason)
	if answered {
		r.coverage.add(a.Coverage)
	}
}

func (c *coverageResults) add(got Coverage) {
	c.answers++
	c.sum += got.SharePercent
	c.worst = min(c.worst, got.SharePercent)
	if whole(got) {
		c.whole++
	}
	for _, m := range got.Missing {
		c.missing[m.Reason]++
	}
}

func whole(c Coverage) bool { return c.SharePercent >= wholePercent && len(c.Missing) == 0 }

func (r *results) work(latency time.Duration, status int, reported bool, key, payload string, a *WorkAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ran := a.Outcome == outcomeAnswered || a.Outcome == outcomeFailed
	if ran && !a.Replayed {
		r.needed++
	}
	// The check of work orders needs those of the warm-up too.
	r.records = append(r.records, WorkRecord{
		Key: key, Payload: payload, Status: status, Outcome: a.Outcome, Reason: a.Reason, Replayed: a.Replayed,
	})
	if !reported {
		return
	}
	k := r.kind(KindWork)
	k.add(latency, status, a.Outcome, a.Reason)
	if a.Replayed {
		k.replayed++
	}
}
