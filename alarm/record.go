package alarm

import "slices"

// Record is the stored form of an alarm. Several daemons may report the same
// cause, so it holds the counts of each.
type Record struct {
	// Alarm holds the sums of all reports.
	Alarm Alarm `json:"alarm"`
	// Reports holds the counts of each daemon.
	Reports []Report `json:"reports"`
}

// Report holds the counts of one daemon.
type Report struct {
	Reporter string  `json:"reporter"`
	Counts   []Count `json:"counts"`
	// RaisedMs is when the daemon raised its alarm. An acknowledgement of the
	// record covers that alarm, and none that the daemon raised later. Builds
	// that don't know the field leave it out.
	RaisedMs int64 `json:"raised_ms,omitempty"`
	// Number orders the daemon's reports of one alarm.
	Number uint64 `json:"number,omitempty"`
}

// ReportOf returns the report of a daemon, if the record has one.
func (r *Record) ReportOf(reporter string) (Report, bool) {
	i := r.indexOf(reporter)
	if i < 0 {
		return Report{}, false
	}
	return r.Reports[i], true
}

func (r *Record) indexOf(reporter string) int {
	return slices.IndexFunc(r.Reports, func(one Report) bool { return one.Reporter == reporter })
}

// replacedBy reports whether a daemon's report takes the place of this one.
// Another collector may have written a later one of the same alarm already.
func (r Report) replacedBy(next Report) bool {
	return r.RaisedMs != next.RaisedMs || r.Number <= next.Number
}

func reportOf(a Alarm) Report {
	return Report{Reporter: a.Reporter, Counts: a.Counts, RaisedMs: a.RaisedMs, Number: a.Number}
}

// Merge returns the record with a daemon's alarm merged in, in place of that
// daemon's earlier report. A record that was acknowledged is replaced, because
// the alarm is then a new one for the same cause. The second result reports that
// the receiver has accepted the alarm from another daemon, so that this one need
// not deliver it.
func Merge(stored *Record, mine Alarm) (Record, bool) {
	if stored == nil || stored.Alarm.Acknowledged != nil {
		return Record{Alarm: mine, Reports: []Report{reportOf(mine)}}, false
	}
	takenByOther := stored.Alarm.Taken && stored.Alarm.Reporter != mine.Reporter
	r := Record{Alarm: stored.Alarm, Reports: slices.Clone(stored.Reports)}
	switch i := r.indexOf(mine.Reporter); {
	case i < 0:
		r.Reports = append(r.Reports, reportOf(mine))
	case r.Reports[i].replacedBy(reportOf(mine)):
		r.Reports[i] = reportOf(mine)
	}
	r.Alarm.Counts = sumCounts(r.Reports)
	r.Alarm.RaisedMs = min(stored.Alarm.RaisedMs, mine.RaisedMs)
	r.Alarm.UpdatedMs = max(stored.Alarm.UpdatedMs, mine.UpdatedMs)
	r.Alarm.Taken = stored.Alarm.Taken || mine.Taken
	if mine.Severity == Ring {
		r.Alarm.Severity = Ring
	}
	return r, takenByOther
}

// sumCounts adds up the counts of all reports by kind.
func sumCounts(reports []Report) []Count {
	totals := make(map[Kind]Count)
	for _, r := range reports {
		for _, c := range r.Counts {
			t := totals[c.Kind]
			totals[c.Kind] = Count{Kind: c.Kind, AtRisk: t.AtRisk + c.AtRisk, Now: t.Now + c.Now}
		}
	}
	var all []Count
	for _, k := range kinds {
		if c, ok := totals[k]; ok {
			all = append(all, c)
		}
	}
	return all
}
