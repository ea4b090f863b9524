package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// largeAnswerBytes is the mean size of a route's answers from which its
	// requests are limited. Smaller ones do not fill a link.
	largeAnswerBytes = 16 << 10
	// maxLinkWait is how long large answers may make other messages wait for the
	// host's link.
	maxLinkWait = 200 * time.Millisecond
	// reservationTimeout is after when a reservation is dropped whose request was
	// never answered. It exceeds any deadline.
	reservationTimeout = 30 * time.Second
)

// HostLink keeps large answers from filling the link of this host to the others.
// Without it, a burst of downloads would hold up everything that the host sends:
// small answers, renewals of leases, heartbeats. A request whose large answer the
// link can't carry soon is refused when it comes, so that another gate takes it.
// HostLink is not safe for concurrent use.
type HostLink struct {
	bytesPerSecond float64
	// queued is what was sent and, at updatedAt, not yet carried.
	queued    float64
	updatedAt mono.Time
	// sizes holds the mean size of the answers of each route.
	sizes    map[string]float64
	reserved float64
	awaited  map[awaitedAnswer]reservation
}

// awaitedAnswer identifies a request of another daemon.
type awaitedAnswer struct {
	from host.Session
	seq  uint64
}

type reservation struct {
	route string
	bytes float64
	at    mono.Time
}

// NewHostLink returns a HostLink of the given capacity.
func NewHostLink(bytesPerSecond float64) *HostLink {
	return &HostLink{bytesPerSecond: bytesPerSecond, sizes: make(map[string]float64), awaited: make(map[awaitedAnswer]reservation)}
}

// Reserve reserves room for the answer to a request of another daemon, whose run
// takes about the given time. If the link has none, it returns false and after
// which time it will.
func (l *HostLink) Reserve(now mono.Time, from host.Session, seq uint64, route string, service time.Duration) (time.Duration, bool) {
	l.carry(now)
	size := l.sizes[route]
	if size >= largeAnswerBytes {
		room := l.bytesPerSecond * (service + maxLinkWait).Seconds()
		if excess := l.queued + l.reserved + size - max(room, size); excess > 0 {
			return time.Duration(excess / l.bytesPerSecond * float64(time.Second)), false
		}
	}
	key := awaitedAnswer{from: from, seq: seq}
	l.release(key)
	l.reserved += size
	l.awaited[key] = reservation{route: route, bytes: size, at: now}
	return 0, true
}

// Answered ends the reservation of a request and records the bytes that its answer
// puts on the link. Only answers of the target tell the size of a route's answers.
func (l *HostLink) Answered(now mono.Time, from host.Session, seq uint64, bytes int, fromTarget bool) {
	l.carry(now)
	l.queued += float64(bytes)
	r, ok := l.release(awaitedAnswer{from: from, seq: seq})
	if !ok || !fromTarget {
		return
	}
	mean, known := l.sizes[r.route]
	switch {
	case known:
		l.sizes[r.route] = mean + ewmaWeight*(float64(bytes)-mean)
	case len(l.sizes) < maxRoutes:
		l.sizes[r.route] = float64(bytes)
	}
}

// Cancel ends the reservation of a request that was withdrawn.
func (l *HostLink) Cancel(from host.Session, seq uint64) {
	l.release(awaitedAnswer{from: from, seq: seq})
}

// DropFrom ends the reservations of an entry daemon that is lost.
func (l *HostLink) DropFrom(from host.Session) {
	for key := range l.awaited {
		if key.from == from {
			l.release(key)
		}
	}
}

// release ends a reservation, if there is one, and returns it.
func (l *HostLink) release(key awaitedAnswer) (reservation, bool) {
	r, ok := l.awaited[key]
	delete(l.awaited, key)
	l.reserved -= r.bytes
	return r, ok
}

// Expire drops the reservations of requests that were never answered.
func (l *HostLink) Expire(now mono.Time) {
	for key, r := range l.awaited {
		if now.Sub(r.at) >= reservationTimeout {
			l.release(key)
		}
	}
}

// carry removes from the queue what the link has carried since the last call.
func (l *HostLink) carry(now mono.Time) {
	l.queued = max(l.queued-now.Sub(l.updatedAt).Seconds()*l.bytesPerSecond, 0)
	l.updatedAt = now
}
