package retry

import "time"

const (
	// windowBuckets is the number of buckets in the window. The ring holds one
	// more, so that whole buckets cover every time span of the window's length.
	windowBuckets = 20
	ringBuckets   = windowBuckets + 1
)

// Window limits the extra attempts of one service in every sliding time span of
// a given length to a share of the requests in that span plus a constant. The
// share also holds for the sum over all nodes, without coordination, because
// each node spends only what its own requests earned. The constant has to be
// divided between the nodes, and both between a process and its successors (see
// Bound).
type Window struct {
	width       time.Duration // of one bucket
	bound       Bound
	requests    [ringBuckets]int
	extras      [ringBuckets]int
	requestsSum int
	extrasSum   int
	newest      int64 // index of the newest bucket, counted from the Unix epoch
}

// Bound is the number of extra attempts that a process may send.
//
// A process that is lost has earned what it spent before the time span of the
// limit began, and its successors earn for the rest of that span. The limit
// holds for their sum if the Burst of a process and the part of the share that
// its successors use in their first window add up to 1 at most.
type Bound struct {
	Share    float64 // extra attempts allowed per request
	Constant float64 // extra attempts allowed in addition
	// Burst is the fraction of the share (0 to 1) that may be spent at once. The
	// rest becomes available evenly over the length of the window.
	Burst float64
}

// NewWindow returns an empty window. It allows no extra attempts until SetBound
// is called.
func NewWindow(length time.Duration) *Window {
	return &Window{width: max(length/windowBuckets, time.Millisecond)}
}

// SetBound sets the allowed number of extra attempts.
func (w *Window) SetBound(b Bound) { w.bound = b }

// Earn records a request.
func (w *Window) Earn(now time.Time) {
	w.advance(now)
	w.requests[w.newest%ringBuckets]++
	w.requestsSum++
}

// Spend records an extra attempt and returns true if the attempt stays within
// the bound, and all extra attempts in the window within the given fraction (0
// to 1) of it. The oldest bucket lies only partly in the time span; its extra
// attempts count, its requests do not.
func (w *Window) Spend(now time.Time, fraction float64) bool {
	w.advance(now)
	earned := w.bound.Share * float64(w.requestsSum-w.requests[(w.newest+1)%ringBuckets])
	if float64(w.extrasSum+1) > fraction*(earned+w.bound.Constant) {
		return false
	}
	recent := 1
	for passed := range int64(windowBuckets) {
		recent += w.extras[(w.newest-passed+ringBuckets)%ringBuckets]
		if float64(recent) > earned*w.pace(passed)+w.bound.Constant {
			return false
		}
	}
	w.extras[w.newest%ringBuckets]++
	w.extrasSum++
	return true
}

// pace returns the fraction of what was earned that may be spent within the
// given number of whole buckets.
func (w *Window) pace(buckets int64) float64 {
	return w.bound.Burst + (1-w.bound.Burst)*float64(buckets)/windowBuckets
}

// Refund removes an extra attempt that was recorded but not sent.
func (w *Window) Refund() {
	i := w.newest % ringBuckets
	if w.extras[i] > 0 {
		w.extras[i]--
		w.extrasSum--
	}
}

// Empty reports whether the window holds neither requests nor extra attempts.
func (w *Window) Empty(now time.Time) bool {
	w.advance(now)
	return w.requestsSum == 0 && w.extrasSum == 0
}

// advance moves the window to the given time and drops the buckets that have
// left it.
func (w *Window) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.width)
	if bucket-w.newest >= ringBuckets {
		w.requests, w.extras = [ringBuckets]int{}, [ringBuckets]int{}
		w.requestsSum, w.extrasSum, w.newest = 0, 0, bucket
		return
	}
	for w.newest < bucket {
		w.newest++
		i := w.newest % ringBuckets
		w.requestsSum -= w.requests[i]
		w.extrasSum -= w.extras[i]
		w.requests[i], w.extras[i] = 0, 0
	}
}
