package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	longGrace   = 10 * time.Second // Of rayuela-mesh-large; its last sixth begins after 8.3 s.
	longLimit   = 6 * time.Second  // As for reserva-kit there.
	longOrders  = 6
	longStopped = 800 * time.Millisecond // From the SIGTERM to the orders.
)

// longGraceStop stops a machine that has 10 s for it, while servers work on orders that
// its consumers have sent.
func longGraceStop(s setup) (bool, error) {
	w, err := newWorld(s.root, s.record, longGrace)
	if err != nil {
		return false, err
	}
	defer w.close()
	zones := []string{"north-a", "north-b", "south-a"}
	for i := range 4 {
		service := "orders"
		if i == 3 {
			service = "pages"
		}
		n, err := w.newNode(fmt.Sprintf("node-%d", i+1), zones[i%3], service)
		if err != nil {
			return false, err
		}
		if _, err := w.startServer(n, 9, answerWith(400)); err != nil {
			return false, err
		}
	}
	if err := w.store.configure(7, [][]any{
		{"r-1", orderHost, "/", "unsafe", fmt.Sprintf("%dms", longLimit.Milliseconds()), "1000ms", 1, nil, 2, "orders"},
	}, [][]any{{"orders", "/health", 130, "h1", false, nil, nil, nil}, {"pages", "/health", 130, "h1", false, nil, nil, nil}}); err != nil {
		return false, err
	}
	if err := w.startAll(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	at := w.nodes[3]
	if s.trouble {
		at.terminate(w.grace)
	}
	time.Sleep(longStopped)
	replies := make([]reply, longOrders)
	var all sync.WaitGroup
	for i := range replies {
		all.Add(1)
		go func() {
			defer all.Done()
			c := &call{id: fmt.Sprintf("order-%d", i), method: http.MethodPost, host: orderHost, path: "/order/?work=5400", limit: longLimit, body: []byte("an order")}
			replies[i] = c.send(w.rec, at)
		}()
	}
	all.Wait()
	time.Sleep(time.Second)
	broken := 0
	for i, r := range replies {
		id, ran := fmt.Sprintf("order-%d", i), 0
		for _, sv := range w.servers {
			ran += sv.hasRun(id)
		}
		if ran > 0 && !(r.signed && r.whole) && r.closedAt < longLimit {
			broken++
		}
	}
	w.rec.line("%d of %d orders at which servers were at work were broken off", broken, longOrders)
	fmt.Printf("%d of %d orders at which servers were at work were broken off\n", broken, longOrders)
	return broken > 0, nil
}
