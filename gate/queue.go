package gate

import "slices"

// queue holds the jobs of one class that wait for a slot, first come first
// served. A job that leaves early leaves a hole, which is skipped later.
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
	q.jobs = append(q.jobs, j)
	q.count++
	q.bytes += len(j.req.Body)
	j.queuedIn = q
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
