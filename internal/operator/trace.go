package operator

import (
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/rhubarbring/rhubarbring/result"
)

// TraceLine is one log line about a request.
type TraceLine struct {
	At   time.Time `json:"at"`
	Host string    `json:"host"`
	Name string    `json:"name"`
	// Fields are the line's other fields but event and level, in their order, as
	// "name=value".
	Fields []string `json:"fields"`
	values map[string]string
}

// Trace holds the log lines of several daemons about a request.
type Trace struct {
	ID string `json:"id"`
	// Lines are sorted by time. Hosts' clocks may differ.
	Lines []TraceLine `json:"lines"`
	// Decision is the index in Lines of the decision that determined the
	// request's result, or -1 if there is none.
	Decision int `json:"settled"`
}

// The log events of an answer to the caller; docs/LOG-EVENTS.md lists all
// events.
const (
	eventAnswered = "request_answered"
	eventRejected = "request_rejected"
)

// decisionEvents are the events that may have decided the result that the
// answer reports.
var decisionEvents = []string{"request_refused", "send_failed", "answer_dropped", "outcome_met"}

// ReadTrace collects the lines of a request, and of the calls that its target
// made for it, from logs. It skips text that is not a log line.
func ReadTrace(id string, logs []io.Reader) (*Trace, error) {
	t := &Trace{ID: id, Decision: -1}
	for _, r := range logs {
		if err := t.read(r); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b TraceLine) int { return a.At.Compare(b.At) })
	t.findDecision()
	return t, nil
}

func (t *Trace) read(r io.Reader) error {
	raw, err := io.ReadAll(r)
	if err != nil {
		return &result.Error{Code: result.BadRequest, Detail: "the log can't be read", Cause: err}
	}
	for line := range strings.Lines(string(raw)) {
		if !strings.Contains(line, t.ID) {
			continue
		}
		if parsed, ok := parseLine(line); ok && t.isAbout(parsed.values["id"]) {
			t.Lines = append(t.Lines, parsed)
		}
	}
	return nil
}

// isAbout reports whether an id is the request's or that of a call made for it,
// which begins with the request's id and a dot.
func (t *Trace) isAbout(id string) bool {
	return id == t.ID || strings.HasPrefix(id, t.ID+".")
}

func parseLine(line string) (TraceLine, bool) {
	at := strings.Index(line, "host=")
	if at < 0 {
		return TraceLine{}, false
	}
	parsed := TraceLine{values: make(map[string]string)}
	d := logfmt.NewDecoder(strings.NewReader(line[at:]))
	if !d.ScanRecord() {
		return parsed, false
	}
	for d.ScanKeyval() {
		parsed.setField(string(d.Key()), string(d.Value()))
	}
	return parsed, d.Err() == nil && parsed.Name != ""
}

func (l *TraceLine) setField(name, value string) {
	l.values[name] = value
	switch name {
	case "host":
		l.Host = value
	case "ts":
		l.At, _ = time.Parse(time.RFC3339Nano, value) // A line without its time sorts first.
	case "name":
		l.Name = value
	case "event", "level":
	default:
		l.Fields = append(l.Fields, name+"="+value)
	}
}

// findDecision finds the decision that led to the last answer: for a failure the
// latest decision before it that has the same result code or none, otherwise, or
// if there is no such decision, the answer itself.
func (t *Trace) findDecision() {
	last := -1
	for i, l := range t.Lines {
		if l.values["id"] == t.ID && (l.Name == eventAnswered || l.Name == eventRejected) {
			last = i
		}
	}
	t.Decision = last
	if last < 0 || t.Lines[last].values["code"] == "0" {
		return
	}
	code := t.Lines[last].values["code"]
	for i := last - 1; i >= 0; i-- {
		l := t.Lines[i]
		if slices.Contains(decisionEvents, l.Name) && cmp.Or(l.values["code"], code) == code && l.values["id"] == t.ID {
			t.Decision = i
			return
		}
	}
}
