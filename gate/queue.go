package gate

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/mono"
)

// queue holds the jobs of one class that wait for a slot, in the order in which
// their answers are wanted: first come first served where no time is named. A
// job that leaves early leaves a hole, which is skipped later.
type queue struct {
	jobs  []*job
	first int
	count int
	bytes int
}

func (q *queue) len() int {
	return q.count
}

func (q *queue) push(j *job) {
	if q.first > len(q.jobs)/2 {
		n := copy(q.jobs, q.jobs[q.first:])
		clear(q.jobs[n:])
		q.jobs = q.jobs[:n]
		q.first = 0
	}
	at := len(q.jobs)
	for at > q.first && (q.jobs[at-1] == nil || q.jobs[at-1].wanted.After(j.wanted)) {
		at--
	}
	q.jobs = slices.Insert(q.jobs, at, j)
	q.count++
	q.bytes += len(j.req.Body)
	j.queuedIn = q
}

// before returns how many jobs are wanted no later than an instant.
func (q *queue) before(wanted mono.Time) int {
	n := 0
	for _, j := range q.jobs[q.first:] {
		if j != nil && !j.wanted.After(wanted) {
			n++
		}
	}
	return n
}

// peek returns the first job that waits, or nil.
func (q *queue) peek() *job {
	for q.first < len(q.jobs) {
		if j := q.jobs[q.first]; j != nil {
			return j
		}
		q.first++
	}
	return nil
}

// gone takes a job out of the queue, wherever it stands.
func (q *queue) gone(j *job) {
	at := q.first + slices.Index(q.jobs[q.first:], j)
	q.jobs[at] = nil
	if at == q.first {
		q.first++
	}
	q.count--
	q.bytes -= len(j.req.Body)
	j.queuedIn = nil
}

// all returns the jobs that wait, in their order.
func (q *queue) all() []*job {
	jobs := make([]*job, 0, q.count)
	for _, j := range q.jobs[q.first:] {
		if j != nil {
			jobs = append(jobs, j)
		}
	}
	return jobs
}
