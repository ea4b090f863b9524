package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// consumer sends requests to the sidecar of one machine, one after the other, on
// a connection that it keeps open.
type consumer struct {
	rec    *recorder
	to     string
	conn   net.Conn
	reader *bufio.Reader
}

// reply is what a consumer got for one request.
type reply struct {
	id        string
	status    int
	signature string
	body      string
	sent      time.Time
	ended     time.Time
	err       error
}

var lastID atomic.Uint64

func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()>>20&0xffffffff, lastID.Add(1))
}

// send sends a request and waits for the answer for up to the time limit.
func (c *consumer) send(method, host, target string, header map[string]string, body string, limit time.Duration) reply {
	r := reply{id: newID(), sent: time.Now()}
	c.rec.line("consumer sends %s: %s %s%s to %s", r.id, method, host, target, c.to)
	r.err = c.exchange(&r, method, host, target, header, body, limit)
	r.ended = time.Now()
	if r.err != nil {
		c.close()
		c.rec.line("consumer gets no answer to %s: %v", r.id, r.err)
		return r
	}
	c.rec.line("consumer gets %d for %s, signature %q", r.status, r.id, r.signature)
	return r
}

func (c *consumer) exchange(r *reply, method, host, target string, header map[string]string, body string, limit time.Duration) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.to, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, r.id, limit.Milliseconds())
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	r.status, r.signature, r.body = resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(raw)
	if resp.Close {
		c.close()
	}
	return nil
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
