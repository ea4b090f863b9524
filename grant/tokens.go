package grant

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
)

// tokenLifetime is how long a token is kept for a grant that has not come yet.
// The grant follows the token by one write to the store; a token that is older
// belongs to a slice that went elsewhere.
const tokenLifetime = 30 * time.Second

// tokens holds the tokens of previous owners' releases until the slices are
// granted.
type tokens map[SliceEpoch]storedToken

type storedToken struct {
	text    string
	expires mono.Time
}

// put stores the token for a slice that is granted at an epoch, and drops the
// tokens that have expired.
func (t tokens) put(now mono.Time, s key.Slice, epoch uint64, text string) {
	for e, stored := range t {
		if !now.Before(stored.expires) {
			delete(t, e)
		}
	}
	t[SliceEpoch{Slice: s, Epoch: epoch}] = storedToken{text: text, expires: now.Add(tokenLifetime)}
}

// has reports whether there is a token for a slice at an epoch.
func (t tokens) has(e SliceEpoch) bool {
	_, ok := t[t.keyFor(e)]
	return ok
}

// take removes and returns the token for a slice at an epoch, if there is one.
func (t tokens) take(e SliceEpoch) string {
	k := t.keyFor(e)
	text := t[k].text
	delete(t, k)
	return text
}

// keyFor returns the key of the token for a slice at an epoch. In the store's era 0
// the token is of the epoch before. Later epochs do not count up by one: then it is
// the newest of an earlier epoch.
func (t tokens) keyFor(e SliceEpoch) SliceEpoch {
	if restore.Epoch(e.Epoch).Era() == 0 {
		return e
	}
	best := SliceEpoch{Slice: e.Slice}
	for k := range t {
		if k.Slice == e.Slice && k.Epoch <= e.Epoch && k.Epoch > best.Epoch {
			best = k
		}
	}
	return best
}
