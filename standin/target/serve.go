package target

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/wire/targetpb"
)

// server serves targetpb.Target for one life of a target.
type server struct {
	targetpb.UnimplementedTargetServer
	target *Target
	life   *life
}

// connState is what the server remembers of a connection: the state of the
// versions held that it sent last.
type connState struct{ sent atomic.Uint64 }

type connKey struct{}

// connTagger attaches a connState to the contexts of a connection's requests.
type connTagger struct{}

func (connTagger) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, connKey{}, &connState{})
}

func (connTagger) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (connTagger) HandleRPC(context.Context, stats.RPCStats)                       {}
func (connTagger) HandleConn(context.Context, stats.ConnStats)                     {}

// Search implements targetpb.TargetServer.
func (s *server) Search(ctx context.Context, req *targetpb.SearchRequest) (*targetpb.SearchReply, error) {
	if !s.travel(ctx) {
		return nil, endedStatus(ctx)
	}
	s.target.journal.count(RequestsReceived)
	reply := &targetpb.SearchReply{
		Attempt:  req.GetAttempt(),
		Shard:    req.GetShard(),
		Snapshot: &targetpb.Snapshot{Epoch: req.GetSnapshot().GetEpoch(), Version: req.GetSnapshot().GetVersion()},
	}
	outcome, err := s.runSearch(ctx, req, reply)
	if err != nil {
		return nil, err
	}
	reply.Outcome = outcome
	reply.Load = s.load(ctx, refusesSnapshot(outcome))
	if outcome == targetpb.Outcome_SHED {
		reply.RetryAfterMs = s.target.settings.RetryAfterMS
	}
	s.target.journal.count(outcomeCounter(outcome))
	s.falsify(reply)
	return reply, nil
}

