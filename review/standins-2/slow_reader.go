package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	slowBytes   = 2 << 20
	slowPace    = 470 << 10 // Bytes a second: the whole answer takes 4.4 s.
	slowLimit   = 5 * time.Second
	slowTimeout = 5 * time.Second // Of the route.
	slowReaders = 6
)

// slowReader sends SIGTERM to a machine whose consumers read their answers slowly.
func slowReader(s setup) (bool, error) {
	w, err := newWorld(s.root, s.record, 6*time.Second)
	if err != nil {
		return false, err
	}
	defer w.close()
	zones := []string{"north-a", "north-b", "south-a", "north-a"}
	services := []string{"pages", "pages", "pages", "orders"}
	for i, zone := range zones {
		n, err := w.newNode(fmt.Sprintf("node-%d", i+1), zone, services[i])
		if err != nil {
			return false, err
		}
		if _, err := w.startServer(n, 12, answerWith(slowBytes)); err != nil {
			return false, err
		}
	}
	if err := w.store.configure(7, [][]any{
		{"r-1", "pages.example", "/", "safe", fmt.Sprintf("%dms", slowTimeout.Milliseconds()), "600ms", 1, nil, 2, "pages"},
	}, [][]any{{"pages", "/health", 130, "h1", false, nil, nil, nil}, {"orders", "/health", 130, "h1", false, nil, nil, nil}}); err != nil {
		return false, err
	}
	if err := w.startAll(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	at := w.nodes[3]
	if warm := (&call{id: "warm-up", method: http.MethodGet, host: "pages.example", path: "/p?work=20", limit: slowLimit}).send(w.rec, at); !warm.whole || warm.status != http.StatusOK {
		return false, fmt.Errorf("a calm request fails: %v", warm)
	}
	if s.trouble {
		at.terminate(w.grace)
	}
	time.Sleep(500 * time.Millisecond) // No readiness check has failed twice yet.
	replies := make([]reply, slowReaders)
	var all sync.WaitGroup
	for i := range replies {
		all.Add(1)
		go func() {
			defer all.Done()
			c := &call{id: fmt.Sprintf("slow-%d", i), method: http.MethodGet, host: "pages.example", path: "/p?work=20", limit: slowLimit, pace: slowPace, receiveBuffer: 16 << 10}
			replies[i] = c.send(w.rec, at)
		}()
	}
	all.Wait()
	broken := 0
	for _, r := range replies {
		if r.status == http.StatusOK && !r.whole && r.closedAt < slowTimeout {
			broken++
		}
		if r.status != http.StatusOK && !s.trouble {
			return false, fmt.Errorf("a request fails without the disruption: %v", r)
		}
	}
	w.rec.line("%d of %d answers were cut before their route's timeout", broken, slowReaders)
	fmt.Printf("%d of %d answers were cut before their route's timeout\n", broken, slowReaders)
	time.Sleep(2 * time.Second)
	return broken > 0, nil
}

// answerWith answers after the work that a request asks for, with a body of a length.
func answerWith(size int) func(http.ResponseWriter, *http.Request) {
	body := make([]byte, size)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(workOf(r))
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(body)
	}
}
