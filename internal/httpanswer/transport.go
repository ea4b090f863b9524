package httpanswer

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Transport makes a fasthttp client read its answers by Read. It bounds a call by the
// request's timeout alone, reads no bodies as streams, and keeps a connection only if
// no bytes follow the answer. The zero value is ready to use.
type Transport struct{}

// RoundTrip implements fasthttp.RoundTripper. The whole request is written before the
// answer is awaited, so that the writer is not told of a reset in place of the reader.
func (Transport) RoundTrip(client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	cc, err := client.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	reusable, err := exchange(client, cc.Conn(), req, resp)
	if err != nil || !reusable {
		client.CloseConn(cc)
	} else {
		client.ReleaseConn(cc)
	}
	return err != nil && !errors.Is(err, fasthttp.ErrBodyTooLarge), err
}

// exchange sends a request, reads the answer, and reports whether the connection may
// carry another request.
func exchange(client *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response) (reusable bool, err error) {
	deadline := deadlineOf(req)
	if err := conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	if err := write(client, conn, req); err != nil {
		return false, withTimeout(err)
	}
	resp.SkipBody = resp.SkipBody || req.Header.IsHead()
	if client.DisableHeaderNamesNormalizing {
		resp.Header.DisableNormalizing()
	}
	r := client.AcquireReader(conn)
	defer client.ReleaseReader(r)
	untilEOF, err := Read(r, resp, client.MaxResponseBodySize)
	if err != nil {
		return false, withTimeout(err)
	}
	if untilEOF && !requestTaken(conn, deadline) {
		return false, ErrCutOff
	}
	return !untilEOF && r.Buffered() == 0 && !req.ConnectionClose() && !resp.ConnectionClose(), nil
}

// deadlineOf returns when a request's timeout is over, or the zero time if it has none.
func deadlineOf(req *fasthttp.Request) time.Time {
	if timeout := req.GetTimeOut(); timeout > 0 {
		return time.Now().Add(timeout)
	}
	return time.Time{}
}

func write(client *fasthttp.HostClient, conn net.Conn, req *fasthttp.Request) error {
	w := client.AcquireWriter(conn)
	defer client.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// withTimeout returns fasthttp.ErrTimeout for the errors that mean it, as the clients'
// own transport does.
func withTimeout(err error) error {
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return fasthttp.ErrTimeout
	}
	return err
}
