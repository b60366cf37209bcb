package convert

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/wire/peerpb"
)

// Part is a decoded request of a peer to run some shards of a query.
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

// listedFromProto decodes an entry of the member list. Messages to large groups
// refresh most members by life and heartbeat only, without name and address.
func listedFromProto(m *peerpb.Member) (gossip.Member, error) {
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
		Crashes:      count(n.Crashes),
		Version:      n.Version,
		TimeToLiveMs: millis(n.TimeToLive),
	}
}

// noticeFromProto decodes a notice. known is false for a kind that this version
// does not have: a newer node may send it during a rolling upgrade.
func noticeFromProto(m *peerpb.Notice) (notice gossip.Notice, known bool, err error) {
	kind := m.GetKind()
	if kind == 0 {
		return gossip.Notice{}, false, malformed("notice.kind", "is missing")
	}
	if kind > uint32(gossip.NoticeEndedToo) {
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

// NoticesFromProto decodes notices, without those of a kind that this version does not
// have.
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
// the core checks them against their digests.
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
		decoded, err := listedFromProto(member)
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

// PartRequestToProto encodes a request to run a part of a query. Search.Pin
// must be set.
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

// PartRequestFromProto decodes a peer's request to run a part of a query.
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
		Deadline: deadlineFrom(m.DeadlineMs, now),
	}, nil
}

// PartReplyToProto encodes the answer to a part of a query.
func PartReplyToProto(a api.SearchAnswer) *peerpb.PartReply {
	out := &peerpb.PartReply{
		Outcome:      uint32(a.Outcome),
		Reason:       string(a.Reason),
		Snapshot:     snapshotToProto(a.Coverage.Snapshot),
		RowCount:     count(len(a.Rows)),
		Rows:         rowsToProto(a.Rows),
		LimitReached: a.LimitReached,
		RetryAfterMs: millisUp(a.RetryAfter),
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

// PartReplyFromProto decodes a peer's answer to a part of a query.
// Coverage.Share is not transmitted and stays 0: the asking node computes it
// over its own partition map. A row count that differs from the number of rows
// is malformed, because the reply has no other way to state a truncation.
func PartReplyFromProto(m *peerpb.PartReply) (api.SearchAnswer, error) {
	outcome, err := outcomeFrom(m.GetOutcome())
	if err != nil {
		return api.SearchAnswer{}, err
	}
	if uint64(m.RowCount) != uint64(len(m.Rows)) {
		return api.SearchAnswer{}, malformed("row_count", "differs from the number of rows")
	}
	if err := checkReason("reason", m.Reason); err != nil {
		return api.SearchAnswer{}, err
	}
	coverage, err := partCoverage(m)
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

func partCoverage(m *peerpb.PartReply) (api.Coverage, error) {
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

// checkReason reports a reason that is not a short lower-case identifier.
// Reasons become metric labels and log values at the receiver.
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
