package idmemory

// answerQueue lists the entries that keep an answer, oldest first.
type answerQueue struct {
	slots []Slot
	first int
	bytes int
}

func (q *answerQueue) push(slot Slot, bytes int) {
	if q.first > len(q.slots)/2 {
		q.slots = append(q.slots[:0], q.slots[q.first:]...)
		q.first = 0
	}
	q.slots = append(q.slots, slot)
	q.bytes += bytes
}

func (q *answerQueue) pop() (Slot, bool) {
	if q.first == len(q.slots) {
		return Slot{}, false
	}
	slot := q.slots[q.first]
	q.first++
	return slot, true
}
