package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const shardKeys = 1 << 16

// ledger knows with which epochs the lives of servers have had each key.
type ledger struct {
	mu sync.Mutex
	// newest holds for each key the highest epoch and the life that had it.
	newest [shardKeys]struct {
		epoch uint64
		life  string
	}
	broken int // Keys taken with an epoch that is not above all that other lives had.
}

// taken records that a life takes keys with an epoch, and returns how many of them
// another life has had with that epoch or a higher one.
func (l *ledger) taken(life string, first, last int, epoch uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := 0
	for k := first; k <= last; k++ {
		n := &l.newest[k]
		if n.life != "" && n.life != life && epoch <= n.epoch {
			broken++
		}
		if epoch >= n.epoch {
			n.epoch, n.life = epoch, life
		}
	}
	l.broken += broken
	return broken
}

// keyedServer holds keys for a time, as the servers of a sharded service do.
type keyedServer struct {
	server *server
	life   string
	ledger *ledger

	mu   sync.Mutex
	held [shardKeys]struct {
		epoch uint64
		seen  uint64
		until time.Time
	}
}

type keyCall struct {
	From     int    `json:"from"`
	Target   int    `json:"target"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
}

// handle handles grants and releases, and requests for keys that it does not hold. It
// reports whether it has answered.
func (k *keyedServer) handle(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/v1/grant":
		k.grant(w, r)
		return true
	case "/v1/release":
		k.release(w, r)
		return true
	}
	n, err := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	k.mu.Lock()
	holds := err == nil && n >= 0 && n < shardKeys && time.Now().Before(k.held[n].until)
	k.mu.Unlock()
	if !holds {
		k.server.refuse(w, r, http.StatusMisdirectedRequest)
		return true
	}
	return false
}

func readKeyCall(r *http.Request) (keyCall, bool) {
	var c keyCall
	err := json.NewDecoder(r.Body).Decode(&c)
	return c, err == nil && c.From >= 0 && c.From <= c.Target && c.Target < shardKeys
}

func (k *keyedServer) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	c, ok := readKeyCall(r)
	hold, err := time.ParseDuration(c.HoldTime)
	if !ok || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	isNew := false
	for n := c.From; n <= c.Target; n++ {
		if k.held[n].seen > c.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
		isNew = isNew || k.held[n].epoch != c.Fence
	}
	for n := c.From; n <= c.Target; n++ {
		k.held[n].epoch, k.held[n].seen, k.held[n].until = c.Fence, c.Fence, arrived.Add(hold)
	}
	if broken := k.ledger.taken(k.life, c.From, c.Target, c.Fence); broken > 0 {
		k.server.n.w.rec.line("%s takes keys %d to %d with epoch %d: %d of them another life has had with it, or with a higher one", k.life, c.From, c.Target, c.Fence, broken)
	} else if isNew {
		k.server.n.w.rec.line("%s takes keys %d to %d with epoch %d for %v", k.life, c.From, c.Target, c.Fence, hold)
	}
}

func (k *keyedServer) release(w http.ResponseWriter, r *http.Request) {
	c, ok := readKeyCall(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	for n := c.From; n <= c.Target; n++ {
		k.held[n].until = time.Time{}
	}
	k.mu.Unlock()
	k.server.n.w.rec.line("%s releases keys %d to %d at epoch %d", k.life, c.From, c.Target, c.Fence)
	w.Header().Set("X-Handover", k.life+"."+strconv.Itoa(c.From)+"."+strconv.FormatUint(c.Fence, 10))
}
