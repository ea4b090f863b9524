package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryLimitMB  = 284      // memoryMb of the site's machines.
	allowedBody    = 60 << 20 // Bytes; maxBodyBytes is 67108864.
	ordinaryBody   = 24_000   // Bytes; the largest of the site's requests.
	largeRounds    = 3
	keptConsumers  = 4
	largeApart     = 8 * time.Second
	memoryInterval = 5 * time.Millisecond
)

// playLargeBody sends requests whose bodies are as long as the operator's limits
// allow, while other consumers use the same machines.
func playLargeBody(f *fleet, trouble bool) (int, error) {
	for _, service := range []string{"kapari", "kapari", "kapari", "samari", "samari"} {
		if _, err := f.add(service, func(s *server) { s.work = 150 * time.Millisecond }); err != nil {
			return 0, err
		}
	}
	f.store.operatorWrites(config(7, nil, []route{
		{name: "r-1", host: "kapari.example", prefix: "/deposit/", kind: "unsafe", service: "kapari", timeoutMs: 1200, maxAttempts: 2},
		{name: "r-2", host: "samari.example", prefix: "/hire/", kind: "unsafe", service: "samari", timeoutMs: 800, maxAttempts: 2},
	}))
	if err := f.startAll(); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	var over atomic.Bool
	var ends atomic.Int64
	var wg sync.WaitGroup
	used := f.machines[3:]
	for _, m := range used {
		wg.Add(1)
		go func() { defer wg.Done(); f.enforceMemory(m, &over, &ends) }()
	}
	lost := f.pressKept(used, &over, &wg)
	size := ordinaryBody
	if trouble {
		size = allowedBody
	}
	body := strings.Repeat("x", size)
	for range largeRounds {
		for _, m := range used {
			c := &consumer{rec: f.rec, to: m.outbound}
			f.rec.line("the next request has a body of %d bytes", size)
			c.send(http.MethodPost, "kapari.example", "/deposit/2f", nil, body, 2500*time.Millisecond)
			c.close()
		}
		time.Sleep(largeApart)
	}
	over.Store(true)
	wg.Wait()
	f.rec.say("requests with %d bytes: %d; processes ended for more than %d MB of memory: %d", size, largeRounds*len(used), memoryLimitMB, ends.Load())
	f.rec.say("other requests from kept connections that ran and whose connection was closed without an answer: %d (three are allowed)", lost.Load())
	if lost.Load() <= 3 {
		return 0, nil
	}
	return int(lost.Load()), nil
}

// pressKept lets consumers send to machines on kept connections, and counts the
// requests that were passed on to a server and whose connection was closed without
// an answer.
func (f *fleet) pressKept(machines []*machine, over *atomic.Bool, wg *sync.WaitGroup) *atomic.Int64 {
	var lost atomic.Int64
	for _, m := range machines {
		for range keptConsumers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &consumer{rec: f.rec, to: m.outbound}
				defer c.close()
				answered := 0
				for !over.Load() {
					r := c.send(http.MethodPost, "kapari.example", "/deposit/2f", nil, "amount=20", 2500*time.Millisecond)
					isTimeout := errors.Is(r.err, os.ErrDeadlineExceeded)
					if r.err != nil && !isTimeout && answered > 0 && len(f.ledger.runsOf(r.id)) > 0 {
						lost.Add(1)
						f.rec.line("LOST: %s came on a connection that had %d answers, ran, and its connection was closed: %v", r.id, answered, r.err)
					}
					answered++
					if r.err != nil {
						answered = 0
						time.Sleep(300 * time.Millisecond)
					}
				}
			}()
		}
	}
	return &lost
}

// enforceMemory ends a machine's process when it takes more memory than its limit,
// as the platform does, and starts it again a second later.
func (f *fleet) enforceMemory(m *machine, over *atomic.Bool, ends *atomic.Int64) {
	for !over.Load() {
		time.Sleep(memoryInterval)
		mb, err := residentMB(m)
		if err != nil || mb <= memoryLimitMB {
			continue
		}
		ends.Add(1)
		f.rec.line("machine %s: the sidecar takes %d MB and is ended", m.name, mb)
		m.kill()
		time.Sleep(time.Second)
		if err := f.startSidecar(m); err != nil {
			return
		}
	}
}

// residentMB returns the resident memory of a machine's process in MB (10^6 bytes).
func residentMB(m *machine) (int, error) {
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(m.process.Process.Pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb * 1024 / 1_000_000, nil
		}
	}
	return 0, errors.New("no VmRSS")
}
