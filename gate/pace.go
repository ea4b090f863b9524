package gate

import (
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
)

const (
	// paceValidity is how long a target's statement of its pace counts. The pace of
	// such machines changes every 400 ms, so that an older statement says nothing.
	paceValidity = 400 * time.Millisecond
	// maxStatements bounds the statements that are kept. Statements of an unchanged
	// pace share two entries, so that this covers many seconds.
	maxStatements = 32
)

// pace follows how long work takes at the target, as a multiple of the usual time.
// It adds up the work that a run gets done in a span of time, since the pace may
// change within a run.
type pace struct {
	statements []statement // oldest first
	// present is the factor that counts since the last refresh.
	present float64
}

// statement is what the target stated at an instant.
type statement struct {
	at     mono.Time
	factor float64
	// work is how much a run could have done until then, in time at the usual pace.
	work time.Duration
}

// SetWorkTime records how long work takes at the target at this moment, as a
// multiple of the usual time. It counts for paceValidity.
func (g *Gate) SetWorkTime(now mono.Time, factor float64) {
	g.pace.state(now, factor)
}

// WorkTime returns how long work takes at the target at now, as a multiple of the
// usual time; 1 if the target has not stated it recently.
func (g *Gate) WorkTime(now mono.Time) float64 {
	g.pace.refresh(now)
	return g.pace.present
}

// UsualTime returns how long a run from start to end would have taken at the usual
// pace of the target. Loads that are compared between targets are measured by it, since
// a target that is slow for a moment seems to have more load than others.
func (g *Gate) UsualTime(start, end mono.Time) time.Duration {
	return g.pace.workBetween(start, end)
}

// state records a statement.
func (p *pace) state(now mono.Time, factor float64) {
	s := statement{at: now, factor: factor}
	if n := len(p.statements); n > 0 {
		s.work = p.statements[n-1].workUntil(s)
		if n > 1 && p.statements[n-1].factor == factor && p.statements[n-2].factor == factor && now.Sub(p.statements[n-2].at) <= paceValidity {
			p.statements = p.statements[:n-1]
		}
	}
	if len(p.statements) == maxStatements {
		p.statements = append(p.statements[:0], p.statements[1:]...)
	}
	p.statements = append(p.statements, s)
	p.present = factor
}

// workUntil returns how much a run could have done by the next statement. The later
// half of the time between them counts at the next pace.
func (s statement) workUntil(next statement) time.Duration {
	half := max(next.at.Sub(s.at), 0) / 2
	return s.work + workIn(half, s.factor) + workIn(half, next.factor)
}

// workIn returns how much work is done in a span next to a statement. Beyond
// paceValidity the pace counts as the usual one.
func workIn(span time.Duration, factor float64) time.Duration {
	valid := min(span, paceValidity)
	return time.Duration(float64(valid)/factor) + span - valid
}

// refresh lets a statement expire. It is called with each event on which times are
// estimated.
func (p *pace) refresh(now mono.Time) {
	p.present = 1
	if n := len(p.statements); n > 0 && now.Sub(p.statements[n-1].at) <= paceValidity {
		p.present = p.statements[n-1].factor
	}
}

// workBetween returns how long a run from start to end would have taken at the usual
// pace.
func (p *pace) workBetween(start, end mono.Time) time.Duration {
	if len(p.statements) == 0 {
		return end.Sub(start)
	}
	return max(p.workAt(end)-p.workAt(start), 0)
}

// workAt returns how much a run could have done by an instant.
func (p *pace) workAt(at mono.Time) time.Duration {
	last := len(p.statements) - 1
	if s := p.statements[last]; !at.Before(s.at) {
		return s.work + workIn(at.Sub(s.at), s.factor)
	}
	for i := last; i > 0; i-- {
		before, after := p.statements[i-1], p.statements[i]
		if at.Before(before.at) {
			continue
		}
		part := float64(at.Sub(before.at)) / float64(after.at.Sub(before.at))
		return before.work + time.Duration(part*float64(after.work-before.work))
	}
	first := p.statements[0]
	return first.work - workIn(first.at.Sub(at), first.factor)
}

// expected returns how long something takes at the present pace.
func (p *pace) expected(usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * p.present)
}
