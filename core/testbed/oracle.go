package testbed

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/config"
)

const (
	// answerSlack is how much later than its deadline a final answer may come.
	answerSlack = 50 * time.Millisecond
	drainBound  = 3 * time.Second
	changeBound = 6 * time.Second
	// silenceBound is the bound of P10 for a connection in use.
	silenceBound = 2 * time.Second
	// convictionBound is how soon after its second crash a request is refused
	// everywhere: the loss of the target is noticed, explained and pushed.
	convictionBound = time.Second
	// maxVictims is the number of targets that one request may crash.
	maxVictims = 2
	// budgetFloor and budgetShare bound the extra attempts of one node.
	budgetFloor = 3
	budgetShare = 0.05
)

// checker gathers violations.
type checker struct {
	*Trace
	found    []Violation
	silenced int // connections not yet found out by a work order
}

func (c *checker) fail(promise, format string, args ...any) {
	c.found = append(c.found, Violation{promise, fmt.Sprintf(format, args...)})
}

// Check returns the promises that a trace breaks.
func Check(t *Trace) []Violation {
	c := &checker{Trace: t, found: slices.Clone(t.Broken), silenced: len(t.Silences)}
	for _, r := range t.Requests {
		c.final(r)
		if len(r.Answers) > 0 && r.Answers[0].Search != nil && r.Answers[0].Outcome == api.Answered {
			c.searchAnswer(r, r.Answers[0].Search)
		}
	}
	c.notRun()
	c.onceEach()
	c.drains()
	c.silences()
	c.configuration()
	c.victims()
	c.extra()
	return c.found
}

// finalReasons are refusals that a later resend cannot change.
var finalReasons = []api.Reason{
	api.ReasonMalformed, api.ReasonUnknownService, api.ReasonWrongKind, api.ReasonKeyReused, api.ReasonKeyExpired, api.ReasonKeyFromFuture,
}

// final checks that a request has one answer in time, and what refusals carry.
func (c *checker) final(r *Request) {
	if len(r.Answers) > 1 {
		c.fail("P3", "request %d (%s) has %d answers", r.ID, r.Tag, len(r.Answers))
	}
	if len(r.Answers) == 0 {
		if !r.Excused && !r.Gone && c.End.After(r.Deadline.Add(answerSlack)) {
			c.fail("final", "request %d (%s) has no answer", r.ID, r.Tag)
		}
		return
	}
	a := r.Answers[0]
	if late := a.At.Sub(r.Deadline); late > answerSlack && !r.Excused {
		c.fail("final", "request %d (%s) is answered %v after its deadline", r.ID, r.Tag, late)
	}
	if a.Outcome == api.NotRun && a.RetryAfter <= 0 && !slices.Contains(finalReasons, a.Reason) {
		c.fail("final", "request %d (%s) is refused (%s) without a retry time", r.ID, r.Tag, a.Reason)
	}
	full := a.Outcome == api.Answered && (a.Search == nil || a.Search.Coverage.Share == api.Whole)
	// The bound of P10 holds for connections in use. A work order that is the
	// first to use a silent one ends unknown, because it must not be sent again.
	if r.Must != "" && r.Work && a.Outcome == api.Unknown && a.Reason == api.ReasonConnectionLost && c.silenced > 0 {
		c.silenced--
		full = true
	}
	if r.Must != "" && !full {
		share := api.PPM(0)
		if a.Search != nil {
			share = a.Search.Coverage.Share
		}
		c.fail(r.Must, "request %d (%s) at node %d is not answered in full: %s, %q, share %d", r.ID, r.Tag, r.Host, a.Outcome, a.Reason, share)
	}
	if want := "done " + r.Tag; r.Work && a.Outcome == api.Answered && string(a.Result) != want {
		c.fail("P3", "work order %d (%s) got the result %q", r.ID, r.Tag, a.Result)
	}
}

