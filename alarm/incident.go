package alarm

import (
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/statechart"
)

// incident holds the conditions of one cause and the alarm for them.
type incident struct {
	alarm Alarm
	state statechart.State
	// open holds the conditions that have begun and not ended.
	open map[conditionKey]*openCondition
	// totals counts, by kind, the conditions that have come to be at risk
	// since this daemon started.
	totals map[Kind]int
	// restored holds the counts from before this daemon started. Conditions
	// that are reported again after the start are part of these counts, so
	// they do not change the alarm.
	restored map[Kind]int
	// changed reports that the alarm differs from what was last delivered.
	changed     bool
	deliveredAt mono.Time
	retryAt     mono.Time
	retryPause  time.Duration
}

// openCondition is a condition that has begun and not ended.
type openCondition struct {
	since  mono.Time
	atRisk bool
	// delivered reports that the condition was part of a delivery while it
	// was at risk.
	delivered bool
}

func newIncident(a Alarm) *incident {
	return &incident{
		alarm:  a,
		state:  alarmChart.Initial,
		open:   make(map[conditionKey]*openCondition),
		totals: make(map[Kind]int),

		restored: make(map[Kind]int),
	}
}

// addAtRisk records that an open condition has come to be at risk. One that is
// within the restored counts was delivered before the start. limit bounds the
// alarm's subjects.
func (inc *incident) addAtRisk(k conditionKey, limit int) {
	inc.open[k].atRisk = true
	inc.totals[k.kind]++
	if inc.totals[k.kind] <= inc.restored[k.kind] {
		inc.open[k].delivered = true
		return
	}
	inc.changed = true
	if len(inc.alarm.Subjects) < limit {
		inc.alarm.Subjects = append(inc.alarm.Subjects, string(k.kind)+" "+k.subject)
	}
}

// markDelivered records that everything at risk is part of a delivery.
func (inc *incident) markDelivered() {
	inc.changed = false
	for _, cond := range inc.open {
		cond.delivered = cond.delivered || cond.atRisk
	}
}

// remove removes a condition that has ended. The alarm changes only if the
// condition was at risk.
func (inc *incident) remove(k conditionKey) {
	inc.changed = inc.changed || inc.open[k].atRisk
	delete(inc.open, k)
}

// totalAtRisk returns the number of conditions of all kinds that have come to be
// at risk since this daemon started.
func (inc *incident) totalAtRisk() int {
	sum := 0
	for _, n := range inc.totals {
		sum += n
	}
	return sum
}

// sortedKeys returns the open conditions, sorted by kind and subject.
func (inc *incident) sortedKeys() []conditionKey {
	all := make([]conditionKey, 0, len(inc.open))
	for k := range inc.open {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].kind != all[j].kind {
			return all[i].kind < all[j].kind
		}
		return all[i].subject < all[j].subject
	})
	return all
}

// snapshot returns the alarm with its present counts and severity.
func (inc *incident) snapshot() Alarm {
	a := inc.alarm
	a.Severity = Notice
	a.Counts = nil
	a.Subjects = append([]string(nil), a.Subjects...)
	now := make(map[Kind]int)
	for k, cond := range inc.open {
		if cond.atRisk {
			now[k.kind]++
		}
	}
	for _, k := range kinds {
		total := max(inc.totals[k], inc.restored[k])
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
