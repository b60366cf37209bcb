package forward

import (
	"math"
	"time"

	"github.com/joomcode/errorx"

	"github.com/baobabsail/baobabsail/core/account"
	"github.com/baobabsail/baobabsail/core/api"
)

// Errors of Explain.
var (
	explainErrors = errorx.NewNamespace("explain")
	// ErrNoConfiguration means that this node has no configuration yet.
	ErrNoConfiguration = explainErrors.NewType("no_configuration")
	// ErrUnknownRoute, ErrUnknownAccount and ErrUnknownDataCentre mean that a query names
	// something that this node does not know.
	ErrUnknownRoute      = explainErrors.NewType("unknown_route")
	ErrUnknownAccount    = explainErrors.NewType("unknown_account")
	ErrUnknownDataCentre = explainErrors.NewType("unknown_data_centre")
)

// ExplainQuery describes the request that Explain is asked about.
type ExplainQuery struct {
	Host, Path string
	// Account is the name of the account whose key the request carries; empty for no key.
	Account string
	// DataCentre restricts the listed replicas to one data centre; empty for all. It does not
	// change the decision.
	DataCentre api.DataCentre
	// Shards asks for the shards of a sharded route one by one.
	Shards bool
}

// Decision is what happens to a request, or to a part of it.
type Decision string

// Decisions.
const (
	// DecisionSent means that it is sent to a replica, or to other nodes.
	DecisionSent Decision = "sent"
	// DecisionWaits means that it waits for a replica with capacity.
	DecisionWaits Decision = "waits"
	// DecisionNeedsPermit means that only replicas are left for which this node has no permit:
	// it is sent if one is granted.
	DecisionNeedsPermit Decision = "needs_permit"
	// DecisionRefused means that the request is refused, or the part is given up.
	DecisionRefused Decision = "refused"
	// DecisionVaries means that it differs among the services of a route.
	DecisionVaries Decision = "varies"
)

// Explanation says what this node would do with a request now. It holds no keys.
type Explanation struct {
	Node       string         `json:"node"`
	DataCentre api.DataCentre `json:"data_centre"`
	Version    uint64         `json:"version"`
	// StoreLost is set while the store answers neither this node nor those that it follows.
	StoreLost bool             `json:"store_lost"`
	Evacuated []api.DataCentre `json:"evacuated"`
	Route     ExplainedRoute   `json:"route"`
	// Account is nil if the query names none.
	Account   *ExplainedAccount   `json:"account,omitempty"`
	Decision  Decision            `json:"decision"`
	Reason    api.Reason          `json:"reason,omitempty"`
	Admission *ExplainedAdmission `json:"admission,omitempty"`
	// Groups holds the ranges of a route that is divided among groups of nodes.
	Groups  []ExplainedGroup `json:"groups,omitempty"`
	Summary ExplainedSummary `json:"summary"`
	// Parts holds the services, or the shards if they were asked for.
	Parts []ExplainedPart `json:"parts,omitempty"`
	// OmittedReplicas is the number of replicas that were left out of Parts for their number.
	OmittedReplicas int `json:"omitted_replicas,omitempty"`
}

// ExplainedRoute is the route that a request takes.
type ExplainedRoute struct {
	Name        string       `json:"name"`
	Host        string       `json:"host"`
	Prefix      string       `json:"prefix"`
	Public      bool         `json:"public"`
	Sharded     bool         `json:"sharded"`
	Idempotent  bool         `json:"idempotent"`
	Priority    int          `json:"priority"`
	MaxAttempts int          `json:"max_attempts"`
	MinCoverage float64      `json:"min_coverage,omitempty"`
	HomeRegions []api.Region `json:"regions,omitempty"`
	// KeyNeeded is set if a request without a key is refused.
	KeyNeeded bool `json:"key_needed"`
}

// ExplainedAccount is the account of a request.
type ExplainedAccount struct {
	Name        string       `json:"name"`
	Priority    int          `json:"priority"`
	PerSecond   float64      `json:"per_second"`
	Burst       float64      `json:"burst"`
	HomeRegions []api.Region `json:"regions,omitempty"`
	// Remaining is what is left of the quota in the present window, as this node last heard; nil
	// if it does not know.
	Remaining *float64 `json:"remaining,omitempty"`
	// OverQuota is set if this node has just refused requests of the account for its quota.
	OverQuota bool `json:"over_quota"`
}

// ExplainedAdmission is the state of the admission control of a sharded route.
type ExplainedAdmission struct {
	// Share is the share of the route's requests that is admitted; Next says whether the next
	// one is.
	Share float64 `json:"share"`
	Next  bool    `json:"next"`
}

// ExplainedGroup says who runs a range of shards.
type ExplainedGroup struct {
	Group     int             `json:"group"`
	First     api.ServiceName `json:"first"`
	Last      api.ServiceName `json:"last"`
	Shards    int             `json:"shards"`
	OwnRange  bool            `json:"runs_here"`
	Nodes     []string        `json:"nodes,omitempty"`
	Reason    string          `json:"reason"`
	Suspected []string        `json:"suspected,omitempty"`
}

