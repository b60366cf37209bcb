package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// scheduleStream separates the generator of the schedule from others with the
// same seed.
const scheduleStream = 0x6c6f6164

// Arrival is one request of the schedule.
type Arrival struct {
	// At is the intended start, counted from the start of the run.
	At       time.Duration
	Endpoint int
	// Request is the index in Settings.Requests; N replaces {n} in its content.
	Request int
	N       int
	// Resend sends a work order a second time through the next endpoint.
	Resend bool
}

// Schedule returns the arrivals of a run. It depends only on the settings.
func Schedule(s Settings) []Arrival {
	rng := rand.New(rand.NewPCG(s.Seed, scheduleStream))
	total := 0.0
	for _, r := range s.Requests {
		total += weight(r)
	}
	end := time.Duration(s.DurationMS) * time.Millisecond
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / s.RatePerSecond * float64(time.Second))
		if at >= end {
			return out
		}
		chosen := choose(s.Requests, rng.Float64()*total)
		out = append(out, Arrival{
			At: at, Endpoint: len(out) % len(s.Endpoints), Request: chosen,
			N:      rng.IntN(max(1, s.Requests[chosen].Distinct)),
			Resend: rng.Float64() < s.Requests[chosen].ResendShare,
		})
	}
}

func weight(r Request) float64 {
	if r.Weight == 0 {
		return 1
	}
	return r.Weight
}

func choose(requests []Request, point float64) int {
	for i, r := range requests {
		point -= weight(r)
		if point < 0 {
			return i
		}
	}
	return len(requests) - 1
}

func fillIn(text string, n int) string { return strings.ReplaceAll(text, "{n}", strconv.Itoa(n)) }
