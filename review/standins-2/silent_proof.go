package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	silentLate    = 2400 * time.Millisecond // How late check-ins come meanwhile.
	silentCrash   = 1900 * time.Millisecond // After the connections have gone silent.
	silentDown    = 300 * time.Millisecond
	silentFirst   = 700 * time.Millisecond // From the start of the next life to its first check-in.
	silentRounds  = 3
	silentServers = 7 // Of the keyed service, one of which crashes.
	silentBetween = 9 * time.Second
)

// life is one life of a server that holds keys, behind a relay.
type life struct {
	keyed *keyedServer
	seq   uint64
	stop  chan struct{}
}

// startLife starts a life of a keyed server under an id, and its check-ins.
func (w *world) startLife(n *node, id string, backend string, l *ledger, firstBeat time.Duration) (*life, error) {
	s, err := w.listenServer(n, backend, 12, answerWith(400))
	if err != nil {
		return nil, err
	}
	s.id = id
	k := &keyedServer{server: s, life: fmt.Sprintf("%s.%d", id, s.born), ledger: l}
	s.pre = k.handle
	f := &life{keyed: k, stop: make(chan struct{})}
	go func() {
		time.Sleep(firstBeat)
		for {
			select {
			case <-f.stop:
				return
			default:
			}
			f.seq++
			sendCheckIn(s, f.seq)
			time.Sleep(beatEvery)
		}
	}()
	return f, nil
}

// sendCheckIn delivers a check-in of a server to its node.
func sendCheckIn(s *server, seq uint64) {
	body, _ := json.Marshal(map[string]any{
		"service": s.n.service, "address": s.n.app, "zone": s.n.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "coldLeft": "0ms", "sequence": seq, "born": s.born,
	})
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+s.n.announce+"/v1/Instances.Heartbeat/"+s.id, "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// silentProof lets a server that holds keys crash and start again under its id. With
// the disruption, its connections have gone silent before, and its last check-ins
// come late.
func silentProof(s setup) (bool, error) {
	w, err := newWorld(s.root, s.record, 6*time.Second)
	if err != nil {
		return false, err
	}
	defer w.close()
	l := &ledger{}
	zones := []string{"north-a", "north-b", "south-a"}
	var first *life
	var between *relay
	var backend string
	for i := range silentServers + 1 {
		service := "grid"
		if i == silentServers {
			service = "pages"
		}
		n, err := w.newNode(fmt.Sprintf("node-%d", i+1), zones[i%len(zones)], service)
		if err != nil {
			return false, err
		}
		if service == "pages" {
			if _, err := w.startServer(n, 12, answerWith(400)); err != nil {
				return false, err
			}
			continue
		}
		at := n.app
		if i == 0 {
			port, err := freePort(n.ip)
			if err != nil {
				return false, err
			}
			at = fmt.Sprintf("%s:%d", n.ip, port)
			backend = at
		}
		f, err := w.startLife(n, "i-"+n.name, at, l, 0)
		if err != nil {
			return false, err
		}
		if i == 0 {
			first = f
			if between, err = newRelay(n.app, at); err != nil {
				return false, err
			}
			defer between.close()
		}
	}
	if err := w.store.configure(7, [][]any{
		{"r-1", "grid.example", "/", "safe", "1200ms", "600ms", 2, nil, 2, "grid"},
	}, [][]any{{"grid", "/health", 63, "h1", false, true, "3s", "rpc"}, {"pages", "/health", 63, "h1", false, nil, nil, nil}}); err != nil {
		return false, err
	}
	if err := w.startAll(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	served := 0
	for i := range 40 {
		c := &call{id: fmt.Sprintf("calm-%d", i), method: http.MethodGet, host: "grid.example", path: "/p?work=5", limit: pageLimit, fields: []string{fmt.Sprintf("X-Shard-Key: %d", i*1600)}}
		if r := c.send(w.rec, w.nodes[silentServers]); r.status == http.StatusOK {
			served++
		}
	}
	if served < 38 {
		return false, fmt.Errorf("only %d of 40 calm requests are served", served)
	}
	for range silentRounds {
		if first, err = w.restartUnderID(first, between, backend, l, s.trouble); err != nil {
			return false, err
		}
		time.Sleep(silentBetween)
	}
	w.rec.line("%d keys were taken with an epoch that another life has had", l.broken)
	fmt.Printf("%d keys were taken with an epoch that another life has had\n", l.broken)
	return l.broken > 0, nil
}

// restartUnderID plays one crash of a server and its next life, and returns that.
func (w *world) restartUnderID(f *life, r *relay, backend string, l *ledger, trouble bool) (*life, error) {
	s := f.keyed.server
	if trouble {
		close(f.stop) // Its check-ins from now on come late: see below.
		time.Sleep(beatEvery / 8)
		w.rec.line("%d connections to the server of %s go silent", r.silence(), s.n.name)
	}
	sentAt := time.Now()
	time.Sleep(silentCrash)
	if !trouble {
		close(f.stop)
	}
	w.rec.line("the server of %s crashes", s.n.name)
	r.shut()
	s.end()
	time.Sleep(silentDown)
	next, err := w.startLife(s.n, s.id, backend, l, silentFirst)
	if err != nil {
		return nil, err
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	w.rec.line("its next life under the same id listens")
	for sent := sentAt; trouble && sent.Before(sentAt.Add(silentCrash)); sent = sent.Add(beatEvery) {
		f.seq++
		go func(seq uint64) {
			time.Sleep(time.Until(sent.Add(silentLate)))
			w.rec.line("a check-in of the life that has ended arrives, %v late", silentLate)
			sendCheckIn(s, seq)
		}(f.seq)
	}
	return next, nil
}
