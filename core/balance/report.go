package balance

import (
	"math"
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

// This file uses the load that replicas report of themselves in the choice of a replica. A report
// is a few milliseconds to seconds old, may be false, and reaches many nodes at once. It therefore
// never singles out a replica: it only lets those whose reported wait is above the mean of the
// candidates take part in fewer picks, at random. Nodes with the same reports then differ in what
// they do. A false report of an idle replica draws at most the share that the replica would have
// with one other replica fewer, and a false report of a busy one leaves it minReportedShare of the
// picks.

const (
	// minReportedShare is the smallest fraction of the picks in which a replica takes part,
	// whatever it reports.
	minReportedShare = 0.25
	// reportedWaitOffset is added to the waits before they are compared, so that one request
	// more or less at an idle replica makes little difference. It is half of the wait when all
	// slots are busy.
	reportedWaitOffset = 0.5
	// maxReportedWait caps the expected wait that follows from a report, in units of the usual
	// duration of a request.
	maxReportedWait = 8.0
	// maxReportAge is the age in half-lives from which a report is not used.
	maxReportAge = 8
	// usualDurationPercent is what a replica reports whose requests take as long as usual.
	// minDurationPercent and maxDurationPercent limit the effect of a false value.
	usualDurationPercent = 100
	minDurationPercent   = 25
	maxDurationPercent   = 1000
)

// Report is the load that a replica states of itself. The values are not negative.
type Report struct {
	// Running and Waiting are the numbers of requests that the replica runs, and that wait
	// there.
	Running, Waiting float64
	// Slots is how many requests it runs at a time.
	Slots float64
	// DurationPercent is the present duration of a request in percent of the usual one.
	DurationPercent float64
}

// ObserveReport records a report that came with the answer to an attempt of this node, before the
// end of the attempt is recorded. The attempts that this node has in flight there are taken off,
// since the score counts them.
func (r *Replicas) ObserveReport(now time.Time, name api.ReplicaName, report Report) {
	s, ok := r.replicas[name]
	if !ok {
		return
	}
	others := max(report.Running+report.Waiting-float64(s.inFlight), 0)
	relativeDuration := min(max(report.DurationPercent, minDurationPercent), maxDurationPercent) / usualDurationPercent
	s.reportedWait = min(others/max(report.Slots, 1)*relativeDuration, maxReportedWait)
	s.reportedWaitAt = now
	r.reportsObserved = true
}

// reportedAge returns the age of the last report in half-lives, and whether it is recent enough to
// be used.
func (s *replica) reportedAge(now time.Time) (age float64, ok bool) {
	if s.reportedWaitAt.IsZero() {
		return 0, false
	}
	age = float64(now.Sub(s.reportedWaitAt)) / float64(loadHalfLife)
	return max(age, 0), age < maxReportAge
}

// meanReportedWait returns the mean of the waits that candidates reported lately. It returns
// infinity if fewer than two did, since there is nothing to compare with.
func (r *Replicas) meanReportedWait(now time.Time, candidates []api.ReplicaName) float64 {
	if !r.reportsObserved {
		return math.Inf(1)
	}
	sum, n := 0.0, 0
	for _, name := range candidates {
		if s, ok := r.replicas[name]; ok {
			if _, recent := s.reportedAge(now); recent {
				sum += s.reportedWait
				n++
			}
		}
	}
	if n < 2 {
		return math.Inf(1)
	}
	return sum / float64(n)
}

// reportedShare returns the fraction of the picks in which a replica takes part, given the mean of
// the candidates' reported waits. What a report says beyond the mean counts half for each
// half-life of its age.
func (s *replica) reportedShare(now time.Time, mean float64) float64 {
	age, recent := s.reportedAge(now)
	if !recent || s.reportedWait <= mean {
		return 1
	}
	excess := (s.reportedWait - mean) * math.Exp2(-age)
	return max((mean+reportedWaitOffset)/(mean+excess+reportedWaitOffset), minReportedShare)
}
