package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/baobabsail/baobabsail/core/account"
	"github.com/baobabsail/baobabsail/core/api"
	"github.com/baobabsail/baobabsail/core/routing"
)

// This file explains to operators what the engine would do with a request. It calls the functions
// that decide on requests and changes no state: what they change is set on copies or put back.

const (
	// maxPreviews is the number of choices that are previewed for one explanation, and
	// maxPartPreviews that for one part; at least minPartPreviews are. They bound the time for
	// which no events are processed.
	maxPreviews     = 1024
	maxPartPreviews = 200
	minPartPreviews = 8
	// maxExplainedReplicas bounds the size of an explanation.
	maxExplainedReplicas = 2000
)

// Explain returns where a request would go now, and why. It neither sends anything nor changes the
// state of the engine. The content of the request is not looked at, so a refusal of a request that
// is suspected of crashing replicas is not foreseen.
func (e *Engine) Explain(now time.Time, q ExplainQuery) (*Explanation, error) {
	if e.table == nil {
		return nil, ErrNoConfiguration.New("the node has no configuration")
	}
	route := e.table.Match(q.Host, q.Path)
	if route == nil {
		return nil, ErrUnknownRoute.New("no route for host %q and path %q in version %d", q.Host, q.Path, e.table.Version)
	}
	var acc *account.Account
	if q.Account != "" {
		if e.table.Accounts != nil {
			acc = e.table.Accounts.ByName(q.Account)
		}
		if acc == nil {
			// The name is not repeated: it may be a key, given by mistake.
			return nil, ErrUnknownAccount.New("no account of this name in version %d", e.table.Version)
		}
	}
	if q.DataCentre != "" && !e.knowsDataCentre(q.DataCentre) {
		return nil, ErrUnknownDataCentre.New("no node or replica is in data centre %q, and no setting or evacuation names it", q.DataCentre)
	}
	x := &explainer{e: e, now: now, query: q, out: &Explanation{
		Node: e.settings.Node, DataCentre: e.settings.DataCentre, Version: e.table.Version, StoreLost: e.registry.storeLost,
		Evacuated: slices.Sorted(maps.Keys(e.evacuations.current)),
		Route: ExplainedRoute{
			Name: route.Name, Host: route.Host, Prefix: route.Prefix, Public: route.Public, Sharded: route.Sharded(),
			Idempotent: route.Idempotent, Priority: route.Priority, MaxAttempts: route.MaxAttempts, MinCoverage: route.MinCoverage,
			HomeRegions: route.HomeRegions, KeyNeeded: e.table.Accounts != nil && !route.Public,
		},
		Summary: ExplainedSummary{
			ByDecision: map[Decision]int{}, ByReason: map[string]int{}, DataCentres: map[api.DataCentre]float64{},
			NoLocal: []api.ServiceName{}, NoReplica: []api.ServiceName{},
		},
	}}
	for _, restore := range []func(){
		e.sendDelay.Preserve(), e.delays.Preserve(delayKey(route)), e.routeLatencies[routeLatencyKey(route)].Preserve(),
	} {
		defer restore()
	}
	x.explain(route, acc)
	return x.out, nil
}

// knowsDataCentre reports whether a data centre has nodes or replicas, or is named by the settings
// or an evacuation.
func (e *Engine) knowsDataCentre(dc api.DataCentre) bool {
	_, hasRegion := e.settings.Regions[dc]
	return dc == e.settings.DataCentre || hasRegion || e.Evacuated(dc) || len(e.groups.nodes[dc]) > 0 || len(e.replicasIn(dc)) > 0
}

// explainer builds one explanation.
type explainer struct {
	e     *Engine
	now   time.Time
	query ExplainQuery
	out   *Explanation
	// listed is the number of replicas in out.
	listed int
}

// explain explains a request of an account, which is nil for a request without a key.
func (x *explainer) explain(route *routing.Route, acc *account.Account) {
	e, out := x.e, x.out
	message := &Message{Host: x.query.Host, Path: x.query.Path}
	if acc != nil {
		message.Account, message.AccountPriority = acc.Name, acc.Priority
		out.Account = &ExplainedAccount{
			Name: acc.Name, Priority: acc.Priority, PerSecond: acc.PerSecond, Burst: acc.Burst, HomeRegions: acc.HomeRegions,
			Remaining: e.remainingQuota(acc), OverQuota: e.overQuota(x.now, acc.Name),
		}
	}
	r := e.prepareRequest(x.now, Arrived{Message: message}, route)
	if route.Sharded() {
		x.explainShards(r)
	} else {
		x.explainServices(r)
	}
	if acc == nil && out.Route.KeyNeeded {
		out.Decision, out.Reason = DecisionRefused, api.ReasonUnknownKey
	}
}

