package changes

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/baobabsail/baobabsail/core/changefeed"
	"github.com/baobabsail/baobabsail/wire/nodepb"
)

// packedKeysCache caches the encoded and gzip-compressed message with all keys. After a
// power loss many followers request all keys at once and the network link of their source
// is the bottleneck.
type packedKeysCache struct {
	mu       sync.Mutex
	position changefeed.Position
	packed   []byte
}

// pack encodes and compresses a complete batch, or returns the cached result for the same
// position.
func (p *packedKeysCache) pack(b changefeed.Batch) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && p.position == b.To {
		return p.packed, nil
	}
	plain, err := proto.Marshal(&nodepb.ChangeBatch{Changes: changesToWire(b.Changes)})
	if err != nil {
		return nil, ErrWire.Wrap(err, "cannot encode changes")
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, ErrWire.Wrap(err, "cannot compress changes")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, ErrWire.Wrap(err, "cannot compress changes")
	}
	if err := w.Close(); err != nil {
		return nil, ErrWire.Wrap(err, "cannot compress changes")
	}
	p.position, p.packed = b.To, out.Bytes()
	return p.packed, nil
}

// unpack decompresses and decodes the result of pack.
func unpack(packed []byte) ([]*nodepb.StoreChange, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, ErrWire.Wrap(err, "cannot read packed changes")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return nil, ErrWire.Wrap(err, "cannot read packed changes")
	}
	var m nodepb.ChangeBatch
	if err := proto.Unmarshal(plain, &m); err != nil {
		return nil, ErrWire.Wrap(err, "cannot decode packed changes")
	}
	return m.GetChanges(), nil
}

// toWire encodes a message; a complete batch is sent packed.
func (f *Feed) toWire(m *message) (*nodepb.ChangeBatch, error) {
	out := &nodepb.ChangeBatch{
		Era: m.To.Era, Revision: m.To.Revision, Complete: m.Complete, Gapped: m.Gapped, WaitedUs: m.Waited.Microseconds(),
		AgeUs: m.Age.Microseconds(), Failing: m.Failing, Direct: m.Direct,
	}
	if !m.Complete {
		out.Changes = changesToWire(m.Changes)
		return out, nil
	}
	packed, err := f.packedKeys.pack(m.Batch)
	out.Packed = packed
	return out, err
}

func changesToWire(changes []changefeed.Change) []*nodepb.StoreChange {
	out := make([]*nodepb.StoreChange, len(changes))
	for i, c := range changes {
		out[i] = &nodepb.StoreChange{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
	}
	return out
}

// fromWire decodes a message into its batch and the health of the source.
func fromWire(m *nodepb.ChangeBatch) (changefeed.Batch, changefeed.Health, error) {
	b := changefeed.Batch{
		To:       changefeed.Position{Era: m.GetEra(), Revision: m.GetRevision()},
		Complete: m.GetComplete(), Gapped: m.GetGapped(), Waited: time.Duration(m.GetWaitedUs()) * time.Microsecond,
	}
	h := changefeed.Health{
		Age: time.Duration(m.GetAgeUs()) * time.Microsecond, Failing: m.GetFailing(), Direct: m.GetDirect(),
	}
	wire := m.GetChanges()
	if len(m.GetPacked()) > 0 {
		var err error
		if wire, err = unpack(m.GetPacked()); err != nil {
			return b, h, err
		}
	}
	for _, c := range wire {
		b.Changes = append(b.Changes, changefeed.Change{
			Key: c.GetKey(), Value: c.GetValue(), Revision: c.GetRevision(), Deleted: c.GetDeleted(),
		})
	}
	return b, h, nil
}
