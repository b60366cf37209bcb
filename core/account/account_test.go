package account

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a key that is taken for one of another account or accepted although it is
// only similar to one.
func TestKeysBelongToOneAccount(t *testing.T) {
	d := NewDirectory([]Account{{Name: "one", Keys: []string{"k1", "shared"}}, {Name: "two", Keys: []string{"k2", "shared", ""}}, {Name: "none"}})
	for key, want := range map[string]string{"k1": "one", "k2": "two", "shared": "one"} {
		if a := d.ByKey([]byte(key)); a == nil || a.Name != want {
			t.Errorf("key %q belongs to %v, want %s", key, a, want)
		}
	}
	for _, key := range []string{"", "k", "k11", "K1", "none", "one"} {
		if a := d.ByKey([]byte(key)); a != nil {
			t.Errorf("key %q belongs to %s, want none", key, a.Name)
		}
	}
	if d.ByName("none") == nil || d.ByName("four") != nil || d.Len() != 3 {
		t.Error("accounts are not found by name")
	}
}

// largeDirectory has 1,000 accounts of ten keys each.
func largeDirectory() (*Directory, []byte) {
	accounts := make([]Account, 1000)
	for i := range accounts {
		accounts[i].Name = fmt.Sprint("account-", i)
		for k := range 10 {
			accounts[i].Keys = append(accounts[i].Keys, fmt.Sprintf("key-%04d-%d-0123456789", i, k))
		}
	}
	return NewDirectory(accounts), []byte("key-0500-5-0123456789")
}

// Guards against a lookup that allocates or takes longer than 200 ns with 10,000 keys.
func TestLookupIsCheap(t *testing.T) {
	d, key := largeDirectory()
	if n := testing.AllocsPerRun(100, func() { d.ByKey(key) }); n != 0 {
		t.Errorf("a lookup allocates %v times", n)
	}
	const lookups, most = 100_000, 200 * time.Nanosecond
	fastest := time.Hour
	for range 5 { // the fastest run is the one least disturbed by other processes
		start := time.Now()
		for range lookups {
			d.ByKey(key)
		}
		fastest = min(fastest, time.Since(start)/lookups)
	}
	if fastest > most {
		t.Errorf("a lookup takes %v, want at most %v", fastest, most)
	}
}

func BenchmarkByKey(b *testing.B) {
	d, key := largeDirectory()
	b.ReportAllocs()
	for b.Loop() {
		d.ByKey(key)
	}
}
