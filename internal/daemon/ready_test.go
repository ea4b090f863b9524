package daemon

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
)

// A daemon whose session has ended refuses requests, so it must not report that
// it accepts them.
func TestDaemonIsNotRoutableAfterSessionEnd(t *testing.T) {
	d := newRoutingPair(t, event.Info).entry
	d.sessionOver.Store(true)
	must.ErrorContains(t, d.CheckRoutable(), "the session is over")
}
