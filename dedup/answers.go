package dedup

// answerQueue lists the slots whose answer was kept, oldest first, and counts
// the bytes of the answers that are still kept. The slot of an entry that was
// erased stays listed until it is popped.
type answerQueue struct {
	slots []Slot
	head  int // index of the oldest slot
	bytes int // total of answerBytes
}

func (q *answerQueue) push(slot Slot, bytes int) {
	if q.head > len(q.slots)/2 {
		q.slots = append(q.slots[:0], q.slots[q.head:]...)
		q.head = 0
	}
	q.slots = append(q.slots, slot)
	q.bytes += bytes
}

func (q *answerQueue) pop() (Slot, bool) {
	if q.head == len(q.slots) {
		return Slot{}, false
	}
	slot := q.slots[q.head]
	q.head++
	return slot, true
}
