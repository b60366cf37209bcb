package target

import (
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// Counter is the name of a counter of a target.
type Counter string

// Counters of a target. They keep their values when the target restarts within the
// process.
const (
	// RequestsReceived counts searches and work orders, including refused ones.
	RequestsReceived Counter = "requests_received"
	// SearchesStarted counts searches that got a slot.
	SearchesStarted Counter = "searches_started"
	// WorkStarted counts work orders that got a slot.
	WorkStarted Counter = "work_started"
	// HealthReceived counts health requests.
	HealthReceived Counter = "health_received"
	// ConnectionsAccepted counts accepted connections.
	ConnectionsAccepted Counter = "connections_accepted"
	// ConnectionsRefused counts connections refused because of the connection limit.
	ConnectionsRefused Counter = "connections_refused"
	// Crashes counts crashes, whether injected by a fault switch or by an admin
	// request.
	Crashes Counter = "crashes"
	// CancelledQueued counts requests that the client cancelled before they got a
	// slot.
	CancelledQueued Counter = "cancelled_queued"
	// CancelledRunning counts searches that stopped while they held a slot, because of
	// a cancellation, a passed deadline or the end of the target instance.
	CancelledRunning Counter = "cancelled_running"
	// outcomePrefix is the prefix of the counters of answers by outcome.
	outcomePrefix = "outcome_"
)

// WorkEntry records a work order that a target started to run.
type WorkEntry struct {
	Target      string    `json:"target"`
	Incarnation uint64    `json:"incarnation,string"`
	Service     string    `json:"service"`
	Key         string    `json:"key"`
	Payload     []byte    `json:"payload"`
	Attempt     Attempt   `json:"attempt"`
	Started     time.Time `json:"started"`
	// Finished is false if the work order is still running or did not run to its end
	// because the target stopped or crashed.
	Finished bool `json:"finished"`
}

// SearchEntry records a search that a target started to run.
type SearchEntry struct {
	Incarnation uint64    `json:"incarnation,string"`
	Shard       string    `json:"shard"`
	Epoch       uint64    `json:"epoch"`
	Version     uint64    `json:"version"`
	Attempt     Attempt   `json:"attempt"`
	Started     time.Time `json:"started"`
}

// Attempt is the JSON form of api.AttemptID.
type Attempt struct {
	Life uint64 `json:"life,string"`
	Seq  uint64 `json:"seq"`
}

// ID returns the attempt as an api.AttemptID.
func (a Attempt) ID() api.AttemptID { return api.AttemptID{Life: api.Life(a.Life), Seq: a.Seq} }

// Journal is a copy of a target's records of work orders and searches and of its
// counters.
type Journal struct {
	Target   string        `json:"target"`
	Work     []WorkEntry   `json:"work"`
	Searches []SearchEntry `json:"searches,omitempty"`
	// SearchesOmitted counts the started searches that are not listed because the
	// journal was full.
	SearchesOmitted uint64             `json:"searches_omitted"`
	Counters        map[Counter]uint64 `json:"counters"`
}

type journal struct {
	mu          sync.Mutex
	target      string
	maxSearches int
	file        io.WriteCloser
	work        []WorkEntry
	searches    []SearchEntry
	omitted     uint64
	counters    map[Counter]uint64
}

func newJournal(s Settings) (*journal, error) {
	j := &journal{target: s.Name, maxSearches: s.SearchJournal, counters: make(map[Counter]uint64)}
	if s.WorkJournalFile == "" {
		return j, nil
	}
	file, err := os.OpenFile(s.WorkJournalFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, ErrJournal.Wrap(err, "open work journal")
	}
	j.file = file
	return j, nil
}

func (j *journal) count(c Counter) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counters[c]++
}

// startWork records a work order and returns its position in the journal. If it
// cannot write the entry to the file, it returns an error and the caller must not
// run the work order, because the test oracle would not know of it.
func (j *journal) startWork(e WorkEntry) (int, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file != nil {
		line, err := json.Marshal(e)
		if err != nil {
			return 0, ErrJournal.Wrap(err, "encode work entry")
		}
		if _, err := j.file.Write(append(line, '\n')); err != nil {
			return 0, ErrJournal.Wrap(err, "write work entry")
		}
	}
	j.counters[WorkStarted]++
	j.work = append(j.work, e)
	return len(j.work) - 1, nil
}

func (j *journal) finishWork(position int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.work[position].Finished = true
}

func (j *journal) startSearch(e SearchEntry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counters[SearchesStarted]++
	if len(j.searches) >= j.maxSearches {
		j.omitted++
		return
	}
	j.searches = append(j.searches, e)
}

func (j *journal) copy(withSearches bool) Journal {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := Journal{Target: j.target, SearchesOmitted: j.omitted, Counters: make(map[Counter]uint64, len(j.counters))}
	out.Work = append([]WorkEntry{}, j.work...)
	if withSearches {
		out.Searches = append([]SearchEntry{}, j.searches...)
	}
	for name, total := range j.counters {
		out.Counters[name] = total
	}
	return out
}

func (j *journal) close() {
	if j.file != nil {
		_ = j.file.Close()
	}
}
