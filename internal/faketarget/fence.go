package faketarget

import "github.com/rhubarbring/rhubarbring/mono"

// grant is the authorization to run that a request carries.
type grant struct {
	slice   string
	owner   string
	epoch   uint64
	expires mono.Time
}

// fence remembers the newest admitted grant of each slice. It is not safe for
// concurrent use.
type fence struct {
	newest map[string]grant
}

func newFence() *fence {
	return &fence{newest: map[string]grant{}}
}

// admit reports whether a run may start under a grant now, and if so remembers
// the grant. It refuses an expired grant, an epoch below the highest admitted,
// and a second owner at the same epoch. A request without a slice has no owner
// and is always admitted.
func (f *fence) admit(g grant, now mono.Time) bool {
	if g.slice == "" {
		return true
	}
	if !now.Before(g.expires) {
		return false
	}
	seen := f.newest[g.slice]
	if g.epoch < seen.epoch {
		return false
	}
	if g.epoch == seen.epoch && seen.owner != "" && g.owner != seen.owner {
		return false
	}
	f.newest[g.slice] = g
	return true
}
