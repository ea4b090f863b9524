package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	pageHost    = "pages.example"
	orderHost   = "orders.example"
	orderEvery  = 8 // One request in so many is an order, no two of which are the same.
	pageServers = 7 // One of them crashes at a time.
	recoverIn   = 15 * time.Second
	pageLimit   = 2500 * time.Millisecond
	serverDown  = 4500 * time.Millisecond
)

// traffic counts what became of the requests of a span.
type traffic struct {
	mu           sync.Mutex
	sent, served int
	statuses     map[string]int
}

func newTraffic() *traffic {
	return &traffic{statuses: make(map[string]int)}
}

func (t *traffic) add(c *call, r reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if r.status == http.StatusOK && r.signed && r.whole {
		t.served++
	}
	t.statuses[fmt.Sprintf("%s %d", c.host, r.status)]++
}

func (t *traffic) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d of %d requests were served: %v", t.served, t.sent, t.statuses)
}

// press sends requests to all nodes, a few at a time, for a span.
func press(w *world, name string, span time.Duration) *traffic {
	t := newTraffic()
	var all sync.WaitGroup
	for i, until := 0, time.Now().Add(span); time.Now().Before(until); i++ {
		n := w.nodes[i%len(w.nodes)]
		c := &call{id: fmt.Sprintf("%s-%d", name, i), method: http.MethodGet, host: pageHost, path: "/catalogue/?work=120", limit: pageLimit}
		if i%orderEvery == 0 {
			c.method, c.host, c.path = http.MethodPost, orderHost, "/order/?work=80"
			c.body = []byte("order " + c.id)
		}
		all.Add(1)
		go func() {
			defer all.Done()
			t.add(c, c.send(w.rec, n))
		}()
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	w.rec.line("%s: %v", name, t)
	fmt.Printf("%s: %v\n", name, t)
	return t
}

// crashesCountedAgain lets two servers crash, and then kills all processes of the
// system at the same moment, right after a configuration was acknowledged. With
// TROUBLE=fault no server crashes.
func crashesCountedAgain(s setup) (bool, error) {
	w, err := newWorld(s.root, s.record, 6*time.Second)
	if err != nil {
		return false, err
	}
	defer w.close()
	zones := []string{"north-a", "north-b", "south-a"}
	for i := range pageServers + 2 {
		service := "pages"
		if i >= pageServers {
			service = "orders"
		}
		n, err := w.newNode(fmt.Sprintf("node-%d", i+1), zones[i%3], service)
		if err != nil {
			return false, err
		}
		if _, err := w.startServer(n, 12, answerWith(400)); err != nil {
			return false, err
		}
	}
	configure := func(version int, orderTimeout string) error {
		return w.store.configure(version, [][]any{
			{"r-1", pageHost, "/", "safe", "1200ms", "400ms", 2, nil, 2, "pages"},
			{"r-2", orderHost, "/", "unsafe", orderTimeout, "500ms", 1, nil, 2, "orders"},
		}, [][]any{{"pages", "/health", 130, "h1", false, nil, nil, nil}, {"orders", "/health", 130, "h1", false, nil, nil, nil}})
	}
	if err := configure(7, "1500ms"); err != nil {
		return false, err
	}
	if err := w.startAll(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	for i := range 2 {
		if s.trouble && os.Getenv("TROUBLE") != "fault" {
			go w.crashServer(w.servers[i], 3*time.Second, serverDown)
		}
		press(w, fmt.Sprintf("crash-%d", i+1), 10*time.Second)
	}
	before := press(w, "before", 5*time.Second)
	if s.trouble {
		if err := configure(9, "1400ms"); err != nil {
			return false, err
		}
		w.rec.line("all processes of the system are killed")
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
	}
	press(w, "recovering", recoverIn+2*time.Second)
	after := press(w, "after", 8*time.Second)
	if 4*before.served < before.sent {
		return false, fmt.Errorf("less than a quarter is served before the final fault: %v", before)
	}
	return 4*after.served < after.sent, nil
}

// crashServer ends a server without notice after a while, as soon as it runs a request,
// and starts it again later.
func (w *world) crashServer(s *server, after, down time.Duration) {
	time.Sleep(after)
	for !s.isRunning() {
		time.Sleep(time.Millisecond)
	}
	w.rec.line("the server of %s crashes", s.n.name)
	s.end()
	time.Sleep(down)
	if w.isClosing() {
		return
	}
	if _, err := w.startServer(s.n, s.slots, s.run); err != nil {
		w.rec.line("the server of %s does not start: %v", s.n.name, err)
		return
	}
	w.rec.line("the server of %s is up again", s.n.name)
}
