package alarm

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
}

// Merge returns the record with a daemon's alarm merged in, in place of that
// daemon's earlier report. A record that was acknowledged is replaced, because
// the alarm is then a new one for the same cause. The second result reports that
// the receiver has accepted the alarm from another daemon, so that this one need
// not deliver it.
func Merge(stored *Record, mine Alarm) (Record, bool) {
	if stored == nil || stored.Alarm.Acknowledged != nil {
		return Record{Alarm: mine, Reports: []Report{{mine.Reporter, mine.Counts}}}, false
	}
	takenByOther := stored.Alarm.Taken && stored.Alarm.Reporter != mine.Reporter
	r := Record{Alarm: stored.Alarm}
	for _, report := range stored.Reports {
		if report.Reporter != mine.Reporter {
			r.Reports = append(r.Reports, report)
		}
	}
	r.Reports = append(r.Reports, Report{mine.Reporter, mine.Counts})
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