// explainShards explains a request to all shards of a route.
func (x *explainer) explainShards(r *request) {
	e, out := x.e, x.out
	groups := e.groupCount(r.route)
	if groups > 1 {
		out.Groups = make([]ExplainedGroup, groups)
		for i := range out.Groups {
			out.Groups[i] = e.explainGroup(r, i, groups)
		}
	}
	possible := 0
	for i := range r.parts {
		part := x.explainPart(r, &r.parts[i], len(r.parts))
		part.Weight, part.Group = 1, -1
		if groups > 1 {
			part.Group = groupOf(i, len(r.parts), groups)
		}
		if part.Decision != DecisionRefused {
			possible++
		}
		x.add(part, 1/float64(len(r.parts)), x.query.Shards)
	}
	out.Admission = e.explainAdmission(x.now, r.route)
	out.Decision = DecisionSent
	switch reason := e.unservableReason(r); {
	case reason != api.ReasonNone:
		out.Decision, out.Reason = DecisionRefused, reason
	case !out.Admission.Next:
		out.Decision, out.Reason = DecisionRefused, api.ReasonOverloaded
	case groups > 1:
		// The nodes of the groups decide on their replicas.
	case !r.hasMinCoverage(possible):
		out.Decision, out.Reason = DecisionRefused, mostFrequent(out.Summary.ByReason)
	case out.Summary.ByDecision[DecisionWaits] == len(r.parts):
		out.Decision = DecisionWaits
	case out.Summary.ByDecision[DecisionNeedsPermit] == len(r.parts):
		out.Decision = DecisionNeedsPermit
	}
}

// mostFrequent returns the most frequent reason, of several the first by name.
func mostFrequent(reasons map[string]int) api.Reason {
	if len(reasons) == 0 {
		return api.ReasonNone
	}
	return api.Reason(slices.MinFunc(slices.Collect(maps.Keys(reasons)), func(a, b string) int {
		return cmp.Or(cmp.Compare(reasons[b], reasons[a]), cmp.Compare(a, b))
	}))
}

// explainServices explains a request to one of the services of a route.
func (x *explainer) explainServices(r *request) {
	total := 0.0
	for _, s := range r.route.Services {
		total += max(s.Weight, 0)
	}
	for i, s := range r.route.Services {
		weight := 0.0
		switch {
		case len(r.route.Services) == 1 || total == 0 && i == 0:
			weight = 1
		case total > 0:
			weight = max(s.Weight, 0) / total
		}
		if weight == 0 {
			continue // it gets no requests
		}
		r.parts = []part{{service: s.Service}}
		part := x.explainPart(r, &r.parts[0], len(r.route.Services))
		part.Weight, part.Group = weight, -1
		if reason := x.e.unservableReason(r); reason != api.ReasonNone {
			part.Decision, part.Reason = DecisionRefused, reason
		}
		if x.out.Decision == "" {
			x.out.Decision, x.out.Reason = part.Decision, part.Reason
		} else if x.out.Decision != part.Decision {
			x.out.Decision, x.out.Reason = DecisionVaries, api.ReasonNone
		}
		x.add(part, weight, true)
	}
}

// explainAdmission returns the state of the admission control of a sharded route.
func (e *Engine) explainAdmission(now time.Time, route *routing.Route) *ExplainedAdmission {
	c := e.admissions[route.Shards[0]]
	if c == nil {
		c = newAdmissionControl(now, route.Priority)
	}
	asked := *c // share changes it
	share := asked.share(now, route)
	return &ExplainedAdmission{Share: share, Next: c.credits[route.Name]+share >= 1}
}

