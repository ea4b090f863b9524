package daemon

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
)

// A daemon whose session ended has closed its address to callers: it must not
// say that it takes requests.
func TestADaemonWhoseSessionEndedIsNotReady(t *testing.T) {
	d := newRoutingPair(t, event.Info).entry
	d.over.Store(true)
	must.ErrorContains(t, d.CanRoute(), "the session is over")
}
