package handover_test

import (
	"flag"
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// sliceHistory models one slice: its assignments in the store, written by the
// rules of ownership, and what its holder has admitted and released.
type sliceHistory struct {
	history  []assignment.Ownership
	released uint64 // Highest epoch that the holder released.
	spent    uint64 // Highest epoch that the target can't be granted any more.
	tickets  []handover.Ticket
	lease    mono.Time
}

// write appends the assignment after a change, or the unchanged one if a leader
// may not make that change.
func (o *sliceHistory) write(choice int) {
	s := o.history[len(o.history)-1]
	owned := s.Owner == alpha
	reassignable := !owned || o.released == s.Epoch
	switch {
	case choice == 0 && owned:
		s.Next = beta
	case choice == 1 && owned:
		s.Next = host.NoSession
	case choice == 2 && reassignable:
		s = assignment.Ownership{Owner: alpha, Epoch: s.Epoch + 1}
	case choice == 3 && reassignable:
		s = assignment.Ownership{Owner: beta, Epoch: s.Epoch + 1}
	}
	o.history = append(o.history, s)
}

// check verifies the actions of one step: no epoch is admitted after its
// release, and none is released with requests in flight.
func (o *sliceHistory) check(t *rapid.T, actions []handover.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case handover.Admit:
			must.Greater(t, max(o.released, o.spent), a.Epoch, must.Sprint("admitted after its release, or for another instance"))
		case handover.SendRelease:
			must.SliceEmpty(t, o.tickets, must.Sprint("released with requests in flight"))
			o.released = max(o.released, a.Release.Epoch)
		case handover.ReportSuperseded:
			t.Fatalf("overruled: %+v", a)
		}
	}
}

// Stale and repeated packs can reach a holder in any order. They must never make
// it admit an epoch that it released or was not granted, nor anything without a
// lease.
func TestPacksInAnyOrderNeverReviveReleasedEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHolder()
		o := &sliceHistory{history: []assignment.Ownership{{Owner: alpha, Epoch: 1}}, lease: 1000 * second}
		now := mono.Time(1)
		for range 80 {
			now += second / 2
			switch rapid.IntRange(0, 7).Draw(t, "op") {
			case 0, 1:
				o.write(rapid.IntRange(0, 3).Draw(t, "write"))
			case 2, 3:
				s := rapid.SampledFrom(o.history).Draw(t, "version")
				o.check(t, h.ApplyChange(now, assignment.Change{Slice: slice, To: s}))
			case 4:
				ticket, v := h.Begin(now, slice)
				if !v.Admitted() {
					break
				}
				must.Greater(t, max(o.released, o.spent), v.Epoch)
				must.True(t, now.Before(o.lease))
				must.SliceContains(t, o.grantedEpochs(), v.Epoch)
				o.tickets = append(o.tickets, ticket)
			case 5:
				if n := len(o.tickets); n > 0 {
					ticket := o.tickets[n-1]
					o.tickets = o.tickets[:n-1]
					o.check(t, h.End(now, ticket))
				}
				o.check(t, h.Tick(now))
			case 6:
				o.lease = now.Add(rapid.SampledFrom([]mono.Time{-second, 5 * second}).Draw(t, "lease").Sub(0))
				h.SetLease(o.lease)
			case 7:
				epoch := h.Admits(now, slice).Epoch
				if rapid.Bool().Draw(t, "replaced") {
					o.check(t, h.RenounceAll(now))
				} else {
					o.check(t, h.Renounce(now, slice, epoch))
				}
				o.spent = max(o.spent, epoch)
			}
		}
	})
}

func (o *sliceHistory) grantedEpochs() []uint64 {
	var epochs []uint64
	for _, s := range o.history {
		if s.Owner == alpha {
			epochs = append(epochs, s.Epoch)
		}
	}
	return epochs
}
