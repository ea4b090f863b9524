package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Request is a request that a caller is going to make.
type Request struct {
	ID         string
	App        string
	Key        string
	Idempotent bool
	Urgent     bool
	Deadline   time.Duration
	Body       []byte
	// At is when the caller asks, counted from the start of the run.
	At time.Duration
}

// Plan returns all requests of a run, by arrival. The same configuration and
// prefix give the same plan. Arrivals are a Poisson process.
func Plan(c Config, prefix string) []Request {
	rng := rand.New(rand.NewPCG(c.Seed, c.Seed))
	sources := newSources(c, rng)
	end := time.Duration(c.ForMs) * time.Millisecond
	mean := float64(time.Second) / c.RatePerSecond
	var plan []Request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * mean)
		if at >= end {
			return plan
		}
		r := sources.draw(rng)
		r.ID = prefix + "-" + strconv.Itoa(len(plan))
		r.At = at
		plan = append(plan, r)
	}
}

// sources draws requests of all apps by their weights.
type sources struct {
	apps  []App
	zipfs []*rand.Zipf
	total float64
}

func newSources(c Config, rng *rand.Rand) sources {
	s := sources{apps: c.Apps, zipfs: make([]*rand.Zipf, len(c.Apps))}
	for i, a := range c.Apps {
		s.total += a.Weight
		if a.Keys > 0 && a.Zipf > 1 {
			s.zipfs[i] = rand.NewZipf(rng, a.Zipf, 1, a.Keys-1)
		}
	}
	return s
}

func (s sources) draw(rng *rand.Rand) Request {
	i := s.pick(rng)
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

func (s sources) pick(rng *rand.Rand) int {
	x := rng.Float64() * s.total
	for i, a := range s.apps {
		x -= a.Weight
		if x < 0 {
			return i
		}
	}
	return len(s.apps) - 1
}

func (s sources) key(i int, rng *rand.Rand) string {
	a := s.apps[i]
	if a.Keys == 0 {
		return ""
	}
	if z := s.zipfs[i]; z != nil {
		return "k" + strconv.FormatUint(z.Uint64(), 10)
	}
	return "k" + strconv.FormatUint(rng.Uint64N(a.Keys), 10)
}
