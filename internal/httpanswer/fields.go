package httpanswer

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
)

const (
	// tokenMarks are the characters of a token beside letters and digits.
	tokenMarks = "!#$%&'*+-.^_`|~"
	// firstPrintable and deleteByte bound the control bytes.
	firstPrintable = 0x20
	deleteByte     = 0x7f
)

// FieldError is a line in a head or a trailer that is no header field.
type FieldError struct {
	Line string // Without its end.
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("the line %q of the answer is no header field", e.Line)
}

// checkHead waits for the head of an answer and checks its fields. It leaves the head
// to be read. The status line has arrived.
func checkHead(r *bufio.Reader) error {
	received, _ := r.Peek(r.Buffered())
	return checkFields(r, bytes.IndexByte(received, '\n')+1)
}

// checkFields waits for header fields and the empty line after them, which begin after
// skip bytes that have arrived, and checks each field as it arrives. It leaves them to be
// read. It returns a *FieldError, or the reader's error; bufio.ErrBufferFull means that
// the fields don't fit in the reader's buffer.
func checkFields(r *bufio.Reader, skip int) error {
	checked := skip
	for {
		received, _ := r.Peek(r.Buffered())
		line, _, complete := bytes.Cut(received[checked:], []byte("\n"))
		switch {
		case !complete:
			if _, err := r.Peek(len(received) + 1); err != nil {
				return err
			}
		case string(line) == "\r":
			return nil
		case !isField(line):
			return &FieldError{Line: string(bytes.TrimSuffix(line, []byte("\r")))}
		default:
			checked += len(line) + 1
		}
	}
}

// isField reports whether a line, with its end but for the LF, is a header field: a
// token, a colon and a value without control bytes.
func isField(line []byte) bool {
	line, ended := bytes.CutSuffix(line, []byte("\r"))
	name, value, found := bytes.Cut(line, []byte(":"))
	return ended && found && isToken(name) && !hasControlByte(value)
}

func isToken(name []byte) bool {
	for _, b := range name {
		if !isTokenByte(b) {
			return false
		}
	}
	return len(name) > 0
}

func isTokenByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return strings.IndexByte(tokenMarks, b) >= 0
}

// hasControlByte reports whether a value holds a control byte other than a tab.
func hasControlByte(value []byte) bool {
	for _, b := range value {
		if b < firstPrintable && b != '\t' || b == deleteByte {
			return true
		}
	}
	return false
}
