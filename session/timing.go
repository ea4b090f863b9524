package session

import "time"

// WitnessCount is how many witnesses a session has. A session that cannot find
// that many has none and keeps its lease in the store.
const WitnessCount = 3

// Timing holds the durations that all daemons of a deployment must share.
type Timing struct {
	// Lease is how long a renewal is valid. The holder counts it from when the
	// renewal was sent, the witness from when it arrived.
	Lease time.Duration
	// RenewInterval is the time between two rounds of renewals.
	RenewInterval time.Duration
	// Margin is how long a takeover waits beyond the end of a lease. It must be
	// at least 2*d*Lease/(1-d), where d is the greatest relative drift of a
	// clock.
	Margin time.Duration
	// MaxSilentRounds is how many rounds in a row a witness may fail to grant
	// before the holder replaces it. It is a count and not a duration, since a
	// holder that was paused has sent no renewals.
	MaxSilentRounds uint64
	// ProbeTimeout is how long new witnesses have to answer before another set
	// is tried. It is also the minimum time between two attempts to replace
	// failed witnesses.
	ProbeTimeout time.Duration
	// AvoidPeriod is how long a witness that did not answer a probe is not
	// selected again.
	AvoidPeriod time.Duration
	// RetryMin and RetryMax bound the exponential backoff, with jitter, of
	// repeated calls to the store.
	RetryMin time.Duration
	RetryMax time.Duration
	// WitnessGrace is how long a session renews others after its own lease ended.
	// It keeps the others' leases alive while the store is down and some hosts
	// are lost, at the cost of delaying the takeover of a session that lost
	// most of its witnesses.
	WitnessGrace time.Duration
	// CreateTimeout is how long the first write of a record may stay in doubt.
	// It must be well below DeleteAfter: a copy sent later could find the record
	// taken over and deleted, and create the ended session anew.
	CreateTimeout time.Duration
}

// DefaultTiming returns the default durations. The margin of 200 ms covers
// clocks that drift by up to 4.7%.
func DefaultTiming() Timing {
	return Timing{
		Lease:           2 * time.Second,
		RenewInterval:   500 * time.Millisecond,
		Margin:          200 * time.Millisecond,
		MaxSilentRounds: 6,
		ProbeTimeout:    time.Second,
		AvoidPeriod:     30 * time.Second,
		RetryMin:        100 * time.Millisecond,
		RetryMax:        5 * time.Second,
		WitnessGrace:    10 * time.Second,
		CreateTimeout:   DeleteAfter / 2,
	}
}

// WithDriftMargin lengthens a duration so that, once it has passed on one
// clock, d has passed on any other: Margin/Lease is the greatest relative
// difference between the rates of two clocks.
func (t Timing) WithDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*float64(t.Margin)/float64(t.Lease))
}
