package entry

import (
	"net"
	"time"
)

// progressBytes is how much of an answer is written at a time. The caller has to
// read each part within the time for progress.
const progressBytes = 64 << 10

// stream reads and writes a caller's connection. While a body is read, and while an
// answer is written, each part of it has a deadline, and the whole has none: a slow
// caller is not cut off as long as it makes progress.
type stream struct {
	net.Conn
	// readWithin, if not 0, bounds the wait for the next bytes. Only the reading
	// goroutine uses it.
	readWithin time.Duration
	// writeWithin bounds the wait until the next bytes are taken, and progress is
	// called before each part. Only the writing goroutine uses them.
	writeWithin time.Duration
	progress    func()
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if s.readWithin > 0 {
		if err := s.SetReadDeadline(time.Now().Add(s.readWithin)); err != nil {
			return 0, err
		}
	}
	return s.Conn.Read(p)
}

// Write implements io.Writer.
func (s *stream) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(written+progressBytes, len(p))]
		s.progress()
		if err := s.SetWriteDeadline(time.Now().Add(s.writeWithin)); err != nil {
			return written, err
		}
		n, err := s.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// CloseWrite closes the connection for writing.
func (s *stream) CloseWrite() error {
	if half, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
