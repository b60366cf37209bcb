package load

import (
	"strings"
	"time"

	"github.com/baobabsail/baobabsail/standin/internal/jsonfile"
)

const (
	defaultMaxInFlight   = 20_000
	defaultClientTimeout = 30 * time.Second
)

// Settings configures one run.
type Settings struct {
	// Endpoints are base URLs of entry nodes. Arrivals use them round-robin.
	Endpoints []string `json:"endpoints"`
	// Caller is sent in the header X-Caller.
	Caller string `json:"caller"`
	// Seed determines the arrival times and the choice of requests.
	Seed uint64 `json:"seed"`
	// RatePerSecond is the mean arrival rate. The gaps between arrivals are
	// exponentially distributed.
	RatePerSecond float64 `json:"rate_per_second"`
	DurationMS    int64   `json:"duration_ms"`
	// WarmUpMS is the first part of the duration. Its requests are sent but left
	// out of the latencies, outcomes and coverage of the report.
	WarmUpMS int64 `json:"warm_up_ms"`
	// MaxInFlight limits the concurrent requests, to protect the machine that runs
	// the generator. Requests beyond it are reported as not sent.
	MaxInFlight int `json:"max_in_flight"`
	// HealthCheckMS is the interval of the readiness checks of each endpoint, as
	// made by a load balancer. Endpoints that are not ready get no requests,
	// unless none is ready. 0 disables the checks.
	HealthCheckMS int64 `json:"health_check_ms"`
	// NetworkDelayMS is a simulated one-way network delay, added before a request
	// is sent and again after its answer. Latencies include it.
	NetworkDelayMS float64 `json:"network_delay_ms"`
	// ClientTimeoutMS is the timeout of one HTTP request.
	ClientTimeoutMS int64     `json:"client_timeout_ms"`
	Requests        []Request `json:"requests"`
	// TargetAdmins are base URLs of the targets' admin interfaces.
	TargetAdmins []string `json:"target_admins"`
}

// Request is one request template of the mix. Exactly one of Search and Work is
// set.
type Request struct {
	// Weight is the relative share among all requests; 0 counts as 1.
	Weight float64     `json:"weight"`
	Search *SearchBody `json:"search,omitempty"`
	Work   *WorkBody   `json:"work,omitempty"`
	// Distinct is the number of values that replace {n} in condition values and
	// the payload; 0 counts as 1.
	Distinct int `json:"distinct"`
	// ResendShare is the fraction, 0 to 1, of the work orders that are sent a
	// second time at once, with the same key, through the next endpoint.
	ResendShare float64 `json:"resend_share"`
}

// ReadSettings reads a settings file in JSON with comments.
func ReadSettings(path string) (Settings, error) {
	out, err := jsonfile.Read[Settings](path)
	if err != nil {
		return out, ErrSettings.Wrap(err, "read settings")
	}
	return out, nil
}

func (s *Settings) setDefaultsAndValidate() error {
	if s.MaxInFlight == 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if s.ClientTimeoutMS == 0 {
		s.ClientTimeoutMS = defaultClientTimeout.Milliseconds()
	}
	if s.Caller == "" {
		s.Caller = "load"
	}
	var problems []string
	if len(s.Endpoints) == 0 {
		problems = append(problems, "no endpoint is given")
	}
	if s.NetworkDelayMS < 0 || s.HealthCheckMS < 0 {
		problems = append(problems, "network_delay_ms and health_check_ms must not be negative")
	}
	if s.RatePerSecond <= 0 || s.DurationMS <= 0 || s.WarmUpMS < 0 || s.WarmUpMS >= s.DurationMS {
		problems = append(problems, "rate and duration must be positive and the warm-up shorter than the duration")
	}
	if len(s.Requests) == 0 {
		problems = append(problems, "no request is given")
	}
	for _, r := range s.Requests {
		if (r.Search == nil) == (r.Work == nil) {
			problems = append(problems, "a request must be either a search or a work order")
		}
		if r.Weight < 0 || r.Distinct < 0 || r.ResendShare < 0 || r.ResendShare > 1 {
			problems = append(problems, "weight, distinct and resend_share must not be negative and resend_share at most 1")
		}
	}
	if len(problems) > 0 {
		return ErrSettings.New("%s", strings.Join(problems, "; "))
	}
	return nil
}
