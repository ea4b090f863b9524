package placement

import (
	"strconv"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// Reason is the reason for a change of assignment.
type Reason uint8

// Reasons for a change of assignment.
const (
	// Unowned: the slice has no owner.
	Unowned Reason = iota + 1
	// LostOwner: the owner's session is recorded lost.
	LostOwner
	// LeftOwner: the owner's session has left after a planned stop.
	LeftOwner
	// DrainingOwner: the owner's session is draining, its target no longer serves
	// the app, or its region is not one of the app's; a next owner is named.
	DrainingOwner
	// Imbalance: the owner has more load than another host; a next owner is
	// named.
	Imbalance
	// NewHost: like Imbalance, and the next owner is a host that is warming up.
	NewHost
	// ReleasedByOwner: the owner released the slice; the next owner gets it.
	ReleasedByOwner
	// NextGone: the named next owner can no longer take the slice.
	NextGone
	// HotKey: a key that keeps much of a target busy is carved out as a slice.
	HotKey
	// CoolKey: a carved-out key is handed over to the owner of its parent
	// slice.
	CoolKey
	// KeyMerged: a carved-out key was merged into its parent slice.
	KeyMerged
	// ClaimedByHolder: the store restored an earlier entry of the slice, and its
	// holder claims it.
	ClaimedByHolder
	// Unclaimed: the store restored an earlier entry of the slice, and nobody
	// claims it.
	Unclaimed
)

var reasonNames = [...]string{
	"", "unowned", "lost_owner", "left_owner", "draining_owner", "imbalance", "new_host",
	"released_by_owner", "next_gone", "hot_key", "cool_key", "merged", "claimed", "unclaimed",
}

// String returns the reason's name as used in log lines.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "reason" + strconv.Itoa(int(r))
	}
	return reasonNames[r]
}

// Move is one changed assignment in a write.
type Move struct {
	Slice  key.Slice
	Reason Reason
	// From and To are the owners before and after the write. They are equal if
	// the owner does not change, as when a next owner is named or withdrawn.
	From, To host.Session
	// Next is the named next owner, or host.NoSession.
	Next host.Session
	// Epoch is the epoch after the write.
	Epoch uint64
}

// ChangesOwner reports whether the move gives the slice to another session.
func (m Move) ChangesOwner() bool {
	return m.From != m.To
}