// explainGroup returns which nodes run a range of shards, as chooseNode decides.
func (e *Engine) explainGroup(r *request, i, groups int) ExplainedGroup {
	shards := r.route.Shards
	from, to := rangeOf(i, len(shards), groups)
	g := ExplainedGroup{Group: i, First: shards[from], Last: shards[to-1], Shards: to - from}
	members := e.groups.members(e.settings.DataCentre, i, groups)
	if slices.ContainsFunc(members, func(p Peer) bool { return p.Node == e.settings.Node }) {
		g.OwnRange, g.Reason = true, "own_group"
		return g
	}
	usable := func(peers []Peer, suspect bool) (names []string) {
		for _, p := range peers {
			if e.mayRunRange(r.homeRegions, p, nil) && e.groups.balancer.Suspect(api.ReplicaName(p.Node)) == suspect {
				names = append(names, p.Node)
			}
		}
		return names
	}
	g.Suspected = usable(members, true)
	if g.Nodes, g.Reason = usable(members, false), "group_in_data_centre"; len(g.Nodes) > 0 {
		return g
	}
	remote := e.groups.remoteMembers(e.settings.DataCentre, i, groups)
	if g.Nodes, g.Reason = usable(remote, false), "group_elsewhere"; len(g.Nodes) > 0 {
		return g
	}
	if g.Nodes, g.Reason = g.Suspected, "only_suspect_nodes"; len(g.Nodes) == 0 {
		g.OwnRange, g.Reason = true, "no_other_node"
	}
	return g
}

// add adds a part to the summary and, with detailed, to the explanation. share is its share of the
// first attempts.
func (x *explainer) add(part ExplainedPart, share float64, detailed bool) {
	s := &x.out.Summary
	s.Parts++
	s.ByDecision[part.Decision]++
	if part.Reason != api.ReasonNone {
		s.ByReason[string(part.Reason)]++
	}
	local, any := false, false
	for _, replica := range part.Replicas {
		local, any = local || replica.Eligible && replica.Local, any || replica.Eligible
		if replica.Share > 0 {
			s.DataCentres[replica.DataCentre] += share * replica.Share
		}
	}
	if !local {
		s.NoLocal = append(s.NoLocal, part.Service)
	}
	if !any {
		s.NoReplica = append(s.NoReplica, part.Service)
	}
	if !detailed {
		return
	}
	if dc := x.query.DataCentre; dc != "" {
		part.Replicas = slices.DeleteFunc(part.Replicas, func(r ExplainedReplica) bool { return r.DataCentre != dc })
	}
	if over := x.listed + len(part.Replicas) - maxExplainedReplicas; over > 0 {
		keep := max(len(part.Replicas)-over, 0)
		x.out.OmittedReplicas += len(part.Replicas) - keep
		part.Replicas = part.Replicas[:keep]
	}
	x.listed += len(part.Replicas)
	x.out.Parts = append(x.out.Parts, part)
}

// classifyReplicas returns the candidates for the first attempt of a part, those that there would
// be with a permit for every replica, and the reason of the exclusion of each replica.
func (x *explainer) classifyReplicas(r *request, p *part) (current, permitted candidates, reasons []api.Reason) {
	e, now := x.e, x.now
	names := e.registry.byService[p.service]
	rank := e.preferredRank(p.service)
	current = candidates{slow: true, reason: api.ReasonNoReplica}
	permitted = current
	reasons = make([]api.Reason, len(names))
	for i, name := range names {
		entry := e.registry.entries[name]
		reason := e.exclusion(now, r, p, entry, firstAttempt)
		if reason == api.ReasonNone && e.unconfirmed(name) && e.coldPerSecond(entry.Service) > 0 {
			reason = api.ReasonRateLimited // the choice would take it for cold and drop its permits
		}
		reasons[i] = reason
		e.classify(now, &current, r, p, entry, reason, rank)
		if reason == api.ReasonRateLimited {
			reason = api.ReasonNone
		}
		e.classify(now, &permitted, r, p, entry, reason, rank)
	}
	return current, permitted, reasons
}

// explainPart explains the first attempt for one of a number of parts.
func (x *explainer) explainPart(r *request, p *part, parts int) ExplainedPart {
	e, now := x.e, x.now
	names := e.registry.byService[p.service]
	current, permitted, reasons := x.classifyReplicas(r, p)
	best := current.best()
	withPermit := permitted.best()
	if len(best) == 0 {
		withPermit = current.unpermitted
	}
	out := ExplainedPart{Service: p.service, Decision: DecisionSent, Replicas: []ExplainedReplica{}}
	switch {
	case len(best) > 0:
	case len(current.unpermitted) > 0:
		out.Decision, out.Reason = DecisionNeedsPermit, api.ReasonRateLimited
	case current.reason == api.ReasonOverloaded:
		out.Decision, out.Reason = DecisionWaits, current.reason
	default:
		out.Decision, out.Reason = DecisionRefused, current.reason
	}
	shares := e.previewPicks(now, r, best, min(max(maxPreviews/parts, minPartPreviews), maxPartPreviews))
	for i, name := range names {
		replica := e.explainReplica(now, e.registry.entries[name])
		replica.Eligible, replica.Share = reasons[i] == api.ReasonNone, shares[name]
		switch {
		case slices.Contains(best, name):
			replica.Candidate = CandidateNow
		case reasons[i] == api.ReasonRateLimited && slices.Contains(withPermit, name):
			replica.Candidate = CandidateWithPermit
		}
		replica.Reason = e.explainReason(&replica, reasons[i], slices.Contains(current.overdue, name))
		out.Replicas = append(out.Replicas, replica)
	}
	return out
}

