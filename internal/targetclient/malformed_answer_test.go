package targetclient_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/httpanswer/answertest"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
)

// malformedHeads begin answers that are none: without a status, or with a field whose
// name holds a blank.
var malformedHeads = []string{
	"HTTP/1.1 000 OK\r\n", "HTTP/1.1 000 OK\r\nRhubarb-Refused: shed\r\n", "HTTP/1.1 200 OK\r\nX Foo: 1\r\n", "HTTP/1.1 200 OK\r\n X-Foo: 1\r\n",
	"HTTP/1.1 503 No\r\nRhubarb-Refused : shed\r\n", "HTTP/1.1 503 No\r\nX Foo: 1\r\nRhubarb-Refused: shed\r\n",
}

// Guards against an answer that is none reaching the caller, or being believed that the
// request has not run. The HTTP library reads status 000 as 200.
func TestMalformedAnswerIsLostAfterSend(t *testing.T) {
	for _, head := range malformedHeads {
		server := answertest.Start(t, head+"Rhubarb-Request-Id: id\r\nRhubarb-Attempt: 1\r\nContent-Length: 2\r\n\r\nok", false)
		client := targetclient.New(server.Address, 1)
		for range 2 {
			reply := client.Do(newCall(3, 2, bootclock.Now()))
			must.Eq(t, targetclient.LostAfterSend, reply.Verdict, must.Sprintf("%q", head))
			must.False(t, reply.Statement.Conclusive)
		}
		must.Eq(t, 2, server.Accepted())
	}
}

// Guards against such an answer being believed that a run was stopped.
func TestMalformedAnswerToCancelConfirmsNothing(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Foo: 1\r\n"} {
		server := answertest.Start(t, head+"Content-Length: 16\r\n\r\n{\"stopped\":true}", false)
		client := targetclient.New(server.Address, 1)
		must.False(t, client.Cancel("id", 1, time.Second), must.Sprintf("%q", head))
		must.Error(t, client.Drain(time.Second), must.Sprintf("%q", head))
	}
}
