package faketarget

// attempt identifies one attempt of a request.
type attempt struct {
	id     string
	number string
}

// progress is the state of an attempt.
type progress struct {
	stopped bool
	ended   bool
	stop    chan struct{} // Closed by a cancellation.
}

// attempts remembers the attempts that arrived or were cancelled, so that a
// cancellation that arrives before its request still takes effect. It is not
// safe for concurrent use.
type attempts struct {
	known map[attempt]*progress
}

func newAttempts() *attempts {
	return &attempts{known: map[attempt]*progress{}}
}

// get returns the progress of an attempt, and creates it if the attempt is new.
func (a *attempts) get(at attempt) *progress {
	p, ok := a.known[at]
	if !ok {
		p = &progress{stop: make(chan struct{})}
		a.known[at] = p
	}
	return p
}

// cancel stops the attempt unless it has ended. It reports whether the attempt
// is certain to have no effect.
func (a *attempts) cancel(at attempt) bool {
	p := a.get(at)
	if p.ended {
		return p.stopped
	}
	if !p.stopped {
		p.stopped = true
		close(p.stop)
	}
	return true
}

// end marks the attempt as ended and reports whether it took effect.
func (a *attempts) end(at attempt) bool {
	p := a.get(at)
	p.ended = true
	return !p.stopped
}
