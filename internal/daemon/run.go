package daemon

import (
	"os"

	"github.com/rhubarbring/rhubarbring/session"
)

// stoppable is a daemon as Run sees it.
type stoppable interface {
	Stop()
	SessionEnded() <-chan session.State
	StopAfterSessionEnd()
}

// Run waits for a stop signal or for the end of the session, and stops the daemon. It
// returns true if the process must start another session: no signal came, also not
// while the session ended, when there is none left to stop.
func (d *Daemon) Run(signals <-chan os.Signal) bool {
	return run(d, signals)
}

func run(d stoppable, signals <-chan os.Signal) bool {
	select {
	case <-signals:
		d.Stop()
		return false
	case <-d.SessionEnded():
		d.StopAfterSessionEnd()
		return len(signals) == 0
	}
}
