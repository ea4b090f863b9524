package daemon

import (
	"os"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/session"
)

// endedSession is a daemon whose session ends; signals come while it does.
type endedSession struct {
	signals chan os.Signal
	came    []os.Signal
	stopped bool
}

func (d *endedSession) Stop() { d.stopped = true }

func (d *endedSession) SessionEnded() <-chan session.State {
	ended := make(chan session.State, 1)
	ended <- session.Lost
	return ended
}

func (d *endedSession) StopAfterSessionEnd() {
	for _, s := range d.came {
		d.signals <- s
	}
}

// Guards against a session that is begun after a stop was asked for: its own stop would
// begin late, and its process would be killed.
func TestNoSessionFollowsWhenStopIsAskedForMeanwhile(t *testing.T) {
	d := &endedSession{signals: make(chan os.Signal, 1)}
	must.True(t, run(d, d.signals))
	d.came = []os.Signal{syscall.SIGTERM}
	must.False(t, run(d, d.signals))
	must.False(t, d.stopped)
}
