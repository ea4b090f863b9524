// Package session maintains a daemon's session: its record in the platform's
// store, and its lease, which the witnesses renew.
//
// Core is the holder's side. RecordWriter repeats a conditional write until its
// outcome is known; WitnessSelector selects the witnesses. The witnesses' side
// is package witness, and package takeover records silent sessions as lost.
package session

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

// ObjectKind is the object kind of session records in the store.
const ObjectKind = "session"

// DeleteAfter is the minimum time for which a final record is kept before it is
// deleted. It is longer than a write that creates the session can stay in
// doubt (Timing.CreateTimeout), since a later one would create the record again.
const DeleteAfter = 10 * time.Minute

// State is the state of a session as recorded in the store.
type State string

// The states of a session. Lost and left are final: the record then never
// changes again and may be deleted after DeleteAfter, once no assignment names
// the session.
const (
	Live     State = "live"
	Draining State = "draining"
	Left     State = "left"
	Lost     State = "lost"
)

// Final reports whether the state is Left or Lost, which never change.
func (s State) Final() bool {
	return s == Left || s == Lost
}

// Target describes the target on a host, as the target announced itself.
type Target struct {
	App          key.App `json:"app"`
	Address      string  `json:"address"`
	Slots        int     `json:"slots"`
	Connections  int     `json:"connections"`
	ChecksGrants bool    `json:"checks_grants"`
	// Instance changes with each start of the target's process; 0 if the
	// target does not announce it.
	Instance uint64 `json:"instance,omitempty"`
}

// Record is a session's object in the store: kind "session", named by ObjectName,
// one per session. A daemon that restarts creates a new record; the one of its
// earlier session is recorded as lost by a takeover.
type Record struct {
	// Token is unique to each write, so that a writer that got no answer can
	// tell whether its write took effect.
	Token string `json:"token"`
	// Session is the host and its incarnation.
	Session host.Session `json:"session"`
	// Place is the host's region and availability zone.
	Place host.Place `json:"place"`
	// Group identifies hosts that are likely to fail together for another
	// reason than a shared zone; empty if unknown.
	Group string `json:"group,omitempty"`
	// MachineID identifies the running machine: no two running kernels share
	// it. Together with PeerAddress it shows that an earlier session of the
	// host must have ended, since only one process can listen on an address.
	// Empty if unknown.
	MachineID string `json:"machine,omitempty"`
	// PeerAddress, ControlAddress and CallerAddress are the daemon's addresses,
	// "IP:port".
	PeerAddress    string `json:"peer"`
	ControlAddress string `json:"control"`
	CallerAddress  string `json:"caller"`
	State          State  `json:"state"`
	// Generation numbers the witness sets of the session, from 1. A witness
	// that sealed a generation may still serve a later one.
	Generation uint64 `json:"generation"`
	// Witnesses are the sessions of which a majority must renew the lease. If
	// empty, the lease is renewed by writing this record.
	Witnesses []host.Session `json:"witnesses"`
	// Renewals counts the writes that renewed a lease in the store.
	Renewals uint64 `json:"renewals,omitempty"`
	// Target is the target on the host; nil until one announces itself.
	Target *Target `json:"target,omitempty"`
	// Superseded reports that a later session of the host recorded this one as
	// lost as soon as it had started. No daemon serves under this session any
	// more, but the host's target may keep its grants for up to one more lease.
	Superseded bool `json:"superseded,omitempty"`
	// Declared is set if a person declared the session lost, and nil otherwise.
	Declared *LossDeclaration `json:"declared,omitempty"`
}

// LossDeclaration is a person's declaration that the host of a session is
// destroyed.
type LossDeclaration struct {
	Who    string `json:"who"`
	Why    string `json:"why"`
	UnixMs int64  `json:"unix_ms"`
}

// ObjectName returns the object name of a session's record: "host.incarnation".
func ObjectName(s host.Session) string {
	return string(s.Host) + "." + strconv.FormatUint(s.Incarnation, 10)
}

// ParseObjectName parses an object name as returned by ObjectName.
func ParseObjectName(name string) (host.Session, bool) {
	i := strings.LastIndexByte(name, '.')
	if i <= 0 {
		return host.NoSession, false
	}
	n, err := strconv.ParseUint(name[i+1:], 10, 64)
	if err != nil {
		return host.NoSession, false
	}
	return host.Session{Host: host.ID(name[:i]), Incarnation: n}, true
}

// Encode returns the stored form of the record, JSON.
func (r *Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode parses a stored record.
func Decode(raw []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(raw, &r)
	return r, err
}

// IsSuccessorOf reports whether the process of record r can only run if that of
// record old has ended: both are of the same host and machine, listen on the
// same address, and r is the later one. It is false if r names no machine or no
// address.
func (r *Record) IsSuccessorOf(old *Record) bool {
	same := old.Session.Host == r.Session.Host && old.MachineID == r.MachineID && old.PeerAddress == r.PeerAddress
	return same && r.MachineID != "" && r.PeerAddress != "" && old.Session.Incarnation < r.Session.Incarnation
}

// StoreLeased reports whether the lease is kept in the store instead of with
// witnesses.
func (r *Record) StoreLeased() bool {
	return len(r.Witnesses) == 0
}

// Rank returns the index of a session among the record's witnesses, and whether
// it is one of them.
func (r *Record) Rank(witness host.Session) (int, bool) {
	for i, w := range r.Witnesses {
		if w == witness {
			return i, true
		}
	}
	return 0, false
}

// AsLost returns a copy of the record in state Lost, with the token of the write
// that records the loss.
func (r Record) AsLost(token string) Record {
	r.State = Lost
	r.Token = token
	return r
}

// VersionedRecord is a record with the store version at which it was read.
type VersionedRecord struct {
	Version uint64
	Record  Record
}

// Majority returns the size of the smallest majority of n witnesses.
func Majority(n int) int {
	return n/2 + 1
}