// searchAnswer checks an answer against its own statement of coverage.
func (c *checker) searchAnswer(r *Request, a *api.SearchAnswer) {
	at := a.Coverage.Snapshot
	epoch, version := strconv.FormatUint(at.Epoch, 10), strconv.FormatUint(at.Version, 10)
	for i := range a.Rows {
		e, _ := a.Rows[i].Value("epoch")
		v, _ := a.Rows[i].Value("version")
		if e != epoch || v != version {
			c.fail("P1", "request %d: row %s is of %s/%s, the answer of %s/%s", r.ID, a.Rows[i].Key, e, v, epoch, version)
		}
		if tag, _ := a.Rows[i].Value("tag"); tag != r.Tag {
			c.fail("P3", "request %d (%s) got a row of %s", r.ID, r.Tag, tag)
		}
	}
	m := c.partitionMap(r.Query.Service, at.Epoch)
	if m == nil {
		c.fail("P2", "request %d: epoch %d does not exist", r.ID, at.Epoch)
		return
	}
	c.coverage(r, a, m)
	rows, more := answerRows(r.Query, a.Coverage.Covered, at)
	if !sameRows(rows, a.Rows) {
		c.fail("P3", "request %d: the rows are not the first %d of the shards %v: %d rows", r.ID, r.Query.Limit, a.Coverage.Covered, len(a.Rows))
	}
	if more != a.LimitReached {
		c.fail("P3", "request %d: limit reached is %v, expected %v", r.ID, a.LimitReached, more)
	}
}

func sameRows(a, b []api.Row) bool {
	return slices.EqualFunc(a, b, func(x, y api.Row) bool { return reflect.DeepEqual(x, y) })
}

func (c *checker) coverage(r *Request, a *api.SearchAnswer, m *config.PartitionMap) {
	var all []api.ShardName
	var part, total uint64
	for i := range m.Shards {
		total += m.Shards[i].Width()
		all = append(all, m.Shards[i].Name)
		if slices.Contains(a.Coverage.Covered, m.Shards[i].Name) {
			part += m.Shards[i].Width()
		}
	}
	stated := slices.Clone(a.Coverage.Covered)
	for _, missing := range a.Coverage.Missing {
		stated = append(stated, missing.Shard)
		if missing.Reason == api.ReasonNone {
			c.fail("P2", "request %d: shard %s is missing without a reason", r.ID, missing.Shard)
		}
	}
	slices.Sort(stated)
	slices.Sort(all)
	if !slices.Equal(stated, all) {
		c.fail("P2", "request %d names the shards %v, epoch %d has %v", r.ID, stated, m.Epoch, all)
	}
	if share := api.Share(part, total); share != a.Coverage.Share {
		c.fail("P2", "request %d states a share of %d, it is %d", r.ID, a.Coverage.Share, share)
	}
}

func (c *checker) partitionMap(service api.ServiceName, epoch uint64) *config.PartitionMap {
	for _, d := range c.Documents {
		if s := d.Doc.Services[service]; s != nil {
			if m := s.Map(epoch); m != nil {
				return m
			}
		}
	}
	return nil
}

// notRun checks that each start is explained by a request at the same node
// that was not answered "not run".
func (c *checker) notRun() {
	type origin struct {
		life api.Life
		tag  string
	}
	by := make(map[origin][]*Request)
	for _, r := range c.Requests {
		by[origin{r.Life, r.Tag}] = append(by[origin{r.Life, r.Tag}], r)
	}
	// A run at the host that a work order was passed on to answers the request
	// at the host that passed it on.
	asked := func(run *Run) []*Request {
		out := slices.Clone(by[origin{run.Life, run.Tag}])
		for _, f := range c.Forwards {
			if f.To == run.Life && f.Tag == run.Tag && !f.At.After(run.Received) {
				out = append(out, by[origin{f.From, f.Tag}]...)
			}
		}
		return out
	}
	for _, run := range c.Runs {
		if run.Started.IsZero() {
			continue
		}
		explained := false
		refused := -1
		for _, r := range asked(run) {
			if r.At.After(run.Received) {
				continue
			}
			if len(r.Answers) == 0 || r.Answers[0].Outcome != api.NotRun {
				explained = true
			} else {
				refused = r.ID
			}
		}
		switch {
		case explained:
		case refused >= 0:
			c.fail("P4", "request %d (%s) is answered not_run and runs at %s", refused, run.Tag, run.Replica)
		default:
			c.fail("P4", "%s runs %s, which nobody asked of node %d", run.Replica, run.Tag, run.Host)
		}
	}
}

