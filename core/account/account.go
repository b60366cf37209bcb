// Package account holds the client accounts of a configuration and finds the account
// that a key belongs to.
package account

import (
	"crypto/subtle"
	"hash/maphash"

	"github.com/baobabsail/baobabsail/core/api"
)

// Account is a client account: a customer whose requests share keys, a priority and a quota.
type Account struct {
	Name string
	// Priority orders the accounts when capacity is short; 0 is served first.
	Priority int
	// PerSecond and Burst are the quota over all nodes: requests per second and the number
	// of requests that may exceed that rate at once. PerSecond 0 means no quota.
	PerSecond float64
	Burst     float64
	// Keys authenticate the requests of the account.
	Keys []string
	// HomeRegions are the only regions that requests may reach; empty for all regions.
	HomeRegions []api.Region
}

// Limited reports whether the account has a quota.
func (a *Account) Limited() bool { return a != nil && a.PerSecond > 0 }

// Directory finds accounts by key and by name. It is immutable.
type Directory struct {
	// seed makes the hash of a key unpredictable, so that the time of a lookup tells nothing
	// about the stored keys.
	seed   maphash.Seed
	byHash map[uint64][]entry
	byName map[string]*Account
}

// entry is one key of an account.
type entry struct {
	key     []byte
	account *Account
}

// NewDirectory returns a directory of the given accounts. If two accounts share a key, the
// first one has it. An empty key belongs to nobody.
func NewDirectory(accounts []Account) *Directory {
	d := &Directory{
		seed: maphash.MakeSeed(), byHash: make(map[uint64][]entry, len(accounts)), byName: make(map[string]*Account, len(accounts)),
	}
	for i := range accounts {
		a := &accounts[i]
		d.byName[a.Name] = a
		for _, key := range a.Keys {
			if key == "" {
				continue // a request without a key must not match it
			}
			hash := maphash.String(d.seed, key)
			d.byHash[hash] = append(d.byHash[hash], entry{key: []byte(key), account: a})
		}
	}
	return d
}

// All returns the accounts in no particular order.
func (d *Directory) All() []*Account {
	if d == nil {
		return nil
	}
	all := make([]*Account, 0, len(d.byName))
	for _, a := range d.byName {
		all = append(all, a)
	}
	return all
}

// Len returns the number of accounts.
func (d *Directory) Len() int { return len(d.byName) }

// ByKey returns the account that a key belongs to, or nil. Keys are compared in constant time.
func (d *Directory) ByKey(key []byte) *Account {
	for _, e := range d.byHash[maphash.Bytes(d.seed, key)] {
		if subtle.ConstantTimeCompare(e.key, key) == 1 {
			return e.account
		}
	}
	return nil
}

// ByName returns the account with a name, or nil.
func (d *Directory) ByName(name string) *Account { return d.byName[name] }
