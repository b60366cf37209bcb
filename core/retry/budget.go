// Package retry limits and schedules the attempts that are sent in addition to
// the first attempt of each part of a request. It provides a token budget for
// each service, the delay before a hedge, and a backoff with jitter.
//
// The extra load on the targets of a service that fails altogether is limited:
// the number of extra attempts in any second of the clock is at most 10 % of
// the first attempts in that second or in the one before, whichever is larger,
// or 3 attempts. Over the lifetime of the service, extra attempts are at most
// its share (rule extra_load) of all first attempts plus 3.
package retry

import (
	"time"

	"github.com/baobabsail/baobabsail/core/api"
)

const (
	// DefaultShare is the share of a service that was not configured.
	DefaultShare api.PPM = 50_000
	// MaxShare limits the share of each service. Above it, the retries of a
	// failing service can keep its targets overloaded.
	MaxShare api.PPM = 100_000
	// bucketSeconds is the time span whose first attempts determine the
	// capacity of a bucket.
	bucketSeconds = 10
	// minTokens is the minimum capacity of a bucket, so that a service with
	// little traffic can retry at all.
	minTokens = 3
	// unitsPerToken is the cost of one retry or hedge in the unit in which
	// buckets count. A first attempt earns as many units as the share in parts
	// per million.
	unitsPerToken = int64(api.Whole)
)

// bucket is the token bucket of one service.
type bucket struct {
	share  int64
	tokens int64
	// attempts is a ring buffer with the number of first attempts in each of
	// the last bucketSeconds seconds; attemptsSum is their sum.
	attempts    [bucketSeconds]int64
	attemptsSum int64
	// second is the Unix time of the newest entry of attempts.
	second int64
	// spent is the number of tokens taken within second.
	spent int64
}

// Budget holds the token buckets of all services.
type Budget struct {
	services map[api.ServiceName]*bucket
}

// NewBudget returns a budget without services. A service gets a bucket with
// minTokens tokens when it is first used.
func NewBudget() *Budget { return &Budget{services: make(map[api.ServiceName]*bucket)} }

// Configure sets the number of extra attempts as a share of first attempts. A
// share above MaxShare is reduced to it.
func (b *Budget) Configure(service api.ServiceName, share api.PPM) {
	b.get(service).share = int64(min(share, MaxShare))
}

// Retain removes the services that are not kept and had no attempt for
// bucketSeconds. The others would get minTokens new tokens if they returned.
func (b *Budget) Retain(now time.Time, keep func(api.ServiceName) bool) {
	for name, s := range b.services {
		if !keep(name) && now.Unix()-s.second >= bucketSeconds {
			delete(b.services, name)
		}
	}
}

// Earn adds the tokens that the given number of first attempts earns.
func (b *Budget) Earn(now time.Time, service api.ServiceName, attempts int) {
	s := b.get(service)
	s.advance(now.Unix())
	s.attempts[s.second%bucketSeconds] += int64(attempts)
	s.attemptsSum += int64(attempts)
	s.tokens = min(s.tokens+s.share*int64(attempts), s.capacity())
}

// Spend takes a token for one retry or hedge. It returns false if the attempt
// must not be sent.
func (b *Budget) Spend(now time.Time, service api.ServiceName) bool {
	s := b.get(service)
	s.advance(now.Unix())
	s.tokens = min(s.tokens, s.capacity())
	if s.tokens < unitsPerToken || s.spent >= s.maxPerSecond() {
		return false
	}
	s.tokens -= unitsPerToken
	s.spent++
	return true
}

// Refund returns a token that was taken for an attempt that was not sent.
func (b *Budget) Refund(service api.ServiceName) {
	s := b.get(service)
	s.tokens += unitsPerToken
	s.spent = max(s.spent-1, 0)
}

// Tokens returns the number of tokens of a service. It does not apply the
// capacity and the limit per second, as Spend does.
func (b *Budget) Tokens(service api.ServiceName) float64 {
	s, ok := b.services[service]
	if !ok {
		return minTokens
	}
	return float64(s.tokens) / float64(unitsPerToken)
}

func (b *Budget) get(service api.ServiceName) *bucket {
	s, ok := b.services[service]
	if !ok {
		s = &bucket{share: int64(DefaultShare), tokens: minTokens * unitsPerToken}
		b.services[service] = s
	}
	return s
}

// capacity is what the first attempts of the last bucketSeconds seconds earned,
// but at least minTokens tokens, or 0 if the share is 0.
func (s *bucket) capacity() int64 {
	if s.share == 0 {
		return 0
	}
	return max(s.attemptsSum*s.share, minTokens*unitsPerToken)
}

// maxPerSecond limits the tokens taken within a second. Without it, a full
// bucket with a share of 10 % would double the load for one second.
func (s *bucket) maxPerSecond() int64 {
	before := s.attempts[(s.second+bucketSeconds-1)%bucketSeconds]
	recent := max(before, s.attempts[s.second%bucketSeconds])
	return max(recent*int64(MaxShare)/unitsPerToken, minTokens)
}

// advance moves the ring buffer to the given second. If the clock steps back,
// the newest second is kept.
func (s *bucket) advance(second int64) {
	if second > s.second {
		s.spent = 0
	}
	if second-s.second >= bucketSeconds {
		s.attempts, s.attemptsSum, s.second = [bucketSeconds]int64{}, 0, second
		return
	}
	for s.second < second {
		s.second++
		old := &s.attempts[s.second%bucketSeconds]
		s.attemptsSum -= *old
		*old = 0
	}
}
