package callerhttp

import (
	"net/http"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// defaultRetryAfter is sent with statuses 429 and 503 if the node's answer has no
// RetryAfter.
const defaultRetryAfter = time.Second

type rowBody struct {
	Key    string            `json:"key"`
	Fields map[string]string `json:"fields"`
}

type missingBody struct {
	Shard  api.ShardName `json:"shard"`
	Reason api.Reason    `json:"reason"`
}

type coverageBody struct {
	Epoch         uint64          `json:"epoch"`
	Version       uint64          `json:"version"`
	SharePercent  float64         `json:"share_percent"`
	CoveredShards int             `json:"covered_shards"`
	Covered       []api.ShardName `json:"covered"`
	Missing       []missingBody   `json:"missing"`
}

type searchResponse struct {
	Outcome          string        `json:"outcome"`
	Reason           api.Reason    `json:"reason"`
	Rows             []rowBody     `json:"rows"`
	Coverage         *coverageBody `json:"coverage,omitempty"`
	LimitReached     bool          `json:"limit_reached"`
	RetryAfterMillis int64         `json:"retry_after_ms"`
}

type workResponse struct {
	Outcome          string     `json:"outcome"`
	Reason           api.Reason `json:"reason"`
	Result           string     `json:"result"`
	Replayed         bool       `json:"replayed"`
	RetryAfterMillis int64      `json:"retry_after_ms"`
}

// refusal is the body of the response to a request that was rejected before it reached
// the node.
type refusal struct {
	Outcome          string     `json:"outcome"`
	Reason           api.Reason `json:"reason"`
	Message          string     `json:"message,omitempty"`
	RetryAfterMillis int64      `json:"retry_after_ms"`
}

// httpStatus returns the HTTP status of an outcome and a reason, as section 6 of the
// design page defines it.
func httpStatus(outcome api.Outcome, reason api.Reason) int {
	switch outcome {
	case api.Answered:
		return http.StatusOK
	case api.Failed:
		return http.StatusBadGateway
	case api.NotRun:
		return notRunStatus(reason)
	}
	switch reason {
	case api.ReasonKeyInProgress, api.ReasonKeyClaimed, api.ReasonKeyExpired:
		return http.StatusConflict
	}
	return http.StatusGatewayTimeout
}

// notRunStatus returns the HTTP status of a request that was not run: 429 if the caller
// has to send fewer requests, another 4xx if it has to change the request, and 503 if it
// can send the same request again later.
func notRunStatus(reason api.Reason) int {
	switch reason {
	case api.ReasonMalformed, api.ReasonWrongKind, api.ReasonKeyFromFuture:
		return http.StatusBadRequest
	case api.ReasonUnknownService:
		return http.StatusNotFound
	case api.ReasonKeyInProgress, api.ReasonKeyClaimed, api.ReasonKeyExpired:
		return http.StatusConflict
	case api.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case api.ReasonOverloaded, api.ReasonShed, api.ReasonRetryBudget, api.ReasonClaimsFull:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// retryAfterOrDefault returns the delay to report to the caller, 0 for none. Statuses 429
// and 503 always have a delay.
func retryAfterOrDefault(status int, retryAfter time.Duration) time.Duration {
	if retryAfter <= 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		return defaultRetryAfter
	}
	return max(0, retryAfter)
}

// roundUp returns the number of units in d, rounded up.
func roundUp(d, unit time.Duration) int64 { return int64((d + unit - 1) / unit) }

func newSearchResponse(a api.SearchAnswer, retryAfter time.Duration) searchResponse {
	out := searchResponse{
		Outcome:          a.Outcome.String(),
		Reason:           a.Reason,
		Rows:             []rowBody{},
		LimitReached:     a.LimitReached,
		RetryAfterMillis: roundUp(retryAfter, time.Millisecond),
	}
	if a.Outcome != api.Answered {
		return out
	}
	for _, r := range a.Rows {
		row := rowBody{Key: r.Key, Fields: make(map[string]string, len(r.Fields))}
		for _, f := range r.Fields {
			row.Fields[f.Name] = f.Value
		}
		out.Rows = append(out.Rows, row)
	}
	out.Coverage = newCoverageBody(a.Coverage)
	return out
}

func newCoverageBody(c api.Coverage) *coverageBody {
	out := &coverageBody{
		Epoch:         c.Snapshot.Epoch,
		Version:       c.Snapshot.Version,
		SharePercent:  c.Share.Percent(),
		CoveredShards: len(c.Covered),
		Covered:       append([]api.ShardName{}, c.Covered...),
		Missing:       []missingBody{},
	}
	for _, m := range c.Missing {
		out.Missing = append(out.Missing, missingBody(m))
	}
	return out
}

func newWorkResponse(a api.WorkAnswer, retryAfter time.Duration) workResponse {
	return workResponse{
		Outcome:          a.Outcome.String(),
		Reason:           a.Reason,
		Result:           string(a.Result),
		Replayed:         a.Replayed,
		RetryAfterMillis: roundUp(retryAfter, time.Millisecond),
	}
}
