package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/longbody"
	"github.com/rhubarbring/rhubarbring/result"
)

// The values of fasthttp's Header.ContentLength that are no length.
const (
	chunkedLength = -1
	noLength      = -2
)

// firstChunkBytes is the size of the first buffer for a body of unknown length.
const firstChunkBytes = 4 << 10

// readBody reads the body of a request whose header was read, in one buffer that no
// other request will use, and returns how many bytes of the budget it reserved. A
// body that is too long, or for which there is no room, is not read. One that is long
// is left to be read later, and long is its reader.
func (c *conn) readBody(req *fasthttp.Request) (reserved int, long io.Reader, err error) {
	length := req.Header.ContentLength()
	if length == noLength || length == 0 {
		return 0, nil, nil
	}
	if length > c.limits.MaxBodyBytes && c.carriesLong(length) {
		return 0, c.longReader(req, longbody.Exact(c.reader, int64(length))), nil
	}
	body := &bodyReader{conn: c, limit: c.limits.MaxBodyBytes}
	size := length
	if length == chunkedLength {
		size = min(firstChunkBytes, body.limit)
	}
	if err := body.grow(size); err != nil {
		return 0, nil, err
	}
	c.stream.readWithin = c.limits.BodyProgress
	defer func() { c.stream.readWithin = 0 }()
	if req.MayContinue() {
		_, err = c.raw.Write(continueLine)
	}
	switch {
	case err != nil:
	case length == chunkedLength:
		long, err = c.readChunks(req, body)
	default:
		err = body.readAll(c.reader)
	}
	if err != nil {
		body.release()
		return 0, nil, err
	}
	if long != nil {
		return body.reserved(), long, nil
	}
	req.SetBodyRaw(body.bytes)
	return body.reserved(), nil, nil
}

// carriesLong reports whether a body of a length that exceeds MaxBodyBytes, or of a
// length that is not known, may be read later.
func (c *conn) carriesLong(length int) bool {
	return c.server.longBodies != nil && c.limits.MaxLongBodyBytes > c.limits.MaxBodyBytes && length <= c.limits.MaxLongBodyBytes
}

// longReader returns the reader of a long body, which asks for it first if the caller
// waits for that.
func (c *conn) longReader(req *fasthttp.Request, r io.Reader) io.Reader {
	if !req.MayContinue() {
		return r
	}
	return &askingReader{conn: c, r: r}
}

// askingReader asks the caller for a body before it reads it.
type askingReader struct {
	conn  *conn
	r     io.Reader
	asked bool
}

func (a *askingReader) Read(p []byte) (int, error) {
	if !a.asked {
		a.asked = true
		if _, err := a.conn.raw.Write(continueLine); err != nil {
			return 0, err
		}
	}
	return a.r.Read(p)
}

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// readChunks reads a chunked body and the fields that follow it. If the body is long,
// long reads all of it, and the fields are not read: the connection closes.
func (c *conn) readChunks(req *fasthttp.Request, body *bodyReader) (long io.Reader, err error) {
	chunks := httputil.NewChunkedReader(c.reader)
	err = body.readToEnd(chunks)
	if errors.Is(err, errBeyondLimit) {
		if !c.carriesLong(chunkedLength) {
			return nil, body.tooLarge()
		}
		rest := io.MultiReader(bytes.NewReader(body.bytes), bytes.NewReader(body.beyond[:]), chunks)
		return longbody.AtMost(rest, int64(c.limits.MaxLongBodyBytes)), nil
	}
	if err != nil {
		return nil, err
	}
	return nil, c.readTrailer(req)
}

// readTrailer reads the fields that follow a chunked body.
func (c *conn) readTrailer(req *fasthttp.Request) error {
	err := req.Header.ReadTrailer(c.reader)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// bodyReader reads one body into a buffer for which it reserves room.
type bodyReader struct {
	conn  *conn
	limit int
	bytes []byte // The capacity is reserved.
	// beyond is the byte that was read beyond the limit.
	beyond [1]byte
}

// errBeyondLimit means that a body of unknown length goes on beyond the limit.
var errBeyondLimit = errors.New("the body exceeds the limit")

// grow makes the buffer larger. Its errors are TooLarge and BodiesFull.
func (b *bodyReader) grow(size int) error {
	if size > b.limit {
		return b.tooLarge()
	}
	if !b.conn.server.memory.grow(b.conn, (size-b.reserved())*bodyBytesFactor) {
		return &result.Error{Code: result.BodiesFull, Detail: "no room for a body of " + strconv.Itoa(size) + " bytes"}
	}
	larger := make([]byte, len(b.bytes), size)
	copy(larger, b.bytes)
	b.bytes = larger
	return nil
}

// reserved returns how many bytes are reserved.
func (b *bodyReader) reserved() int {
	return cap(b.bytes)
}

// release gives up the buffer.
func (b *bodyReader) release() {
	b.conn.releaseBody(b.reserved())
	b.bytes = nil
}

// readAll fills the buffer.
func (b *bodyReader) readAll(r io.Reader) error {
	b.bytes = b.bytes[:cap(b.bytes)]
	_, err := io.ReadFull(r, b.bytes)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readToEnd reads until the end, and lets the buffer grow up to the limit.
func (b *bodyReader) readToEnd(r io.Reader) error {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if ended, err := b.makeRoom(r); ended || err != nil {
				return err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// makeRoom makes a full buffer larger. If it has the size of the limit, it reports
// whether the body has ended.
func (b *bodyReader) makeRoom(r io.Reader) (ended bool, err error) {
	if size := cap(b.bytes); size < b.limit {
		return false, b.grow(min(2*size, b.limit))
	}
	if _, err := io.ReadFull(r, b.beyond[:]); err != nil {
		return errors.Is(err, io.EOF), ignoreEOF(err)
	}
	return false, errBeyondLimit
}

func (b *bodyReader) tooLarge() error {
	limit := b.limit
	if b.conn.carriesLong(0) {
		limit = b.conn.limits.MaxLongBodyBytes
	}
	return &result.Error{Code: result.TooLarge, Detail: "the body has more than " + strconv.Itoa(limit) + " bytes"}
}

// ignoreEOF returns nil for io.EOF and other errors as they are.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
