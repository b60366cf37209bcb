package changes

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"github.com/baobabsail/baobabsail/core/changefeed"
	"github.com/baobabsail/baobabsail/entry/internal/nodeconn"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("changes")

var (
	// ErrSilent marks a source that has sent nothing for too long.
	ErrSilent = Errors.NewType("silent", errorx.Temporary())
	// ErrEnded marks a source that has ended or cannot be reached.
	ErrEnded = Errors.NewType("ended", errorx.Temporary())
	// ErrWire marks a message that cannot be encoded or decoded.
	ErrWire = Errors.NewType("wire")
)

const (
	// messagesPerSilence is how many messages a source sends in the time after which
	// a silent one is left.
	messagesPerSilence = 3
	// messageBytes bounds a message; one with all keys is the largest.
	messageBytes = 64 << 20
	// connectPause is the time between two attempts to connect to a source that starts.
	connectPause = 50 * time.Millisecond
)

// Source says whom to follow.
type Source struct {
	// Address is IP:port.
	Address string
	// From is the position of the follower.
	From changefeed.Position
	// Silence is the time without a message after which the source is left, First that
	// for the first message.
	Silence, First time.Duration
	// Starting says that the source may be about to start, so that a connection that
	// it refuses is opened again.
	Starting bool
}

// Follow passes the messages of a source on to take until that returns false, the
// source ends or falls silent, or ctx ends. The error says which; it is nil in the
// first and the last case.
func Follow(ctx context.Context, s Source, take func(changefeed.Batch, changefeed.Health) bool) error {
	pace := nodeconn.Pace{
		Backoff: backoff.Config{BaseDelay: connectPause, Multiplier: 1, MaxDelay: connectPause}, Timeout: s.First,
	}
	conn, err := nodeconn.New(s.Address, pace, grpc.MaxCallRecvMsgSize(messageBytes), grpc.WaitForReady(s.Starting))
	if err != nil {
		return ErrEnded.Wrap(err, "node %s", s.Address)
	}
	defer func() { _ = conn.Close() }() // only this call used it
	followed, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(s.First, func() { cancel(ErrSilent.New("node %s", s.Address)) })
	defer watchdog.Stop()
	err = receive(followed, conn, s, func(b changefeed.Batch, h changefeed.Health) bool {
		watchdog.Reset(s.Silence)
		return take(b, h)
	})
	switch {
	case err == nil || ctx.Err() != nil:
		return nil
	case errorx.IsOfType(context.Cause(followed), ErrSilent):
		return context.Cause(followed)
	}
	return ErrEnded.Wrap(err, "node %s", s.Address)
}

func receive(ctx context.Context, conn *grpc.ClientConn, s Source, take func(changefeed.Batch, changefeed.Health) bool) error {
	stream, err := nodepb.NewChangesClient(conn).Follow(ctx, &nodepb.FollowRequest{
		Era: s.From.Era, Revision: s.From.Revision, PaceUs: (s.Silence / messagesPerSilence).Microseconds(),
	})
	if err != nil {
		return err
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		batch, health, err := fromWire(m)
		if err != nil {
			return err
		}
		if !take(batch, health) {
			return nil
		}
	}
}
