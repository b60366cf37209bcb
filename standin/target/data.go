package target

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
)

// cachedVersions is the maximum number of versions whose rows a Dataset keeps in
// memory. Targets hold only a few versions at a time, and the rows of older
// versions can be generated again.
const cachedVersions = 8

// HashKey returns the position of a row key in the hash range 0..2^32-1: the
// upper half of its xxhash64.
func HashKey(key string) uint32 { return uint32(xxhash.Sum64String(key) >> 32) }

// Dataset is the sample data of one service. Its rows depend only on the seed,
// the service, the row count and the index version, so all replicas of a service
// and a test oracle see the same rows.
type Dataset struct {
	seed    uint64
	service string
	count   int

	mu       sync.Mutex
	versions map[uint64][]hashedRow
}

// hashedRow is a row with the hash of its key.
type hashedRow struct {
	hash uint32
	row  api.Row
}

// NewDataset returns the sample data of a service with at most count rows per version.
func NewDataset(seed uint64, service string, count int) *Dataset {
	return &Dataset{seed: seed, service: service, count: count, versions: make(map[uint64][]hashedRow)}
}

// Rows returns the rows of a version whose keys hash into first..last, in
// ascending order of hash. The caller must not modify them.
func (d *Dataset) Rows(version uint64, first, last uint32) []api.Row {
	all := d.versionRows(version)
	from, _ := slices.BinarySearchFunc(all, first, func(r hashedRow, h uint32) int { return cmp.Compare(r.hash, h) })
	var out []api.Row
	for _, r := range all[from:] {
		if r.hash > last {
			break
		}
		out = append(out, r.row)
	}
	return out
}

// versionRows returns all rows of a version, from the cache or newly generated. If
// the cache is full, it evicts the oldest versions.
func (d *Dataset) versionRows(version uint64) []hashedRow {
	d.mu.Lock()
	defer d.mu.Unlock()
	if rows, ok := d.versions[version]; ok {
		return rows
	}
	rows := d.generate(version)
	d.versions[version] = rows
	for len(d.versions) > cachedVersions {
		oldest := version
		for v := range d.versions {
			oldest = min(oldest, v)
		}
		delete(d.versions, oldest)
	}
	return rows
}

func (d *Dataset) generate(version uint64) []hashedRow {
	rows := make([]hashedRow, 0, d.count)
	for i := range d.count {
		row, ok := d.generateRow(i, version)
		if ok {
			rows = append(rows, hashedRow{hash: HashKey(row.Key), row: row})
		}
	}
	slices.SortFunc(rows, func(a, b hashedRow) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.row.Key, b.row.Key))
	})
	return rows
}

// generateRow generates row i at a version, or returns false if the row is absent,
// as about one row in 32 is. The state and the reading change every fourth version, at
// different versions for neighbouring rows. The version field lets a test oracle
// detect an answer that mixes versions.
func (d *Dataset) generateRow(i int, version uint64) (api.Row, bool) {
	contentVersion := (version + uint64(i)%4) / 4
	rng := rand.New(rand.NewPCG(d.seed^xxhash.Sum64String(d.service), uint64(i)<<24^contentVersion))
	if rng.IntN(32) == 0 {
		return api.Row{}, false
	}
	kinds := []string{"piezometer", "seepage", "survey", "inclinometer"}
	states := []string{"normal", "normal", "normal", "watch", "alarm"}
	return api.Row{
		Key: fmt.Sprintf("%s/%06d", d.service, i),
		Fields: []api.Field{
			{Name: "site", Value: fmt.Sprintf("site-%02d", i%40)},
			{Name: "kind", Value: kinds[i%len(kinds)]},
			{Name: "number", Value: strconv.Itoa(i)},
			{Name: "state", Value: states[rng.IntN(len(states))]},
			{Name: "reading", Value: strconv.FormatFloat(rng.Float64()*1000, 'f', 3, 64)},
			{Name: "version", Value: strconv.FormatUint(version, 10)},
		},
	}, true
}

// Search evaluates a query on the rows of one hash range at a version. It returns
// the rows in the query's order, and whether the limit left out matching rows.
func (d *Dataset) Search(q api.Query, version uint64, first, last uint32) ([]api.Row, bool) {
	var found []api.Row
	for _, row := range d.Rows(version, first, last) {
		if Matches(row, q.Conditions) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b api.Row) int { return api.CompareRows(&q, &a, &b) })
	if q.Limit > 0 && len(found) > q.Limit {
		return found[:q.Limit], true
	}
	return found, false
}

// Matches reports whether all conditions hold for a row.
func Matches(row api.Row, conditions []api.Condition) bool {
	for _, c := range conditions {
		if !c.Matches(&row) {
			return false
		}
	}
	return true
}
