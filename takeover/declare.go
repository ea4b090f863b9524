package takeover

import "github.com/rhubarbring/rhubarbring/session"

// DeclareLost returns the write by which an operator records a session as lost when
// no majority of its witnesses can seal it any more because they were lost with
// it. It is safe only if the session's host is destroyed or powered off for
// good: without seals nothing else keeps the old owner from serving. The token
// must be unique to the write. On a conflict the caller must read the record
// again and decide anew.
func DeclareLost(v session.VersionedRecord, token string) session.Put {
	return session.Put{IfVersion: v.Version, Record: v.Record.AsLost(token)}
}
