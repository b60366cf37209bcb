package changes

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc"

	"github.com/baobabsail/baobabsail/core/changefeed"
	"github.com/baobabsail/baobabsail/entry/internal/faultproxy"
)

// serveFeed serves a feed at a loopback address until the test ends and returns the
// address.
func serveFeed(t *testing.T, f *Feed, address string) string {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	Register(server, f)
	go func() { _ = server.Serve(listener) }() // ends with the test
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func source(address string, from changefeed.Position) Source {
	return Source{Address: address, From: from, SilenceTimeout: 5 * time.Second, FirstMessageTimeout: 5 * time.Second}
}

func position(revision int64) changefeed.Position {
	return changefeed.Position{Era: 1, Revision: revision}
}

// manyKeys returns n keys of the size and form of replica keys.
func manyKeys(n int) []changefeed.Change {
	var out []changefeed.Change
	for i := range n {
		value := fmt.Sprintf(`{"name":"s%03d","host_port":"10.0.0.%d:80","data_centre":"dc-a","build":"v1","capacity":2,"health":"ok"}`, i, i%250)
		out = append(out, changefeed.Change{Key: fmt.Sprintf("replicas/i-%05d", i), Value: []byte(value), Revision: int64(i + 1)})
	}
	return out
}

// Guards against a follower that receives keys or changes that differ from those of its
// source, both in the initial complete batch and in later changes.
func TestFollowerReceivesAllKeysAndChanges(t *testing.T) {
	f := NewFeed()
	address := serveFeed(t, f, "127.0.0.1:0")
	keys := manyKeys(2000)
	f.Replace(keys, position(2000))
	f.SetHealth(changefeed.Health{Age: time.Second, Direct: true})
	var got []changefeed.Change
	messages := 0
	err := Follow(context.Background(), source(address, changefeed.Position{}), func(b changefeed.Batch, h changefeed.Health) bool {
		messages++
		got = append(got, b.Changes...)
		if messages == 1 {
			if !b.Complete || b.To != position(2000) || !h.Direct || h.Failing || h.Age < time.Second {
				t.Errorf("first message: complete %v, to %+v, %+v", b.Complete, b.To, h)
			}
			f.Append(changefeed.Batch{Changes: []changefeed.Change{{Key: "config", Revision: 2001, Deleted: true}}, To: position(2001)})
		}
		return len(got) < 2001
	})
	if err != nil || len(got) != 2001 {
		t.Fatalf("%d changes, error %v", len(got), err)
	}
	for i, c := range keys {
		if got[i].Key != c.Key || string(got[i].Value) != string(c.Value) || got[i].Revision != c.Revision {
			t.Fatalf("change %d is %+v, want %+v", i, got[i], c)
		}
	}
	if last := got[2000]; last.Key != "config" || !last.Deleted {
		t.Errorf("last change %+v", last)
	}
}

// Guards against uncompressed complete batches, which occupy the network link of a source
// for a second when all followers of a data centre start at once (1,400 keys, 50
// followers), and against compressing the same keys once per follower.
func TestAllKeysAreSentPacked(t *testing.T) {
	f := NewFeed()
	f.Replace(manyKeys(1400), position(1400))
	m, _ := f.messageSince(changefeed.Position{})
	first, err := f.toWire(m)
	if err != nil {
		t.Fatal(err)
	}
	plain := 0
	for _, c := range m.Changes {
		plain += len(c.Key) + len(c.Value)
	}
	if len(first.GetPacked()) == 0 || len(first.GetChanges()) != 0 || 4*len(first.GetPacked()) > plain {
		t.Errorf("%d bytes packed, %d bytes uncompressed", len(first.GetPacked()), plain)
	}
	second, err := f.toWire(m)
	if err != nil || &second.GetPacked()[0] != &first.GetPacked()[0] {
		t.Error("the keys are compressed again for the next follower")
	}
}

// Guards against a source that has just started and sends an empty complete batch: its
// followers would drop all keys.
func TestUnpopulatedSourceSendsNothing(t *testing.T) {
	f := NewFeed()
	address := serveFeed(t, f, "127.0.0.1:0")
	time.AfterFunc(50*time.Millisecond, func() { f.Replace(manyKeys(1), position(1)) })
	err := Follow(context.Background(), source(address, changefeed.Position{}), func(b changefeed.Batch, _ changefeed.Health) bool {
		if len(b.Changes) != 1 {
			t.Errorf("%d keys", len(b.Changes))
		}
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a follower that does not leave a source which is silent, shuts down or
// cannot be reached, and against one that gives up on a source which is still starting.
func TestFollowerLeavesSource(t *testing.T) {
	ignore := func(changefeed.Batch, changefeed.Health) bool { return true }
	t.Run("silent", func(t *testing.T) {
		s := source(serveFeed(t, NewFeed(), "127.0.0.1:0"), changefeed.Position{})
		s.FirstMessageTimeout = 30 * time.Millisecond
		if err := Follow(context.Background(), s, ignore); !errorx.IsOfType(err, ErrSilent) {
			t.Errorf("error %v", err)
		}
	})
	t.Run("shutdown", func(t *testing.T) {
		f := NewFeed()
		f.Replace(nil, position(1))
		err := Follow(context.Background(), source(serveFeed(t, f, "127.0.0.1:0"), position(1)), func(changefeed.Batch, changefeed.Health) bool {
			f.Close()
			return true
		})
		if !errorx.IsOfType(err, ErrEnded) || !strings.Contains(err.Error(), "shuts down") {
			t.Errorf("error %v", err)
		}
	})
	// The loopback address depends on the process ID, so that no other process takes the
	// port while nothing listens on it.
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.7.1:0", 1+os.Getpid()%250))
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	t.Run("unreachable", func(t *testing.T) {
		if err := Follow(context.Background(), source(address, changefeed.Position{}), ignore); !errorx.IsOfType(err, ErrEnded) {
			t.Errorf("error %v", err)
		}
	})
	t.Run("starting", func(t *testing.T) {
		f := NewFeed()
		f.Replace(nil, position(1))
		s := source(address, changefeed.Position{})
		s.WaitForReady = true
		time.AfterFunc(60*time.Millisecond, func() { serveFeed(t, f, address) })
		if err := Follow(context.Background(), s, func(changefeed.Batch, changefeed.Health) bool { return false }); err != nil {
			t.Errorf("error %v", err)
		}
	})
}

// Guards against a follower whose data is older than it believes: on a slow connection, messages
// come at the usual interval, and each states the age that the data had when it was sent.
func TestFollowerLeavesASlowSource(t *testing.T) {
	f := NewFeed()
	f.Replace(nil, position(1))
	proxy, err := faultproxy.New(serveFeed(t, f, "127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	const timeout = 600 * time.Millisecond
	s := source(proxy.Address(), position(1))
	s.SilenceTimeout = timeout
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var delay time.Duration
	err = Follow(ctx, s, func(changefeed.Batch, changefeed.Health) bool {
		// Shorter than the timeout in one direction, longer in both. It grows slowly, so that no
		// two messages are further apart than the timeout.
		delay = min(delay+timeout/20, 2*timeout/3)
		proxy.Inject(faultproxy.Fault{Delay: delay})
		return true
	})
	if !errorx.IsOfType(err, ErrSilent) {
		t.Errorf("error %v, want a source that is left because it is slow", err)
	}
}
