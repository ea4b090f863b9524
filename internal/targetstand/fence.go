package targetstand

import "github.com/rhubarbring/rhubarbring/mono"

// grant is what a request says about its right to run.
type grant struct {
	slice   string
	owner   string
	epoch   uint64
	expires mono.Time
}

// fence remembers the newest grant of each slice. It is not safe for
// concurrent use.
type fence struct {
	newest map[string]grant
}

func newFence() *fence {
	return &fence{newest: map[string]grant{}}
}

// admit reports whether a grant may start a run now, and remembers it. It
// refuses a grant that has expired, an epoch below the highest seen, and a
// second owner at the same epoch. A request without a slice has no owner.
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
