package etcdstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/baobabsail/baobabsail/entry/store"
)

// Watch implements store.Store. It requests all changes from revision after+1,
// also if after is 0, so that no change is lost. If the store has compacted that
// revision, it ends the watch. The watch has no timeout: the caller must close a
// watch that it considers stalled.
func (c *Client) Watch(ctx context.Context, key string, after int64) (store.Watch, error) {
	ctx, cancel := context.WithCancel(ctx)
	request := watchRequest{Create: watchCreate{Key: []byte(key), StartRevision: after + 1}}
	response, _, err := c.send(ctx, "/v3/watch", request)
	if err != nil {
		cancel()
		return nil, err
	}
	body := &messageReader{reader: response.Body, limit: c.messageLimit()}
	return &watch{
		key: key, after: after, cancel: cancel, response: response, body: body,
		decoder: json.NewDecoder(body),
	}, nil
}

// watch is a store.Watch that decodes a stream of JSON messages.
type watch struct {
	key string
	// after is the newest revision that Next has returned, or the start.
	after    int64
	cancel   context.CancelFunc
	response *http.Response
	body     *messageReader
	decoder  *json.Decoder
	// pending holds received changes that Next has not returned yet.
	pending []store.Change
}

// Next implements store.Watch.
func (w *watch) Next() (store.Change, error) {
	for len(w.pending) == 0 {
		if err := w.receive(); err != nil {
			w.Close()
			return store.Change{}, err
		}
	}
	change := w.pending[0]
	w.pending = w.pending[1:]
	w.after = change.Revision
	return change, nil
}

// Close implements store.Watch. Cancelling the request also unblocks a pending
// read of the body.
func (w *watch) Close() {
	w.cancel()
	_ = w.response.Body.Close()
}

// receive reads one message and appends its changes to pending. It skips events
// up to the revision after.
func (w *watch) receive() error {
	w.body.reset()
	var message watchMessage
	if err := w.decoder.Decode(&message); err != nil {
		if w.body.exceeded {
			return store.ErrProtocol.New("watch message exceeds %d bytes", w.body.limit)
		}
		return store.ErrWatchEnded.Wrap(err, "watch %q", w.key)
	}
	if message.Error != nil {
		return store.ErrWatchEnded.New("watch %q: %s", w.key, message.Error.Message)
	}
	result := message.Result
	if result == nil {
		return store.ErrProtocol.New("watch message has neither result nor error")
	}
	if result.Canceled || result.CompactRevision > 0 {
		return store.ErrWatchEnded.New("watch %q was cancelled: %s (compacted at revision %d)", w.key, result.CancelReason, result.CompactRevision)
	}
	for _, e := range result.Events {
		if string(e.Kv.Key) != w.key {
			return store.ErrProtocol.New("watch of %q reports key %q", w.key, e.Kv.Key)
		}
		if e.Kv.ModRevision <= w.after {
			continue
		}
		w.pending = append(w.pending, store.Change{Value: e.Kv.Value, Revision: e.Kv.ModRevision, Deleted: e.Type == "DELETE"})
	}
	return nil
}

// messageReader limits the bytes read for one message of a watch. reset starts
// the next message.
type messageReader struct {
	reader    io.Reader
	limit     int64
	bytesRead int64
	exceeded  bool
}

func (b *messageReader) reset() { b.bytesRead = 0 }

func (b *messageReader) Read(p []byte) (int, error) {
	if b.bytesRead >= b.limit {
		b.exceeded = true
		return 0, io.ErrUnexpectedEOF
	}
	if left := b.limit - b.bytesRead; int64(len(p)) > left {
		p = p[:left]
	}
	n, err := b.reader.Read(p)
	b.bytesRead += int64(n)
	return n, err
}
