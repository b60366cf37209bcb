package convert

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/wire/peerpb"
)

// Part is a peer's request to run a query on some of its shards, which Search.Pin
// names.
type Part struct {
	Caller   api.CallerID
	Search   api.Search
	Deadline time.Time
}

func memberToProto(m gossip.Member) *peerpb.Member {
	return &peerpb.Member{
		Name:       string(m.Name),
		Life:       uint64(m.Life),
		Address:    m.Address,
		DataCentre: string(m.DataCentre),
		Heartbeat:  m.Heartbeat,
		Leaving:    m.Leaving,
	}
}

// listedMemberFromProto decodes an entry of the member list. To keep messages small,
// large groups list most members by life and heartbeat only, without name and
// address.
func listedMemberFromProto(m *peerpb.Member) (gossip.Member, error) {
	if m.GetName() == "" && m.GetAddress() == "" && m.GetLife() != 0 {
		return gossip.Member{Life: api.Life(m.Life), Heartbeat: m.Heartbeat, Leaving: m.Leaving}, nil
	}
	return memberFromProto(m)
}

func memberFromProto(m *peerpb.Member) (gossip.Member, error) {
	if err := checkName("member.name", m.GetName()); err != nil {
		return gossip.Member{}, err
	}
	if err := checkName("member.address", m.GetAddress()); err != nil {
		return gossip.Member{}, err
	}
	return gossip.Member{
		Name:       api.EntryName(m.Name),
		Life:       api.Life(m.Life),
		Address:    m.Address,
		DataCentre: api.DataCentre(m.DataCentre),
		Heartbeat:  m.Heartbeat,
		Leaving:    m.Leaving,
	}, nil
}

func noticeToProto(n gossip.Notice) *peerpb.Notice {
	return &peerpb.Notice{
		Kind:         uint32(n.Kind),
		Replica:      string(n.Replica),
		Incarnation:  uint64(n.Incarnation),
		Fingerprint:  uint64(n.Fingerprint),
		Crashes:      clampUint32(n.Crashes),
		Version:      n.Version,
		TimeToLiveMs: millisFloor(n.TimeToLive),
	}
}

// noticeFromProto decodes a notice. known is false if this version does not define
// the kind of the notice: a newer node may send it during a rolling upgrade.
func noticeFromProto(m *peerpb.Notice) (notice gossip.Notice, known bool, err error) {
	kind := m.GetKind()
	if kind == 0 {
		return gossip.Notice{}, false, malformed("notice.kind", "is missing")
	}
	if kind > uint32(gossip.NoticeReplicaEnded) {
		return gossip.Notice{}, false, nil
	}
	if gossip.NoticeKind(kind) == gossip.NoticeDraining || m.Replica != "" {
		if err := checkName("notice.replica", m.Replica); err != nil {
			return gossip.Notice{}, false, err
		}
	}
	return gossip.Notice{
		Kind:        gossip.NoticeKind(kind),
		Replica:     api.ReplicaName(m.Replica),
		Incarnation: api.Incarnation(m.Incarnation),
		Fingerprint: api.Fingerprint(m.Fingerprint),
		Crashes:     int(m.Crashes),
		Version:     m.Version,
		TimeToLive:  time.Duration(m.TimeToLiveMs) * time.Millisecond,
	}, true, nil
}

// NoticesToProto encodes notices.
func NoticesToProto(notices []gossip.Notice) []*peerpb.Notice {
	var out []*peerpb.Notice
	for _, n := range notices {
		out = append(out, noticeToProto(n))
	}
	return out
}

// NoticesFromProto decodes notices and skips those whose kind this version does not
// define.
func NoticesFromProto(notices []*peerpb.Notice) ([]gossip.Notice, error) {
	var out []gossip.Notice
	for _, m := range notices {
		n, known, err := noticeFromProto(m)
		if err != nil {
			return nil, err
		}
		if known {
			out = append(out, n)
		}
	}
	return out, nil
}

// MessageToProto encodes a gossip message.
func MessageToProto(m gossip.Message) *peerpb.Message {
	out := &peerpb.Message{
		From:     memberToProto(m.From),
		Position: &peerpb.Position{Generation: m.Generation, Revision: m.Revision},
		Changes:  m.Changes,
		Document: m.Document,
	}
	for _, member := range m.Members {
		out.Members = append(out.Members, memberToProto(member))
	}
	out.Notices = NoticesToProto(m.Notices)
	if m.WantAfter != nil {
		out.WantAfter = &peerpb.Position{Generation: m.WantAfter.Generation, Revision: m.WantAfter.Revision}
	}
	return out
}

// MessageFromProto decodes a gossip message. Changes and Document stay encoded;
// the core packages check them against their digests.
func MessageFromProto(m *peerpb.Message) (gossip.Message, error) {
	from, err := memberFromProto(m.GetFrom())
	if err != nil {
		return gossip.Message{}, err
	}
	out := gossip.Message{
		From:       from,
		Generation: m.GetPosition().GetGeneration(),
		Revision:   m.GetPosition().GetRevision(),
		Changes:    m.Changes,
		Document:   m.Document,
	}
	for _, member := range m.Members {
		decoded, err := listedMemberFromProto(member)
		if err != nil {
			return gossip.Message{}, err
		}
		out.Members = append(out.Members, decoded)
	}
	if out.Notices, err = NoticesFromProto(m.Notices); err != nil {
		return gossip.Message{}, err
	}
	if w := m.WantAfter; w != nil {
		out.WantAfter = &gossip.Position{Generation: w.Generation, Revision: w.Revision}
	}
	return out, nil
}

