package session

import "time"

// WitnessCount is how many witnesses a session has, if that many can be had.
const WitnessCount = 3

// Timing holds the durations that all daemons of a deployment must share.
type Timing struct {
	// Lease is how long a renewal holds, counted by the holder from the
	// instant it was sent and by the witness from the instant it came.
	Lease time.Duration
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// Margin is what a taker waits beyond the end of a lease. It must be at
	// least 2*d*Lease/(1-d), where d is the greatest relative drift of a clock.
	Margin time.Duration
	// MaxSilentRounds is how many renewals in a row a witness may leave
	// unanswered before the holder replaces it. It is a count and not a time,
	// since a holder that was paused sent none.
	MaxSilentRounds uint64
	// ProbeTimeout is how long a new witness has to answer before another is
	// tried.
	ProbeTimeout time.Duration
	// AvoidPeriod is how long a witness that did not answer is not chosen.
	AvoidPeriod time.Duration
	// RetryMin and RetryMax bound the pause before a call to the store is
	// repeated; the pause doubles from one to the other, less a random part.
	RetryMin time.Duration
	RetryMax time.Duration
	// WitnessOn is how long a session renews others after its own lease ended.
	// It lets the others go on while the store is out and some hosts are lost,
	// and delays the takeover of a session that lost most of its witnesses.
	WitnessOn time.Duration
	// CreateTimeout is how long the first write of a record may stay in doubt.
	// It must be well below DeleteAfter: a copy that is sent later could find
	// the record taken over and deleted, and write the ended session anew.
	CreateTimeout time.Duration
}

// DefaultTiming returns the durations of a deployment. A margin of 200 ms
// covers clocks that drift by up to 4.7%.
func DefaultTiming() Timing {
	return Timing{
		Lease:        2 * time.Second,
		RenewInterval:   500 * time.Millisecond,
		Margin:       200 * time.Millisecond,
		MaxSilentRounds: 6,
		ProbeTimeout:     time.Second,
		AvoidPeriod:     30 * time.Second,
		RetryMin:     100 * time.Millisecond,
		RetryMax:     5 * time.Second,
		WitnessOn:    10 * time.Second,
		CreateTimeout: DeleteAfter / 2,
	}
}

// Covered returns a duration of one clock, made long enough to have passed on
// any other: Margin over Lease is what two clocks may differ by.
func (t Timing) Covered(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*float64(t.Margin)/float64(t.Lease))
}
