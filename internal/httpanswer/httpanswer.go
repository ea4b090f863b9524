// Package httpanswer reads answers of HTTP/1.1 from servers that may be faulty. It
// refuses as malformed what the HTTP library repairs by a guess.
package httpanswer

import (
	"bufio"
	"errors"

	"github.com/valyala/fasthttp"
)

const (
	// maxInformational is how many informational answers may precede an answer.
	maxInformational = 8
	// lengthUntilEOF is the length that the HTTP library states for a body that
	// ends with the connection, and lengthChunked for one in chunks.
	lengthUntilEOF = -2
	lengthChunked  = -1
)

var (
	// ErrCutOff means that an answer without a length ended with a connection that had
	// not taken the whole request.
	ErrCutOff = errors.New("the answer has no length, and the connection ended before it had taken the request")
	// errNoStatus means that an answer's first line is no status line, or has no status
	// from 100 to 599.
	errNoStatus = errors.New("the answer has no valid status")
	// errSwitchingProtocols means that the server switched protocols unasked.
	errSwitchingProtocols = errors.New("the server switched to another protocol")
	// errTooManyInformational means that maxInformational informational answers
	// came without an answer after them.
	errTooManyInformational = errors.New("too many informational answers")
)

// Read reads one answer and drops the informational answers before it. A body may have
// maxBody bytes; a longer one is fasthttp.ErrBodyTooLarge. The body is not read with
// resp.SkipBody.
//
// Read reports whether the body had no length, so that the end of the connection was
// its end. Such an answer is whole only if the connection ended in order (AwaitTaken): a
// reset that the writer of the request was told of shows here as an end in order.
func Read(r *bufio.Reader, resp *fasthttp.Response, maxBody int) (untilEOF bool, err error) {
	resp.ResetBody()
	if err := readFinalHead(r, &resp.Header); err != nil {
		return false, err
	}
	if resp.SkipBody || hasNoBody(resp.StatusCode()) {
		return false, nil
	}
	length := resp.Header.ContentLength()
	if err := resp.ReadBody(r, maxBody); err != nil {
		return false, err
	}
	if length == lengthChunked {
		return false, readTrailer(r, &resp.Header)
	}
	return length == lengthUntilEOF, nil
}

// readTrailer reads the fields after the last chunk.
func readTrailer(r *bufio.Reader, head *fasthttp.ResponseHeader) error {
	if err := checkFields(r, 0); err != nil {
		return err
	}
	return head.ReadTrailer(r)
}

// hasNoBody reports whether answers with a status never have a body, whatever length
// they state.
func hasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readFinalHead reads the head of an answer and drops the informational answers before
// it. The status is checked here because fasthttp reads status 000 as 200, and accepts
// any other number of three digits.
func readFinalHead(r *bufio.Reader, head *fasthttp.ResponseHeader) error {
	for range maxInformational + 1 {
		status, err := peekStatus(r)
		switch {
		case err != nil:
			return err
		case status >= minFinalStatus:
			return readHead(r, head)
		case status == fasthttp.StatusSwitchingProtocols:
			return errSwitchingProtocols
		}
		var informational fasthttp.ResponseHeader
		if err := readHead(r, &informational); err != nil {
			return err
		}
	}
	return errTooManyInformational
}

// readHead reads one head. The fields are checked here because fasthttp accepts blanks
// in and after the names of fields, and joins a line that begins with a blank to the one
// before it.
func readHead(r *bufio.Reader, head *fasthttp.ResponseHeader) error {
	if err := checkHead(r); err != nil {
		return err
	}
	return head.Read(r)
}
