package testbed

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabsail/baobabsail/core/api"
)

// tagOf returns the tag that a query searches for.
func tagOf(q api.Query) string {
	if len(q.Conditions) == 0 {
		return ""
	}
	return q.Conditions[0].Value
}

// workTag returns the tag of a work order: its service and idempotency key.
func workTag(service api.ServiceName, key api.IdempotencyKey) string {
	return fmt.Sprintf("%s/%x", service, key)
}

// answerRows returns the rows of the given shards that answer a query, and whether
// the limit cut off further rows. Each row contains the epoch, the version and the
// tag of the query. Targets build replies with it and the oracle checks answers
// against it.
func answerRows(q api.Query, shards []api.ShardName, at api.Snapshot) ([]api.Row, bool) {
	var rows []api.Row
	for _, shard := range shards {
		for i := range rowsPerShard {
			key := fmt.Sprintf("%s/%d", shard, i)
			n := xxhash.Sum64String(fmt.Sprintf("%s@%d", key, at.Version)) % 100
			rows = append(rows, api.Row{Key: key, Fields: []api.Field{
				{Name: "n", Value: strconv.FormatUint(n, 10)},
				{Name: "epoch", Value: strconv.FormatUint(at.Epoch, 10)},
				{Name: "version", Value: strconv.FormatUint(at.Version, 10)},
				{Name: "tag", Value: tagOf(q)},
			}})
		}
	}
	slices.SortFunc(rows, func(a, b api.Row) int { return api.CompareRows(&q, &a, &b) })
	if q.Limit > 0 && len(rows) > q.Limit {
		return rows[:q.Limit], true
	}
	return rows, false
}
