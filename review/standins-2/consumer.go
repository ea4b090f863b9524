package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// call is one consumer attempt.
type call struct {
	id     string
	method string
	host   string
	path   string
	fields []string // Further header fields, without line ends.
	body   []byte
	limit  time.Duration // The consumer's time limit.
	// pace is how many bytes of the body the consumer reads in a second; 0 is all
	// at once.
	pace int
	// receiveBuffer is the size of the connection's receive buffer; 0 leaves it.
	receiveBuffer int
}

// reply is what a consumer got.
type reply struct {
	status   int
	signed   bool
	body     []byte
	length   int // As stated; -1 if not.
	whole    bool
	err      error
	closedAt time.Duration // Since the request was sent.
}

func (r reply) String() string {
	switch {
	case r.status == 0:
		return fmt.Sprintf("no answer after %v: %v", r.closedAt.Round(time.Millisecond), r.err)
	case !r.whole:
		return fmt.Sprintf("status %d, cut after %d of %d bytes, %v after the request: %v", r.status, len(r.body), r.length, r.closedAt.Round(time.Millisecond), r.err)
	}
	return fmt.Sprintf("status %d, signed %v, whole (%d bytes), %v after the request", r.status, r.signed, len(r.body), r.closedAt.Round(time.Millisecond))
}

func dialConsumer(address string, receiveBuffer int) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	if receiveBuffer > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}
	}
	return d.Dial("tcp", address)
}

func (c *call) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.limit.Milliseconds())
	for _, f := range c.fields {
		b.WriteString(f + "\r\n")
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.Write(c.body)
	return []byte(b.String())
}

// send sends the call on a new connection and reads the answer.
func (c *call) send(rec *recorder, to *node) reply {
	conn, err := dialConsumer(to.caller, c.receiveBuffer)
	if err != nil {
		rec.line("%s: no connection to %s: %v", c.id, to.name, err)
		return reply{err: err}
	}
	defer conn.Close()
	sent := time.Now()
	rec.line("%s: %s %s is sent to %s, time limit %v", c.id, c.method, c.path, to.name, c.limit)
	_ = conn.SetDeadline(sent.Add(c.limit))
	if _, err := conn.Write(c.bytes()); err != nil {
		return reply{err: err, closedAt: time.Since(sent)}
	}
	r := c.read(bufio.NewReaderSize(conn, 4<<10), sent)
	rec.line("%s: %v", c.id, r)
	return r
}

func (c *call) read(from *bufio.Reader, sent time.Time) (r reply) {
	defer func() { r.closedAt = time.Since(sent) }()
	resp, err := http.ReadResponse(from, &http.Request{Method: c.method})
	if err != nil {
		return reply{err: err}
	}
	r = reply{status: resp.StatusCode, signed: resp.Header.Get("X-Response-Signature") != "", length: -1}
	if n, err := strconv.Atoi(resp.Header.Get("Content-Length")); err == nil {
		r.length = n
	}
	part := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(part)
		r.body = append(r.body, part[:n]...)
		if err == io.EOF {
			r.whole = true
			return r
		}
		if err != nil {
			r.err = err
			return r
		}
		if c.pace > 0 {
			due := time.Duration(float64(len(r.body)) / float64(c.pace) * float64(time.Second))
			time.Sleep(time.Until(sent.Add(due)))
		}
	}
}
