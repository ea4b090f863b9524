package httpanswer_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/httpanswer"
)

// malformedLines are lines that are no header fields: the name is no token, there is
// none, or the value holds a control byte.
var malformedLines = []string{
	"X Foo: 1", "X-Foo : 1", " X-Foo: 1", "\tX-Foo: 1", "X\tFoo: 1", "X-Foo\t: 1", "X\x00Foo: 1", "X\x01Foo: 1", "X\x0bFoo: 1",
	"X\rFoo: 1", "X-Foo\r: 1", "\rX-Foo: 1", "X\x1fFoo: 1", "X\x7fFoo: 1", "X\x80Foo: 1", "X(Foo: 1", "X\"Foo: 1", "X-Foo/: 1", "X[Foo]: 1",
	": 1", ":", " : 1", "X-Foo", "X-Foo 1", " ", "\t", "\r", "\x00", "X Foo: ", "X-Foo: a\x00b", "X-Foo: a\rb", "X-Foo: a\x01b", "X-Foo: \x7f",
	"Content Length: 1", "Content-Length : 1", "Content-Length\t: 1", " Content-Length: 1", "Content\x01-Length: 1",
	"Transfer-Encoding : chunked", "Transfer Encoding: chunked", "X-Foo: 1\n Content-Length: 1", "X-Foo: 1\nX-Bar: 2",
}

// wellFormedLines are header fields, however unusual.
var wellFormedLines = []string{
	"X-Foo: 1", "x-foo:1", "X-Foo:", "X-Foo: ", "X-Foo:\t1\t", "X-Foo: a b\tc", "X-Foo: a:b", "X-Foo: \xe4\xff", "!#$%&'*+-.^_`|~09AZaz: 1",
}

// Guards against a broken head being repaired by a guess: a field whose name holds a
// blank or a control byte is passed on, or states where the body ends.
func TestHeadWithMalformedFieldIsRefused(t *testing.T) {
	for _, line := range malformedLines {
		for _, rest := range []string{"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\nok"} {
			for _, text := range []string{
				"HTTP/1.1 200 OK\r\n" + line + "\r\n" + rest,
				"HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + "\r\n" + rest,
				"HTTP/1.1 103 Early\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
			} {
				_, _, err := read(text, &fasthttp.Response{})
				var malformed *httpanswer.FieldError
				must.True(t, errors.As(err, &malformed), must.Sprintf("%q: %v", text, err))
			}
		}
	}
}

// Guards against a head whose end is seen elsewhere than the HTTP library sees it: then
// lines are read as fields that were not checked.
func TestMalformedStatusLineIsRefused(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 200 OK\n", "HTTP/1.1 200 O\x00K\r\n", "HTTP/1.1 200 OK\rX Foo: 1\r\n", "HTTP/1.1 200 OK\r\r\n", "HTTP/1.1 200\n", "HTTP/1.1\x0b200 OK\r\n",
	} {
		for _, rest := range []string{"Content-Length: 2\r\n\r\nok", "\r\nX Foo: 1\r\n\r\n"} {
			_, _, err := read(line+rest, &fasthttp.Response{})
			must.Error(t, err, must.Sprintf("%q", line+rest))
		}
	}
}

// Guards against the same in the fields after the last chunk.
func TestTrailerWithMalformedFieldIsRefused(t *testing.T) {
	for _, line := range malformedLines {
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-First: 1\r\n" + line + "\r\n\r\n"
		_, _, err := read(text, &fasthttp.Response{})
		must.Error(t, err, must.Sprintf("%q", text))
	}
}

// Guards against refusing answers that are well formed, and against heads that are
// judged by a part of a line.
func TestHeadOfUnusualFieldsIsRead(t *testing.T) {
	for _, line := range wellFormedLines {
		text := "HTTP/1.1 200 OK\r\n" + line + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nT" + line + "\r\n\r\n"
		for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			var resp fasthttp.Response
			resp.Header.DisableNormalizing()
			_, err := httpanswer.Read(bufio.NewReader(source), &resp, maxBody)
			must.NoError(t, err, must.Sprintf("%q", text))
			name, _, _ := strings.Cut(line, ":")
			must.SliceLen(t, 1, resp.Header.PeekAll(name), must.Sprintf("%q", text))
		}
	}
}

// Guards against waiting for the end of a head that is known to be malformed.
func TestMalformedFieldIsRefusedBeforeTheHeadEnds(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = writer.Write([]byte("HTTP/1.1 200 OK\r\nX Foo: 1\r\n")) }()
	_, err := httpanswer.Read(bufio.NewReader(reader), &fasthttp.Response{}, maxBody)
	var malformed *httpanswer.FieldError
	must.True(t, errors.As(err, &malformed), must.Sprint(err))
	must.Eq(t, "X Foo: 1", malformed.Line)
}
