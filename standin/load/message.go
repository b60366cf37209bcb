package load

// The request and answer bodies of POST /v1/search and POST /v1/work, which
// section 6 of the design page specifies.

// Condition is a filter on the rows of a search.
type Condition struct {
	Field string `json:"field"`
	// Operator is one of = != < <= > >= contains.
	Operator string `json:"operator"`
	Value    string `json:"value"`
}

// SearchBody is the body of a search request.
type SearchBody struct {
	Service         string      `json:"service"`
	Conditions      []Condition `json:"conditions,omitempty"`
	OrderBy         string      `json:"order_by,omitempty"`
	Descending      bool        `json:"descending,omitempty"`
	Limit           int         `json:"limit,omitempty"`
	DeadlineMS      int64       `json:"deadline_ms,omitempty"`
	CoveragePercent float64     `json:"coverage_percent,omitempty"`
	EarlyReturn     *bool       `json:"early_return,omitempty"`
}

// SearchAnswer is the answer to a search.
type SearchAnswer struct {
	Outcome      string   `json:"outcome"`
	Reason       string   `json:"reason"`
	Rows         []Row    `json:"rows"`
	Coverage     Coverage `json:"coverage"`
	LimitReached bool     `json:"limit_reached"`
	RetryAfterMS int64    `json:"retry_after_ms"`
}

// Row is one row of a search result.
type Row struct {
	Key    string            `json:"key"`
	Fields map[string]string `json:"fields"`
}

// Coverage describes how much of the index an answer covers.
type Coverage struct {
	Epoch         uint64         `json:"epoch"`
	Version       uint64         `json:"version"`
	SharePercent  float64        `json:"share_percent"`
	CoveredShards int            `json:"covered_shards"`
	Missing       []MissingShard `json:"missing"`
}

// MissingShard is a shard that an answer does not cover.
type MissingShard struct {
	Shard  string `json:"shard"`
	Reason string `json:"reason"`
}

// WorkBody is the body of a work order. Its key travels in the Idempotency-Key
// header.
type WorkBody struct {
	Service    string `json:"service"`
	Payload    string `json:"payload"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
}

// WorkAnswer is the answer to a work order.
type WorkAnswer struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Result       string `json:"result"`
	Replayed     bool   `json:"replayed"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}
