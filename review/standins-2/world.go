package main

import (
	"errors"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"
)

// world is a small deployment: the store, the nodes and their servers.
type world struct {
	root     string // Of the repository.
	dir      string // Temporary.
	net      [2]int // Of the loopback addresses: 127.net[0].net[1].
	grace    time.Duration
	memoryMb float64
	rec      *recorder
	store    *store
	nodes    []*node
	servers  []*server
	closing  atomic.Bool
}

func newWorld(root, record string, grace time.Duration) (*world, error) {
	rec, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, net: [2]int{20 + rand.IntN(200), 1 + rand.IntN(250)}, grace: grace, memoryMb: 284, rec: rec}
	w.store, err = startStore("127.0.0.1:0")
	return w, err
}

func (w *world) isClosing() bool {
	return w.closing.Load()
}

// close ends everything that the world started.
func (w *world) close() {
	w.closing.Store(true)
	for _, n := range w.nodes {
		n.stop()
	}
	for _, s := range w.servers {
		s.end()
	}
	w.store.close()
	w.rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// startAll starts all processes, and waits until all are ready.
func (w *world) startAll(within time.Duration) error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			w.rec.line("all nodes are ready")
			return nil
		}
	}
	return errors.New("the nodes don't get ready")
}
