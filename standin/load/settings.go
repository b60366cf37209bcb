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

// Settings describes one run.
type Settings struct {
	// Endpoints are base URLs of entry nodes; arrivals take them in turn.
	Endpoints []string `json:"endpoints"`
	// Caller is sent in the header X-Caller.
	Caller string `json:"caller"`
	// Seed determines the arrival times and the choice of requests.
	Seed uint64 `json:"seed"`
	// RatePerSecond is the mean arrival rate; the gaps are exponential.
	RatePerSecond float64 `json:"rate_per_second"`
	DurationMS    int64   `json:"duration_ms"`
	// WarmUpMS is the first part of the duration whose requests are sent but
	// not reported.
	WarmUpMS int64 `json:"warm_up_ms"`
	// MaxInFlight protects the machine of the generator; arrivals beyond it are
	// reported as not sent.
	MaxInFlight int `json:"max_in_flight"`
	// HealthCheckMS is how often the readiness of each endpoint is read, as a load
	// balancer does; endpoints that are not ready get no requests. 0 checks none.
	HealthCheckMS int64 `json:"health_check_ms"`
	// NetworkDelayMS is spent one way before a request is sent and again after
	// its answer; latencies include it.
	NetworkDelayMS float64 `json:"network_delay_ms"`
	// ClientTimeoutMS bounds the wait for an answer.
	ClientTimeoutMS int64     `json:"client_timeout_ms"`
	Requests        []Request `json:"requests"`
	// TargetAdmins are base URLs of the targets' admin interfaces.
	TargetAdmins []string `json:"target_admins"`
}

// Request is a kind of request in the mix. Exactly one of Search and Work is set.
type Request struct {
	// Weight is the share among all requests; 0 counts as 1.
	Weight float64     `json:"weight"`
	Search *SearchBody `json:"search,omitempty"`
	Work   *WorkBody   `json:"work,omitempty"`
	// Distinct is the number of values that replace {n} in condition values and
	// the payload; 0 counts as 1.
	Distinct int `json:"distinct"`
	// ResendShare is the share of work orders that are sent a second time at
	// once, with the same key, through the next endpoint.
	ResendShare float64 `json:"resend_share"`
}

// ReadSettings reads a settings file: JSON with comments.
func ReadSettings(path string) (Settings, error) {
	out, err := jsonfile.Read[Settings](path)
	if err != nil {
		return out, ErrSettings.Wrap(err, "read settings")
	}
	return out, nil
}

func (s *Settings) prepare() error {
	if s.MaxInFlight == 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if s.ClientTimeoutMS == 0 {
		s.ClientTimeoutMS = defaultClientTimeout.Milliseconds()
	}
	if s.Caller == "" {
		s.Caller = "load"
	}
	var faults []string
	if len(s.Endpoints) == 0 {
		faults = append(faults, "no endpoint is given")
	}
	if s.NetworkDelayMS < 0 || s.HealthCheckMS < 0 {
		faults = append(faults, "network_delay_ms and health_check_ms must not be negative")
	}
	if s.RatePerSecond <= 0 || s.DurationMS <= 0 || s.WarmUpMS < 0 || s.WarmUpMS >= s.DurationMS {
		faults = append(faults, "rate and duration must be positive and the warm-up shorter than the duration")
	}
	if len(s.Requests) == 0 {
		faults = append(faults, "no request is given")
	}
	for _, r := range s.Requests {
		if (r.Search == nil) == (r.Work == nil) {
			faults = append(faults, "a request must be either a search or a work order")
		}
		if r.Weight < 0 || r.Distinct < 0 || r.ResendShare < 0 || r.ResendShare > 1 {
			faults = append(faults, "weight, distinct and resend_share must not be negative and resend_share at most 1")
		}
	}
	if len(faults) > 0 {
		return ErrSettings.New("%s", strings.Join(faults, "; "))
	}
	return nil
}
