package fanout

import (
	"container/heap"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// defaultRetryAfter is the retry-after sent to a caller whose search covered no
// part.
const defaultRetryAfter = 100 * time.Millisecond

// earlyReturnDelays is the number of hedge delays after which a search may
// return early. With one, no hedge had time to be answered, and more than half
// of the answers lacked a shard in the measurements.
const earlyReturnDelays = 2

// finishIfComplete ends the search if all parts are settled or an early return is
// due. If parts are missing because replicas lack the snapshot, it first tries to
// restart at another snapshot.
func (q *Query) finishIfComplete(now time.Time) {
	if q.done {
		return
	}
	if q.versionMisses > 0 && q.tryRestart(now) {
		return
	}
	if q.unsettled == 0 {
		q.finish(now, api.ReasonNone)
		return
	}
	if !q.EarlyReturn || api.Share(q.covered, q.total) < q.Wanted {
		return
	}
	earliest := q.Start.Add(earlyReturnDelays * q.HedgeDelay)
	if now.Before(earliest) {
		q.scheduleScan(earliest)
		return
	}
	q.finish(now, api.ReasonEarlyReturn)
}

// tryRestart restarts the search at another snapshot if that one is expected to
// cover more than the current one still can. It reports whether it did.
func (q *Query) tryRestart(now time.Time) bool {
	if q.Pinned || q.restarts >= maxRestarts || !now.Before(q.Deadline) {
		return false
	}
	choice, canaries, ok := q.env.ReselectSnapshot(now, q)
	if !ok || choice.Snapshot == q.Choice.Snapshot || choice.Share <= q.reachableShare() {
		return false
	}
	q.restart(now, choice, canaries)
	return true
}

// reachableShare returns the share that the search can still cover at the current
// snapshot.
func (q *Query) reachableShare() api.PPM {
	var width uint64
	for i := range q.parts {
		p := &q.parts[i]
		if p.state != partMissing && !(p.state == partAwaitingCanary && isVersionReason(p.reason)) {
			width += q.Shards[i].Width()
		}
	}
	return api.Share(width, q.total)
}

// finish ends the search and builds the answer. Parts that are not settled are
// reported as missing, by default for the given reason.
func (q *Query) finish(now time.Time, reason api.Reason) {
	if q.done {
		return
	}
	q.done = true
	missingReason := q.closeParts(reason)
	if q.covered == 0 {
		q.answer = q.answerWithoutCoverage(missingReason)
		return
	}
	rows, truncated := q.merge()
	q.answer = api.SearchAnswer{
		Outcome:      api.Answered,
		Rows:         rows,
		LimitReached: truncated,
		Coverage:     q.coverage(),
	}
	for _, m := range q.answer.Coverage.Missing {
		q.env.Count(count.Missing, m.Reason)
	}
}

// closeParts cancels the attempts of all unsettled parts and marks these parts as
// missing. It returns the reason of the last missing part, or the given one if no
// part is missing.
func (q *Query) closeParts(reason api.Reason) api.Reason {
	last := reason
	for i := range q.parts {
		p := &q.parts[i]
		if p.state.settled() {
			if p.state == partMissing {
				last = p.reason
			}
			continue
		}
		q.cancelPart(p)
		p.reason = q.unsettledReason(p, reason)
		p.state = partMissing
		last = p.reason
	}
	q.unsettled = 0
	return last
}

// unsettledReason returns why a part is missing that was not settled when the
// search ended. Except for an early return, the part's own reason takes
// precedence over the reason for which the search ended.
func (q *Query) unsettledReason(p *part, reason api.Reason) api.Reason {
	if reason == api.ReasonEarlyReturn {
		return reason
	}
	if p.state == partAwaitingCapacity {
		return api.ReasonOverloaded
	}
	if p.state == partBackingOff && p.reason != api.ReasonNone {
		return p.reason
	}
	return reason
}

// answerWithoutCoverage builds the answer of a search without any covered part.
// Its outcome is NotRun only if no target can have run a part.
func (q *Query) answerWithoutCoverage(reason api.Reason) api.SearchAnswer {
	answer := api.SearchAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: defaultRetryAfter, Coverage: q.coverage()}
	failed := func(p part) bool { return p.reason == api.ReasonFailed }
	switch {
	case slices.ContainsFunc(q.parts, failed):
		answer.Outcome = api.Failed
	case q.mayHaveRun():
		answer.Outcome = api.Unknown
	}
	return answer
}

