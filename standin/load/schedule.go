package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// scheduleStream is the PCG stream of the schedule. It makes the schedule
// independent of other generators with the same seed.
const scheduleStream = 0x6c6f6164

// Arrival is one scheduled request.
type Arrival struct {
	// At is the scheduled start, relative to the start of the run.
	At       time.Duration
	Endpoint int
	// Request is an index into Settings.Requests. N replaces {n} in the request's
	// condition values and payload.
	Request int
	N       int
	// Resend sends a work order a second time at once, through the next endpoint.
	Resend bool
}

// Schedule returns the arrivals of a run in order of time. The arrivals are a
// Poisson process and depend only on the settings.
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
		chosen := chooseWeighted(s.Requests, rng.Float64()*total)
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

// chooseWeighted returns the index of the request whose weight interval contains
// point, which lies between 0 and the sum of the weights.
func chooseWeighted(requests []Request, point float64) int {
	for i, r := range requests {
		point -= weight(r)
		if point < 0 {
			return i
		}
	}
	return len(requests) - 1
}

func replacePlaceholder(text string, n int) string {
	return strings.ReplaceAll(text, "{n}", strconv.Itoa(n))
}
