package relay

import (
	"testing"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/forward"
	"github.com/baobabsail/baobabsail/core/gossip"
	"github.com/baobabsail/baobabsail/core/routing"
)

// Guards against a quarantine decision that reaches other nodes only through the store: a
// node that received the notice directly refuses the request (BUDGET).
func TestNotifiedNodeRefusesQuarantinedRequest(t *testing.T) {
	loop, address := serveLoop(t)
	routes := []routing.Route{{Name: "one", Host: "h", Prefix: "/", Services: []routing.WeightedService{{Service: "s", Weight: 1}}, MaxAttempts: 1}}
	loop.Post(forward.TableRead{Table: routing.NewTable(1, routes, []routing.Service{{Name: "s"}}, routing.Limits{})})
	loop.Post(forward.ReplicaRegistered{Registration: forward.Registration{Replica: "r", Service: "s", Address: "127.0.0.1:1", Slots: 1}})

	sender := NewNodes(&eventRecorder{}, testHeaders, testCallBytes)
	defer sender.Close()
	notice := gossip.Notice{Kind: gossip.NoticeConvicted, Replica: "r", Fingerprint: 5, Crashes: 2, Version: 1, TimeToLive: time.Hour}
	sender.queueNotices(forward.SendNotices{Addresses: []string{address}, Notices: []gossip.Notice{notice}})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		id, answers := loop.register()
		loop.Post(forward.Arrived{Request: id, CallerTimeout: time.Second, Message: &forward.Message{
			Host: "h", Path: "/x", Fingerprint: 5, Wire: &wireRequest{},
		}})
		if a := <-answers; a.Outcome == api.NotRun && a.Reason == api.ReasonQuarantined {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the request is not refused")
		}
	}
}

// Guards against a failure to send notices to a node that is not reported anywhere.
func TestFailedNotificationIsReported(t *testing.T) {
	events := &eventRecorder{}
	n := NewNodes(events, testHeaders, testCallBytes)
	defer n.Close()
	n.queueNotices(forward.SendNotices{Addresses: []string{"127.0.0.1:1"}, Notices: []gossip.Notice{{Kind: gossip.NoticeCleared, Version: 1}}})
	if ev, ok := events.wait(t, 0).(forward.NoticesUndelivered); !ok || ev.Address != "127.0.0.1:1" || ev.Notices != 1 || ev.Error == "" {
		t.Errorf("event %+v", ev)
	}
}

type noPublisher struct{}

func (noPublisher) Publish([]gossip.Notice) {}
