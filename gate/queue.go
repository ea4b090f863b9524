package gate

import (
	"slices"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// queue holds the queued jobs of one level in the order of their soft
// deadlines, and in the order of arrival where these are equal. A job that
// leaves before its turn leaves a hole, which is skipped later.
type queue struct {
	jobs      []*job
	head      int // index before which all jobs have left
	count     int // number of jobs
	bodyBytes int // total size of their bodies
}

// len returns the number of jobs.
func (q *queue) len() int {
	return q.count
}

// push inserts a job behind those whose soft deadline is not later.
func (q *queue) push(j *job) {
	if q.head > len(q.jobs)/2 {
		n := copy(q.jobs, q.jobs[q.head:])
		clear(q.jobs[n:])
		q.jobs = q.jobs[:n]
		q.head = 0
	}
	at := len(q.jobs)
	for at > q.head && (q.jobs[at-1] == nil || q.jobs[at-1].softDeadline.After(j.softDeadline)) {
		at--
	}
	q.jobs = slices.Insert(q.jobs, at, j)
	q.count++
	q.bodyBytes += len(j.req.Body)
	j.queuedIn = q
	if j.flow != nil {
		j.flow.queued++
	}
}

// countUpTo returns the number of jobs whose soft deadline is not later than
// the given one.
func (q *queue) countUpTo(softDeadline mono.Time) int {
	n := 0
	for _, j := range q.jobs[q.head:] {
		if j != nil && !j.softDeadline.After(softDeadline) {
			n++
		}
	}
	return n
}

// peek returns the first job, or nil.
func (q *queue) peek() *job {
	for q.head < len(q.jobs) {
		if j := q.jobs[q.head]; j != nil {
			return j
		}
		q.head++
	}
	return nil
}

// remove removes a job from any position of the queue.
func (q *queue) remove(j *job) {
	at := q.head + slices.Index(q.jobs[q.head:], j)
	q.jobs[at] = nil
	if at == q.head {
		q.head++
	}
	q.count--
	q.bodyBytes -= len(j.req.Body)
	j.queuedIn = nil
	if j.flow != nil {
		j.flow.queued--
	}
}

// all returns the jobs in order.
func (q *queue) all() []*job {
	jobs := make([]*job, 0, q.count)
	for _, j := range q.jobs[q.head:] {
		if j != nil {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// queueOf returns the queue of a class.
func (g *Gate) queueOf(c request.Class) *queue {
	return &g.queues[c.Level()]
}

// queuedCount returns the number of queued jobs.
func (g *Gate) queuedCount() int {
	n := 0
	for i := range g.queues {
		n += g.queues[i].len()
	}
	return n
}

// queuedBytes returns the bytes of the bodies of the queued jobs.
func (g *Gate) queuedBytes() int {
	n := 0
	for i := range g.queues {
		n += g.queues[i].bodyBytes
	}
	return n
}

// queuedJobs returns the queued jobs in the order of their queues, the most urgent
// level first.
func (g *Gate) queuedJobs() []*job {
	var jobs []*job
	for i := range g.queues {
		jobs = append(jobs, g.queues[i].all()...)
	}
	return jobs
}

// allJobs returns the queued jobs in the order of their queues, the most urgent
// level first, and then the running ones by run number.
func (g *Gate) allJobs() []*job {
	jobs := g.queuedJobs()
	queued := len(jobs)
	for _, j := range g.runs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs[queued:], func(a, b *job) int { return int(a.run) - int(b.run) })
	return jobs
}

// findJob returns the queued or running job that matches, or nil. At most one
// job may match.
func (g *Gate) findJob(match func(*job) bool) *job {
	for _, j := range g.runs {
		if match(j) {
			return j
		}
	}
	for i := range g.queues {
		q := &g.queues[i]
		for _, j := range q.jobs[q.head:] {
			if j != nil && match(j) {
				return j
			}
		}
	}
	return nil
}
