package gate

import (
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
)

// nextJob returns the job to start next, or nil: one of the most urgent level that
// has any, or one of a level that was passed over UrgentBurst times. While there is
// too little room, it is shared out: a flow that starves goes first, and within a
// level the flow that has used least.
func (g *Gate) nextJob(now mono.Time) *job {
	level := g.nextLevel()
	if level == noLevel {
		return nil
	}
	j := g.queues[level].peek()
	if g.sharesRoom(now) {
		if j = g.starvingJob(now); j == nil {
			j = g.fairJob(now, level)
		}
	}
	g.countPassedOver(j.req.Class.Level())
	return j
}

// noLevel is the level that is next if no job is queued.
const noLevel = -1

// nextLevel returns the level whose job is started next.
func (g *Gate) nextLevel() int {
	first, starving := noLevel, noLevel
	for level := range g.queues {
		if g.queues[level].len() == 0 {
			continue
		}
		if first == noLevel {
			first = level
		}
		if g.passedOver[level] >= g.cfg.UrgentBurst && (starving == noLevel || g.passedOver[level] > g.passedOver[starving]) {
			starving = level
		}
	}
	if starving != noLevel {
		return starving
	}
	return first
}

// countPassedOver records that a job of a level is started before those of all other
// levels.
func (g *Gate) countPassedOver(level int) {
	for other := range g.queues {
		if other != level && g.queues[other].len() > 0 {
			g.passedOver[other]++
		}
	}
	g.passedOver[level] = 0
}

// queuedAhead returns the number of queued requests that are started before a
// new one of a class with the given soft deadline: those of its own level, more
// urgent ones until its level was passed over UrgentBurst times for each of them,
// and less urgent ones that were passed over meanwhile. While room is shared out,
// flow f counts, which may be nil.
func (g *Gate) queuedAhead(now mono.Time, class request.Class, softDeadline mono.Time, f *flow) int {
	level := class.Level()
	own := g.queues[level].countUpTo(softDeadline)
	if f != nil && g.sharesRoom(now) {
		own = g.fairlyAhead(now, level, f, g.serviceTime.mean(), softDeadline)
	}
	above := 0
	for i := range level {
		above += g.queues[i].len()
	}
	ahead := own + min(above, (own+1)*g.cfg.UrgentBurst)
	passing := ahead
	for i := level + 1; i < len(g.queues); i++ {
		ahead += min(g.queues[i].len(), passing/g.cfg.UrgentBurst)
	}
	return ahead
}

// Running describes the request with the id that the target runs: its class and
// route. It returns false if the target runs none whose answer is awaited. A call
// that the target makes names that id.
func (g *Gate) Running(id string) (class request.Class, route string, running bool) {
	j := g.runs[g.runByID[id]]
	if j == nil || j.state != stateRunning {
		return request.Normal, "", false
	}
	return j.req.Class, j.req.Route, true
}
