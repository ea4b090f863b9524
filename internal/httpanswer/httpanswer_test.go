package httpanswer_test

import (
	"bufio"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/httpanswer"
)

const maxBody = 1 << 10

// read reads the answer in a text and returns its body.
func read(text string, resp *fasthttp.Response) (body string, untilEOF bool, err error) {
	untilEOF, err = httpanswer.Read(bufio.NewReader(strings.NewReader(text)), resp, maxBody)
	return string(resp.Body()), untilEOF, err
}

// Guards against a body that is taken by another rule than HTTP states: by its length,
// in chunks, to the end of the connection, or none.
func TestBodyEndsWhereTheHeadSays(t *testing.T) {
	cases := map[string]struct {
		text, body string
		untilEOF   bool
	}{
		"length":       {text: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", body: "ok"},
		"chunks":       {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: 1\r\n\r\nmore", body: "ok"},
		"neither":      {text: "HTTP/1.1 200 OK\r\n\r\nokmore", body: "okmore", untilEOF: true},
		"no content":   {text: "HTTP/1.1 204 None\r\n\r\nmore"},
		"not modified": {text: "HTTP/1.1 304 Same\r\nContent-Length: 2\r\n\r\nmore"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var resp fasthttp.Response
			resp.SetBodyString("of an earlier answer")
			body, untilEOF, err := read(c.text, &resp)
			must.NoError(t, err)
			must.Eq(t, c.body, body)
			must.Eq(t, c.untilEOF, untilEOF)
		})
	}
}

// Guards against reading the body of an answer to HEAD, which has none.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	resp := fasthttp.Response{SkipBody: true}
	body, untilEOF, err := read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nmore", &resp)
	must.NoError(t, err)
	must.Eq(t, "", body)
	must.False(t, untilEOF)
}

// Guards against a part of an answer passing for the whole one.
func TestAnswerThatEndsEarlyIsAnError(t *testing.T) {
	for _, text := range []string{
		"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: 1\r\n",
	} {
		_, _, err := read(text, &fasthttp.Response{})
		must.Error(t, err, must.Sprintf("%q", text))
	}
}

func TestBodyAboveTheLimitIsTooLarge(t *testing.T) {
	long := strings.Repeat("x", maxBody+1)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 1025\r\n\r\n" + long, "HTTP/1.1 200 OK\r\n\r\n" + long,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n401\r\n" + long + "\r\n0\r\n\r\n",
	} {
		_, _, err := read(text, &fasthttp.Response{})
		must.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
	}
}

// Guards against a status line that arrives byte by byte and is judged by its part.
func TestStatusLineArrivesInPieces(t *testing.T) {
	for line, valid := range map[string]bool{"HTTP/1.1 200 OK": true, "HTTP/1.1 000 OK": false} {
		text := "\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok"
		var resp fasthttp.Response
		_, err := httpanswer.Read(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))), &resp, maxBody)
		must.Eq(t, valid, err == nil, must.Sprint(line, err))
	}
}