func (s *server) runSearch(ctx context.Context, req *targetpb.SearchRequest, reply *targetpb.SearchReply) (targetpb.Outcome, error) {
	if _, _, outcome := s.target.locate(req); outcome != targetpb.Outcome_OK {
		return outcome, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	if outcome, err := s.admit(ctx); outcome != targetpb.Outcome_OK {
		return outcome, err
	}
	defer s.life.slots.release()
	// The versions may have changed while the request was queued.
	shard, version, outcome := s.target.locate(req)
	if outcome != targetpb.Outcome_OK {
		return outcome, nil
	}
	reply.Snapshot.Version = version
	s.target.journal.startSearch(SearchEntry{
		Incarnation: s.life.incarnation, Shard: shard.Name, Epoch: shard.Epoch, Version: version,
		Attempt: attemptOf(req.GetAttempt()), Started: time.Now(),
	})
	if s.target.crashesOn(req.GetQuery().GetConditions(), nil) {
		return 0, s.crash(ctx)
	}
	if !s.occupy(ctx.Done()) {
		s.target.journal.count(CancelledRunning)
		return 0, endedStatus(ctx)
	}
	if s.target.takeFault(func(f *Faults) *int { return &f.Fail }) {
		return targetpb.Outcome_ERROR, nil
	}
	rows, more := s.target.data.Search(queryOf(req.GetQuery()), version, shard.First, shard.Last)
	reply.Rows = rowsOf(rows)
	reply.RowCount = uint32(len(rows))
	reply.LimitReached = more
	return targetpb.Outcome_OK, nil
}

// Execute implements targetpb.TargetServer. Once started, a work order runs to
// its end even if the caller cancels it: its effect cannot be taken back.
func (s *server) Execute(ctx context.Context, req *targetpb.ExecuteRequest) (*targetpb.ExecuteReply, error) {
	if !s.travel(ctx) {
		return nil, endedStatus(ctx)
	}
	s.target.journal.count(RequestsReceived)
	reply := &targetpb.ExecuteReply{Attempt: req.GetAttempt()}
	outcome, err := s.runWork(ctx, req, reply)
	if err != nil {
		return nil, err
	}
	reply.Outcome = outcome
	reply.Load = s.load(ctx, false)
	if outcome == targetpb.Outcome_SHED {
		reply.RetryAfterMs = s.target.settings.RetryAfterMS
	}
	if s.target.takeFault(func(f *Faults) *int { return &f.WrongEcho }) {
		reply.Attempt = otherAttempt(reply.GetAttempt())
	}
	s.target.journal.count(outcomeCounter(outcome))
	return reply, nil
}

func (s *server) runWork(ctx context.Context, req *targetpb.ExecuteRequest, reply *targetpb.ExecuteReply) (targetpb.Outcome, error) {
	if req.GetService() != s.target.settings.Service {
		return targetpb.Outcome_WRONG_EPOCH, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	if outcome, err := s.admit(ctx); outcome != targetpb.Outcome_OK {
		return outcome, err
	}
	defer s.life.slots.release()
	key := keyText(req.GetKey())
	position, err := s.target.journal.startWork(WorkEntry{
		Target: s.target.settings.Name, Incarnation: s.life.incarnation, Service: req.GetService(),
		Key: key, Payload: req.GetPayload(), Attempt: attemptOf(req.GetAttempt()), Started: time.Now(),
	})
	if err != nil {
		return 0, status.Error(codes.Internal, err.Error())
	}
	if s.target.crashesOn(nil, req.GetPayload()) {
		return 0, s.crash(ctx)
	}
	if !s.occupy(nil) {
		return 0, status.Error(codes.Unavailable, "target stopped")
	}
	s.target.journal.finishWork(position)
	if s.target.takeFault(func(f *Faults) *int { return &f.Fail }) {
		reply.Result = []byte("work order failed by a fault switch")
		return targetpb.Outcome_ERROR, nil
	}
	reply.Result = []byte("done " + key)
	return targetpb.Outcome_OK, nil
}

// travel waits for the network delay of a request and its answer together. It
// returns false if the caller gave the request up meanwhile.
func (s *server) travel(ctx context.Context) bool {
	delay := milliseconds(s.target.settings.NetworkDelayMS)
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Health implements targetpb.TargetServer. It needs no slot.
func (s *server) Health(ctx context.Context, _ *targetpb.HealthRequest) (*targetpb.HealthReply, error) {
	s.target.journal.count(HealthReceived)
	return &targetpb.HealthReply{Load: s.load(ctx, true)}, nil
}

// admit waits for a slot. The caller must release it if the outcome is OK.
func (s *server) admit(ctx context.Context) (targetpb.Outcome, error) {
	if ctx.Err() != nil {
		return s.notStarted(ctx)
	}
	if s.target.takeFault(func(f *Faults) *int { return &f.Shed }) {
		return targetpb.Outcome_SHED, nil
	}
	switch s.life.slots.acquire(ctx) {
	case shed:
		return targetpb.Outcome_SHED, nil
	case refusedDraining:
		return targetpb.Outcome_DRAINING, nil
	case abandoned:
		return s.notStarted(ctx)
	}
	select {
	case <-s.life.ended:
		s.life.slots.release()
		return 0, status.Error(codes.Unavailable, "target stopped")
	case <-ctx.Done():
		s.life.slots.release()
		return s.notStarted(ctx)
	default:
		return targetpb.Outcome_OK, nil
	}
}

// notStarted tells a passed deadline, which is answered, from a cancellation.
func (s *server) notStarted(ctx context.Context) (targetpb.Outcome, error) {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return targetpb.Outcome_EXPIRED, nil
	}
	s.target.journal.count(CancelledQueued)
	return 0, endedStatus(ctx)
}

// occupy holds the slot for the service time and while the target is stalled.
// It returns false if cancelled or if the life ended.
func (s *server) occupy(cancelled <-chan struct{}) bool {
	timer := time.NewTimer(s.target.serviceTime(s.life))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cancelled:
		return false
	case <-s.life.ended:
		return false
	}
	select {
	case <-s.target.stalled.opened():
	case <-cancelled:
		return false
	case <-s.life.ended:
		return false
	}
	// Both channels may be ready; an ended life must not answer.
	select {
	case <-s.life.ended:
		return false
	default:
		return true
	}
}

// crash starts the end of the life and waits for it, so that the request that
// caused it is never answered.
func (s *server) crash(ctx context.Context) error {
	go s.target.crash(s.life)
	select {
	case <-s.life.ended:
	case <-ctx.Done():
	}
	return status.Error(codes.Unavailable, "target crashed")
}

// falsify applies the fault switches that change a finished search reply.
func (s *server) falsify(reply *targetpb.SearchReply) {
	t := s.target
	if reply.GetOutcome() == targetpb.Outcome_OK && t.takeFault(func(f *Faults) *int { return &f.Truncate }) {
		if len(reply.GetRows()) == 0 {
			reply.RowCount = 1
		}
		reply.Rows = reply.GetRows()[:len(reply.GetRows())/2]
	}
	if !t.takeFault(func(f *Faults) *int { return &f.WrongEcho }) {
		return
	}
	switch t.Faults().Echo {
	case EchoShard:
		reply.Shard += "-other"
	case EchoVersion:
		reply.Snapshot.Version++
	default:
		reply.Attempt = otherAttempt(reply.GetAttempt())
	}
}

func otherAttempt(a *targetpb.AttemptID) *targetpb.AttemptID {
	return &targetpb.AttemptID{Life: a.GetLife(), Seq: a.GetSeq() + 1}
}

// load builds the status that rides on answers. Held is included if forced, or
// if it changed since the last answer on this connection.
func (s *server) load(ctx context.Context, withHeld bool) *targetpb.Load {
	running, queued, draining := s.life.slots.state()
	out := &targetpb.Load{
		Incarnation: s.life.incarnation, Slots: uint32(s.target.settings.Slots),
		Running: uint32(running), Queued: uint32(queued), Draining: draining,
	}
	t := s.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn, ok := ctx.Value(connKey{}).(*connState); ok && conn.sent.Swap(t.heldChanges) != t.heldChanges {
		withHeld = true
	}
	if withHeld {
		out.Held = t.heldLocked()
	}
	if lie := t.faults.Lie; lie != nil {
		out.Running, out.Queued, out.Draining = uint32(lie.Running), uint32(lie.Queued), lie.Draining
	}
	return out
}

func (t *Target) heldLocked() []*targetpb.ShardVersions {
	out := make([]*targetpb.ShardVersions, 0, len(t.held))
	for _, shard := range t.held {
		versions := shard.Versions
		if t.faults.Lie != nil && len(t.faults.Lie.Versions) > 0 {
			versions = t.faults.Lie.Versions
		}
		out = append(out, &targetpb.ShardVersions{Epoch: shard.Epoch, Shard: shard.Name, Versions: append([]uint64{}, versions...)})
	}
	return out
}

// locate finds the shard and the version that a search asks for, or the refusal.
func (t *Target) locate(req *targetpb.SearchRequest) (Shard, uint64, targetpb.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if req.GetQuery().GetService() != t.settings.Service {
		return Shard{}, 0, targetpb.Outcome_WRONG_EPOCH
	}
	for _, shard := range t.held {
		if shard.Name != req.GetShard() || shard.Epoch != req.GetSnapshot().GetEpoch() {
			continue
		}
		version, outcome := pickVersion(shard.Versions, req.GetSnapshot().GetVersion())
		return shard, version, outcome
	}
	return Shard{}, 0, targetpb.Outcome_WRONG_EPOCH
}

func pickVersion(held []uint64, want uint64) (uint64, targetpb.Outcome) {
	last := newest(held)
	if want == api.NewestVersion && last > 0 {
		return last, targetpb.Outcome_OK
	}
	for _, v := range held {
		if v == want {
			return v, targetpb.Outcome_OK
		}
	}
	if want > last || len(held) == 0 {
		return 0, targetpb.Outcome_VERSION_NOT_YET
	}
	return 0, targetpb.Outcome_VERSION_GONE
}

func (t *Target) crashesOn(conditions []*targetpb.Condition, payload []byte) bool {
	trigger := t.Faults().CrashOn
	if trigger == "" {
		return false
	}
	for _, c := range conditions {
		if c.GetValue() == trigger {
			return true
		}
	}
	return string(payload) == trigger
}

func refusesSnapshot(o targetpb.Outcome) bool {
	return o == targetpb.Outcome_VERSION_GONE || o == targetpb.Outcome_VERSION_NOT_YET || o == targetpb.Outcome_WRONG_EPOCH
}

func endedStatus(ctx context.Context) error { return status.FromContextError(ctx.Err()).Err() }

func attemptOf(a *targetpb.AttemptID) Attempt { return Attempt{Life: a.GetLife(), Seq: a.GetSeq()} }

// keyText returns the key as a UUID, or in hexadecimal if it has another length.
func keyText(key []byte) string {
	if id, err := uuid.FromBytes(key); err == nil {
		return id.String()
	}
	return hexText(key)
}
