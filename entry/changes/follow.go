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
	// ErrSilent marks a source that sent no message within the timeout.
	ErrSilent = Errors.NewType("silent", errorx.Temporary())
	// ErrEnded marks a source that ended the stream or cannot be reached.
	ErrEnded = Errors.NewType("ended", errorx.Temporary())
	// ErrWire marks a message that cannot be encoded or decoded.
	ErrWire = Errors.NewType("wire")
)

const (
	// maxMessageBytes limits the size of a message, compressed or not. The largest one
	// holds all keys.
	maxMessageBytes = 64 << 20
	// connectRetryInterval is the time between two attempts to connect to a source that
	// is starting.
	connectRetryInterval = 50 * time.Millisecond
)

// Source describes the node to follow and the timeouts.
type Source struct {
	// Address is IP:port.
	Address string
	// From is the follower's position; the source sends the changes after it.
	From changefeed.Position
	// SilenceTimeout limits the time between two messages, FirstMessageTimeout the time
	// until the first one. Follow returns ErrSilent when one of them expires.
	SilenceTimeout, FirstMessageTimeout time.Duration
	// WaitForReady means that the source may still be starting: a refused connection is
	// retried until FirstMessageTimeout expires.
	WaitForReady bool
}

// Follow calls handle with each message of a source until handle returns false, ctx is done,
// the source ends the stream (ErrEnded), sends nothing within a timeout or is slow (ErrSilent).
// The error is nil in the first two cases.
func Follow(ctx context.Context, s Source, handle func(changefeed.Batch, changefeed.Health) bool) error {
	params := nodeconn.ConnectParams{
		Backoff: backoff.Config{BaseDelay: connectRetryInterval, Multiplier: 1, MaxDelay: connectRetryInterval}, Timeout: s.FirstMessageTimeout,
	}
	conn, err := nodeconn.New(s.Address, params, grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.WaitForReady(s.WaitForReady))
	if err != nil {
		return ErrEnded.Wrap(err, "node %s", s.Address)
	}
	defer nodeconn.Close(conn)
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(s.FirstMessageTimeout, func() { cancel(ErrSilent.New("node %s", s.Address)) })
	defer watchdog.Stop()
	latency := &latencyCheck{client: nodepb.NewNodeClient(conn), timeout: s.SilenceTimeout}
	go latency.run(streamCtx, func() { cancel(ErrSilent.New("node %s is slow", s.Address)) })
	err = receiveMessages(streamCtx, conn, s, func(b changefeed.Batch, h changefeed.Health) bool {
		watchdog.Reset(s.SilenceTimeout)
		h.Age += latency.last()
		return handle(b, h)
	})
	switch {
	case err == nil || ctx.Err() != nil:
		return nil
	case errorx.IsOfType(context.Cause(streamCtx), ErrSilent):
		return context.Cause(streamCtx)
	}
	return ErrEnded.Wrap(err, "node %s", s.Address)
}

func receiveMessages(ctx context.Context, conn *grpc.ClientConn, s Source, handle func(changefeed.Batch, changefeed.Health) bool) error {
	stream, err := nodepb.NewChangesClient(conn).Follow(ctx, &nodepb.FollowRequest{
		Era: s.From.Era, Revision: s.From.Revision, PaceUs: (s.SilenceTimeout / changefeed.MessagesPerTimeout).Microseconds(),
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
		if !handle(batch, health) {
			return nil
		}
	}
}
