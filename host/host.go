// Package host names the machines that the system runs on and the lives of
// the daemons there.
package host

import (
	"strconv"
	"strings"
)

// ID names a host, unique within an environment.
type ID string

// Zone names an availability zone, unique across regions.
type Zone string

// Region names a region.
type Region string

// Place says where a host stands.
type Place struct {
	Region Region `json:"region"`
	Zone   Zone   `json:"zone"`
}

// Session identifies one life of a daemon: a daemon that restarts is a new
// session, and has promised nothing that the earlier one promised. The zero
// Session is nobody.
type Session struct {
	_           struct{} `cbor:",toarray"`
	Host        ID       `json:"host"`
	Incarnation uint64   `json:"incarnation"`
}

// Nobody is the zero Session.
var Nobody Session

// IsNobody reports whether the session is the zero Session.
func (s Session) IsNobody() bool {
	return s.Host == "" && s.Incarnation == 0
}

// String returns "host/incarnation", or "-" for nobody.
func (s Session) String() string {
	if s.IsNobody() {
		return "-"
	}
	return string(s.Host) + "/" + strconv.FormatUint(s.Incarnation, 10)
}

// ParseSession reads the form that String writes.
func ParseSession(text string) (Session, bool) {
	i := strings.LastIndexByte(text, '/')
	if i <= 0 {
		return Nobody, false
	}
	n, err := strconv.ParseUint(text[i+1:], 10, 64)
	if err != nil {
		return Nobody, false
	}
	return Session{Host: ID(text[:i]), Incarnation: n}, true
}
