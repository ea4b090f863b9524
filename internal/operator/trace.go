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
	// Fields are the line's other fields in their order, as "name=value".
	Fields []string `json:"fields"`
	values map[string]string
}

// Trace is what the logs of several daemons say of a request.
type Trace struct {
	ID string `json:"id"`
	// Lines are in the order of their time. Hosts' clocks may differ.
	Lines []TraceLine `json:"lines"`
	// Settled is the place in Lines of the decision that settled the request,
	// or -1 if no line does.
	Settled int `json:"settled"`
}

// The events that Trace looks at; docs/LOG-EVENTS.md lists them.
const (
	nameAnswered = "request_answered"
	nameRejected = "request_rejected"
)

// settling are the events that may have decided what request_answered tells.
var settling = []string{"request_refused", "send_failed", "answer_dropped", "outcome_met"}

// ReadTrace gathers the lines of a request, and of the calls that its target
// made for it, from logs. It passes over what is not a log line.
func ReadTrace(id string, logs []io.Reader) (*Trace, error) {
	t := &Trace{ID: id, Settled: -1}
	for _, r := range logs {
		if err := t.read(r); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(t.Lines, func(a, b TraceLine) int { return a.At.Compare(b.At) })
	t.settle()
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
		if parsed, ok := parseLine(line); ok && t.concerns(parsed.values["id"]) {
			t.Lines = append(t.Lines, parsed)
		}
	}
	return nil
}

// concerns reports whether an id is the request's or that of a call made for
// it: such an id begins with the request's and a dot.
func (t *Trace) concerns(id string) bool {
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
		parsed.take(string(d.Key()), string(d.Value()))
	}
	return parsed, d.Err() == nil && parsed.Name != ""
}

func (l *TraceLine) take(name, value string) {
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

// settle finds the decision behind the last answer: the latest line before it
// with the answer's result, else the answer itself.
func (t *Trace) settle() {
	last := -1
	for i, l := range t.Lines {
		if l.values["id"] == t.ID && (l.Name == nameAnswered || l.Name == nameRejected) {
			last = i
		}
	}
	t.Settled = last
	if last < 0 || t.Lines[last].values["code"] == "0" {
		return
	}
	code := t.Lines[last].values["code"]
	for i := last - 1; i >= 0; i-- {
		l := t.Lines[i]
		if slices.Contains(settling, l.Name) && cmp.Or(l.values["code"], code) == code && l.values["id"] == t.ID {
			t.Settled = i
			return
		}
	}
}
