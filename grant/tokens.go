package grant

import (
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
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
	_, ok := t[e]
	return ok
}

// take removes and returns the token for a slice at an epoch, if there is one.
func (t tokens) take(e SliceEpoch) string {
	text := t[e].text
	delete(t, e)
	return text
}
