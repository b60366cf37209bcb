package retry

import "time"

const (
	// windowBuckets divides the window; one more bucket is kept so that every
	// span of the window's length is covered by whole buckets.
	windowBuckets = 20
	ringBuckets   = windowBuckets + 1
)

// Window bounds the extra attempts of one service in every sliding span of a
// given length to a share of the requests of that span, plus a constant. The
// sum over nodes keeps the same share without any message between them,
// because each node spends only what its own requests earn. It holds across
// restarts for the same reason; only the constant has to be divided between the
// nodes.
type Window struct {
	width    time.Duration // of a bucket
	share    float64       // extra attempts for each request
	constant float64       // extra attempts besides
	requests [ringBuckets]int
	extras   [ringBuckets]int
	sumReq   int
	sumExtra int
	newest   int64 // number of the newest bucket since the epoch of the clock
}

// NewWindow returns an empty window that allows nothing until SetBound.
func NewWindow(length time.Duration) *Window {
	return &Window{width: max(length/windowBuckets, time.Millisecond)}
}

// SetBound changes the share of the requests and the number of extra attempts
// besides that are allowed.
func (w *Window) SetBound(share, constant float64) { w.share, w.constant = share, constant }

// Earn records a request.
func (w *Window) Earn(now time.Time) {
	w.advance(now)
	w.requests[w.newest%ringBuckets]++
	w.sumReq++
}

// Spend records an extra attempt if it is within the given part of the bound,
// from 0 to 1, and reports whether it is. The oldest bucket, which is only
// partly within the span, counts for the extras and not for the requests.
func (w *Window) Spend(now time.Time, part float64) bool {
	w.advance(now)
	earned := w.sumReq - w.requests[(w.newest+1)%ringBuckets]
	if float64(w.sumExtra+1) > part*(w.share*float64(earned)+w.constant) {
		return false
	}
	w.extras[w.newest%ringBuckets]++
	w.sumExtra++
	return true
}

// Refund takes back an extra attempt that was not sent after all.
func (w *Window) Refund() {
	i := w.newest % ringBuckets
	if w.extras[i] > 0 {
		w.extras[i]--
		w.sumExtra--
	}
}

// advance drops the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.width)
	if bucket-w.newest >= ringBuckets {
		w.requests, w.extras = [ringBuckets]int{}, [ringBuckets]int{}
		w.sumReq, w.sumExtra, w.newest = 0, 0, bucket
		return
	}
	for w.newest < bucket {
		w.newest++
		i := w.newest % ringBuckets
		w.sumReq -= w.requests[i]
		w.sumExtra -= w.extras[i]
		w.requests[i], w.extras[i] = 0, 0
	}
}
