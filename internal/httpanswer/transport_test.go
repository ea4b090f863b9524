package httpanswer_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/httpanswer"
	"github.com/rhubarbring/rhubarbring/internal/httpanswer/answertest"
)

const callTimeout = 2 * time.Second

func newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, Transport: httpanswer.Transport{}, MaxResponseBodySize: maxBody,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// call sends a request and returns the status and the body of the answer.
func call(client *fasthttp.HostClient, method, body string, timeout time.Duration) (int, string, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + client.Addr + "/")
	req.SetBodyString(body)
	err := client.DoTimeout(&req, &resp, timeout)
	return resp.StatusCode(), string(resp.Body()), err
}

// Guards against a client that believes an answer which Read refuses.
func TestClientRefusesMalformedAnswers(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	} {
		server := answertest.Start(t, text, false)
		client := newClient(server.Address)
		for range 2 {
			_, _, err := call(client, fasthttp.MethodPost, "b", callTimeout)
			must.Error(t, err, must.Sprintf("%q", text))
		}
		must.Eq(t, 2, server.Accepted())
	}
}

// Guards against answers that other requests of a connection get wrong: it carries
// another one only after a whole answer with nothing behind it.
func TestConnectionIsKeptAfterWholeAnswersOnly(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := map[string]struct {
		text   string
		closes bool
		kept   bool
	}{
		"whole":    {text: whole, kept: true},
		"chunked":  {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", kept: true},
		"extra":    {text: whole + "extra"},
		"closing":  {text: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"},
		"untilEOF": {text: "HTTP/1.1 200 OK\r\n\r\nok", closes: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := answertest.Start(t, c.text, c.closes)
			client := newClient(server.Address)
			for range 3 {
				status, body, err := call(client, fasthttp.MethodPost, "b", callTimeout)
				must.NoError(t, err)
				must.Eq(t, fasthttp.StatusOK, status)
				must.Eq(t, "ok", body)
			}
			must.Eq(t, c.kept, server.Accepted() == 1)
		})
	}
}

// Guards against a part of an answer without a length passing for the whole one, if the
// server resets the connection while the request is being written.
func TestClientRefusesAnswerCutByResetDuringUpload(t *testing.T) {
	const rounds = 20
	client := newClient(answertest.StartFunc(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 64))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_, _ = io.CopyN(io.Discard, conn, 1<<20)
		answertest.Reset(conn)
	}))
	long := strings.Repeat("x", 16<<20)
	for range rounds {
		_, _, err := call(client, fasthttp.MethodPost, long, callTimeout)
		must.Error(t, err)
	}
}

// Guards against the same where the request was written, but the server's host has not
// taken it: it lies in this host's buffers.
func TestClientRefusesAnswerOfServerThatDoesNotTakeTheRequest(t *testing.T) {
	called := make(chan struct{})
	client := newClient(answertest.StartFunc(t, func(conn *net.TCPConn) {
		_ = conn.SetReadBuffer(4 << 10)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.CloseWrite()
		<-called
		_ = conn.Close()
	}))
	_, _, err := call(client, fasthttp.MethodPost, strings.Repeat("x", 1<<20), 300*time.Millisecond)
	close(called)
	must.Error(t, err)
}

func TestClientReadsNoBodyInAnswerToHead(t *testing.T) {
	server := answertest.Start(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", false)
	client := newClient(server.Address)
	for range 2 {
		_, body, err := call(client, fasthttp.MethodHead, "", callTimeout)
		must.NoError(t, err)
		must.Eq(t, "", body)
	}
	must.Eq(t, 1, server.Accepted())
}

func TestClientStatesWhyACallFailed(t *testing.T) {
	long := answertest.Start(t, "HTTP/1.1 200 OK\r\nContent-Length: 1025\r\n\r\n"+strings.Repeat("x", maxBody+1), false)
	_, _, err := call(newClient(long.Address), fasthttp.MethodPost, "b", callTimeout)
	must.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
	silent := answertest.Start(t, "", false)
	_, _, err = call(newClient(silent.Address), fasthttp.MethodPost, "b", 50*time.Millisecond)
	must.ErrorIs(t, err, fasthttp.ErrTimeout)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	_, _, err = call(newClient(listener.Addr().String()), fasthttp.MethodPost, "b", callTimeout)
	var op *net.OpError
	must.True(t, errors.As(err, &op), must.Sprint(err))
	must.Eq(t, "dial", op.Op)
}
