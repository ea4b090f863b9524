package takeover

import "github.com/rhubarbring/rhubarbring/session"

// Declare returns the write by which an operator records a session as lost
// that no majority of its witnesses can seal any more, since they were lost
// with it. It is right only if the session's host is destroyed or powered off
// for good: nothing else then keeps the old owner from serving. The token must
// be unique to the write; on a conflict the record must be read and judged
// anew.
func Declare(v session.Versioned, token string) session.Put {
	return session.Put{IfVersion: v.Version, Record: v.Record.AsLost(token)}
}
