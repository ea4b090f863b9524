package daemon

import (
	"time"

	"github.com/rhubarbring/rhubarbring/grant"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
)

// Target is the connection to one instance of the target on this host. It is
// safe for concurrent use.
type Target interface {
	Address() string
	// Do sends one run of a request and waits until it has ended.
	Do(call targetclient.Call) targetclient.Reply
	// Cancel asks the target to stop a run, and waits for up to the given time.
	// It returns true only if the run did not and will not take effect.
	Cancel(id string, run uint64, wait time.Duration) bool
	// IsListening reports whether a process listens at the target's address. It
	// is false only if the host refuses connections there.
	IsListening() bool
	// Close releases connections kept open for reuse.
	Close()
}

// GrantHolder is a Target that tracks which slices it may serve: it runs a
// request only while it has a grant for the slice. Grants are for a limited
// time. Grant and Release wait for the answer.
type GrantHolder interface {
	// Announced reports that the instance has announced itself again. It does
	// not block.
	Announced()
	Grant(g grant.Grant) grant.Reply
	Release(r grant.Release) grant.Reply
	// Retire opens no more connections: the next one might lead to another process.
	// Requests and calls go out on open ones only. It does not block.
	Retire()
	// HasEnded reports whether the process of the instance has surely ended: it has
	// closed every connection, at least one of them unannounced. It does not block and
	// opens no connection.
	HasEnded() bool
}

// TargetFactory returns the Target for a target that has announced itself.
type TargetFactory func(a control.Announcement) Target

// defaultTargets makes targets that use the built-in protocol.
func defaultTargets(a control.Announcement) Target {
	return targetclient.New(a.Address, a.Connections)
}
