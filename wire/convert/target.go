package convert

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/wire/targetpb"
)

// keyBytes is the length of an idempotency key, which is a UUID.
const keyBytes = 16

func attemptToProto(a api.AttemptID) *targetpb.AttemptID {
	return &targetpb.AttemptID{Life: uint64(a.Life), Seq: a.Seq}
}

func attemptFromProto(m *targetpb.AttemptID) (api.AttemptID, error) {
	if m == nil {
		return api.AttemptID{}, malformed("attempt", "is missing")
	}
	return api.AttemptID{Life: api.Life(m.Life), Seq: m.Seq}, nil
}

func snapshotToProto(s api.Snapshot) *targetpb.Snapshot {
	return &targetpb.Snapshot{Epoch: s.Epoch, Version: s.Version}
}

func snapshotFromProto(m *targetpb.Snapshot) (api.Snapshot, error) {
	if m == nil {
		return api.Snapshot{}, malformed("snapshot", "is missing")
	}
	return api.Snapshot{Epoch: m.Epoch, Version: m.Version}, nil
}

func queryToProto(q api.Query) *targetpb.Query {
	out := &targetpb.Query{
		Service:    string(q.Service),
		OrderBy:    q.OrderBy,
		Descending: q.Descending,
		Limit:      clampUint32(q.Limit),
	}
	for _, c := range q.Conditions {
		out.Conditions = append(out.Conditions, &targetpb.Condition{
			Field:    c.Field,
			Operator: targetpb.Operator(c.Operator),
			Value:    c.Value,
		})
	}
	return out
}

func queryFromProto(m *targetpb.Query) (api.Query, error) {
	if m == nil {
		return api.Query{}, malformed("query", "is missing")
	}
	if err := checkName("query.service", m.Service); err != nil {
		return api.Query{}, err
	}
	q := api.Query{
		Service:    api.ServiceName(m.Service),
		OrderBy:    m.OrderBy,
		Descending: m.Descending,
		Limit:      int(m.Limit),
	}
	for _, c := range m.Conditions {
		condition, err := conditionFromProto(c)
		if err != nil {
			return api.Query{}, err
		}
		q.Conditions = append(q.Conditions, condition)
	}
	return q, nil
}

func conditionFromProto(m *targetpb.Condition) (api.Condition, error) {
	if m.GetField() == "" {
		return api.Condition{}, malformed("condition.field", "is empty")
	}
	if m.Operator < targetpb.Operator_EQUAL || m.Operator > targetpb.Operator_CONTAINS {
		return api.Condition{}, malformed("condition.operator", "is not known")
	}
	return api.Condition{Field: m.Field, Operator: api.Operator(m.Operator), Value: m.Value}, nil
}

func rowsToProto(rows []api.Row) []*targetpb.Row {
	out := make([]*targetpb.Row, 0, len(rows))
	for _, r := range rows {
		row := &targetpb.Row{Key: r.Key}
		for _, f := range r.Fields {
			row.Fields = append(row.Fields, &targetpb.Field{Name: f.Name, Value: f.Value})
		}
		out = append(out, row)
	}
	return out
}

func rowsFromProto(rows []*targetpb.Row) []api.Row {
	out := make([]api.Row, 0, len(rows))
	for _, r := range rows {
		row := api.Row{Key: r.GetKey()}
		for _, f := range r.GetFields() {
			row.Fields = append(row.Fields, api.Field{Name: f.GetName(), Value: f.GetValue()})
		}
		out = append(out, row)
	}
	return out
}

func targetOutcomeFromProto(m targetpb.Outcome) (api.TargetOutcome, error) {
	if m < targetpb.Outcome_OK || m > targetpb.Outcome_EXPIRED {
		return 0, malformed("outcome", "is not known")
	}
	return api.TargetOutcome(m), nil
}

// SearchRequestToProto encodes a search for a target.
func SearchRequestToProto(r api.SearchRequest, now time.Time) *targetpb.SearchRequest {
	return &targetpb.SearchRequest{
		Attempt:    attemptToProto(r.Attempt),
		Shard:      string(r.Shard),
		Snapshot:   snapshotToProto(r.Snapshot),
		Query:      queryToProto(r.Query),
		DeadlineMs: RemainingMillis(r.Deadline, now),
	}
}

// SearchRequestFromProto decodes a search received by a target.
func SearchRequestFromProto(m *targetpb.SearchRequest, now time.Time) (api.SearchRequest, error) {
	attempt, err := attemptFromProto(m.GetAttempt())
	if err != nil {
		return api.SearchRequest{}, err
	}
	if err := checkName("shard", m.Shard); err != nil {
		return api.SearchRequest{}, err
	}
	snapshot, err := snapshotFromProto(m.Snapshot)
	if err != nil {
		return api.SearchRequest{}, err
	}
	query, err := queryFromProto(m.Query)
	if err != nil {
		return api.SearchRequest{}, err
	}
	return api.SearchRequest{
		Attempt:  attempt,
		Shard:    api.ShardName(m.Shard),
		Snapshot: snapshot,
		Query:    query,
		Deadline: deadlineAfter(m.DeadlineMs, now),
	}, nil
}

// SearchReplyToProto encodes a target's answer to a search. RowCount is sent
// unchanged, so that a stand-in target can announce a number that differs from the
// number of rows.
func SearchReplyToProto(r api.SearchReply) *targetpb.SearchReply {
	return &targetpb.SearchReply{
		Attempt:      attemptToProto(r.Attempt),
		Shard:        string(r.Shard),
		Snapshot:     snapshotToProto(r.Snapshot),
		Outcome:      targetpb.Outcome(r.Outcome),
		RowCount:     clampUint32(r.RowCount),
		Rows:         rowsToProto(r.Rows),
		LimitReached: r.LimitReached,
		Load:         LoadToProto(r.Load),
		RetryAfterMs: millisCeil(r.RetryAfter),
	}
}

