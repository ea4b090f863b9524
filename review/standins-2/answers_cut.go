package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	cutReaders = 48
	cutBytes   = 1 << 20   // Of an answer.
	cutPace    = 330 << 10 // Bytes a second: a whole answer takes 3.2 s.
	cutLimit   = 5 * time.Second
	cutGap     = 5 * time.Millisecond // Between two consumers.
	cutAllowed = 3                    // By the rule.
)

// answersCut has the consumers of one machine read the answers to their orders slowly.
func answersCut(s setup) (bool, error) {
	w, err := newWorld(s.root, s.record, 6*time.Second)
	if err != nil {
		return false, err
	}
	defer w.close()
	zones := []string{"north-a", "north-b", "south-a"}
	for i := range 6 {
		service := "orders"
		if i == 5 {
			service = "pages"
		}
		n, err := w.newNode(fmt.Sprintf("node-%d", i+1), zones[i%3], service)
		if err != nil {
			return false, err
		}
		if _, err := w.startServer(n, 12, answerAsked); err != nil {
			return false, err
		}
	}
	if err := w.store.configure(7, [][]any{
		{"r-1", orderHost, "/", "unsafe", fmt.Sprintf("%dms", cutLimit.Milliseconds()), "800ms", 1, nil, 2, "orders"},
	}, [][]any{{"orders", "/health", 130, "h1", false, nil, nil, nil}, {"pages", "/health", 130, "h1", false, nil, nil, nil}}); err != nil {
		return false, err
	}
	if err := w.startAll(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	at := w.nodes[5]
	receiveBuffer := 0
	if s.trouble {
		receiveBuffer = 16 << 10
	}
	replies := make(map[string]reply)
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range cutReaders {
		all.Add(1)
		go func() {
			defer all.Done()
			conn, err := dialConsumer(at.caller, receiveBuffer)
			if err != nil {
				w.rec.line("no connection to %s: %v", at.name, err)
				return
			}
			defer conn.Close()
			first := &call{id: fmt.Sprintf("first-%d", i), method: http.MethodPost, host: orderHost, path: "/order/?work=20&bytes=400", limit: cutLimit, body: []byte("a small order")}
			if r := first.on(w.rec, conn, at); r.status != http.StatusOK || !r.whole {
				return
			}
			time.Sleep(2*time.Second + time.Duration(i)*cutGap)
			c := &call{id: fmt.Sprintf("order-%d", i), method: http.MethodPost, host: orderHost, path: fmt.Sprintf("/order/?work=400&bytes=%d", cutBytes), limit: cutLimit, body: []byte("an order")}
			if s.trouble {
				c.pace = cutPace
			}
			r := c.on(w.rec, conn, at)
			mu.Lock()
			defer mu.Unlock()
			replies[c.id] = r
		}()
		time.Sleep(cutGap)
	}
	all.Wait()
	w.rec.line("%s held at most %d MB of memory; its limit is %.0f MB", at.name, peakMemory(at), w.memoryMb)
	cut := 0
	for id, r := range replies {
		ran := 0
		for _, sv := range w.servers {
			ran += sv.hasRun(id)
		}
		if ran > 0 && !r.whole && r.closedAt < cutLimit {
			cut++
		}
	}
	w.rec.line("of %d orders on kept connections, %d were run and their connection was closed without the answer", len(replies), cut)
	fmt.Printf("of %d orders on kept connections, %d were run and their connection was closed without the answer\n", len(replies), cut)
	if len(replies) < cutReaders/2 {
		return false, fmt.Errorf("only %d consumers got as far as their order", len(replies))
	}
	return cut > cutAllowed, nil
}

// on sends the call on a connection and reads the answer.
func (c *call) on(rec *recorder, conn net.Conn, to *node) reply {
	sent := time.Now()
	rec.line("%s: %s %s is sent to %s, time limit %v", c.id, c.method, c.path, to.name, c.limit)
	_ = conn.SetDeadline(sent.Add(c.limit))
	if _, err := conn.Write(c.bytes()); err != nil {
		return reply{err: err, closedAt: time.Since(sent)}
	}
	r := c.read(bufio.NewReaderSize(conn, 4<<10), sent)
	rec.line("%s: %v", c.id, r)
	return r
}

// answerAsked answers after the work, and with as many bytes, as a request asks for.
func answerAsked(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))
	answerWith(size)(w, r)
}

// peakMemory returns the most memory that a node's process has had, in MB.
func peakMemory(n *node) int {
	n.mu.Lock()
	pid := n.process.Pid
	n.mu.Unlock()
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}
