package targetstatus

import "slices"

// Memory keeps the last reports of the latest instances of a target. The zero
// Memory is empty. It is not safe for concurrent use.
type Memory struct {
	reports []Report // The latest kept last; one for each instance.
}

// Keep replaces the report of an instance. Instances without a number can't be
// told apart and are not kept.
func (m *Memory) Keep(r Report) {
	if r.Instance == 0 {
		return
	}
	m.reports = slices.DeleteFunc(m.reports, func(old Report) bool { return old.Instance == r.Instance })
	if len(m.reports) == maxReported {
		m.reports = slices.Delete(m.reports, 0, 1)
	}
	m.reports = append(m.reports, r)
}

// Reports returns the reports, the latest kept last.
func (m *Memory) Reports() []Report {
	return slices.Clone(m.reports)
}