// SearchReplyFromProto decodes a target's answer to a search. A row count that
// differs from the number of rows is not a decoding error: the core packages report
// the shard as truncated.
func SearchReplyFromProto(m *targetpb.SearchReply) (api.SearchReply, error) {
	attempt, err := attemptFromProto(m.GetAttempt())
	if err != nil {
		return api.SearchReply{}, err
	}
	snapshot, err := snapshotFromProto(m.Snapshot)
	if err != nil {
		return api.SearchReply{}, err
	}
	outcome, err := targetOutcomeFromProto(m.Outcome)
	if err != nil {
		return api.SearchReply{}, err
	}
	load, err := LoadFromProto(m.Load)
	if err != nil {
		return api.SearchReply{}, err
	}
	return api.SearchReply{
		Attempt:      attempt,
		Shard:        api.ShardName(m.Shard),
		Snapshot:     snapshot,
		Outcome:      outcome,
		RowCount:     int(m.RowCount),
		Rows:         rowsFromProto(m.Rows),
		LimitReached: m.LimitReached,
		Load:         load,
		RetryAfter:   time.Duration(m.RetryAfterMs) * time.Millisecond,
	}, nil
}

// WorkRequestToProto encodes a work order for a target.
func WorkRequestToProto(r api.WorkRequest, now time.Time) *targetpb.ExecuteRequest {
	return &targetpb.ExecuteRequest{
		Attempt:    attemptToProto(r.Attempt),
		Service:    string(r.Service),
		Key:        r.Key[:],
		Payload:    r.Payload,
		DeadlineMs: RemainingMillis(r.Deadline, now),
	}
}

// WorkRequestFromProto decodes a work order received by a target.
func WorkRequestFromProto(m *targetpb.ExecuteRequest, now time.Time) (api.WorkRequest, error) {
	attempt, err := attemptFromProto(m.GetAttempt())
	if err != nil {
		return api.WorkRequest{}, err
	}
	if err := checkName("service", m.Service); err != nil {
		return api.WorkRequest{}, err
	}
	if len(m.Key) != keyBytes {
		return api.WorkRequest{}, malformed("key", "is not 16 bytes long")
	}
	return api.WorkRequest{
		Attempt:  attempt,
		Service:  api.ServiceName(m.Service),
		Key:      api.IdempotencyKey(m.Key),
		Payload:  m.Payload,
		Deadline: deadlineAfter(m.DeadlineMs, now),
	}, nil
}

// WorkReplyToProto encodes a target's answer to a work order.
func WorkReplyToProto(r api.WorkReply) *targetpb.ExecuteReply {
	return &targetpb.ExecuteReply{
		Attempt:      attemptToProto(r.Attempt),
		Outcome:      targetpb.Outcome(r.Outcome),
		Result:       r.Result,
		Load:         LoadToProto(r.Load),
		RetryAfterMs: millisCeil(r.RetryAfter),
	}
}

// WorkReplyFromProto decodes a target's answer to a work order.
func WorkReplyFromProto(m *targetpb.ExecuteReply) (api.WorkReply, error) {
	attempt, err := attemptFromProto(m.GetAttempt())
	if err != nil {
		return api.WorkReply{}, err
	}
	outcome, err := targetOutcomeFromProto(m.Outcome)
	if err != nil {
		return api.WorkReply{}, err
	}
	load, err := LoadFromProto(m.Load)
	if err != nil {
		return api.WorkReply{}, err
	}
	return api.WorkReply{
		Attempt:    attempt,
		Outcome:    outcome,
		Result:     m.Result,
		Load:       load,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
	}, nil
}

// LoadToProto encodes a target's load.
func LoadToProto(l api.TargetLoad) *targetpb.Load {
	out := &targetpb.Load{
		Incarnation: uint64(l.Incarnation),
		Slots:       clampUint32(l.Slots),
		Running:     clampUint32(l.Running),
		Queued:      clampUint32(l.Queued),
		Draining:    l.Draining,
	}
	for _, h := range l.Held {
		out.Held = append(out.Held, &targetpb.ShardVersions{
			Epoch: h.Epoch, Shard: string(h.Shard), Versions: h.Versions,
		})
	}
	return out
}

// LoadFromProto decodes a target's load. A missing load is malformed: a zero
// load has another incarnation and would look like a restart of the target.
func LoadFromProto(m *targetpb.Load) (api.TargetLoad, error) {
	if m == nil {
		return api.TargetLoad{}, malformed("load", "is missing")
	}
	load := api.TargetLoad{
		Incarnation: api.Incarnation(m.Incarnation),
		Slots:       int(m.Slots),
		Running:     int(m.Running),
		Queued:      int(m.Queued),
		Draining:    m.Draining,
	}
	for _, h := range m.Held {
		held, err := shardVersionsFromProto(h)
		if err != nil {
			return api.TargetLoad{}, err
		}
		load.Held = append(load.Held, held)
	}
	return load, nil
}

func shardVersionsFromProto(m *targetpb.ShardVersions) (api.ShardVersions, error) {
	if err := checkName("held.shard", m.GetShard()); err != nil {
		return api.ShardVersions{}, err
	}
	for i := 1; i < len(m.Versions); i++ {
		if m.Versions[i] <= m.Versions[i-1] {
			return api.ShardVersions{}, malformed("held.versions", "is not ascending")
		}
	}
	return api.ShardVersions{Epoch: m.Epoch, Shard: api.ShardName(m.Shard), Versions: m.Versions}, nil
}
