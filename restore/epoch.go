package restore

import "time"

// counterBits is the size of an epoch's counter; the era stands above it.
const counterBits = 48

// MaxCounter is the highest counter of an epoch.
const MaxCounter = 1<<counterBits - 1

// Epoch is the fencing token of an owner. An epoch of a later era is higher than
// every one of an earlier era. Epochs of era 0 are plain counters, as they were
// before epochs carried an era.
type Epoch uint64

// NewEpoch returns the epoch with an era and a counter. It returns false if the
// counter exceeds MaxCounter.
func NewEpoch(era Era, counter uint64) (Epoch, bool) {
	if counter > MaxCounter {
		return 0, false
	}
	return Epoch(era)<<counterBits | Epoch(counter), true
}

// Era returns the era in which the epoch was given.
func (e Epoch) Era() Era {
	return Era(e >> counterBits)
}

// Counter returns the epoch's number within its era.
func (e Epoch) Counter() uint64 {
	return uint64(e & MaxCounter)
}

// InForce reports whether an entry with the epoch gives its owner anything, for
// a daemon that has seen the era seen. An entry of an earlier era was restored, or
// was written by a daemon that had not seen the restore.
func (e Epoch) InForce(seen Era) bool {
	return e.Era() == seen
}

// Next returns the epoch for a write that replaces the version replaced of an
// entry. The argument known is the highest epoch known for the entry: its own, or
// one that a target or another daemon reported. In an era a version is replaced
// at most once, so an epoch made of its revision is never given twice, even if
// the entry itself has lost the epochs before. In era 0 it is known+1.
//
// Next returns false if known is of a later era than the version, so that the
// writer is behind, or if no counter is left.
func Next(known Epoch, replaced Version) (Epoch, bool) {
	if known.Era() > replaced.Era {
		return 0, false
	}
	counter := uint64(0)
	if known.Era() == replaced.Era {
		counter = known.Counter() + 1
	}
	if replaced.Era > 0 {
		counter = max(counter, replaced.Revision)
	}
	return NewEpoch(replaced.Era, counter)
}

const (
	// NoticeTime bounds the time from a leader's first sight of a restored entry
	// until every daemon that may hold the slice has seen it.
	NoticeTime = 3 * time.Second
	// ClaimTime is how long a holder may go on with an entry that it has seen not
	// to be in force. Meanwhile it claims the slice from the leader.
	ClaimTime = 4 * time.Second
)

// UnclaimedWait returns how long a leader must have seen an entry that is not in
// force, unchanged, before it may give the slice to a session that does not claim
// it. A holder that the leader does not know of has by then seen the entry, given
// up its claim, and lost its hold.
func UnclaimedWait(lease, margin time.Duration) time.Duration {
	return NoticeTime + ClaimTime + Wait(lease, margin)
}

// Wait returns how long a daemon must have seen an entry of an earlier era
// unchanged before it may give it to another owner, and how long a daemon that
// starts waits before it takes part. A hold is prolonged only by an answer that
// shows it, so one that the store has lost has run out by then. The margin is for
// clocks that drift.
func Wait(lease, margin time.Duration) time.Duration {
	return lease + margin
}
