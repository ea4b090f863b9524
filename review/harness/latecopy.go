package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The disruptions come in spells, each within what the site allows for one entry.
const (
	refusedShare = 0.30            // srv_grey, how shed: x 0.45, for 6.5 s.
	copiedShare  = 0.03            // garble, how "extra late": x 0.03, for 5.0 s.
	spell        = 5 * time.Second // Of both.
	pause        = 3 * time.Second
	pressLength  = 96 * time.Second
)

// playLateCopy lets the only server of a service refuse some requests without
// running them, and send some of its answers a second time, where the next
// response is expected.
func playLateCopy(f *fleet, trouble bool) (int, error) {
	begin := time.Now()
	inSpell := func() bool { return time.Since(begin)%(spell+pause) < spell }
	_, err := f.add("kapari", func(s *server) {
		s.work = 40 * time.Millisecond
		rnd := rand.New(rand.NewPCG(1, 2))
		var mu sync.Mutex
		chance := func(share float64) bool {
			mu.Lock()
			defer mu.Unlock()
			return rnd.Float64() < share && inSpell()
		}
		s.refuse = func(id string) bool {
			refused := chance(refusedShare)
			if refused {
				s.rec.line("server %s refuses %s without running it", s.name, id)
			}
			return refused
		}
		if !trouble {
			return
		}
		s.arrived = func(c *serverConn, id string) {
			if c.pending != nil && inSpell() {
				s.rec.line("server %s sends an earlier answer again, where the response to %s is expected", s.name, id)
				write(c, string(c.pending))
			}
			c.pending = nil
		}
		s.answer = func(c *serverConn, _ *http.Request, _ string, head, body []byte) bool {
			if chance(copiedShare) {
				c.pending = append(append([]byte(nil), head...), body...)
			}
			return write(c, string(head)+string(body))
		}
	})
	if err != nil {
		return 0, err
	}
	if _, err := f.add("samari", func(*server) {}); err != nil {
		return 0, err
	}
	f.store.operatorWrites(config(7, nil, []route{
		{name: "r-1", host: "kapari.example", prefix: "/deposit/", kind: "unsafe", service: "kapari", timeoutMs: 1200, maxAttempts: 2},
		{name: "r-2", host: "samari.example", prefix: "/hire/", kind: "unsafe", service: "samari", timeoutMs: 800, maxAttempts: 2},
	}))
	if err := f.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	return f.pressUnsafe(pressLength), nil
}

// pressUnsafe sends deposits for a while and returns how many were refused as not
// run although they ran.
func (f *fleet) pressUnsafe(length time.Duration) int {
	var mu sync.Mutex
	var replies []reply
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	for _, m := range f.machines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &consumer{rec: f.rec, to: m.outbound}
			defer c.close()
			for time.Now().Before(until) {
				r := c.send(http.MethodPost, "kapari.example", "/deposit/2f", nil, "amount=20", 2500*time.Millisecond)
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	refusedAndRun, twice := 0, 0
	for _, r := range replies {
		runs := f.ledger.runsOf(r.id)
		promise := r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421
		if promise && len(runs) > 0 {
			refusedAndRun++
			f.rec.line("REFUSED: %s was answered %d and ran %d time(s)", r.id, r.status, len(runs))
		}
		if len(runs) > 1 {
			twice++
			f.rec.line("TWICE: %s ran %d times", r.id, len(runs))
		}
	}
	f.rec.say("%d requests that may not be repeated; refused as not run although they ran: %d; ran twice: %d", len(replies), refusedAndRun, twice)
	return refusedAndRun + twice
}
