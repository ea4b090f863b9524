package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	leaveAfter   = 300 * time.Millisecond
	leaveShare   = 0.2                     // Of the consumers.
	leaveFrom    = 8 * time.Second         // Since the start of the traffic.
	leaveFor     = 5500 * time.Millisecond // From then on.
	lateAfter    = 500 * time.Millisecond
	lateAllowed  = 5 // "A few".
	orderLimit   = 4 * time.Second
	orderTimeout = 2500 * time.Millisecond
)

// leftOrders has some consumers leave early while the servers are busy.
func leftOrders(s setup) (bool, error) {
	w, err := newWorld(s.root, s.record, 6*time.Second)
	if err != nil {
		return false, err
	}
	defer w.close()
	zones := []string{"north-a", "north-b", "south-a"}
	for i := range 5 {
		service := "orders"
		if i >= 3 {
			service = "pages"
		}
		n, err := w.newNode(fmt.Sprintf("node-%d", i+1), zones[i%3], service)
		if err != nil {
			return false, err
		}
		sv, err := w.startServer(n, 4, answerWith(400))
		if err != nil {
			return false, err
		}
		sv.beganAt = make(map[string]time.Time)
	}
	if err := w.store.configure(7, [][]any{
		{"r-1", orderHost, "/", "unsafe", fmt.Sprintf("%dms", orderTimeout.Milliseconds()), "3000ms", 1, nil, 2, "orders"},
	}, [][]any{{"orders", "/health", 130, "h1", false, nil, nil, nil}, {"pages", "/health", 130, "h1", false, nil, nil, nil}}); err != nil {
		return false, err
	}
	if err := w.startAll(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	left := make(map[string]time.Time)
	t := newTraffic()
	var mu sync.Mutex
	var all sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < leaveFrom+leaveFor+2*time.Second; i++ {
		to := w.nodes[i%len(w.nodes)]
		c := &call{id: fmt.Sprintf("order-%d", i), method: http.MethodPost, host: orderHost, path: "/order/?work=500", limit: orderLimit, body: []byte(fmt.Sprint("order ", i))}
		leaving := time.Since(began) >= leaveFrom && time.Since(began) < leaveFrom+leaveFor
		leaves := s.trouble && leaving && rand.Float64() < leaveShare
		all.Add(1)
		go func() {
			defer all.Done()
			if !leaves {
				t.add(c, c.send(w.rec, to))
				return
			}
			if at, ok := c.leave(w.rec, to); ok {
				mu.Lock()
				left[c.id] = at
				mu.Unlock()
			}
		}()
		time.Sleep(30 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(orderTimeout + time.Second)
	late := 0
	for id, at := range left {
		for _, sv := range w.servers {
			sv.mu.Lock()
			began, ran := sv.beganAt[id]
			sv.mu.Unlock()
			if ran && began.Sub(at) > lateAfter {
				late++
				w.rec.line("%s reached the server of %s %v after its consumer had left", id, sv.n.name, began.Sub(at).Round(time.Millisecond))
			}
		}
	}
	w.rec.line("%d consumers left; %d of their orders reached a server over half a second later", len(left), late)
	fmt.Printf("%v; %d consumers left; %d of their orders reached a server over half a second later\n", t, len(left), late)
	return late > lateAllowed, nil
}

// leave sends the call and closes the connection before an answer has come.
func (c *call) leave(rec *recorder, to *node) (time.Time, bool) {
	conn, err := net.DialTimeout("tcp", to.caller, time.Second)
	if err != nil {
		return time.Time{}, false
	}
	defer conn.Close()
	rec.line("%s: %s %s is sent to %s; its consumer leaves after %v", c.id, c.method, c.path, to.name, leaveAfter)
	if _, err := conn.Write(c.bytes()); err != nil {
		return time.Time{}, false
	}
	_ = conn.SetReadDeadline(time.Now().Add(leaveAfter))
	if _, err := bufio.NewReader(conn).ReadByte(); err == nil {
		return time.Time{}, false // It was answered before.
	}
	rec.line("%s: its consumer leaves", c.id)
	return time.Now(), true
}
