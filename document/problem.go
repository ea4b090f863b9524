package document

import (
	"fmt"
	"sort"
	"strings"

	"github.com/rhubarbring/rhubarbring/result"
)

// Problem is one fault of a document.
type Problem struct {
	// Field is the path of the field, such as "apps[0].deadline.maximum";
	// empty for the document as a whole.
	Field string `json:"field"`
	// Value is what stands there, as JSON; empty if nothing does.
	Value string `json:"value,omitempty"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
	// Remedy says what to write in its place.
	Remedy string `json:"remedy"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	field := p.Field
	if field == "" {
		field = "document"
	}
	if p.Value == "" {
		return fmt.Sprintf("%s: %s; %s", field, p.Reason, p.Remedy)
	}
	return fmt.Sprintf("%s = %s: %s; %s", field, p.Value, p.Reason, p.Remedy)
}

// Problems lists all faults of a document, by field. An empty list is a
// document without fault.
type Problems []Problem

// Error returns the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if there are no problems, else an error with the code
// bad_document that wraps them.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return &result.Error{
		Code:   result.BadDocument,
		Detail: fmt.Sprintf("%d fields are wrong", len(ps)),
		Cause:  ps,
	}
}

// covers reports whether the list already blames the field, a part of it, or
// a field that it is a part of.
func (ps Problems) covers(field string) bool {
	for _, p := range ps {
		if within(field, p.Field) || within(p.Field, field) {
			return true
		}
	}
	return false
}

// within reports whether the inner path is the outer one or below it.
func within(inner, outer string) bool {
	rest, ok := strings.CutPrefix(inner, outer)
	if !ok {
		return false
	}
	return rest == "" || outer == "" || rest[0] == '.' || rest[0] == '['
}

func (ps Problems) sort() {
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Field < ps[j].Field })
}