// ExplainedSummary counts the parts of a request.
type ExplainedSummary struct {
	Parts      int              `json:"parts"`
	ByDecision map[Decision]int `json:"by_decision"`
	ByReason   map[string]int   `json:"by_reason,omitempty"`
	// NoLocal and NoReplica list the services without an eligible replica in the data centre of
	// this node, and without any.
	NoLocal   []api.ServiceName `json:"no_local"`
	NoReplica []api.ServiceName `json:"no_replica"`
	// DataCentres is the share of the first attempts that goes to each data centre, as the
	// choice of this node gives it for previewed attempts.
	DataCentres map[api.DataCentre]float64 `json:"data_centres"`
}

// ExplainedPart is a shard, or a service of a route that is not sharded.
type ExplainedPart struct {
	Service api.ServiceName `json:"service"`
	// Weight is the share of the route's requests that goes to the service.
	Weight   float64    `json:"weight"`
	Decision Decision   `json:"decision"`
	Reason   api.Reason `json:"reason,omitempty"`
	// Group is the index of the range that the shard belongs to; -1 if the route is not
	// divided. What is said of replicas is what this node knows, also of a range that runs
	// elsewhere.
	Group    int                `json:"group"`
	Replicas []ExplainedReplica `json:"replicas"`
}

// Candidate says whether a first attempt may go to a replica.
type Candidate string

const (
	// CandidateNow is a candidate of the highest preference.
	CandidateNow Candidate = "now"
	// CandidateWithPermit is one of the highest preference once this node has a permit for it.
	CandidateWithPermit Candidate = "with_permit"
)

// ExplainedReplica is the state of a replica at this node.
type ExplainedReplica struct {
	Replica    api.ReplicaName `json:"replica"`
	DataCentre api.DataCentre  `json:"data_centre"`
	Local      bool            `json:"local"`
	// Eligible is set if a first attempt may go there now. Reason says why it may not, or why
	// others are preferred.
	Eligible  bool       `json:"eligible"`
	Candidate Candidate  `json:"candidate,omitempty"`
	Reason    api.Reason `json:"reason,omitempty"`
	// Share is the share of previewed first attempts that goes there.
	Share      float64 `json:"share"`
	Registered bool    `json:"registered"`
	Draining   bool    `json:"draining"`
	Leaving    bool    `json:"leaving"`
	Evacuated  bool    `json:"evacuated"`
	// ColdMS is how much longer the replica counts as cold, ColdPerSecond the limit of all nodes
	// together.
	ColdMS        float64 `json:"cold_ms,omitempty"`
	ColdSuspected bool    `json:"cold_suspected,omitempty"`
	ColdPerSecond float64 `json:"cold_rate,omitempty"`
	// Ramp is the share of its usual requests that the replica gets after a start.
	Ramp       float64 `json:"ramp"`
	RateLimit  float64 `json:"rate_limit,omitempty"`
	Permits    int     `json:"permits,omitempty"`
	Requesting bool    `json:"requesting_permits,omitempty"`
	BackoffMS  float64 `json:"backoff_ms,omitempty"`
	OverdueMS  float64 `json:"overdue_ms,omitempty"`
	Stalled    bool    `json:"stalled"`
	Suspect    bool    `json:"suspect"`
	ProbeDue   bool    `json:"probe_due,omitempty"`
	Open       int     `json:"connections_open"`
	Used       int     `json:"connections_used"`
	Quota      int     `json:"connections_quota"`
	Slots      int     `json:"slots"`
	InFlight   int     `json:"in_flight"`
	// LatencyMS is the smoothed latency, 0 before the first answer; ExpectedMS is what the
	// choice assumes.
	LatencyMS  float64 `json:"latency_ms"`
	ExpectedMS float64 `json:"expected_ms"`
	// Load is nil if the replica reported none.
	Load *ExplainedLoad `json:"load,omitempty"`
}

// ExplainedLoad is the last report of a replica's load.
type ExplainedLoad struct {
	// Wait is the wait that follows from it, without this node's attempts, in units of the usual
	// duration of a request.
	Wait  float64 `json:"wait"`
	AgeMS float64 `json:"age_ms"`
}

// milliseconds returns a duration in milliseconds with three decimals.
func milliseconds(d time.Duration) float64 { return math.Round(d.Seconds()*1e6) / 1e3 }

// remainingQuota returns what is left of an account's quota over all nodes in the present window,
// as the account's allocator last reported it; nil if this node has asked for no admission of the
// account, or the account has no quota.
func (e *Engine) remainingQuota(a *account.Account) *float64 {
	used, ok := e.quotas.requester.Used(a.Name)
	if !ok || !a.Limited() {
		return nil
	}
	left := max(1-used, 0) * a.PerSecond * e.quotas.allocator.Window().Seconds()
	return &left
}
