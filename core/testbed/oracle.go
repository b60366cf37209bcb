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
	// answerSlack is how long after the deadline of a request its answer may come.
	answerSlack = 50 * time.Millisecond
	// drainBound is how long after the first drain signal a target may still get
	// requests (P6).
	drainBound = 3 * time.Second
	// changeBound is how soon a change has to be answered, and how soon after that
	// an accepted change has to be in force at each node.
	changeBound = 6 * time.Second
	// silenceBound is how soon a node has to replace a silent connection that it
	// uses (P10).
	silenceBound = 2 * time.Second
	// quarantineBound is how soon after its second crash every node has to refuse a
	// request. By then a node has detected the loss of the target, attributed it to
	// the request and pushed this to its peers.
	quarantineBound = time.Second
	// maxCrashes is the number of targets that one request may crash (P9).
	maxCrashes = 2
	// budgetFloor and budgetShare bound the extra attempts of one node (P11): a
	// fixed number and a share of its first attempts.
	budgetFloor = 3
	budgetShare = 0.05
)

// checker collects the violations in a trace.
type checker struct {
	*Trace
	violations           []Violation
	unexcusedSilentConns int // silent connections that have not yet excused a work order
}

func (c *checker) fail(promise, format string, args ...any) {
	c.violations = append(c.violations, Violation{promise, fmt.Sprintf(format, args...)})
}

// Check returns the promises that a trace breaks.
func Check(t *Trace) []Violation {
	c := &checker{Trace: t, violations: slices.Clone(t.Violations), unexcusedSilentConns: len(t.SilentConns)}
	for _, r := range t.Requests {
		c.checkAnswer(r)
		if len(r.Answers) > 0 && r.Answers[0].Search != nil && r.Answers[0].Outcome == api.Answered {
			c.checkSearchAnswer(r, r.Answers[0].Search)
		}
	}
	c.checkNotRun()
	c.checkRunOnce()
	c.checkDrains()
	c.checkSilentConns()
	c.checkConfiguration()
	c.checkCrashes()
	c.checkExtraAttempts()
	return c.violations
}

// finalReasons are the reasons of refusals for which a resend is pointless. These
// refusals need no retry time.
var finalReasons = []api.Reason{
	api.ReasonMalformed, api.ReasonUnknownService, api.ReasonWrongKind, api.ReasonKeyReused, api.ReasonKeyExpired, api.ReasonKeyFromFuture,
}

// checkAnswer checks that a request has exactly one answer, that it comes in time,
// and that it is full or a refusal with a retry time where that is required.
func (c *checker) checkAnswer(r *Request) {
	if len(r.Answers) > 1 {
		c.fail("P3", "request %d (%s) has %d answers", r.ID, r.Tag, len(r.Answers))
	}
	if len(r.Answers) == 0 {
		if !r.Exempt && !r.CallerGone && c.End.After(r.Deadline.Add(answerSlack)) {
			c.fail("final", "request %d (%s) has no answer", r.ID, r.Tag)
		}
		return
	}
	a := r.Answers[0]
	if late := a.At.Sub(r.Deadline); late > answerSlack && !r.Exempt {
		c.fail("final", "request %d (%s) is answered %v after its deadline", r.ID, r.Tag, late)
	}
	if a.Outcome == api.NotRun && a.RetryAfter <= 0 && !slices.Contains(finalReasons, a.Reason) {
		c.fail("final", "request %d (%s) is refused (%s) without a retry time", r.ID, r.Tag, a.Reason)
	}
	full := a.Outcome == api.Answered && (a.Search == nil || a.Search.Coverage.Share == api.Whole)
	// P10 applies to connections in use. A work order that is the first to use a
	// silent connection ends as unknown, because it must not be sent again. Each
	// silent connection excuses one such work order.
	if r.RequireFull != "" && r.Work && a.Outcome == api.Unknown && a.Reason == api.ReasonConnectionLost && c.unexcusedSilentConns > 0 {
		c.unexcusedSilentConns--
		full = true
	}
	if r.RequireFull != "" && !full {
		share := api.PPM(0)
		if a.Search != nil {
			share = a.Search.Coverage.Share
		}
		c.fail(r.RequireFull, "request %d (%s) at node %d is not answered in full: %s, %q, share %d", r.ID, r.Tag, r.Host, a.Outcome, a.Reason, share)
	}
	if want := "done " + r.Tag; r.Work && a.Outcome == api.Answered && string(a.Result) != want {
		c.fail("P3", "work order %d (%s) got the result %q", r.ID, r.Tag, a.Result)
	}
}

