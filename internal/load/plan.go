package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Request is one planned request of a caller.
type Request struct {
	ID         string
	App        string
	Key        string
	Idempotent bool
	Urgent     bool
	Deadline   time.Duration
	Body       []byte
	// At is the arrival time, relative to the start of the run.
	At time.Duration
}

// Plan returns all requests of a run, ordered by arrival. Arrivals are a
// Poisson process. The same configuration and id prefix give the same plan.
func Plan(c Config, prefix string) []Request {
	rng := rand.New(rand.NewPCG(c.Seed, c.Seed))
	generator := newRequestGenerator(c, rng)
	end := time.Duration(c.ForMs) * time.Millisecond
	mean := float64(time.Second) / c.RatePerSecond
	var plan []Request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * mean)
		if at >= end {
			return plan
		}
		r := generator.next(rng)
		r.ID = prefix + "-" + strconv.Itoa(len(plan))
		r.At = at
		plan = append(plan, r)
	}
}

// requestGenerator draws requests of all apps in proportion to their weights.
type requestGenerator struct {
	apps  []App
	zipfs []*rand.Zipf
	total float64
}

func newRequestGenerator(c Config, rng *rand.Rand) requestGenerator {
	s := requestGenerator{apps: c.Apps, zipfs: make([]*rand.Zipf, len(c.Apps))}
	for i, a := range c.Apps {
		s.total += a.Weight
		if a.Keys > 0 && a.Zipf > 1 {
			s.zipfs[i] = rand.NewZipf(rng, a.Zipf, 1, a.Keys-1)
		}
	}
	return s
}

func (s requestGenerator) next(rng *rand.Rand) Request {
	i := s.pickApp(rng)
	a := s.apps[i]
	return Request{
		App:        a.Name,
		Key:        s.key(i, rng),
		Idempotent: rng.Float64() >= a.NonIdempotent,
		Urgent:     rng.Float64() < a.Urgent,
		Deadline:   time.Duration(a.DeadlineMs) * time.Millisecond,
		Body:       []byte(strings.Repeat("b", a.BodyBytes)),
	}
}

// pickApp returns the index of a random app, in proportion to the weights.
func (s requestGenerator) pickApp(rng *rand.Rand) int {
	x := rng.Float64() * s.total
	for i, a := range s.apps {
		x -= a.Weight
		if x < 0 {
			return i
		}
	}
	return len(s.apps) - 1
}

func (s requestGenerator) key(i int, rng *rand.Rand) string {
	a := s.apps[i]
	if a.Keys == 0 {
		return ""
	}
	if z := s.zipfs[i]; z != nil {
		return "k" + strconv.FormatUint(z.Uint64(), 10)
	}
	return "k" + strconv.FormatUint(rng.Uint64N(a.Keys), 10)
}
