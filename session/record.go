// Package session keeps a daemon's session: the record of it in the
// platform's store, and the lease that its witnesses renew.
package session

import (
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// State is the state of a session as recorded in the store.
type State string

// The states of a session. Lost and left are final: the record then changes
// only when a new session of the host replaces it.
const (
	Live     State = "live"
	Draining State = "draining"
	Left     State = "left"
	Lost     State = "lost"
)

// Target is what the target on a host announced of itself.
type Target struct {
	App          key.App `json:"app"`
	Address      string  `json:"address"`
	Slots        int     `json:"slots"`
	Connections  int     `json:"connections"`
	ChecksGrants bool    `json:"checks_grants"`
}

// Record is a session's object in the store: kind "session", named by the
// host, one per host.
type Record struct {
	// Token is unique to the write, so that a writer whose answer was lost
	// can tell whether its write landed.
	Token string `json:"token"`
	// Session is the host and its incarnation.
	Session host.Session `json:"session"`
	// Place is where the host stands.
	Place host.Place `json:"place"`
	// Peer, Control and Caller are the daemon's addresses, "IP:port".
	Peer    string `json:"peer"`
	Control string `json:"control"`
	Caller  string `json:"caller"`
	// State is the session's state.
	State State `json:"state"`
	// Witnesses are the sessions whose majority renews the lease. Empty
	// means that the lease is renewed in the store itself.
	Witnesses []host.Session `json:"witnesses"`
	// Renewals counts the renewals of a lease in the store.
	Renewals uint64 `json:"renewals,omitempty"`
	// Target is the target beside the daemon; nil until one announces itself.
	Target *Target `json:"target,omitempty"`
}
