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

// cachedVersions bounds the versions whose rows a Dataset keeps. Targets hold a
// few versions at a time, and older rows can be generated again.
const cachedVersions = 8

// HashKey returns the position of a row key in the hash range 0..2^32-1: the
// upper half of its xxhash64.
func HashKey(key string) uint32 { return uint32(xxhash.Sum64String(key) >> 32) }

// Dataset is the sample data of one service. Its rows depend only on the seed,
// the service, the row count and the index version, so that all replicas of a
// service and an oracle see the same rows.
type Dataset struct {
	seed    uint64
	service string
	count   int

	mu       sync.Mutex
	versions map[uint64][]placedRow
}

type placedRow struct {
	hash uint32
	row  api.Row
}

// NewDataset returns the data of a service with at most count rows per version.
func NewDataset(seed uint64, service string, count int) *Dataset {
	return &Dataset{seed: seed, service: service, count: count, versions: make(map[uint64][]placedRow)}
}

// Rows returns the rows of a version whose keys hash into first..last, in
// ascending order of hash. The caller must not change them.
func (d *Dataset) Rows(version uint64, first, last uint32) []api.Row {
	all := d.version(version)
	from, _ := slices.BinarySearchFunc(all, first, func(r placedRow, h uint32) int { return cmp.Compare(r.hash, h) })
	var out []api.Row
	for _, r := range all[from:] {
		if r.hash > last {
			break
		}
		out = append(out, r.row)
	}
	return out
}

func (d *Dataset) version(version uint64) []placedRow {
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

func (d *Dataset) generate(version uint64) []placedRow {
	rows := make([]placedRow, 0, d.count)
	for i := range d.count {
		row, ok := d.row(i, version)
		if ok {
			rows = append(rows, placedRow{hash: HashKey(row.Key), row: row})
		}
	}
	slices.SortFunc(rows, func(a, b placedRow) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.row.Key, b.row.Key))
	})
	return rows
}

// row generates one row. The reading changes every fourth version, at different
// versions for neighbouring rows; one row in 32 is absent. The version field
// lets an oracle see an answer that mixes versions.
func (d *Dataset) row(i int, version uint64) (api.Row, bool) {
	content := (version + uint64(i)%4) / 4
	rng := rand.New(rand.NewPCG(d.seed^xxhash.Sum64String(d.service), uint64(i)<<24^content))
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

// Search evaluates a query over the rows of one hash range at a version. It
// returns the rows in the query's order and whether more rows match.
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
