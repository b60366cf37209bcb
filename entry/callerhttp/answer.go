package callerhttp

import (
	"net/http"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// defaultRetryAfter is sent with 429 and 503 when the answer names no time.
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

type searchReply struct {
	Outcome          string        `json:"outcome"`
	Reason           api.Reason    `json:"reason"`
	Rows             []rowBody     `json:"rows"`
	Coverage         *coverageBody `json:"coverage,omitempty"`
	LimitReached     bool          `json:"limit_reached"`
	RetryAfterMillis int64         `json:"retry_after_ms"`
}

type workReply struct {
	Outcome          string     `json:"outcome"`
	Reason           api.Reason `json:"reason"`
	Result           string     `json:"result"`
	Replayed         bool       `json:"replayed"`
	RetryAfterMillis int64      `json:"retry_after_ms"`
}

// refusal is the answer to a request that did not reach the node.
type refusal struct {
	Outcome          string     `json:"outcome"`
	Reason           api.Reason `json:"reason"`
	Message          string     `json:"message,omitempty"`
	RetryAfterMillis int64      `json:"retry_after_ms"`
}

// statusOf maps an outcome to the HTTP status of section 6 of the design page.
func statusOf(outcome api.Outcome, reason api.Reason) int {
	switch outcome {
	case api.Answered:
		return http.StatusOK
	case api.Failed:
		return http.StatusBadGateway
	case api.NotRun:
		return statusOfNotRun(reason)
	}
	switch reason {
	case api.ReasonKeyInProgress, api.ReasonKeyClaimed, api.ReasonKeyExpired:
		return http.StatusConflict
	}
	return http.StatusGatewayTimeout
}

// statusOfNotRun tells apart what the caller has to change (4xx), what it may
// send less often (429) and what it may send again later (503).
func statusOfNotRun(reason api.Reason) int {
	switch reason {
	case api.ReasonMalformed, api.ReasonWrongKind, api.ReasonKeyFromFuture:
		return http.StatusBadRequest
	case api.ReasonUnknownService:
		return http.StatusNotFound
	case api.ReasonKeyInProgress, api.ReasonKeyClaimed, api.ReasonKeyExpired:
		return http.StatusConflict
	case api.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case api.ReasonOverloaded, api.ReasonShed, api.ReasonBudget, api.ReasonClaimsFull:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// retryAfterFor returns the time to tell the caller. Statuses 429 and 503
// always have one.
func retryAfterFor(status int, after time.Duration) time.Duration {
	if after <= 0 && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		return defaultRetryAfter
	}
	return max(0, after)
}

// roundUp returns a duration in whole units, rounded up.
func roundUp(d, unit time.Duration) int64 { return int64((d + unit - 1) / unit) }

func searchReplyOf(a api.SearchAnswer, after time.Duration) searchReply {
	out := searchReply{
		Outcome:          a.Outcome.String(),
		Reason:           a.Reason,
		Rows:             []rowBody{},
		LimitReached:     a.LimitReached,
		RetryAfterMillis: roundUp(after, time.Millisecond),
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
	out.Coverage = coverageReplyOf(a.Coverage)
	return out
}

func coverageReplyOf(c api.Coverage) *coverageBody {
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

func workReplyOf(a api.WorkAnswer, after time.Duration) workReply {
	return workReply{
		Outcome:          a.Outcome.String(),
		Reason:           a.Reason,
		Result:           string(a.Result),
		Replayed:         a.Replayed,
		RetryAfterMillis: roundUp(after, time.Millisecond),
	}
}
