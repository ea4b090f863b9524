package dedup

// answerQueue lists the entries whose answer was kept, oldest first, and counts
// the bytes of the answers that are still kept. An entry that was erased stays
// listed until its reference is popped.
type answerQueue struct {
	refs  []EntryRef
	head  int // index of the oldest reference
	bytes int // total of answerBytes
}

func (q *answerQueue) push(ref EntryRef, bytes int) {
	if q.head > len(q.refs)/2 {
		q.refs = append(q.refs[:0], q.refs[q.head:]...)
		q.head = 0
	}
	q.refs = append(q.refs, ref)
	q.bytes += bytes
}

func (q *answerQueue) pop() (EntryRef, bool) {
	if q.head == len(q.refs) {
		return EntryRef{}, false
	}
	ref := q.refs[q.head]
	q.head++
	return ref, true
}
