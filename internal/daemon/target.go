package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
)

// Target is the daemon's way to the target on its host, for one life of the
// target. It is safe for concurrent use.
type Target interface {
	// Address returns the target's address.
	Address() string
	// Do sends one attempt and waits for its end.
	Do(call targetclient.Call) targetclient.Reply
	// Cancel asks the target to stop a run. It returns true only if the
	// attempt did not and will not take effect.
	Cancel(id string, run uint64, wait time.Duration) bool
	// Close gives up what is kept open for later.
	Close()
}

// Granter is a Target that holds its keys itself for a time: it runs a request
// only while it was granted the request's slice. Grant and Release wait for
// their end.
type Granter interface {
	// Announced tells that the life has announced itself once more. It does
	// not wait.
	Announced()
	Grant(g grant.Grant) grant.Answer
	Release(r grant.Release) (token string, answer grant.Answer)
}

// TargetMaker returns the way to a target that has announced itself.
type TargetMaker func(a control.Announcement) Target

// ownTargets makes targets that speak the project's own protocol.
func ownTargets(a control.Announcement) Target {
	return targetclient.New(a.Address, a.Connections)
}