// PartRequestToProto encodes a request to run a query on some of its shards.
// Search.Pin must be set.
func PartRequestToProto(p Part, now time.Time) (*peerpb.PartRequest, error) {
	pin := p.Search.Pin
	if pin == nil {
		return nil, malformed("search.pin", "is missing")
	}
	out := &peerpb.PartRequest{
		Caller:     string(p.Caller),
		Query:      queryToProto(p.Search.Query),
		Snapshot:   snapshotToProto(pin.Snapshot),
		DeadlineMs: RemainingMillis(p.Deadline, now),
	}
	for _, shard := range pin.Shards {
		out.Shards = append(out.Shards, string(shard))
	}
	return out, nil
}

// PartRequestFromProto decodes a peer's request to run a query on some of its shards.
func PartRequestFromProto(m *peerpb.PartRequest, now time.Time) (Part, error) {
	query, err := queryFromProto(m.GetQuery())
	if err != nil {
		return Part{}, err
	}
	snapshot, err := snapshotFromProto(m.Snapshot)
	if err != nil {
		return Part{}, err
	}
	if len(m.Caller) > MaxNameBytes {
		return Part{}, malformed("caller", "is too long")
	}
	if len(m.Shards) == 0 {
		return Part{}, malformed("shards", "is empty")
	}
	pin := &api.Pin{Snapshot: snapshot}
	for _, shard := range m.Shards {
		if err := checkName("shards", shard); err != nil {
			return Part{}, err
		}
		pin.Shards = append(pin.Shards, api.ShardName(shard))
	}
	return Part{
		Caller:   api.CallerID(m.Caller),
		Search:   api.Search{Query: query, Pin: pin},
		Deadline: deadlineAfter(m.DeadlineMs, now),
	}, nil
}

// PartReplyToProto encodes the answer to a PartRequest.
func PartReplyToProto(a api.SearchAnswer) *peerpb.PartReply {
	out := &peerpb.PartReply{
		Outcome:      uint32(a.Outcome),
		Reason:       string(a.Reason),
		Snapshot:     snapshotToProto(a.Coverage.Snapshot),
		RowCount:     clampUint32(len(a.Rows)),
		Rows:         rowsToProto(a.Rows),
		LimitReached: a.LimitReached,
		RetryAfterMs: millisCeil(a.RetryAfter),
	}
	for _, shard := range a.Coverage.Covered {
		out.Covered = append(out.Covered, string(shard))
	}
	for _, missing := range a.Coverage.Missing {
		out.Missing = append(out.Missing, &peerpb.MissingShard{
			Shard: string(missing.Shard), Reason: string(missing.Reason),
		})
	}
	return out
}

// PartReplyFromProto decodes a peer's answer to a PartRequest. Coverage.Share is not
// sent and stays 0: the requesting node computes it from its own partition map. A
// row count that differs from the number of rows is malformed, because the reply has
// no other way to indicate that it was truncated.
func PartReplyFromProto(m *peerpb.PartReply) (api.SearchAnswer, error) {
	outcome, err := outcomeFromNumber(m.GetOutcome())
	if err != nil {
		return api.SearchAnswer{}, err
	}
	if uint64(m.RowCount) != uint64(len(m.Rows)) {
		return api.SearchAnswer{}, malformed("row_count", "differs from the number of rows")
	}
	if err := checkReason("reason", m.Reason); err != nil {
		return api.SearchAnswer{}, err
	}
	coverage, err := coverageFromProto(m)
	if err != nil {
		return api.SearchAnswer{}, err
	}
	return api.SearchAnswer{
		Outcome:      outcome,
		Reason:       api.Reason(m.Reason),
		Rows:         rowsFromProto(m.Rows),
		Coverage:     coverage,
		LimitReached: m.LimitReached,
		RetryAfter:   time.Duration(m.RetryAfterMs) * time.Millisecond,
	}, nil
}

// coverageFromProto decodes the coverage in a PartReply.
func coverageFromProto(m *peerpb.PartReply) (api.Coverage, error) {
	snapshot, err := snapshotFromProto(m.Snapshot)
	if err != nil {
		return api.Coverage{}, err
	}
	coverage := api.Coverage{Snapshot: snapshot}
	for _, shard := range m.Covered {
		if err := checkName("covered", shard); err != nil {
			return api.Coverage{}, err
		}
		coverage.Covered = append(coverage.Covered, api.ShardName(shard))
	}
	for _, missing := range m.Missing {
		if err := checkName("missing.shard", missing.GetShard()); err != nil {
			return api.Coverage{}, err
		}
		if err := checkReason("missing.reason", missing.Reason); err != nil {
			return api.Coverage{}, err
		}
		coverage.Missing = append(coverage.Missing, api.MissingShard{
			Shard: api.ShardName(missing.Shard), Reason: api.Reason(missing.Reason),
		})
	}
	return coverage, nil
}

// checkReason returns an error if a reason has other characters than lower-case
// letters and underscores or is longer than MaxNameBytes. The receiver uses reasons as
// metric labels and log values.
func checkReason(field, reason string) error {
	if len(reason) > MaxNameBytes {
		return malformed(field, "is too long")
	}
	for _, c := range []byte(reason) {
		if c != '_' && (c < 'a' || c > 'z') {
			return malformed(field, "is not an identifier")
		}
	}
	return nil
}