func (c *checker) onceEach() {
	first := make(map[string]*Run)
	for _, run := range c.Runs {
		if !run.Work || run.Started.IsZero() {
			continue
		}
		if before := first[run.Tag]; before != nil {
			c.fail("P5", "work order %s runs at %s for node %d and at %s for node %d", run.Tag, before.Replica, before.Host, run.Replica, run.Host)
		}
		first[run.Tag] = run
	}
}

func (c *checker) victims() {
	if c.Restarts >= c.Hosts && c.Hosts > 0 {
		return // suspicions last only while a node that knows them lives (section 5)
	}
	type victim struct {
		replica     api.ReplicaName
		incarnation api.Incarnation
	}
	content := func(r *Request) string {
		if r.Work {
			return r.Payload
		}
		return r.Tag
	}
	payload := make(map[string]string)
	for _, r := range c.Requests {
		payload[r.Tag] = content(r)
	}
	crashed := make(map[string][]victim)
	known := make(map[string]time.Time) // since when the tier must refuse
	for _, run := range c.Runs {
		if !run.Crashed {
			continue
		}
		key := payload[run.Tag]
		crashed[key] = append(crashed[key], victim{run.Replica, run.Incarnation})
		if len(crashed[key]) == maxVictims {
			known[key] = run.Started.Add(convictionBound)
		}
		// Nodes that cannot exchange messages cannot warn one another
		// (section 7.7).
		if len(crashed[key]) == maxVictims*(1+c.Parted)+1 {
			c.fail("P9", "%s takes down %v", key, crashed[key])
		}
	}
	for _, r := range c.Requests {
		if r.Refused == "" || len(r.Answers) == 0 {
			continue
		}
		a, since := r.Answers[0], known[content(r)]
		convicted := a.Outcome == api.NotRun && a.Reason == api.ReasonQuarantined
		if a.Outcome == api.Answered || !convicted && !since.IsZero() && r.At.After(since) {
			c.fail(r.Refused, "request %d (%s) at node %d should be refused: %s, %q", r.ID, r.Tag, r.Host, a.Outcome, a.Reason)
		}
	}
}

// extra counts the attempts of each node beyond one for each request, shard
// and snapshot.
func (c *checker) extra() {
	type part struct {
		life  api.Life
		tag   string
		shard api.ShardName
		at    api.Snapshot
	}
	requests := make(map[part]int)
	for _, r := range c.Requests {
		requests[part{life: r.Life, tag: r.Tag}]++
	}
	parts := make(map[part]int)
	first, more := make(map[api.Life]int), make(map[api.Life]int)
	for _, run := range c.Runs {
		if run.Work {
			continue
		}
		p := part{run.Life, run.Tag, run.Shard, run.Snapshot}
		parts[p]++
		if parts[p] > requests[part{life: run.Life, tag: run.Tag}] {
			more[run.Life]++
		} else {
			first[run.Life]++
		}
	}
	for _, life := range slices.Sorted(maps.Keys(more)) {
		n := more[life]
		if most := budgetFloor + budgetShare*float64(first[life]); float64(n) > most+1 {
			c.fail("P11", "life %d makes %d extra attempts, at most %.1f are allowed for %d first ones", life, n, most, first[life])
		}
	}
}