// coverage lists the covered and the missing shards.
func (q *Query) coverage() api.Coverage {
	c := api.Coverage{Snapshot: q.Choice.Snapshot, Share: api.Share(q.covered, q.total)}
	for i := range q.parts {
		name := q.Shards[i].Name
		if q.parts[i].state == partCovered {
			c.Covered = append(c.Covered, name)
			continue
		}
		c.Missing = append(c.Missing, api.MissingShard{Shard: name, Reason: q.parts[i].reason})
	}
	return c
}

// merge merges the rows of all parts in the order of the query, up to the limit.
// It also reports whether rows were left out, by a target or by the limit.
func (q *Query) merge() ([]api.Row, bool) {
	total := 0
	truncated := false
	for i := range q.parts {
		p := &q.parts[i]
		if p.state != partCovered {
			continue
		}
		total += len(p.rows)
		truncated = truncated || p.limitReached
	}
	limit := total
	if q.Limit > 0 && q.Limit < total {
		limit = q.Limit
		truncated = true
	}
	rows, ordered := q.mergeOrdered(limit)
	if !ordered {
		rows = q.mergeBySorting(total)[:limit]
	}
	return rows, truncated
}

// mergeOrdered merges parts whose rows are sorted. It reports false if it finds
// rows that are not.
func (q *Query) mergeOrdered(limit int) ([]api.Row, bool) {
	h := rowHeap{query: &q.Query}
	for i := range q.parts {
		if p := &q.parts[i]; p.state == partCovered && len(p.rows) > 0 {
			h.lists = append(h.lists, p.rows)
		}
	}
	heap.Init(&h)
	rows := make([]api.Row, 0, limit)
	for len(rows) < limit {
		list := h.lists[0]
		rows = append(rows, list[0])
		if len(list) == 1 {
			heap.Pop(&h)
			continue
		}
		if api.CompareRows(&q.Query, &list[0], &list[1]) > 0 {
			return nil, false
		}
		h.lists[0] = list[1:]
		heap.Fix(&h, 0)
	}
	return rows, true
}

// mergeBySorting concatenates the rows of all parts and sorts them.
func (q *Query) mergeBySorting(total int) []api.Row {
	rows := make([]api.Row, 0, total)
	for i := range q.parts {
		if q.parts[i].state == partCovered {
			rows = append(rows, q.parts[i].rows...)
		}
	}
	slices.SortFunc(rows, func(a, b api.Row) int { return api.CompareRows(&q.Query, &a, &b) })
	return rows
}

// rowHeap is a heap of non-empty row lists, ordered by their first row.
type rowHeap struct {
	query *api.Query
	lists [][]api.Row
}

func (h *rowHeap) Len() int { return len(h.lists) }
func (h *rowHeap) Less(i, j int) bool {
	return api.CompareRows(h.query, &h.lists[i][0], &h.lists[j][0]) < 0
}
func (h *rowHeap) Swap(i, j int) { h.lists[i], h.lists[j] = h.lists[j], h.lists[i] }

// Push implements heap.Interface; lists are only added before heap.Init.
func (h *rowHeap) Push(x any) { h.lists = append(h.lists, x.([]api.Row)) }

// Pop implements heap.Interface.
func (h *rowHeap) Pop() any {
	last := len(h.lists) - 1
	list := h.lists[last]
	h.lists = h.lists[:last]
	return list
}
