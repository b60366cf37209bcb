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

// server implements targetpb.Target for one instance of a target.
type server struct {
	targetpb.UnimplementedTargetServer
	target   *Target
	instance *instance
}

// connState is the server's state for one connection: the revision of the held
// versions that it sent last.
type connState struct{ sentHeldRevision atomic.Uint64 }

type connKey struct{}

// connTagger is a stats.Handler that attaches a connState to the contexts of a
// connection's requests.
type connTagger struct{}

func (connTagger) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, connKey{}, &connState{})
}

func (connTagger) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (connTagger) HandleRPC(context.Context, stats.RPCStats)                       {}
func (connTagger) HandleConn(context.Context, stats.ConnStats)                     {}

// Search implements targetpb.TargetServer.
func (s *server) Search(ctx context.Context, req *targetpb.SearchRequest) (*targetpb.SearchReply, error) {
	if !s.waitNetworkDelay(ctx) {
		return nil, contextStatus(ctx)
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
	reply.Load = s.load(ctx, isSnapshotRefusal(outcome))
	if outcome == targetpb.Outcome_SHED {
		reply.RetryAfterMs = s.target.settings.RetryAfterMS
	}
	s.target.journal.count(outcomeCounter(outcome))
	s.applyReplyFaults(reply)
	return reply, nil
}

func (s *server) runSearch(ctx context.Context, req *targetpb.SearchRequest, reply *targetpb.SearchReply) (targetpb.Outcome, error) {
	if _, _, outcome := s.target.locateShard(req); outcome != targetpb.Outcome_OK {
		return outcome, nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	if outcome, err := s.admit(ctx); outcome != targetpb.Outcome_OK {
		return outcome, err
	}
	defer s.instance.slots.release()
	// The shards and versions may have changed while the request was queued.
	shard, version, outcome := s.target.locateShard(req)
	if outcome != targetpb.Outcome_OK {
		return outcome, nil
	}
	reply.Snapshot.Version = version
	s.target.journal.startSearch(SearchEntry{
		Incarnation: s.instance.incarnation, Shard: shard.Name, Epoch: shard.Epoch, Version: version,
		Attempt: attemptFromProto(req.GetAttempt()), Started: time.Now(),
	})
	if s.target.matchesCrashTrigger(req.GetQuery().GetConditions(), nil) {
		return 0, s.crash(ctx)
	}
	if !s.holdSlot(ctx.Done()) {
		s.target.journal.count(CancelledRunning)
		return 0, contextStatus(ctx)
	}
	if s.target.consumeFault(func(f *Faults) *int { return &f.Fail }) {
		return targetpb.Outcome_ERROR, nil
	}
	rows, more := s.target.data.Search(queryFromProto(req.GetQuery()), version, shard.First, shard.Last)
	reply.Rows = rowsToProto(rows)
	reply.RowCount = uint32(len(rows))
	reply.LimitReached = more
	return targetpb.Outcome_OK, nil
}

// Execute implements targetpb.TargetServer. A started work order runs to its
// end even if the caller cancels it, because its effect cannot be undone.
func (s *server) Execute(ctx context.Context, req *targetpb.ExecuteRequest) (*targetpb.ExecuteReply, error) {
	if !s.waitNetworkDelay(ctx) {
		return nil, contextStatus(ctx)
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
	if s.target.consumeFault(func(f *Faults) *int { return &f.WrongEcho }) {
		reply.Attempt = mismatchedAttempt(reply.GetAttempt())
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
	defer s.instance.slots.release()
	key := keyText(req.GetKey())
	position, err := s.target.journal.startWork(WorkEntry{
		Target: s.target.settings.Name, Incarnation: s.instance.incarnation, Service: req.GetService(),
		Key: key, Payload: req.GetPayload(), Attempt: attemptFromProto(req.GetAttempt()), Started: time.Now(),
	})
	if err != nil {
		return 0, status.Error(codes.Internal, err.Error())
	}
	if s.target.matchesCrashTrigger(nil, req.GetPayload()) {
		return 0, s.crash(ctx)
	}
	if !s.holdSlot(nil) {
		return 0, status.Error(codes.Unavailable, "target stopped")
	}
	s.target.journal.finishWork(position)
	if s.target.consumeFault(func(f *Faults) *int { return &f.Fail }) {
		reply.Result = []byte("work order failed by a fault switch")
		return targetpb.Outcome_ERROR, nil
	}
	reply.Result = []byte("done " + key)
	return targetpb.Outcome_OK, nil
}

// waitNetworkDelay waits for the simulated network round trip of a request. It returns
// false if the request's context ended first.
func (s *server) waitNetworkDelay(ctx context.Context) bool {
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

// admit waits for a slot. If the outcome is OK, the caller must release the slot.
func (s *server) admit(ctx context.Context) (targetpb.Outcome, error) {
	if ctx.Err() != nil {
		return s.notStarted(ctx)
	}
	if s.target.consumeFault(func(f *Faults) *int { return &f.Shed }) {
		return targetpb.Outcome_SHED, nil
	}
	switch s.instance.slots.acquire(ctx) {
	case shed:
		return targetpb.Outcome_SHED, nil
	case refusedDraining:
		return targetpb.Outcome_DRAINING, nil
	case abandoned:
		return s.notStarted(ctx)
	}
	select {
	case <-s.instance.ended:
		s.instance.slots.release()
		return 0, status.Error(codes.Unavailable, "target stopped")
	case <-ctx.Done():
		s.instance.slots.release()
		return s.notStarted(ctx)
	default:
		return targetpb.Outcome_OK, nil
	}
}

// notStarted returns the result of a request whose context ended before it ran:
// outcome EXPIRED after a passed deadline, an error after a cancellation.
func (s *server) notStarted(ctx context.Context) (targetpb.Outcome, error) {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return targetpb.Outcome_EXPIRED, nil
	}
	s.target.journal.count(CancelledQueued)
	return 0, contextStatus(ctx)
}

// holdSlot waits for the service time and then until the target is not stalled. It
// returns false if the request is cancelled or the instance ends first.
func (s *server) holdSlot(cancelled <-chan struct{}) bool {
	timer := time.NewTimer(s.target.serviceTime(s.instance))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-cancelled:
		return false
	case <-s.instance.ended:
		return false
	}
	select {
	case <-s.target.stalled.opened():
	case <-cancelled:
		return false
	case <-s.instance.ended:
		return false
	}
	// The selects above choose at random if several channels are ready, and an ended
	// instance must not answer.
	select {
	case <-s.instance.ended:
		return false
	default:
		return true
	}
}

// crash makes the target crash and waits until the instance has ended, so that the
// request that caused the crash is never answered.
func (s *server) crash(ctx context.Context) error {
	go s.target.crash(s.instance)
	select {
	case <-s.instance.ended:
	case <-ctx.Done():
	}
	return status.Error(codes.Unavailable, "target crashed")
}

// applyReplyFaults applies the fault switches that alter a finished search reply.
func (s *server) applyReplyFaults(reply *targetpb.SearchReply) {
	t := s.target
	if reply.GetOutcome() == targetpb.Outcome_OK && t.consumeFault(func(f *Faults) *int { return &f.Truncate }) {
		if len(reply.GetRows()) == 0 {
			reply.RowCount = 1
		}
		reply.Rows = reply.GetRows()[:len(reply.GetRows())/2]
	}
	if !t.consumeFault(func(f *Faults) *int { return &f.WrongEcho }) {
		return
	}
	switch t.Faults().Echo {
	case EchoShard:
		reply.Shard += "-other"
	case EchoVersion:
		reply.Snapshot.Version++
	default:
		reply.Attempt = mismatchedAttempt(reply.GetAttempt())
	}
}

func mismatchedAttempt(a *targetpb.AttemptID) *targetpb.AttemptID {
	return &targetpb.AttemptID{Life: a.GetLife(), Seq: a.GetSeq() + 1}
}

// load returns the load status that is sent with each answer. It includes the held
// versions if withHeld is set or if they may have changed since the last answer on
// this connection.
func (s *server) load(ctx context.Context, withHeld bool) *targetpb.Load {
	running, queued, draining := s.instance.slots.state()
	out := &targetpb.Load{
		Incarnation: s.instance.incarnation, Slots: uint32(s.target.settings.Slots),
		Running: uint32(running), Queued: uint32(queued), Draining: draining,
	}
	t := s.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn, ok := ctx.Value(connKey{}).(*connState); ok && conn.sentHeldRevision.Swap(t.heldRevision) != t.heldRevision {
		withHeld = true
	}
	if withHeld {
		out.Held = t.heldVersionsLocked()
	}
	if lie := t.faults.Lie; lie != nil {
		out.Running, out.Queued, out.Draining = uint32(lie.Running), uint32(lie.Queued), lie.Draining
	}
	return out
}

func (t *Target) heldVersionsLocked() []*targetpb.ShardVersions {
	out := make([]*targetpb.ShardVersions, 0, len(t.heldShards))
	for _, shard := range t.heldShards {
		versions := shard.Versions
		if t.faults.Lie != nil && len(t.faults.Lie.Versions) > 0 {
			versions = t.faults.Lie.Versions
		}
		out = append(out, &targetpb.ShardVersions{Epoch: shard.Epoch, Shard: shard.Name, Versions: append([]uint64{}, versions...)})
	}
	return out
}

// locateShard returns the shard and version that a search asks for, or the outcome
// with which to refuse it.
func (t *Target) locateShard(req *targetpb.SearchRequest) (Shard, uint64, targetpb.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if req.GetQuery().GetService() != t.settings.Service {
		return Shard{}, 0, targetpb.Outcome_WRONG_EPOCH
	}
	for _, shard := range t.heldShards {
		if shard.Name != req.GetShard() || shard.Epoch != req.GetSnapshot().GetEpoch() {
			continue
		}
		version, outcome := resolveVersion(shard.Versions, req.GetSnapshot().GetVersion())
		return shard, version, outcome
	}
	return Shard{}, 0, targetpb.Outcome_WRONG_EPOCH
}

// resolveVersion returns the held version that a search asks for, or the outcome
// with which to refuse it.
func resolveVersion(held []uint64, want uint64) (uint64, targetpb.Outcome) {
	last := newestVersion(held)
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

// matchesCrashTrigger reports whether the fault CrashOn applies to a search with these
// conditions or to a work order with this payload.
func (t *Target) matchesCrashTrigger(conditions []*targetpb.Condition, payload []byte) bool {
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

func isSnapshotRefusal(o targetpb.Outcome) bool {
	return o == targetpb.Outcome_VERSION_GONE || o == targetpb.Outcome_VERSION_NOT_YET || o == targetpb.Outcome_WRONG_EPOCH
}

func contextStatus(ctx context.Context) error { return status.FromContextError(ctx.Err()).Err() }

func attemptFromProto(a *targetpb.AttemptID) Attempt {
	return Attempt{Life: a.GetLife(), Seq: a.GetSeq()}
}

// keyText formats a key as a UUID, or in hexadecimal if it is not 16 bytes long.
func keyText(key []byte) string {
	if id, err := uuid.FromBytes(key); err == nil {
		return id.String()
	}
	return hexText(key)
}
