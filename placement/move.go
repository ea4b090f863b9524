package placement

import (
	"strconv"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Reason says why an assignment changes.
type Reason uint8

// The reasons.
const (
	// Unowned: the slice never had an owner.
	Unowned Reason = iota + 1
	// LostOwner: the owner's session is recorded lost.
	LostOwner
	// LeftOwner: the owner's session has left after a planned stop.
	LeftOwner
	// DrainingOwner: the owner's session is stopping, or its target is gone;
	// a next owner is named.
	DrainingOwner
	// Imbalance: the owner carries more than its share; a next is named.
	Imbalance
	// NewHost: like Imbalance, and the next owner is a host that warms up.
	NewHost
	// ReleasedByOwner: the owner released the slice; the next owns it.
	ReleasedByOwner
	// NextGone: the named next owner can't take the slice any more.
	NextGone
	// HotKey: a key that keeps much of a target busy becomes a slice.
	HotKey
	// CoolKey: a carved-out key goes back to its slice's owner.
	CoolKey
	// Merged: a carved-out key is part of its slice again.
	Merged
)

var reasonNames = [...]string{
	"", "unowned", "lost_owner", "left_owner", "draining_owner", "imbalance", "new_host",
	"released_by_owner", "next_gone", "hot_key", "cool_key", "merged",
}

// String returns the reason's name as it stands in log lines.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "reason" + strconv.Itoa(int(r))
	}
	return reasonNames[r]
}

// Move is one changed assignment of a write.
type Move struct {
	Slice  key.Slice
	Reason Reason
	// From and To are the owner before and after; equal if only the next
	// owner is named or withdrawn.
	From, To host.Session
	// Next is the named next owner, or nobody.
	Next host.Session
	// Epoch is the epoch after the write.
	Epoch uint64
}

// ChangesOwner reports whether the move gives the slice to another session.
func (m Move) ChangesOwner() bool {
	return m.From != m.To
}
