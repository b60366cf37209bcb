package entry

import (
	"context"

	"github.com/baobabsail/baobabsail/core/event"
	"github.com/baobabsail/baobabsail/entry/driver"
	"github.com/baobabsail/baobabsail/entry/etcdstore"
	"github.com/baobabsail/baobabsail/entry/settings"
	"github.com/baobabsail/baobabsail/entry/store"
	"github.com/baobabsail/baobabsail/entry/vmlist"
)

// connectPlatform creates the platform clients that o does not supply.
func connectPlatform(s *settings.Settings, o *Options) error {
	if o.Store == nil {
		config := etcdstore.Settings{CallTimeout: driver.DefaultStoreTimeout}
		for _, u := range s.Platform.Stores {
			config.Endpoints = append(config.Endpoints, string(u))
		}
		client, err := etcdstore.New(config)
		if err != nil {
			return err
		}
		o.Store = platformStore{client, o.Log.Warn}
	}
	if o.VMs == nil && s.Platform.VMList != "" {
		client, err := vmlist.New(vmlist.Settings{Endpoint: string(s.Platform.VMList)})
		if err != nil {
			return err
		}
		o.VMs = client
	}
	return nil
}

// platformStore adapts a store.Store to driver.Store and logs its errors.
type platformStore struct {
	inner store.Store
	warn  func(event string, pairs ...any)
}

// Get implements driver.Store.
func (p platformStore) Get(ctx context.Context, key string) event.StoreRead {
	return p.readEvent(key, p.inner.Get(ctx, key))
}

// Revision implements driver.Store.
func (p platformStore) Revision(ctx context.Context, key string) event.StoreRead {
	return p.readEvent(key, p.inner.Revision(ctx, key))
}

func (p platformStore) readEvent(key string, r store.Read) event.StoreRead {
	if r.Err != nil {
		p.warn("store_read_failed", "key", key, "error", r.Err.Error())
	}
	return event.StoreRead{Result: r.Result, Value: r.Value, Revision: r.Revision}
}

// CompareAndSwap implements driver.Store.
func (p platformStore) CompareAndSwap(ctx context.Context, key string, value []byte, ifRevision int64) event.StoreWritten {
	w := p.inner.CompareAndSwap(ctx, key, value, ifRevision)
	if w.Err != nil {
		p.warn("store_write_failed", "key", key, "error", w.Err.Error())
	}
	return event.StoreWritten{Result: w.Result, Revision: w.Revision}
}

// Watch implements driver.Store. It returns when the key is deleted; the node then reads
// the key and finds it absent.
func (p platformStore) Watch(ctx context.Context, key string, after int64, onChange func(value []byte, revision int64)) {
	watch, err := p.inner.Watch(ctx, key, after)
	if err != nil {
		p.warn("store_watch_failed", "key", key, "error", err.Error())
		return
	}
	defer watch.Close()
	for {
		change, err := watch.Next()
		if err != nil || change.Deleted {
			return
		}
		onChange(change.Value, change.Revision)
	}
}
