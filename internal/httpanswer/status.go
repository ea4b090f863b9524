package httpanswer

import (
	"bufio"
	"bytes"
)

const (
	statusDigits = 3
	// minStatus and maxStatus bound the numbers that are statuses.
	minStatus = 100
	maxStatus = 599
	// minFinalStatus is the lowest status of an answer that ends an exchange;
	// informational ones precede it.
	minFinalStatus = 200
)

// peekStatus waits for the first line of an answer and returns its status. It drops
// empty lines before the first line, and leaves the line to be read.
func peekStatus(r *bufio.Reader) (int, error) {
	missing := 1
	for {
		if _, err := r.Peek(missing); err != nil {
			return 0, err
		}
		received, _ := r.Peek(r.Buffered())
		line, _, complete := bytes.Cut(received, []byte("\n"))
		if !complete {
			missing = len(received) + 1
			continue
		}
		line, ended := bytes.CutSuffix(line, []byte("\r"))
		if len(line) == 0 {
			_, _ = r.Discard(bytes.IndexByte(received, '\n') + 1)
			missing = 1
			continue
		}
		status, ok := lineStatus(line)
		if !ok || !ended || hasControlByte(line) {
			return 0, errNoStatus
		}
		return status, nil
	}
}

// lineStatus returns the status in the first line of an answer, and whether it is a
// valid one.
func lineStatus(line []byte) (int, bool) {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	text, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(text) != statusDigits {
		return 0, false
	}
	status := 0
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		status = status*10 + int(digit-'0')
	}
	return status, status >= minStatus && status <= maxStatus
}
