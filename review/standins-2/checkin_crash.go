package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

const (
	foreignCheckIns = 3
	foreignMachines = 2
	endsAllowed     = 2 // On each of the machines: three break the rule.
)

// checkinCrash sends check-ins of another writer to two machines: where the number of
// slots belongs, they hold a time.
func checkinCrash(s setup) (bool, error) {
	w, err := newWorld(s.root, s.record, 6*time.Second)
	if err != nil {
		return false, err
	}
	defer w.close()
	zones := []string{"north-a", "north-b", "south-a"}
	for i := range 6 {
		n, err := w.newNode(fmt.Sprintf("node-%d", i+1), zones[i%3], "pages")
		if err != nil {
			return false, err
		}
		if _, err := w.startServer(n, 12, answerWith(400)); err != nil {
			return false, err
		}
	}
	if err := w.store.configure(7, [][]any{
		{"r-1", pageHost, "/", "safe", "1200ms", "400ms", 2, nil, 2, "pages"},
	}, [][]any{{"pages", "/health", 130, "h1", false, nil, nil, nil}}); err != nil {
		return false, err
	}
	if err := w.startAll(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	for i := range foreignCheckIns {
		for _, sv := range w.servers[:foreignMachines] {
			if s.trouble {
				w.foreignCheckIn(sv, i)
			}
		}
		for n := 0; n < 40; n++ {
			to := w.nodes[n%len(w.nodes)]
			(&call{id: fmt.Sprintf("page-%d-%d", i, n), method: http.MethodGet, host: pageHost, path: fmt.Sprintf("/p/%d?work=20", n), limit: pageLimit}).send(w.rec, to)
			time.Sleep(100 * time.Millisecond)
		}
	}
	broken := 0
	for _, n := range w.nodes {
		n.mu.Lock()
		ends := n.ends
		n.mu.Unlock()
		w.rec.line("%s: its process has ended %d times by itself", n.name, ends)
		fmt.Printf("%s: its process has ended %d times by itself\n", n.name, ends)
		if ends > endsAllowed {
			broken++
		}
	}
	return broken >= foreignMachines, nil
}

// foreignCheckIn sends one check-in that no server sent.
func (w *world) foreignCheckIn(sv *server, i int) {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slots":%d,"state":"ready","sequence":%d,"born":%d}`, sv.n.service, sv.n.app, time.Now().UnixMilli(), 1000+i, sv.born)
	w.rec.line("a foreign check-in is sent to %s: %s", sv.n.name, body)
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+sv.n.announce+"/v1/Instances.Heartbeat/"+sv.id, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		w.rec.line("%s gives it no answer: %v", sv.n.name, err)
		return
	}
	_ = resp.Body.Close()
	w.rec.line("%s answers it with %d", sv.n.name, resp.StatusCode)
}
