package session

import "github.com/rhubarbring/rhubarbring/host"

// Renew asks a witness to renew the lease of a session.
type Renew struct {
	_ struct{} `cbor:",toarray"`
	// Session is the holder.
	Session host.Session
	// Witness is the session that is asked. A daemon that is another
	// session by now refuses.
	Witness host.Session
	// Seq rises with each round of renewals of the session.
	Seq uint64
	// Generation is the newest recorded witness set that names the witness;
	// 0 if none does yet.
	Generation uint64
	// Rank is the witness's place in that set, from 0.
	Rank uint8
}

// Reply is a witness's answer to a renewal.
type Reply uint8

// The replies.
const (
	// Granted: the lease runs anew for every generation above Sealed.
	Granted Reply = iota + 1
	// Ended: the session was recorded lost or left, as far as the witness
	// knows. It is never renewed again.
	Ended
	// WrongSession: the daemon is not the session that was asked.
	WrongSession
)

// Renewed answers a Renew.
type Renewed struct {
	_ struct{} `cbor:",toarray"`
	// Session, Witness and Seq are those of the Renew.
	Session host.Session
	Witness host.Session
	Seq     uint64
	// Reply is the answer.
	Reply Reply
	// Sealed is the highest generation that the witness has promised never
	// to renew; 0 if none.
	Sealed uint64
}
