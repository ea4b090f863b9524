package alarm

// Record is an alarm in the store. Several daemons may report one cause; the
// record holds what each of them counts.
type Record struct {
	// Alarm has the sums of all reports.
	Alarm Alarm `json:"alarm"`
	// Reports has each daemon's counts.
	Reports []Report `json:"reports"`
}

// Report is one daemon's part of an alarm.
type Report struct {
	Reporter string  `json:"reporter"`
	Counts   []Count `json:"counts"`
}

// Merge returns the record with a daemon's alarm taken in. A record that was
// acknowledged before is replaced: this is another alarm for the same cause.
// The second result says that the receiver has the alarm already and this
// daemon need not call it.
func Merge(stored *Record, mine Alarm) (Record, bool) {
	if stored == nil || stored.Alarm.Acknowledged != nil {
		return Record{Alarm: mine, Reports: []Report{{mine.Reporter, mine.Counts}}}, false
	}
	told := stored.Alarm.Taken && stored.Alarm.Reporter != mine.Reporter
	r := Record{Alarm: stored.Alarm}
	for _, report := range stored.Reports {
		if report.Reporter != mine.Reporter {
			r.Reports = append(r.Reports, report)
		}
	}
	r.Reports = append(r.Reports, Report{mine.Reporter, mine.Counts})
	r.Alarm.Counts = sum(r.Reports)
	r.Alarm.RaisedMs = min(stored.Alarm.RaisedMs, mine.RaisedMs)
	r.Alarm.UpdatedMs = max(stored.Alarm.UpdatedMs, mine.UpdatedMs)
	r.Alarm.Taken = stored.Alarm.Taken || mine.Taken
	if mine.Severity == Ring {
		r.Alarm.Severity = Ring
	}
	return r, told
}

func sum(reports []Report) []Count {
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
