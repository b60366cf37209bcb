package peerpb

import (
	"testing"

	"github.com/baobabsail/baobabsail/core/gossip"
	"google.golang.org/protobuf/proto"
)

// Guards against messages that exceed the limit on control traffic. core/gossip
// enforces the limit with an estimate of the encoded size, so the estimate must not be
// below the real size.
func TestSizeEstimate(t *testing.T) {
	member := gossip.Member{
		Name: "entry-0569", Life: 1 << 63, Address: "10.20.255.255:7400", DataCentre: "dc-9",
		Heartbeat: 1_800_000_000_000, Leaving: true,
	}
	refresh := gossip.Member{Life: 1 << 63, Heartbeat: 1_800_000_000_000}
	notice := gossip.Notice{
		Kind: gossip.NoticeConvicted, Replica: "alarms-7-b", Incarnation: 1 << 63, Fingerprint: 1 << 63,
		Crashes: 2, Version: 1_800_000_000_000, TimeToLive: 3_600_000_000_000,
	}
	m := gossip.Message{From: member}
	for range 20 {
		m.Members = append(m.Members, member, refresh)
		m.Notices = append(m.Notices, notice)
	}
	real := proto.Size(encode(m))
	estimate := gossip.EstimateSize(m)
	if estimate < real || estimate > real*5/4 {
		t.Errorf("estimate %d, want from 100%% to 125%% of the encoded size %d", estimate, real)
	}
}

func encode(m gossip.Message) *Message {
	out := &Message{From: encodeMember(m.From)}
	for _, member := range m.Members {
		out.Members = append(out.Members, encodeMember(member))
	}
	for _, n := range m.Notices {
		out.Notices = append(out.Notices, &Notice{
			Kind: uint32(n.Kind), Replica: string(n.Replica), Incarnation: uint64(n.Incarnation),
			Fingerprint: uint64(n.Fingerprint), Crashes: uint32(n.Crashes), Version: n.Version,
			TimeToLiveMs: uint32(n.TimeToLive.Milliseconds()),
		})
	}
	return out
}

func encodeMember(m gossip.Member) *Member {
	return &Member{
		Name: string(m.Name), Life: uint64(m.Life), Address: m.Address,
		DataCentre: string(m.DataCentre), Heartbeat: m.Heartbeat, Leaving: m.Leaving,
	}
}
