package testbed

import (
	"fmt"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
	"github.com/baobabsail/baobabsail/core/event"
)

// Answer is what a caller got.
type Answer struct {
	At         time.Time
	Outcome    api.Outcome
	Reason     api.Reason
	RetryAfter time.Duration
	Result     []byte
	Replayed   bool
	Search     *api.SearchAnswer
}

// Request is one request as its caller saw it. Tag identifies its content; for
// a work order, service and key.
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
	// Excused is set if the node was killed or paused meanwhile.
	Excused bool
	Gone    bool
	// Must names the promise that is broken if the request is not answered in full.
	Must string
	// Refused names the promise that is broken if the request is not refused.
	Refused string

	host  *Host
	local api.RequestID
}

// Run is one request as a target saw it.
type Run struct {
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
	Started     time.Time // zero if it was refused before running
	Crashed     bool
}

// Change is one change as its operator saw it.
type Change struct {
	Host       int
	Life       api.Life
	At         time.Time
	Answered   time.Time
	Outcome    event.ChangeOutcome
	Reason     api.Reason
	ID         config.ChangeID
	Revision   uint64
	RetryAfter time.Duration
	Excused    bool
}

// Adoption is a document that a node took into force.
type Adoption struct {
	At       time.Time
	Host     int
	Life     api.Life
	Position config.Position
}

// ModeChange is a change in the behaviour of the store.
type ModeChange struct {
	At   time.Time
	Mode StoreMode
}

// Stored is a document written to the store.
type Stored struct {
	At  time.Time
	Doc *config.Document
}

// Signal is the first sign of a drain that any node got and could tell its
// peers.
type Signal struct {
	Replica     api.ReplicaName
	Incarnation api.Incarnation
	At          time.Time
	// Cut is set for a sign that came to a node which was cut from its peers: it
	// binds that node only. Host is the node.
	Cut  bool
	Host int
}

// Silence is a connection that went silent.
type Silence struct {
	At      time.Time
	Host    int
	Replica api.ReplicaName
	// Used is when a request was first lost on it while the node had no other
	// connection to the target; zero if none was.
	Used time.Time
}

// Dial is a connection that a node asked for.
type Dial struct {
	At      time.Time
	Host    int
	Replica api.ReplicaName
}

// Disturbance is a change in a host's ability to take part: a start, a kill, a
// pause or its end, a cut or its end.
type Disturbance struct {
	At   time.Time
	Host int
}

// Violation is a broken promise.
type Violation struct {
	Promise string
	Detail  string
}

// Trace is what callers, operators, targets and the store saw.
type Trace struct {
	Requests   []*Request
	Runs       []*Run
	Changes    []*Change
	Adoptions  []Adoption
	Documents  []Stored
	Signals    []Signal
	Disturbed  []Disturbance
	StoreModes []ModeChange
	Restored   []time.Time // when an older configuration was put back
	End        time.Time
	Forwards   []Forward
	Hosts      int
	Restarts   int // nodes started again
	Silences   []*Silence
	Dials      []Dial
	Parted     int // times that a host could not tell its peers: cut, paused or killed
	Stops      int
	// Broken holds violations that the fakes noticed themselves.
	Broken []Violation
}

// Forward is a work order that one host passed on to another.
type Forward struct {
	At       time.Time
	From, To api.Life
	Tag      string
}

func (t *Trace) broke(promise, format string, args ...any) {
	t.Broken = append(t.Broken, Violation{promise, fmt.Sprintf(format, args...)})
}

func (t *Trace) stored(at time.Time, doc *config.Document) {
	t.Documents = append(t.Documents, Stored{at, doc})
}

func (t *Trace) disturb(at time.Time, h *Host) {
	t.Disturbed = append(t.Disturbed, Disturbance{at, h.index})
}

func (t *Trace) signal(sign Signal) {
	same := func(s Signal) bool {
		return s.Replica == sign.Replica && s.Incarnation == sign.Incarnation && s.Cut == sign.Cut && (!s.Cut || s.Host == sign.Host)
	}
	if !slices.ContainsFunc(t.Signals, same) {
		t.Signals = append(t.Signals, sign)
	}
}
