package session

import "github.com/rhubarbring/rhubarbring/host"

// Renew asks a witness to renew the lease of a session.
type Renew struct {
	_ struct{} `cbor:",toarray"`
	// Session is the holder.
	Session host.Session
	// Witness is the session that is asked. A daemon that runs under another
	// session replies WrongSession.
	Witness host.Session
	// Seq increases with each round of renewals of the session.
	Seq uint64
	// Generation is that of the recorded witness set if it names the witness,
	// and 0 otherwise.
	Generation uint64
	// Rank is the witness's index in that set, from 0.
	Rank uint8
}

// Reply is a witness's answer to a renewal.
type Reply uint8

// The replies.
const (
	// Granted: the lease is renewed for every generation above Sealed.
	Granted Reply = iota + 1
	// Ended: the witness has learned that the session, or a later one of its
	// host, was recorded as lost or left, or was deleted. It never renews the
	// session again.
	Ended
	// WrongSession: the daemon runs under another session than the one asked.
	WrongSession
)

// RenewResponse is the reply to a Renew.
type RenewResponse struct {
	_ struct{} `cbor:",toarray"`
	// Session, Witness and Seq are those of the Renew.
	Session host.Session
	Witness host.Session
	Seq     uint64
	Reply   Reply
	// Sealed is the highest generation that the witness has promised never
	// to renew, or 0 if there is none.
	Sealed uint64
}