// explainReason returns why a replica may not get a first attempt, or why others are preferred.
func (e *Engine) explainReason(r *ExplainedReplica, exclusion api.Reason, overdue bool) api.Reason {
	switch {
	case exclusion == api.ReasonNoReplica && (r.Draining || r.Leaving):
		return "draining"
	case exclusion == api.ReasonNoReplica:
		return "stalled"
	case exclusion == api.ReasonOverloaded:
		return "full"
	case exclusion == api.ReasonRateLimited && r.ColdMS > 0:
		return "cold"
	case exclusion != api.ReasonNone:
		return exclusion
	case r.Candidate == "" && overdue:
		return "overdue"
	case r.Candidate == "":
		return "rank"
	case r.Share > 0:
		return api.ReasonNone
	case r.Suspect:
		return "suspect"
	case r.Ramp < 1:
		return "cold"
	case !r.Local:
		return "remote"
	}
	return "slower"
}

// previewPicks returns the share of n choices that falls on each of the candidates of the highest
// preference, as the engine would choose now. It puts back the state of the random numbers.
func (e *Engine) previewPicks(now time.Time, r *request, best []api.ReplicaName, n int) map[api.ReplicaName]float64 {
	shares := make(map[api.ReplicaName]float64, len(best))
	if len(best) == 0 {
		return shares
	}
	source := *e.source
	e.replicas.Preview(best, func() {
		for range n {
			if name, ok := e.pick(now, r, best); ok {
				shares[name] += 1 / float64(n)
			}
		}
	})
	*e.source = source
	return shares
}

// explainReplica returns the state of a replica at this node.
func (e *Engine) explainReplica(now time.Time, entry *registryEntry) ExplainedReplica {
	name := entry.Replica
	state, limit := e.replicas.State(now, name), e.limits.limiter.State(now, name)
	r := ExplainedReplica{
		Replica: name, DataCentre: entry.DataCentre, Local: e.isLocal(name), Registered: entry.removeAt.IsZero(),
		Draining: entry.Draining, Leaving: entry.stated.leaving, Evacuated: e.evacuated(entry), Ramp: state.Share,
		RateLimit: limit.PerSecond, Permits: limit.Permits, Requesting: limit.Requesting, ColdPerSecond: limit.ColdPerSecond,
		BackoffMS: milliseconds(max(entry.stated.backoffUntil.Sub(now), 0)), Stalled: e.stalledReplicas[name],
		Suspect: state.Suspect, ProbeDue: state.ProbeDue, Quota: e.quota(entry.Service, entry.Slots), Slots: entry.Slots,
		InFlight: state.InFlight, LatencyMS: milliseconds(state.Latency), ExpectedMS: milliseconds(state.Expected),
	}
	if e.overdueReplicas[name] {
		r.OverdueMS = milliseconds(now.Sub(e.overdueSince[name]))
	}
	if c := e.conns[name]; c != nil {
		r.Open, r.Used = c.open, c.used
	}
	if limit.ColdPerSecond > 0 {
		cold := entry.stated.cold
		until := cold.until
		if cold.suspectedUntil.After(until) {
			until, r.ColdSuspected = cold.suspectedUntil, true
		}
		r.ColdMS = milliseconds(max(until.Sub(now), 0))
	}
	if perSecond := e.coldPerSecond(entry.Service); perSecond > 0 && e.unconfirmed(name) {
		r.ColdPerSecond, r.ColdSuspected, r.ColdMS = perSecond, true, milliseconds(suspectedColdTime)
	}
	if state.Reported {
		r.Load = &ExplainedLoad{Wait: state.ReportedWait, AgeMS: milliseconds(state.ReportAge)}
	}
	return r
}
