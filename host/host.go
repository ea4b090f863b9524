// Package host identifies the hosts that the system runs on, their location and
// the sessions of the daemons there.
package host

import (
	"strconv"
	"strings"
)

// ID is the name of a host, unique within an environment.
type ID string

// Zone is the name of an availability zone, unique across regions.
type Zone string

// Region is the name of a region.
type Region string

// Place is the location of a host.
type Place struct {
	Region Region `json:"region"`
	Zone   Zone   `json:"zone"`
}

// Session identifies one incarnation of a host's daemon. A daemon that restarts
// gets a new session, which holds none of the leases and grants of the earlier
// one and has made none of its promises, such as the seals of a witness. The
// zero Session, NoSession, stands for no daemon.
type Session struct {
	_           struct{} `cbor:",toarray"`
	Host        ID       `json:"host"`
	Incarnation uint64   `json:"incarnation"`
}

// NoSession is the zero Session, which stands for no daemon.
var NoSession Session

// IsZero reports whether the session is the zero Session.
func (s Session) IsZero() bool {
	return s.Host == "" && s.Incarnation == 0
}

// String returns "host/incarnation", or "-" for the zero Session.
func (s Session) String() string {
	if s.IsZero() {
		return "-"
	}
	return string(s.Host) + "/" + strconv.FormatUint(s.Incarnation, 10)
}

// ParseSession parses "host/incarnation", and returns false for any other text.
// It does not accept the "-" that String returns for the zero Session.
func ParseSession(text string) (Session, bool) {
	i := strings.LastIndexByte(text, '/')
	if i <= 0 {
		return NoSession, false
	}
	n, err := strconv.ParseUint(text[i+1:], 10, 64)
	if err != nil {
		return NoSession, false
	}
	return Session{Host: ID(text[:i]), Incarnation: n}, true
}
