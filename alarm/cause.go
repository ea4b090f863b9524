package alarm

import (
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/chart"
	"github.com/rhubarbring/rhubarbring/mono"
)

// cause is everything that one fault puts at risk, and the alarm for it.
type cause struct {
	alarm Alarm
	state chart.State
	// open holds what has begun and not ended.
	open map[thing]*begun
	// total counts what came to be at risk, by kind.
	total map[Kind]int
	// restored counts what the alarm held before this daemon started. What
	// is told again after the start is among it.
	restored map[Kind]int
	// changed says that the alarm differs from the one delivered.
	changed   bool
	delivered mono.Time
	retry     mono.Time
	pause     time.Duration
}

type begun struct {
	since  mono.Time
	atRisk bool
	// told says that it stood in a delivery.
	told bool
}

func newCause(a Alarm) *cause {
	return &cause{
		alarm: a,
		state: alarmChart.Initial,
		open:  make(map[thing]*begun),
		total: make(map[Kind]int),

		restored: make(map[Kind]int),
	}
}

// risk notes that a thing has come to be at risk.
func (p *cause) risk(t thing, limit int) {
	p.open[t].atRisk = true
	p.total[t.kind]++
	if p.total[t.kind] <= p.restored[t.kind] {
		p.open[t].told = true
		return
	}
	p.changed = true
	if len(p.alarm.Subjects) < limit {
		p.alarm.Subjects = append(p.alarm.Subjects, string(t.kind)+" "+t.subject)
	}
}

// told notes that everything at risk stands in a delivery.
func (p *cause) told() {
	p.changed = false
	for _, b := range p.open {
		b.told = b.told || b.atRisk
	}
}

// end notes that a thing is over. The alarm changes only if it was at risk.
func (p *cause) end(t thing) {
	p.changed = p.changed || p.open[t].atRisk
	delete(p.open, t)
}

func (p *cause) atRisk() int {
	sum := 0
	for _, n := range p.total {
		sum += n
	}
	return sum
}

// things returns what is open in a fixed order.
func (p *cause) things() []thing {
	all := make([]thing, 0, len(p.open))
	for t := range p.open {
		all = append(all, t)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].kind != all[j].kind {
			return all[i].kind < all[j].kind
		}
		return all[i].subject < all[j].subject
	})
	return all
}

// show returns the alarm with its counts as they are now.
func (p *cause) show() Alarm {
	a := p.alarm
	a.Severity = Notice
	a.Counts = nil
	a.Subjects = append([]string(nil), a.Subjects...)
	now := make(map[Kind]int)
	for t, b := range p.open {
		if b.atRisk {
			now[t.kind]++
		}
	}
	for _, k := range kinds {
		total := max(p.total[k], p.restored[k])
		if total == 0 {
			continue
		}
		a.Counts = append(a.Counts, Count{Kind: k, AtRisk: total, Now: now[k]})
		if k != CannotSee {
			a.Severity = Ring
		}
	}
	return a
}
