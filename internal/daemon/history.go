package daemon

import (
	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/status"
)

// historySize is the number of assignment changes, over all slices, that a
// daemon keeps to answer operators.
const historySize = 2048

// history keeps the latest assignment changes in a circular buffer.
type history struct {
	entries []historyEntry
	next    int
}

type historyEntry struct {
	slice key.Slice
	move  status.Move
}

func (h *history) add(atMs int64, c assignment.Change) {
	e := historyEntry{
		slice: c.Slice,
		move:  status.Move{AtMs: atMs, Owner: c.To.Owner, Epoch: c.To.Epoch, Next: c.To.Next},
	}
	if len(h.entries) < historySize {
		h.entries = append(h.entries, e)
		return
	}
	h.entries[h.next] = e
	h.next = (h.next + 1) % historySize
}

// forSlice returns the recorded changes of a slice, newest last.
func (h *history) forSlice(s key.Slice) []status.Move {
	moves := []status.Move{}
	for i := range h.entries {
		e := h.entries[(h.next+i)%len(h.entries)]
		if e.slice == s {
			moves = append(moves, e.move)
		}
	}
	return moves
}
