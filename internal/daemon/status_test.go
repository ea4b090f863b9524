package daemon

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/status"
	"github.com/rhubarbring/rhubarbring/witness"
)

// The status must list the sessions whose renewals the daemon's witness
// receives.
func TestStatusListsSessionsHeardByWitness(t *testing.T) {
	d := newRoutingPair(t, event.Info).entry
	d.lease.self = d.self
	d.lease.witness = witness.New(d.self, session.DefaultTiming().Lease)
	holder := host.Session{Host: "h", Incarnation: 3}
	now := bootclock.Now()
	d.lease.witness.Renew(now, session.Renew{Session: holder, Witness: d.self, Seq: 1, Generation: 1})
	d.lease.publishRenewed(now)
	answer, err := d.Status()
	must.NoError(t, err)
	must.Eq(t, []host.Session{holder}, answer.(status.Daemon).RenewedHere)
}
