package document

import (
	"fmt"
	"sort"
	"strings"

	"github.com/rhubarbring/rhubarbring/result"
)

// Problem is one error in a document.
type Problem struct {
	// Field is the path of the field, such as "apps[0].deadline.maximum";
	// empty for the document as a whole.
	Field string `json:"field"`
	// Value is the field's value as JSON; empty if the field is absent.
	Value string `json:"value,omitempty"`
	// Reason says what is wrong with it.
	Reason string `json:"reason"`
	// Remedy says what to write instead.
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

// Problems lists all errors in a document, by field. The list of a valid
// document is empty.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if there are no problems, and otherwise an error with the
// code bad_document that wraps them.
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

// covers reports whether the list has a problem with the field, with a field
// inside it, or with a field that contains it.
func (ps Problems) covers(field string) bool {
	for _, p := range ps {
		if isWithin(field, p.Field) || isWithin(p.Field, field) {
			return true
		}
	}
	return false
}

// isWithin reports whether the inner path is the outer one or below it.
func isWithin(inner, outer string) bool {
	rest, ok := strings.CutPrefix(inner, outer)
	if !ok {
		return false
	}
	return rest == "" || outer == "" || rest[0] == '.' || rest[0] == '['
}

func (ps Problems) sort() {
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Field < ps[j].Field })
}
