// Package result defines the numbered result codes of the system and the
// outcomes that they stand for. The table in docs/RESULT-CODES.md lists every
// code and is checked against this package by a test.
package result

import "strconv"

// Code is a numbered result. Zero is success.
type Code uint16

// Outcome says what a caller may conclude about its request.
type Outcome uint8

// The outcomes of a request.
const (
	// Done: the target ran the request and the answer is whole.
	Done Outcome = iota + 1
	// NotRun: the request did not run and never will. It may be sent again.
	NotRun
	// Unknown: the request may have run. A request that is not idempotent
	// must not be sent again.
	Unknown
	// Late: the request ran, and its answer arrived after the deadline.
	Late
	// None: the code does not describe a request (start-up, documents).
	None
)

var outcomeNames = [...]string{"", "done", "not_run", "unknown", "late", "none"}

// String returns the outcome's name as it stands in headers and logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "outcome" + strconv.Itoa(int(o))
	}
	return outcomeNames[o]
}

// Info describes a code, one row of docs/RESULT-CODES.md.
type Info struct {
	Code    Code
	Name    string  // snake_case name as it stands in headers and logs.
	Outcome Outcome // What the caller may conclude.
	HTTP    int     // HTTP status that the callers' interface answers; 0 if it never does.
	Advice  string  // What the caller or operator should do.
}

// Lookup returns the description of a code, and whether the code is defined.
func Lookup(c Code) (Info, bool) {
	info, ok := byCode[c]
	return info, ok
}

// All returns every defined code in ascending order.
func All() []Info {
	out := make([]Info, len(table))
	copy(out, table)
	return out
}

// String returns the code's name.
func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return "code" + strconv.Itoa(int(c))
}

// Outcome returns what a caller may conclude from the code. A code that is
// not defined is Unknown: the careful answer.
func (c Code) Outcome() Outcome {
	if info, ok := byCode[c]; ok {
		return info.Outcome
	}
	return Unknown
}

// Error is the error type of the system's packages: a code, what it concerns
// and what to do about it.
type Error struct {
	Code   Code
	Field  string // Setting, document field, header or object concerned; may be empty.
	Detail string // What was found, in one sentence.
	Remedy string // What to do; may be empty.
	Cause  error  // The underlying error; may be nil.
}

// Error returns the error in one line: name, number, field, detail and remedy.
func (e *Error) Error() string {
	s := e.Code.String() + " (" + strconv.Itoa(int(e.Code)) + ")"
	if e.Field != "" {
		s += " " + e.Field
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Is reports whether the target is an *Error of the same code, so that
// errors.Is(err, &result.Error{Code: c}) finds a code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}
