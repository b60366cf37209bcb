package testbed

import (
	"fmt"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// Answer is the answer that a caller got to a request.
type Answer struct {
	At         time.Time
	Outcome    api.Outcome
	Reason     api.Reason
	RetryAfter time.Duration
	Result     []byte
	Replayed   bool
	Search     *api.SearchAnswer
}

// Request is a request as its caller saw it. Tag identifies the content of a search,
// or the service and idempotency key of a work order.
type Request struct {
	ID       int
	Host     int
	Life     api.Life
	Tag      string
	Work     bool
	Key      api.IdempotencyKey
	Payload  string
	Query    api.Query
	At       time.Time
	Deadline time.Time
	Answers  []Answer
	// Exempt is set if the node was killed or paused while the request was open.
	// A missing or late answer is then no violation.
	Exempt     bool
	CallerGone bool
	// RequireFull names the promise that is broken if the request is not answered in full.
	RequireFull string
	// RequireRefused names the promise that is broken if the request is not refused.
	RequireRefused string

	host  *Host
	local api.RequestID
}

// Execution is an attempt as a target saw it, including one that it refused.
type Execution struct {
	Replica     api.ReplicaName
	Incarnation api.Incarnation
	Host        int
	Life        api.Life
	Attempt     api.AttemptID
	Tag         string
	Work        bool
	Shard       api.ShardName
	Snapshot    api.Snapshot
	Received    time.Time
	Started     time.Time // zero if it did not start
	Crashed     bool
}

// Change is a configuration change as its operator saw it.
type Change struct {
	Host       int
	Life       api.Life
	At         time.Time
	AnsweredAt time.Time
	Outcome    event.ChangeOutcome
	Reason     api.Reason
	ID         config.ChangeID
	Revision   uint64
	RetryAfter time.Duration
	Exempt     bool
}

// Adoption records that a node adopted a document.
type Adoption struct {
	At       time.Time
	Host     int
	Life     api.Life
	Position config.Position
}

// ModeChange is a change of the store's mode.
type ModeChange struct {
	At   time.Time
	Mode StoreMode
}

// StoredDocument is a configuration document that was written to the store.
type StoredDocument struct {
	At  time.Time
	Doc *config.Document
}

// DrainSignal is the first indication of a target's drain that any node got and
// could pass to its peers, or that a node got while cut from its peers.
type DrainSignal struct {
	Replica     api.ReplicaName
	Incarnation api.Incarnation
	At          time.Time
	// Cut is set if the node was cut from its peers, so that the signal counts for
	// that node only. Host is the node.
	Cut  bool
	Host int
}

// SilentConn is a connection that went silent: it stays open but loses all
// messages.
type SilentConn struct {
	At      time.Time
	Host    int
	Replica api.ReplicaName
	// FirstLost is when a request was first lost on the connection while the node
	// had no working connection to the target; zero if that never happened.
	FirstLost time.Time
}

// Dial records that a node requested a connection to a target.
type Dial struct {
	At      time.Time
	Host    int
	Replica api.ReplicaName
}

// Disruption is an event that affects whether a host can work normally: a start, a
// kill, the begin or end of a pause, or the begin or end of a cut.
type Disruption struct {
	At   time.Time
	Host int
}

// Violation is a promise that a run broke, with the details.
type Violation struct {
	Promise string
	Detail  string
}

// Trace records what callers, operators, targets and the store saw in a run.
type Trace struct {
	Requests      []*Request
	Executions    []*Execution
	Changes       []*Change
	Adoptions     []Adoption
	Documents     []StoredDocument
	DrainSignals  []DrainSignal
	Disruptions   []Disruption
	StoreModes    []ModeChange
	Restored      []time.Time // when an older configuration was put back
	End           time.Time
	Forwards      []Forward
	Hosts         int
	Restarts      int // number of host starts after the first of each
	SilentConns   []*SilentConn
	Dials         []Dial
	Isolations    int // number of times that a host could not reach its peers: cut, paused or killed
	GracefulStops int
	// Violations holds the violations that the fakes detected.
	Violations []Violation
}

// Forward records that one host forwarded a work order to another.
type Forward struct {
	At       time.Time
	From, To api.Life
	Tag      string
}

func (t *Trace) recordViolation(promise, format string, args ...any) {
	t.Violations = append(t.Violations, Violation{promise, fmt.Sprintf(format, args...)})
}

func (t *Trace) recordDocument(at time.Time, doc *config.Document) {
	t.Documents = append(t.Documents, StoredDocument{at, doc})
}

func (t *Trace) recordDisruption(at time.Time, h *Host) {
	t.Disruptions = append(t.Disruptions, Disruption{at, h.index})
}

// recordDrainSignal adds a drain signal unless an equivalent one came earlier.
func (t *Trace) recordDrainSignal(signal DrainSignal) {
	same := func(s DrainSignal) bool {
		return s.Replica == signal.Replica && s.Incarnation == signal.Incarnation && s.Cut == signal.Cut && (!s.Cut || s.Host == signal.Host)
	}
	if !slices.ContainsFunc(t.DrainSignals, same) {
		t.DrainSignals = append(t.DrainSignals, signal)
	}
}
