package request

import "time"

// maxPatienceRoutes bounds the routes whose callers' patience is remembered.
const maxPatienceRoutes = 1024

// Patience remembers how long the callers of each route wait at most. A caller
// that was refused and comes back has less time left than it had at first, so
// that the time that went by shows, although each attempt has its own id. It is
// used by one thread.
type Patience struct {
	longest map[string]time.Duration
}

// NewPatience returns a Patience that knows no route.
func NewPatience() *Patience {
	return &Patience{longest: make(map[string]time.Duration)}
}

// Forget drops what is known, as when the routes change.
func (p *Patience) Forget() {
	clear(p.longest)
}

// Target returns the time within which an answer to a request is of full worth,
// of which a part may have gone by: asked is the time that the caller says it
// waits, and 0 if it says none. A request that is late already has next to no
// time left.
func (p *Patience) Target(r *Request, asked time.Duration) time.Duration {
	if r.Target == 0 || asked == 0 {
		return r.Target
	}
	return max(r.Target-p.gone(r.Route, asked), time.Nanosecond)
}

// gone returns how long a caller that asks for a time has waited already.
func (p *Patience) gone(route string, asked time.Duration) time.Duration {
	longest := p.longest[route]
	if asked > longest && (longest > 0 || len(p.longest) < maxPatienceRoutes) {
		p.longest[route] = asked
		return 0
	}
	return max(longest-asked, 0)
}
