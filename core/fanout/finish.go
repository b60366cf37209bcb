package fanout

import (
	"container/heap"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/count"
)

// comeBackAfter is the time that a caller is told to wait when nothing better
// is known.
const comeBackAfter = 100 * time.Millisecond

// earlyReturnDelays is the number of hedge delays after which a search may
// return early. With one, no hedge had time to answer, and more than half of the
// answers lacked a shard (docs/measurements.md, round 8).
const earlyReturnDelays = 2

// evaluate ends the search if nothing is left to wait for.
func (q *Query) evaluate(now time.Time) {
	if q.done {
		return
	}
	if q.versionGaps > 0 && q.tryRestart(now) {
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
		q.scanBy(earliest)
		return
	}
	q.finish(now, api.ReasonEarlyReturn)
}

// tryRestart begins again at another snapshot if that one is expected to cover
// more than this one still can.
func (q *Query) tryRestart(now time.Time) bool {
	if q.Pinned || q.restarts >= maxRestarts || !now.Before(q.Deadline) {
		return false
	}
	choice, canaries, ok := q.env.Rechoose(now, q)
	if !ok || choice.Snapshot == q.Choice.Snapshot || choice.Share <= q.reachable() {
		return false
	}
	q.restart(now, choice, canaries)
	return true
}

// reachable returns the share that the search can still cover.
func (q *Query) reachable() api.PPM {
	var width uint64
	for i := range q.parts {
		p := &q.parts[i]
		if p.state != partMissing && !(p.state == partHeld && isVersionReason(p.reason)) {
			width += q.Shards[i].Width()
		}
	}
	return api.Share(width, q.total)
}

// finish builds the answer. Parts that are not settled are missing for the
// given reason.
func (q *Query) finish(now time.Time, reason api.Reason) {
	if q.done {
		return
	}
	q.done = true
	outstanding := q.closeParts(reason)
	if q.covered == 0 {
		q.answer = q.nothingCovered(outstanding)
		return
	}
	rows, cut := q.merge()
	q.answer = api.SearchAnswer{
		Outcome:      api.Answered,
		Rows:         rows,
		LimitReached: cut,
		Coverage:     q.coverage(),
	}
	for _, m := range q.answer.Coverage.Missing {
		q.env.Count(count.Missing, m.Reason)
	}
}

// closeParts gives every unsettled part its reason and cancels its attempts.
// It returns the reason of the last of them.
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

// unsettledReason says why a part is missing when the search ends before the
// part has: what happened to it goes before the reason of the end.
func (q *Query) unsettledReason(p *part, reason api.Reason) api.Reason {
	if reason == api.ReasonEarlyReturn {
		return reason
	}
	if p.state == partWaiting {
		return api.ReasonOverloaded
	}
	if p.state == partPaused && p.reason != api.ReasonNone {
		return p.reason
	}
	return reason
}

// nothingCovered builds the answer of a search without any covered part. It is
// NotRun only if no part can have run.
func (q *Query) nothingCovered(reason api.Reason) api.SearchAnswer {
	answer := api.SearchAnswer{Outcome: api.NotRun, Reason: reason, RetryAfter: comeBackAfter, Coverage: q.coverage()}
	failed := func(p part) bool { return p.reason == api.ReasonFailed }
	switch {
	case slices.ContainsFunc(q.parts, failed):
		answer.Outcome = api.Failed
	case q.mayHaveRun():
		answer.Outcome = api.Unknown
	}
	return answer
}

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

// merge returns the first rows of all parts in the order of the query, and
// whether more rows match.
func (q *Query) merge() ([]api.Row, bool) {
	total := 0
	cut := false
	for i := range q.parts {
		p := &q.parts[i]
		if p.state != partCovered {
			continue
		}
		total += len(p.rows)
		cut = cut || p.limitHit
	}
	limit := total
	if q.Limit > 0 && q.Limit < total {
		limit = q.Limit
		cut = true
	}
	rows, ordered := q.mergeOrdered(limit)
	if !ordered {
		rows = q.mergeBySorting(total)[:limit]
	}
	return rows, cut
}

// mergeOrdered merges parts whose rows are in order. It reports false if it
// meets rows out of order.
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

// rowHeap is a heap of row lists ordered by their first row.
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
