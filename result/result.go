// Package result defines the numbered result codes of the system and the
// request outcomes that they imply. The table in docs/RESULT-CODES.md lists
// every code; a test checks it against this package.
package result

import "strconv"

// Code is a result code. Zero is success.
type Code uint16

// Outcome is what a caller may conclude about its request.
type Outcome uint8

// The outcomes of a request.
const (
	// Done: the target ran the request and the answer is complete.
	Done Outcome = iota + 1
	// NotRun: the request did not run and never will. It may be repeated.
	NotRun
	// Unknown: the request may have run. It must not be repeated under a new
	// ID unless it is idempotent.
	Unknown
	// Late: the request ran, and its answer arrived after the deadline.
	Late
	// None: the code does not concern a request, but for instance a document
	// or the start of a daemon.
	None
)

var outcomeNames = [...]string{"", "done", "not_run", "unknown", "late", "none"}

// String returns the outcome's name as used in headers and logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "outcome" + strconv.Itoa(int(o))
	}
	return outcomeNames[o]
}

// Info describes a code. It is one row of docs/RESULT-CODES.md.
type Info struct {
	Code       Code
	Name       string  // snake_case name as used in headers and logs.
	Outcome    Outcome // What the caller may conclude.
	HTTPStatus int     // HTTP status of the answer to a caller; 0 if callers never get the code.
	Advice     string  // What the caller or operator should do.
}

// Lookup returns the description of a code, and whether the code is defined.
func Lookup(c Code) (Info, bool) {
	info, ok := byCode[c]
	return info, ok
}

// All returns every defined code in ascending order.
func All() []Info {
	out := make([]Info, len(infos))
	copy(out, infos)
	return out
}

// String returns the code's name.
func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return "code" + strconv.Itoa(int(c))
}

// Outcome returns what a caller may conclude from the code. For an undefined
// code that is Unknown, so that it is never taken for "not run".
func (c Code) Outcome() Outcome {
	if info, ok := byCode[c]; ok {
		return info.Outcome
	}
	return Unknown
}

// Error is the error type of the system's packages. It holds a code, what the
// error concerns and how to resolve it.
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

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Is reports whether target is an *Error with the same code, so that
// errors.Is(err, &result.Error{Code: c}) matches by code.
func (e *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == e.Code
}
