// Package retry bounds and times the attempts that are sent in addition to the
// first one of each part: a token budget per service, the delay before a hedge,
// and a backoff with jitter.
//
// The extra load on the targets of a service that fails altogether is, in any
// second of the clock, at most 10 % of the first attempts of that second or the
// one before, whichever is more, or 3 attempts. Over its lifetime it is at most
// its share (rule extra_load) of all first attempts plus 3.
package retry

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// DefaultShare is the budget of a service that was not configured.
	DefaultShare api.PPM = 50_000
	// MaxShare bounds the budget of each service. Above it, retries of a failing
	// service can keep its targets overloaded.
	MaxShare api.PPM = 100_000
	// bucketSeconds is the time whose earnings a bucket holds.
	bucketSeconds = 10
	// minTokens lets a service with little traffic retry at all.
	minTokens = 3
	// token is one retry or hedge in the unit in which a bucket counts: a first
	// attempt earns as many units as its share in parts per million.
	token = int64(api.Whole)
)

// bucket holds the tokens of one service.
type bucket struct {
	share  int64
	tokens int64
	// attempts counts first attempts in each of the last bucketSeconds seconds.
	attempts [bucketSeconds]int64
	sum      int64
	// second is the Unix time of the newest entry of attempts.
	second int64
	// spent counts the tokens taken within second.
	spent int64
}

// Budget holds the tokens of each service.
type Budget struct {
	services map[api.ServiceName]*bucket
}

// NewBudget returns a budget without services.
func NewBudget() *Budget { return &Budget{services: make(map[api.ServiceName]*bucket)} }

// Configure sets the share of first attempts that may be repeated. It is
// bounded by MaxShare.
func (b *Budget) Configure(service api.ServiceName, share api.PPM) {
	b.get(service).share = int64(min(share, MaxShare))
}

// Drop forgets a service.
func (b *Budget) Drop(service api.ServiceName) { delete(b.services, service) }

// Earn adds what the given number of first attempts earns.
func (b *Budget) Earn(now time.Time, service api.ServiceName, attempts int) {
	s := b.get(service)
	s.advance(now.Unix())
	s.attempts[s.second%bucketSeconds] += int64(attempts)
	s.sum += int64(attempts)
	s.tokens = min(s.tokens+s.share*int64(attempts), s.capacity())
}

// Spend takes a token for one retry or hedge. False means that it must not be
// sent.
func (b *Budget) Spend(now time.Time, service api.ServiceName) bool {
	s := b.get(service)
	s.advance(now.Unix())
	s.tokens = min(s.tokens, s.capacity())
	if s.tokens < token || s.spent >= s.mostPerSecond() {
		return false
	}
	s.tokens -= token
	s.spent++
	return true
}

// Refund returns a token taken for an attempt that was not sent after all.
func (b *Budget) Refund(service api.ServiceName) {
	s := b.get(service)
	s.tokens += token
	s.spent = max(s.spent-1, 0)
}

// Tokens returns the number of retries or hedges that a service could send now.
func (b *Budget) Tokens(service api.ServiceName) float64 {
	s, ok := b.services[service]
	if !ok {
		return minTokens
	}
	return float64(s.tokens) / float64(token)
}

func (b *Budget) get(service api.ServiceName) *bucket {
	s, ok := b.services[service]
	if !ok {
		s = &bucket{share: int64(DefaultShare), tokens: minTokens * token}
		b.services[service] = s
	}
	return s
}

// capacity is what the last 10 s of first attempts earned, at least minTokens.
func (s *bucket) capacity() int64 {
	if s.share == 0 {
		return 0
	}
	return max(s.sum*s.share, minTokens*token)
}

// mostPerSecond bounds the tokens taken within a second. Without it, a full
// bucket of a 10 % share would double the load for one second.
func (s *bucket) mostPerSecond() int64 {
	before := s.attempts[(s.second+bucketSeconds-1)%bucketSeconds]
	recent := max(before, s.attempts[s.second%bucketSeconds])
	return max(recent*int64(MaxShare)/token, minTokens)
}

// advance moves the window to the given second. A clock that steps back keeps
// the newest second.
func (s *bucket) advance(second int64) {
	if second > s.second {
		s.spent = 0
	}
	if second-s.second >= bucketSeconds {
		s.attempts, s.sum, s.second = [bucketSeconds]int64{}, 0, second
		return
	}
	for s.second < second {
		s.second++
		old := &s.attempts[s.second%bucketSeconds]
		s.sum -= *old
		*old = 0
	}
}
