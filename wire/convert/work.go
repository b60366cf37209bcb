package convert

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/wire/peerpb"
)

// ForwardedWork is a work order that one node forwards to another.
type ForwardedWork struct {
	Caller   api.CallerID
	Work     api.Work
	Deadline time.Time
}

// ForwardedWorkToProto encodes a work order that is forwarded to a peer.
func ForwardedWorkToProto(w ForwardedWork, now time.Time) *peerpb.WorkRequest {
	return &peerpb.WorkRequest{
		Caller:     string(w.Caller),
		Service:    string(w.Work.Service),
		Key:        w.Work.Key[:],
		Payload:    w.Work.Payload,
		DeadlineMs: RemainingMillis(w.Deadline, now),
	}
}

// ForwardedWorkFromProto decodes a work order that a peer forwarded.
func ForwardedWorkFromProto(m *peerpb.WorkRequest, now time.Time) (ForwardedWork, error) {
	if err := checkName("service", m.GetService()); err != nil {
		return ForwardedWork{}, err
	}
	if len(m.Caller) > MaxNameBytes {
		return ForwardedWork{}, malformed("caller", "is too long")
	}
	var key api.IdempotencyKey
	if len(m.Key) != len(key) {
		return ForwardedWork{}, malformed("key", "has not 16 bytes")
	}
	copy(key[:], m.Key)
	return ForwardedWork{
		Caller:   api.CallerID(m.Caller),
		Work:     api.Work{Service: api.ServiceName(m.Service), Key: key, Payload: m.Payload},
		Deadline: deadlineAfter(m.DeadlineMs, now),
	}, nil
}

// WorkAnswerToProto encodes the answer to a work order for a peer.
func WorkAnswerToProto(a api.WorkAnswer) *peerpb.WorkReply {
	return &peerpb.WorkReply{
		Outcome:      uint32(a.Outcome),
		Reason:       string(a.Reason),
		Result:       a.Result,
		Replayed:     a.Replayed,
		RetryAfterMs: millisCeil(a.RetryAfter),
	}
}

// WorkAnswerFromProto decodes a peer's answer to a work order.
func WorkAnswerFromProto(m *peerpb.WorkReply) (api.WorkAnswer, error) {
	outcome, err := outcomeFromNumber(m.GetOutcome())
	if err != nil {
		return api.WorkAnswer{}, err
	}
	if err := checkReason("reason", m.Reason); err != nil {
		return api.WorkAnswer{}, err
	}
	return api.WorkAnswer{
		Outcome:    outcome,
		Reason:     api.Reason(m.Reason),
		Result:     m.Result,
		Replayed:   m.Replayed,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
	}, nil
}

// outcomeFromNumber converts the number of an api.Outcome. It limits the number before
// the conversion, so that a large one cannot wrap around to a known outcome.
func outcomeFromNumber(number uint32) (api.Outcome, error) {
	outcome := api.Outcome(min(number, uint32(api.Unknown)+1))
	if outcome < api.Answered || outcome > api.Unknown {
		return 0, malformed("outcome", "is not known")
	}
	return outcome, nil
}