// checkSearchAnswer checks the rows of a search answer against the coverage and
// snapshot that the answer states.
func (c *checker) checkSearchAnswer(r *Request, a *api.SearchAnswer) {
	at := a.Coverage.Snapshot
	epoch, version := strconv.FormatUint(at.Epoch, 10), strconv.FormatUint(at.Version, 10)
	for i := range a.Rows {
		e, _ := a.Rows[i].Value("epoch")
		v, _ := a.Rows[i].Value("version")
		if e != epoch || v != version {
			c.fail("P1", "request %d: row %s has epoch and version %s/%s, the answer states %s/%s", r.ID, a.Rows[i].Key, e, v, epoch, version)
		}
		if tag, _ := a.Rows[i].Value("tag"); tag != r.Tag {
			c.fail("P3", "request %d (%s) got a row for tag %s", r.ID, r.Tag, tag)
		}
	}
	m := c.partitionMap(r.Query.Service, at.Epoch)
	if m == nil {
		c.fail("P2", "request %d: epoch %d does not exist", r.ID, at.Epoch)
		return
	}
	c.checkCoverage(r, a, m)
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

// checkCoverage checks that an answer lists each shard of the partition map once, as
// covered or missing, and states the right share.
func (c *checker) checkCoverage(r *Request, a *api.SearchAnswer, m *config.PartitionMap) {
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

// partitionMap returns the partition map of an epoch, nil if no stored document has
// it.
func (c *checker) partitionMap(service api.ServiceName, epoch uint64) *config.PartitionMap {
	for _, d := range c.Documents {
		if s := d.Doc.Services[service]; s != nil {
			if m := s.MapAtEpoch(epoch); m != nil {
				return m
			}
		}
	}
	return nil
}

// checkNotRun checks that each started execution belongs to a request at the same
// node that was not answered not_run.
func (c *checker) checkNotRun() {
	type origin struct {
		life api.Life
		tag  string
	}
	by := make(map[origin][]*Request)
	for _, r := range c.Requests {
		by[origin{r.Life, r.Tag}] = append(by[origin{r.Life, r.Tag}], r)
	}
	// An execution for the host that a work order was forwarded to also belongs to
	// the request at the host that forwarded it.
	requestsOf := func(execution *Execution) []*Request {
		out := slices.Clone(by[origin{execution.Life, execution.Tag}])
		for _, f := range c.Forwards {
			if f.To == execution.Life && f.Tag == execution.Tag && !f.At.After(execution.Received) {
				out = append(out, by[origin{f.From, f.Tag}]...)
			}
		}
		return out
	}
	for _, execution := range c.Executions {
		if execution.Started.IsZero() {
			continue
		}
		explained := false
		refused := -1
		for _, r := range requestsOf(execution) {
			if r.At.After(execution.Received) {
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
			c.fail("P4", "request %d (%s) is answered not_run and runs at %s", refused, execution.Tag, execution.Replica)
		default:
			c.fail("P4", "%s runs %s, which no caller requested from node %d", execution.Replica, execution.Tag, execution.Host)
		}
	}
}

// checkRunOnce checks that each work order starts at most once.
func (c *checker) checkRunOnce() {
	first := make(map[string]*Execution)
	for _, execution := range c.Executions {
		if !execution.Work || execution.Started.IsZero() {
			continue
		}
		if before := first[execution.Tag]; before != nil {
			c.fail("P5", "work order %s runs at %s for node %d and at %s for node %d", execution.Tag, before.Replica, before.Host, execution.Replica, execution.Host)
		}
		first[execution.Tag] = execution
	}
}

// checkCrashes checks that a request that crashes targets crashes at most
// maxCrashes of them and is then refused.
func (c *checker) checkCrashes() {
	if c.Restarts >= c.Hosts && c.Hosts > 0 {
		return // suspicions are lost once every node that knew them has restarted
	}
	type crashedProcess struct {
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
	crashed := make(map[string][]crashedProcess)
	refuseFrom := make(map[string]time.Time) // when each node has to refuse the content
	for _, execution := range c.Executions {
		if !execution.Crashed {
			continue
		}
		key := payload[execution.Tag]
		crashed[key] = append(crashed[key], crashedProcess{execution.Replica, execution.Incarnation})
		if len(crashed[key]) == maxCrashes {
			refuseFrom[key] = execution.Started.Add(quarantineBound)
		}
		// Nodes that cannot exchange messages cannot warn each other, so that each
		// isolation allows maxCrashes more.
		if len(crashed[key]) == maxCrashes*(1+c.Isolations)+1 {
			c.fail("P9", "%s takes down %v", key, crashed[key])
		}
	}
	for _, r := range c.Requests {
		if r.RequireRefused == "" || len(r.Answers) == 0 {
			continue
		}
		a, since := r.Answers[0], refuseFrom[content(r)]
		quarantined := a.Outcome == api.NotRun && a.Reason == api.ReasonQuarantined
		if a.Outcome == api.Answered || !quarantined && !since.IsZero() && r.At.After(since) {
			c.fail(r.RequireRefused, "request %d (%s) at node %d should be refused: %s, %q", r.ID, r.Tag, r.Host, a.Outcome, a.Reason)
		}
	}
}

// checkExtraAttempts checks the number of extra search attempts of each node, which
// are those beyond one for each request, shard and snapshot.
func (c *checker) checkExtraAttempts() {
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
	for _, execution := range c.Executions {
		if execution.Work {
			continue
		}
		p := part{execution.Life, execution.Tag, execution.Shard, execution.Snapshot}
		parts[p]++
		if parts[p] > requests[part{life: execution.Life, tag: execution.Tag}] {
			more[execution.Life]++
		} else {
			first[execution.Life]++
		}
	}
	for _, life := range slices.Sorted(maps.Keys(more)) {
		n := more[life]
		if most := budgetFloor + budgetShare*float64(first[life]); float64(n) > most+1 {
			c.fail("P11", "life %d makes %d extra attempts, at most %.1f are allowed for %d first ones", life, n, most, first[life])
		}
	}
}
